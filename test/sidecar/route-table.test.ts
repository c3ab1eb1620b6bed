/** Route lookup by host and path, weighted distribution and statistics of routes. */
import test from 'ava';
import fc from 'fast-check';
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

test('requests are distributed in exact proportion to the weights, and weight 0 gets none', (t) => {
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

test('the longest matching prefix is used, also if prefixes do not end with a slash', (t) => {
  const segment = fc.constantFrom('', 'a', 'b', 'ab', 'a/', '/', 'a/b', 'b/');
  const texts = fc.array(segment, { maxLength: 4 }).map((parts) => `/${parts.join('')}`);
  const property = fc.property(fc.uniqueArray(texts, { maxLength: 12 }), texts, (prefixes, path) => {
    const table = new RouteTable(prefixes.map((prefix) => route(prefix, 'h', prefix, TO_A)));
    const fitting = prefixes.filter((prefix) => path.startsWith(prefix));
    const longest = fitting.reduce<string | null>((best, prefix) => {
      return best === null || prefix.length > best.length ? prefix : best;
    }, null);
    t.is(table.find('h', path)?.name ?? null, longest);
  });
  t.notThrows(() => {
    fc.assert(property, { seed: 1, numRuns: 300 });
  });
});

test('statistics are kept when a route changes, and discarded when it moves to another host', (t) => {
  const first = new RouteTable([route('r', 'h', '/', TO_A)]);
  first.find('h', '/')?.recordAnswerSize(90_000);
  const seenBytes = first.find('h', '/')?.answerBytes;
  const changed = new RouteTable([route('r', 'h', '/x/', TO_A)], first);
  t.is(changed.find('h', '/x/')?.answerBytes, seenBytes);
  const moved = new RouteTable([route('r', 'other', '/x/', TO_A)], first);
  t.not(moved.find('other', '/x/')?.answerBytes, seenBytes);
});
