/** Operator calls: parsing, rendering, redirection and acknowledgement. */
import test from 'ava';
import { emptyDirectoryState } from '../../src/directory/directory-state.js';
import { applyDirectoryCommand } from '../../src/directory/directory-machine.js';
import { renderConfiguration } from '../../platform/configuration-items.js';
import type { Call } from '../../platform/json-server.js';
import { OperatorCalls, readCommand, type OperatedReplica } from '../../platform/operator-calls.js';
import type { DirectoryCommand } from '../../src/directory/directory-commands.js';
import { Err, Ok } from '../../src/result.js';
import { SILENT_EVENT_LOG, type EventFields, type EventLog } from '../../src/telemetry/event-log.js';
import { NO_LATENCIES } from '../../src/telemetry/latencies.js';

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
  ['a timeout above ten minutes', put({ ...ROUTE, timeout_s: 601 })],
  ['no timeout', put({ ...ROUTE, timeout_s: undefined })],
  ['weights that sum to 0', put({ ...ROUTE, weighted_services: [{ service: 's', weight: 0 }] })],
  ['no service', put({ ...ROUTE, service: undefined })],
  ['an unknown kind', put({ ...ROUTE, route_type: 'other' })],
  ['an If-Match that is not a version', call('PUT', { version: 3 }, 'x')],
  ['an item without a version', call('PATCH', { upsert: { routes: { r: ROUTE } } })],
];

for (const [name, invalid] of INVALID) {
  test(`invalid: ${name}`, async (t) => {
    t.true((await readCommand(invalid)).err);
  });
}

test('a timeout of exactly ten minutes and unknown fields are accepted', async (t) => {
  t.true((await readCommand(put({ ...ROUTE, timeout_s: 600, later: true }))).ok);
});

test('a configuration is rendered as it was submitted', async (t) => {
  const state = emptyDirectoryState();
  const body = {
    version: 3,
    routes: { r: { ...ROUTE, later: [1] } },
    services: { s: SERVICE },
    limits: LIMITS,
  };
  const command = (await readCommand(call('PUT', body, '0'))).unwrap();
  t.is(applyDirectoryCommand(state, command, 1).outcome.kind, 'done');
  t.deepEqual(JSON.parse(renderConfiguration(state, true)), body);
});

test('items are rendered with their own versions, and without removed ones', async (t) => {
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
  for (const [at, body] of [first, second].entries()) {
    applyDirectoryCommand(state, (await readCommand(call('PATCH', body))).unwrap(), at + 1);
  }
  const { q, ...routes } = first.upsert.routes;
  t.truthy(q);
  t.deepEqual(JSON.parse(renderConfiguration(state, false)), { ...first.upsert, routes });
});

test('identical calls have the same digest, and calls with another base or body a different one', async (t) => {
  const digest = async (sent: Call): Promise<string> => {
    const command = (await readCommand(sent)).unwrap();
    return command.kind === 'configure-revision' ? command.digest : '';
  };
  const body = { version: 3, upsert: {}, remove: { routes: ['a'] } };
  const first = await digest(call('PATCH', body, '1'));
  t.is(await digest(call('PATCH', body, '1')), first);
  t.not(await digest(call('PATCH', body, '2')), first);
  t.not(await digest(call('PATCH', { ...body, version: 4 }, '1')), first);
});

class Replica implements OperatedReplica {
  readonly leaderElsewhere = '10.0.0.2:7620';
  configurationVersion = 0;
  readonly proposed: DirectoryCommand[] = [];
  /** Digests of committed changes. */
  readonly accepted = new Set<string>();
  accepts = true;

  constructor(readonly leading: boolean) {}

  async propose(command: DirectoryCommand): ReturnType<OperatedReplica['propose']> {
    this.proposed.push(command);
    return await Promise.resolve(this.accepts ? Ok({ kind: 'done' }) : Err({ kind: 'not-leader' }));
  }

  hasAccepted(digest: string): boolean {
    return this.accepted.has(digest);
  }

  async readState(): ReturnType<OperatedReplica['readState']> {
    return await Promise.resolve(Err({ kind: 'unavailable' }));
  }
}

test('any replica that knows of a committed change acknowledges a repeated call without a new proposal', async (t) => {
  const sent = call('PATCH', { version: 3, upsert: {}, remove: {} }, '1');
  const command = (await readCommand(sent)).unwrap();
  for (const leading of [true, false]) {
    const replica = new Replica(leading);
    const calls = new OperatorCalls(replica, 8_306, new Set());
    t.is((await calls.handle(sent)).status, leading ? 200 : 307, 'sent for the first time');
    replica.proposed.length = 0;
    if (command.kind === 'configure-revision') replica.accepted.add(command.digest);
    t.is((await calls.handle(sent)).status, 200, 'sent again');
    t.deepEqual(replica.proposed, []);
    t.is((await calls.handle({ ...sent, headers: { 'if-match': '2' } })).status, leading ? 200 : 307);
  }
});

test('a change that is not acknowledged is logged with its reason; acknowledged changes and reads are not logged', async (t) => {
  const logged: EventFields[] = [];
  const log: EventLog = { ...SILENT_EVENT_LOG, event: (_name, fields) => logged.push(fields) };
  const leader = new Replica(true);
  const calls = new OperatorCalls(leader, 8_306, new Set(), NO_LATENCIES, log);
  await calls.handle(call('PATCH', { version: 3, upsert: {}, remove: {} }, '1'));
  await calls.handle(call('GET', ''));
  t.deepEqual(logged, []);
  await calls.handle(call('PUT', '{"version":3,"rou', '0'));
  leader.accepts = false;
  await calls.handle(call('PATCH', { version: 3, upsert: {}, remove: {} }, '1'));
  await new OperatorCalls(new Replica(false), 8_306, new Set(), NO_LATENCIES, log).handle(
    call('PUT', '', '0'),
  );
  t.deepEqual(
    logged.map(({ status }) => status),
    [400, 503, 307],
  );
  t.deepEqual(logged[0]?.['reason'], { error: 'the body is not JSON' });
  t.is(logged[2]?.['leader'], 'http://10.0.0.2:8306/config');
});

test('a change that cannot be served now is answered and logged with the reason', async (t) => {
  const reasons = [
    ['not-leader', 'no leader'],
    ['outcome-unknown', 'undecided'],
    ['busy', 'busy'],
  ] as const;
  for (const [kind, reason] of reasons) {
    const logged: EventFields[] = [];
    const log: EventLog = { ...SILENT_EVENT_LOG, event: (_name, fields) => logged.push(fields) };
    const replica = new Replica(true);
    replica.propose = async () => await Promise.resolve(Err({ kind }));
    const calls = new OperatorCalls(replica, 8_306, new Set(), NO_LATENCIES, log);
    const answer = await calls.handle(call('PATCH', { version: 3, upsert: {}, remove: {} }, '1'));
    t.is(answer.status, 503);
    t.deepEqual(answer.body, { error: reason });
    t.deepEqual(logged[0]?.['reason'], { error: reason });
  }
});

test('a follower redirects a change without parsing it', async (t) => {
  const calls = new OperatorCalls(new Replica(false), 8_306, new Set());
  t.is((await calls.handle(call('PUT', '{"version":3,"rou', '0'))).status, 307);
});

test('a long change is parsed in several turns of the event loop', async (t) => {
  const routes = Object.fromEntries(Array.from({ length: 1_000 }, (_, at) => [`r-${at}`, ROUTE]));
  let turns = 0;
  let reading = true;
  const takeTurn = (): void => {
    turns += 1;
    if (reading) setImmediate(takeTurn);
  };
  setImmediate(takeTurn);
  t.true((await readCommand(call('PUT', { version: 3, routes, services: { s: SERVICE } }, '0'))).ok);
  reading = false;
  t.true(turns >= 10, `${turns} turns`);
});

test('changes that are parsed at the same time are bounded in bytes; what is beyond is refused at once', async (t) => {
  const routes = Object.fromEntries(Array.from({ length: 300 }, (_, at) => [`r-${at}`, ROUTE]));
  const large = call('PUT', { version: 3, routes, services: { s: SERVICE } }, '0');
  const small = call('PUT', { version: 3, services: { s: SERVICE } }, '0');
  const replica = new Replica(true);
  const limitBytes = 2 * large.body.length;
  const calls = new OperatorCalls(replica, 8_306, new Set(), NO_LATENCIES, SILENT_EVENT_LOG, limitBytes);
  const answers = await Promise.all(
    [large, large, large, small].map(async (sent) => await calls.handle(sent)),
  );
  t.deepEqual(
    answers.map(({ status }) => status),
    [200, 200, 503, 503],
  );
  t.deepEqual(answers[2]?.body, { error: 'busy' });
  t.truthy(answers[2]?.headers?.['retry-after']);
  t.is((await calls.handle(small)).status, 200, 'there is room again');
  const larger = new OperatorCalls(replica, 8_306, new Set(), NO_LATENCIES, SILENT_EVENT_LOG, 10);
  t.is((await larger.handle(large)).status, 200, 'a change that is alone');
  t.is((await larger.handle(call('PUT', '{', '0'))).status, 400);
  t.is((await larger.handle(large)).status, 200, 'after one that is not JSON');
});

const EVACUATIONS: readonly [string, string, number][] = [
  ['POST', '/evacuation/z-1', 200],
  ['DELETE', '/evacuation/z-1', 200],
  ['POST', '/evacuation/z%2D1', 200],
  ['POST', '/evacuation/elsewhere', 404],
  ['POST', '/evacuation/', 404],
  ['POST', '/evacuation/%', 404],
  ['PUT', '/evacuation/z-1', 405],
];

for (const [method, path, status] of EVACUATIONS) {
  test(`evacuation: ${method} ${path} is answered ${status}`, async (t) => {
    const replica = new Replica(true);
    const calls = new OperatorCalls(replica, 8_306, new Set(['z-1']));
    t.is((await calls.handle({ method, path, headers: {}, body: '' })).status, status);
    const evacuated = method === 'POST';
    const command = { kind: 'set-evacuation', zone: 'z-1', evacuated } as const;
    t.deepEqual(replica.proposed, status === 200 ? [command] : []);
  });
}

test('evacuation: an unknown outcome is not acknowledged, and a follower redirects to the leader', async (t) => {
  const replica = new Replica(true);
  replica.accepts = false;
  const zones = new Set(['z-1']);
  const begin: Call = { method: 'POST', path: '/evacuation/z-1', headers: {}, body: '' };
  t.is((await new OperatorCalls(replica, 8_306, zones).handle(begin)).status, 503);
  const answer = await new OperatorCalls(new Replica(false), 8_306, zones).handle(begin);
  t.is(answer.status, 307);
  t.is(answer.headers?.['location'], 'http://10.0.0.2:8306/evacuation/z-1');
});

const QUARANTINE: readonly [string, string, number, DirectoryCommand['kind'] | null][] = [
  ['POST', '/quarantine/abc_-9', 200, 'reopen-request'],
  ['DELETE', '/quarantine/abc_-9', 200, 'forget-request'],
  ['POST', '/quarantine/', 404, null],
  ['POST', '/quarantine/a%2Fb', 404, null],
  ['PUT', '/quarantine/abc', 405, null],
  ['GET', '/quarantine', 503, null],
];

for (const [method, path, status, kind] of QUARANTINE) {
  test(`quarantine: ${method} ${path} is answered ${status}`, async (t) => {
    const replica = new Replica(true);
    const calls = new OperatorCalls(replica, 8_306, new Set());
    t.is((await calls.handle({ method, path, headers: {}, body: '' })).status, status);
    t.is(replica.proposed[0]?.kind ?? null, kind);
  });
}
