import test from 'ava';
import {
  lateReserve,
  shortWorkReserve,
  isTooLateToStart,
  lateQueueOrder,
  maxLateWaitMs,
  queueOrder,
  queueRank,
  returnOrder,
  maxSlotWaitMs,
  slackTimeMs,
  type RequestTimeLimits,
} from '../../src/sidecar/slot-policy.js';

const MEAN_MS = 100;
const NOW_MS = 10_000;

function limits(parts: Partial<RequestTimeLimits> = {}): RequestTimeLimits {
  return { remainingMs: 2_000, patienceMs: 75, targetLeftMs: 300, spentMs: 0, ...parts };
}

/** Pairs of requests in the order in which they get slots. */
const ORDERS: readonly { name: string; pair: readonly [RequestTimeLimits, RequestTimeLimits] }[] = [
  {
    name: 'the request whose target is due first',
    pair: [limits({ targetLeftMs: 200 }), limits({ targetLeftMs: 300 })],
  },
  {
    name: 'a first attempt before a retry that can meet its target only as counted from the retry',
    pair: [limits({ targetLeftMs: 300 }), limits({ targetLeftMs: 200, spentMs: 250 })],
  },
  {
    name: 'a retry that can meet its target as counted from the first attempt before a first attempt',
    pair: [limits({ targetLeftMs: 300, spentMs: 100 }), limits({ targetLeftMs: 300 })],
  },
  {
    name: 'a retry before a late request',
    pair: [limits({ spentMs: 900 }), limits({ targetLeftMs: 120 })],
  },
];

for (const { name, pair } of ORDERS) {
  test(`first comes ${name}`, (t) => {
    const [first, second] = pair;
    t.true(queueOrder(first, NOW_MS, MEAN_MS) < queueOrder(second, NOW_MS, MEAN_MS));
  });
}

test('a request with reserved room goes before all others, the one whose first attempt is older first', (t) => {
  const first = returnOrder(limits({ spentMs: 900 }), NOW_MS);
  t.true(first < returnOrder(limits({ spentMs: 400 }), NOW_MS));
  t.true(
    returnOrder(limits({ spentMs: 400 }), NOW_MS) <
      queueOrder(limits({ targetLeftMs: 200 }), NOW_MS, MEAN_MS),
  );
});

test('a request waits while it can still be answered in time', (t) => {
  t.is(slackTimeMs(limits(), MEAN_MS), 170);
  t.is(maxSlotWaitMs(limits(), 0, MEAN_MS), 170);
  t.is(maxSlotWaitMs(limits(), 50, MEAN_MS), 120);
});

test('a late request waits for a minimum time, and never beyond its deadline', (t) => {
  t.is(maxSlotWaitMs(limits({ targetLeftMs: 50, patienceMs: 0 }), 0, MEAN_MS), 20);
  t.is(maxSlotWaitMs(limits({ targetLeftMs: 50, patienceMs: 60 }), 0, MEAN_MS), 60);
  t.is(maxSlotWaitMs(limits({ remainingMs: 15 }), 0, MEAN_MS), 0, 'no time is left for the work');
  t.is(maxSlotWaitMs(limits({ remainingMs: 115 }), 0, MEAN_MS), 15);
});

test('a late request is queued behind all others and waits until no time is left for its work', (t) => {
  const late = limits({ remainingMs: 1_000, targetLeftMs: 300 });
  t.true(lateQueueOrder(late, NOW_MS) > queueOrder(limits({ spentMs: 900 }), NOW_MS, MEAN_MS));
  t.is(maxLateWaitMs(late, 400, MEAN_MS), 400);
  t.is(maxLateWaitMs(late, 900, MEAN_MS), 0);
});

for (const { name, meanMs, longestMs, rank } of [
  { name: 'short work goes before every priority', meanMs: 50, longestMs: 150, rank: -1 },
  { name: 'long work goes by its priority', meanMs: 100, longestMs: 150, rank: 2 },
  { name: 'the longest work goes by its priority', meanMs: 150, longestMs: 150, rank: 2 },
]) {
  test(name, (t) => {
    t.is(queueRank(2, meanMs, longestMs), rank);
  });
}

test('reserves are shares of the slots and leave at least one slot usable', (t) => {
  t.deepEqual([1, 2, 4, 10, 18].map(lateReserve), [0, 1, 1, 2, 4]);
  t.deepEqual([1, 2, 4, 5, 10, 18].map(shortWorkReserve), [0, 0, 0, 0, 1, 1]);
});

test('work that the deadline would interrupt is not started', (t) => {
  t.true(isTooLateToStart(0.5, 0));
  t.true(isTooLateToStart(50, MEAN_MS));
  t.false(isTooLateToStart(51, MEAN_MS));
});
