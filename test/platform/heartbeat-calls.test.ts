/** Heartbeats of the platform's endpoints. */
import test from 'ava';
import { readHeartbeat, toldColdMs } from '../../platform/heartbeat-calls.js';

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
