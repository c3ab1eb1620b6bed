/** Routes by host and path, and their weights. */
import test from 'ava';
import type { ConfigurationItem, WeightedService } from '../../src/directory/directory-state.js';
import { RouteTable } from '../../src/sidecar/route-table.js';

function route(
  name: string,
  host: string,
  pathPrefix: string,
  destinations: readonly WeightedService[],
): ConfigurationItem {
  const numbers = { timeoutMs: 1, targetLatencyMs: 1, priority: 0, maxAttempts: 1 };
  const definition = { host, pathPrefix, kind: 'safe', destinations, ...numbers } as const;
  return { kind: 'route', name, version: 1, source: '', definition };
}

const TO_A = [{ service: 'a', weight: 1 }];
const TABLE = new RouteTable([
  route('short', 'one.example', '/x/', TO_A),
  route('long', 'one.example', '/x/y/', TO_A),
  route('other', 'two.example', '/x/', TO_A),
]);

const CASES: readonly [string, string, string | null][] = [
  ['one.example', '/x/1', 'short'],
  ['one.example', '/x/y/1', 'long'],
  ['one.example', '/x/y', 'short'],
  ['ONE.example:8080', '/x/y/1?q=/z/', 'long'],
  ['one.example', '/x', null],
  ['one.example', '/?/x/', null],
  ['two.example', '/x/y/', 'other'],
  ['three.example', '/x/', null],
];

for (const [host, path, expected] of CASES) {
  test(`${host} ${path} -> ${String(expected)}`, (t) => {
    t.is(TABLE.find(host, path)?.name ?? null, expected);
  });
}

test('services take turns in exact proportion to their weights, and one of weight 0 gets nothing', (t) => {
  const weights = [
    { service: 'a', weight: 90 },
    { service: 'b', weight: 10 },
    { service: 'c', weight: 0 },
  ];
  const found = new RouteTable([route('r', 'h', '/', weights)]).find('h', '/');
  const counts = new Map<string, number>();
  for (let request = 0; request < 200; request += 1) {
    const service = found?.nextService() ?? '';
    counts.set(service, (counts.get(service) ?? 0) + 1);
  }
  t.deepEqual(Object.fromEntries(counts), { a: 180, b: 20 });
});
