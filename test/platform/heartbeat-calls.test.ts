/** Parsing of heartbeats and leaves from the platform's back ends. */
import test from 'ava';
import { PATHS } from '../../platform/wire-names.js';
import type { BackendHeartbeat } from '../../src/sidecar/backend-report.js';
import { readLeave, readHeartbeat, handleBackendCall, parseColdMs } from '../../platform/heartbeat-calls.js';

const INFO = { service: 's', version: 'v1', zone: 'z', slots: 6 };
const STATUS = { state: 'ready', call_seq: 4, cold_left_s: 0 };

test('a heartbeat is converted to the form of the sidecar', (t) => {
  const body = {
    address: '10.0.0.1:1',
    info: INFO,
    status: STATUS,
    holds: [[0, 9, 7]],
    released: [[10, 19, 'h']],
  };
  t.deepEqual(readHeartbeat('i-1', JSON.stringify(body)), {
    id: 'i-1',
    bornMs: null,
    service: 's',
    zone: 'z',
    slots: 6,
    condition: 'ready',
    version: 'v1',
    sequence: 4,
    coldLeftMs: 0,
    holds: [{ from: 0, to: 9, fence: 7 }],
    released: [{ from: 10, to: 19, handover: 'h' }],
  });
});

test('a heartbeat without rows and with unknown fields is accepted', (t) => {
  const body = { info: { ...INFO, later: 1 }, status: { ...STATUS, state: 'draining' }, later: {} };
  t.like(readHeartbeat('i-1', JSON.stringify(body)), { condition: 'draining', holds: null, released: [] });
});

const INVALID: readonly [string, string][] = [
  ['cut short', '{"info":{'],
  ['no status', JSON.stringify({ info: INFO })],
  ['an unknown state', JSON.stringify({ info: INFO, status: { ...STATUS, state: 'odd' } })],
  ['no slots', JSON.stringify({ info: { ...INFO, slots: 0 }, status: STATUS })],
  ['rows of another shape', JSON.stringify({ info: INFO, status: STATUS, holds: [[1, 2]] })],
];

test.serial('a call of very many values is invalid and is not parsed; long texts are accepted', (t) => {
  const parse = JSON.parse;
  const parsed: number[] = [];
  JSON.parse = (text: string): unknown => {
    parsed.push(text.length);
    return parse(text);
  };
  t.teardown(() => {
    JSON.parse = parse;
  });
  const rest = `"info":${JSON.stringify(INFO)},"status":${JSON.stringify(STATUS)}`;
  const dense = `{${rest},"holds":[${'1,'.repeat(2_500_000)}1]}`;
  t.is(readHeartbeat('i-1', dense), null);
  t.is(readLeave('i-1', dense), null);
  t.deepEqual(parsed, []);
  const handover = 'a,[{'.repeat(500_000);
  const sparse = `{${rest},"released":[[0,9,${JSON.stringify(handover)}]]}`;
  t.is(readHeartbeat('i-1', sparse)?.released[0]?.handover, handover);
});

for (const [name, body] of INVALID) {
  test(`invalid: ${name}`, (t) => {
    t.is(readHeartbeat('i-1', body), null);
  });
}

const COLD_TIMES: readonly [unknown, number | null][] = [
  [2.5, 2_500],
  ['1.5', 1_500],
  [0, 0],
  [-3, 0],
  [1e9, 60_000],
  [undefined, null],
  [null, null],
  ['', null],
  ['soon', null],
  [Infinity, null],
  [NaN, null],
  [{}, null],
];

for (const [reported, coldLeftMs] of COLD_TIMES) {
  test(`a cold-start time of ${String(reported)} is read as ${String(coldLeftMs)} ms`, (t) => {
    t.is(parseColdMs(reported, 1_000), coldLeftMs);
  });
}

const VALID = { address: '10.0.0.1:1', born: 1_700_000_000_000, info: INFO, status: STATUS };

type Part = Readonly<Record<string, unknown>>;

function without(part: Part, field: string): Part {
  return Object.fromEntries(Object.entries(part).filter(([name]) => name !== field));
}

/** Heartbeats of faulty back ends: valid except for one field, which is missing or has another type, or not an object. */
const INVALID_HEARTBEATS: readonly [string, string][] = [
  ...['info', 'status'].map((field): [string, string] => [
    `without ${field}`,
    JSON.stringify(without(VALID, field)),
  ]),
  ...['service', 'slots'].map((field): [string, string] => [
    `without ${field}`,
    JSON.stringify({ ...VALID, info: without(INFO, field) }),
  ]),
  ...['state', 'call_seq'].map((field): [string, string] => [
    `without ${field}`,
    JSON.stringify({ ...VALID, status: without(STATUS, field) }),
  ]),
  ['a service of another type', JSON.stringify({ ...VALID, info: { ...INFO, service: 3 } })],
  ['a zone of another type', JSON.stringify({ ...VALID, info: { ...INFO, zone: 3 } })],
  ['a version of another type', JSON.stringify({ ...VALID, info: { ...INFO, version: {} } })],
  ['slots as a text', JSON.stringify({ ...VALID, info: { ...INFO, slots: '6' } })],
  ['fractional slots', JSON.stringify({ ...VALID, info: { ...INFO, slots: 1.5 } })],
  ['an unknown state', JSON.stringify({ ...VALID, status: { ...STATUS, state: 'resting' } })],
  ['a sequence number as a text', JSON.stringify({ ...VALID, status: { ...STATUS, call_seq: '4' } })],
  ['a fractional sequence number', JSON.stringify({ ...VALID, status: { ...STATUS, call_seq: 4.5 } })],
  ['a start time as a text', JSON.stringify({ ...VALID, born: '1700000000000' })],
  ['a fractional start time', JSON.stringify({ ...VALID, born: 1.5 })],
  ['a start time of null', JSON.stringify({ ...VALID, born: null })],
  ['rows of another type', JSON.stringify({ ...VALID, holds: 'all' })],
  ['released rows of another type', JSON.stringify({ ...VALID, released: [[0, 1, 2]] })],
  ['a service that is not named here', JSON.stringify({ ...VALID, info: { ...INFO, service: 'other' } })],
  ['a list', '[]'],
  ['a number', '7'],
  ['an empty body', ''],
  ['bytes that are not text', Buffer.from([0xff, 0xfe, 0x00, 0x7b]).toString('latin1')],
];

function instanceCall(method: string, body: string): Parameters<typeof handleBackendCall>[1] {
  return { method, path: `${PATHS.instances}i-1`, headers: {}, body };
}

for (const [name, body] of INVALID_HEARTBEATS) {
  test(`an invalid heartbeat is refused and does not affect an accepted one: ${name}`, async (t) => {
    const accepted: string[] = [];
    const node = {
      namesService: (service: string) => service === INFO.service,
      heartbeat: (heartbeat: BackendHeartbeat) => {
        accepted.push(`${heartbeat.id} ${String(heartbeat.bornMs)}`);
        return Promise.resolve(null);
      },
      leave: () => Promise.resolve(),
    };
    t.is((await handleBackendCall(node, instanceCall('PUT', JSON.stringify(VALID)))).status, 200);
    t.is((await handleBackendCall(node, instanceCall('PUT', body))).status, 400);
    t.deepEqual(accepted, ['i-1 1700000000000']);
  });
}

const LEAVES: readonly [string, number | null | undefined][] = [
  ['', null],
  ['{"born":1700000000000}', 1_700_000_000_000],
  ['{"later":1}', null],
  ['{"born":"now"}', undefined],
  ['{"born":', undefined],
];

for (const [body, bornMs] of LEAVES) {
  test(`a leave with the body ${body === '' ? '(empty)' : body}`, (t) => {
    t.deepEqual(readLeave('i-1', body), bornMs === undefined ? null : { id: 'i-1', bornMs });
  });
}

for (const path of [`${PATHS.instances}%zz`, `${PATHS.instances}%`, PATHS.instances]) {
  test(`a call whose path names no instance is refused and does not end the daemon: ${path}`, async (t) => {
    const node = {
      namesService: () => true,
      heartbeat: () => Promise.resolve(null),
      leave: () => Promise.resolve(),
    };
    for (const method of ['PUT', 'DELETE']) {
      const call = { method, path, headers: {}, body: method === 'PUT' ? JSON.stringify(VALID) : '' };
      t.is((await handleBackendCall(node, call)).status, 400);
    }
  });
}
