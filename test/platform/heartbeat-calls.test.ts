/** Heartbeats of the platform's endpoints. */
import test from 'ava';
import { PATHS } from '../../platform/wire-names.js';
import type { BackendHeartbeat } from '../../src/sidecar/backend-report.js';
import { readGoodbye, readHeartbeat, takeBackendCall, toldColdMs } from '../../platform/heartbeat-calls.js';

const INFO = { service: 's', version: 'v1', zone: 'z', slots: 6 };
const STATUS = { state: 'ready', call_seq: 4, cold_left_s: 0 };

test('a heartbeat is read in the terms of the product', (t) => {
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

test('without rows, and with fields that are not known, it is read as well', (t) => {
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

for (const [name, body] of INVALID) {
  test(`invalid: ${name}`, (t) => {
    t.is(readHeartbeat('i-1', body), null);
  });
}

const COLD: readonly [unknown, number | null][] = [
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

for (const [told, coldLeftMs] of COLD) {
  test(`cold for ${String(told)} is read as ${String(coldLeftMs)} ms`, (t) => {
    t.is(toldColdMs(told, 1_000), coldLeftMs);
  });
}

const GOOD = { address: '10.0.0.1:1', born: 1_700_000_000_000, info: INFO, status: STATUS };

type Part = Readonly<Record<string, unknown>>;

function without(part: Part, field: string): Part {
  return Object.fromEntries(Object.entries(part).filter(([name]) => name !== field));
}

/** Heartbeats of another writer: a good one but for one field, which is missing or of another type. */
const OTHER_WRITERS: readonly [string, string][] = [
  ...['info', 'status'].map((field): [string, string] => [
    `without ${field}`,
    JSON.stringify(without(GOOD, field)),
  ]),
  ...['service', 'slots'].map((field): [string, string] => [
    `without ${field}`,
    JSON.stringify({ ...GOOD, info: without(INFO, field) }),
  ]),
  ...['state', 'call_seq'].map((field): [string, string] => [
    `without ${field}`,
    JSON.stringify({ ...GOOD, status: without(STATUS, field) }),
  ]),
  ['a service of another type', JSON.stringify({ ...GOOD, info: { ...INFO, service: 3 } })],
  ['a zone of another type', JSON.stringify({ ...GOOD, info: { ...INFO, zone: 3 } })],
  ['a version of another type', JSON.stringify({ ...GOOD, info: { ...INFO, version: {} } })],
  ['slots as a text', JSON.stringify({ ...GOOD, info: { ...INFO, slots: '6' } })],
  ['slots in parts', JSON.stringify({ ...GOOD, info: { ...INFO, slots: 1.5 } })],
  ['a state that has no name here', JSON.stringify({ ...GOOD, status: { ...STATUS, state: 'resting' } })],
  ['a count as a text', JSON.stringify({ ...GOOD, status: { ...STATUS, call_seq: '4' } })],
  ['a count in parts', JSON.stringify({ ...GOOD, status: { ...STATUS, call_seq: 4.5 } })],
  ['a start as a text', JSON.stringify({ ...GOOD, born: '1700000000000' })],
  ['a start in parts', JSON.stringify({ ...GOOD, born: 1.5 })],
  ['a start that is null', JSON.stringify({ ...GOOD, born: null })],
  ['rows of another type', JSON.stringify({ ...GOOD, holds: 'all' })],
  ['released rows of another type', JSON.stringify({ ...GOOD, released: [[0, 1, 2]] })],
  ['a service that is not named here', JSON.stringify({ ...GOOD, info: { ...INFO, service: 'other' } })],
  ['a list', '[]'],
  ['a number', '7'],
  ['nothing', ''],
  ['bytes that are no text', Buffer.from([0xff, 0xfe, 0x00, 0x7b]).toString('latin1')],
];

function callOf(method: string, body: string): Parameters<typeof takeBackendCall>[1] {
  return { method, path: `${PATHS.instances}i-1`, headers: {}, body };
}

for (const [name, body] of OTHER_WRITERS) {
  test(`a heartbeat of another writer is turned away, and a good one beside it holds: ${name}`, async (t) => {
    const taken: string[] = [];
    const node = {
      namesService: (service: string) => service === INFO.service,
      heartbeat: (heartbeat: BackendHeartbeat) => {
        taken.push(`${heartbeat.id} ${String(heartbeat.bornMs)}`);
        return Promise.resolve(null);
      },
      leave: () => Promise.resolve(),
    };
    t.is((await takeBackendCall(node, callOf('PUT', JSON.stringify(GOOD)))).status, 200);
    t.is((await takeBackendCall(node, callOf('PUT', body))).status, 400);
    t.deepEqual(taken, ['i-1 1700000000000']);
  });
}

const GOODBYES: readonly [string, number | null | undefined][] = [
  ['', null],
  ['{"born":1700000000000}', 1_700_000_000_000],
  ['{"later":1}', null],
  ['{"born":"now"}', undefined],
  ['{"born":', undefined],
];

for (const [body, bornMs] of GOODBYES) {
  test(`a goodbye with the body ${body === '' ? 'left out' : body}`, (t) => {
    t.deepEqual(readGoodbye('i-1', body), bornMs === undefined ? null : { id: 'i-1', bornMs });
  });
}
