/** The operator's calls as tables of cases. */
import test from 'ava';
import { emptyDirectoryState } from '../../src/directory/directory-state.js';
import { applyDirectoryCommand } from '../../src/directory/directory-machine.js';
import { renderConfiguration } from '../../platform/configuration-items.js';
import type { Call } from '../../platform/json-server.js';
import { readCommand } from '../../platform/operator-calls.js';

const ROUTE = {
  host: 'h.example',
  path_prefix: '/p/',
  route_type: 'safe',
  timeout_s: 1,
  target_latency_s: 0.4,
  priority: 2,
  max_attempts: 2,
  service: 's',
};
const SERVICE = {
  health_path: '/health',
  max_connections: 10,
  protocol: 'h1',
  tls: false,
  sharded: true,
  warm_s: 3,
};
const LIMITS = { max_header_bytes: 16_384, max_body_bytes: 1_000, header_timeout_s: 3, idle_timeout_s: 15 };

function call(method: string, body: unknown, ifMatch?: string): Call {
  const headers = ifMatch === undefined ? {} : { 'if-match': ifMatch };
  return { method, path: '/config', headers, body: typeof body === 'string' ? body : JSON.stringify(body) };
}

function put(route: object): Call {
  return call('PUT', { version: 3, routes: { r: route }, services: { s: SERVICE }, limits: LIMITS }, '0');
}

const INVALID: readonly [string, Call][] = [
  ['cut short', call('PUT', '{"version":3,"rou', '0')],
  ['not an object', call('PUT', '[]', '0')],
  ['no version', call('PUT', { routes: {} }, '0')],
  ['an empty host', put({ ...ROUTE, host: '' })],
  ['a prefix without slash', put({ ...ROUTE, path_prefix: 'p/' })],
  ['a time-out above ten minutes', put({ ...ROUTE, timeout_s: 601 })],
  ['no time-out', put({ ...ROUTE, timeout_s: undefined })],
  ['weights that sum to 0', put({ ...ROUTE, weighted_services: [{ service: 's', weight: 0 }] })],
  ['no service', put({ ...ROUTE, service: undefined })],
  ['an unknown kind', put({ ...ROUTE, route_type: 'other' })],
  ['an If-Match that is no version', call('PUT', { version: 3 }, 'x')],
  ['an item without version', call('PATCH', { upsert: { routes: { r: ROUTE } } })],
];

for (const [name, invalid] of INVALID) {
  test(`invalid: ${name}`, (t) => {
    t.true(readCommand(invalid).err);
  });
}

test('a time-out of exactly ten minutes and unknown fields are taken', (t) => {
  t.true(readCommand(put({ ...ROUTE, timeout_s: 600, later: true })).ok);
});

test('the whole configuration is read back as it was put', (t) => {
  const state = emptyDirectoryState();
  const body = {
    version: 3,
    routes: { r: { ...ROUTE, later: [1] } },
    services: { s: SERVICE },
    limits: LIMITS,
  };
  const command = readCommand(call('PUT', body, '0')).unwrap();
  t.is(applyDirectoryCommand(state, command, 1).outcome.kind, 'done');
  t.deepEqual(JSON.parse(renderConfiguration(state, true)), body);
});

test('items are read back with their own versions, and a dropped one is gone', (t) => {
  const state = emptyDirectoryState();
  const first = {
    upsert: {
      routes: { r: { ...ROUTE, version: 7 }, q: { ...ROUTE, version: 7 } },
      services: { s: { ...SERVICE, version: 7 } },
      limits: { ...LIMITS, version: 7 },
    },
    remove: { routes: [] },
  };
  const second = { upsert: {}, remove: { routes: [{ name: 'q', version: 9 }] } };
  [first, second].forEach((body, at) => {
    applyDirectoryCommand(state, readCommand(call('PATCH', body)).unwrap(), at + 1);
  });
  const { q, ...routes } = first.upsert.routes;
  t.truthy(q);
  t.deepEqual(JSON.parse(renderConfiguration(state, false)), { ...first.upsert, routes });
});

test('the same call has the same digest, and another base or body another', (t) => {
  const digest = (sent: Call): string => {
    const command = readCommand(sent).unwrap();
    return command.kind === 'configure-revision' ? command.digest : '';
  };
  const body = { version: 3, upsert: {}, remove: { routes: ['a'] } };
  t.is(digest(call('PATCH', body, '1')), digest(call('PATCH', body, '1')));
  t.not(digest(call('PATCH', body, '1')), digest(call('PATCH', body, '2')));
  t.not(digest(call('PATCH', body, '1')), digest(call('PATCH', { ...body, version: 4 }, '1')));
});
