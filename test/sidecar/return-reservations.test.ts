/** Room that is reserved for callers who return when they were told to. */
import test from 'ava';
import { Random } from '../../lab/random.js';
import { ReturnReservations } from '../../src/sidecar/return-reservations.js';
import { keyedGateway, type GatewayCaller } from './gateway-replay.js';

const CAPACITY = { slots: 8, serviceMs: 200 };

function refused(requestId: string, maxDelayMs = 2_000): Parameters<ReturnReservations['reserve']>[0] {
  return { requestId, minDelayMs: 500, maxDelayMs };
}

/** Guards against callers that return all at once. */
test('times are given out one after another, within the bounds of each caller', (t) => {
  const returns = new ReturnReservations();
  t.deepEqual(
    ['a', 'b', 'c', 'a'].map((id) => returns.reserve(refused(id), CAPACITY, 0)),
    [500, 562.5, 625, 500],
    'a caller that is refused again keeps its time',
  );
  t.is(returns.reserve(refused('late', 650), CAPACITY, 0), null);
  t.is(returns.openCount, 3);
});

/** Guards against callers that take the room of others, and against room that is kept for nobody. */
for (const { name, requestId, spentMs, nowMs, honored, lapsed } of [
  { name: 'the same request at its time', requestId: 'a', spentMs: 0, nowMs: 510, honored: true, lapsed: 0 },
  {
    name: 'the same request before its time',
    requestId: 'a',
    spentMs: 0,
    nowMs: 300,
    honored: false,
    lapsed: 0,
  },
  {
    name: 'the same request after its time',
    requestId: 'a',
    spentMs: 0,
    nowMs: 630,
    honored: false,
    lapsed: 1,
  },
  {
    name: 'another id that has spent the time since',
    requestId: 'x',
    spentMs: 490,
    nowMs: 510,
    honored: true,
    lapsed: 0,
  },
  {
    name: 'another id that has spent less',
    requestId: 'x',
    spentMs: 200,
    nowMs: 510,
    honored: false,
    lapsed: 0,
  },
]) {
  test(`a reservation is ${honored ? '' : 'not '}honored for ${name}`, (t) => {
    const returns = new ReturnReservations();
    returns.reserve(refused('a'), CAPACITY, 0);
    t.is(returns.claim({ requestId, spentMs }, nowMs), honored);
    t.is(returns.claim({ requestId, spentMs }, nowMs), false, 'a reservation is used once');
    t.deepEqual(returns.ended, { honored: Number(honored), lapsed });
  });
}

test('reservations that lapse cost less capacity, down to a bound', (t) => {
  const returns = new ReturnReservations();
  const intervalMs = (nowMs: number): number => {
    const first = returns.reserve(refused(`first ${nowMs}`), CAPACITY, nowMs) ?? 0;
    return (returns.reserve(refused(`second ${nowMs}`), CAPACITY, nowMs) ?? 0) - first;
  };
  t.is(intervalMs(0), 62.5);
  for (let nowMs = 1_000; nowMs < 100_000; nowMs += 1_000) intervalMs(nowMs);
  t.is(Math.round(intervalMs(100_000)), 13);
});

/** Guards against callers that lose their turn to others because they wait as they were told. */
test('at 1.6 times the capacity, callers that wait are served about as often as those that retry at once', (t) => {
  const waiting: GatewayCaller = { retries: 1, waits: true };
  const hasty: GatewayCaller = { retries: 3, waits: false };
  const { served, asked, returns } = keyedGateway(new Random(1), [waiting, hasty]);
  const shares = served.map((count, caller) => count / (asked[caller] ?? 0));
  t.log(JSON.stringify({ served, asked, shares, ...returns }));
  t.true(Math.abs((shares[0] ?? 0) - (shares[1] ?? 0)) <= 0.05);
});
