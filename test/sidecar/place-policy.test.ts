import test from 'ava';
import {
  lateReserve,
  shortWorkReserve,
  comesTooLateForLink,
  isTooLateToBegin,
  lateOrder,
  lateWaitMs,
  linkTimeMs,
  placeOrder,
  placeRank,
  placeWaitMs,
  spareMs,
  type PlaceClaim,
} from '../../src/sidecar/place-policy.js';

const MEAN_MS = 100;
const NOW_MS = 10_000;

function claim(parts: Partial<PlaceClaim> = {}): PlaceClaim {
  return { remainingMs: 2_000, patienceMs: 75, targetLeftMs: 300, spentMs: 0, ...parts };
}

/** Pairs of requests in the order in which they get slots. */
const ORDERS: readonly { name: string; claims: readonly [PlaceClaim, PlaceClaim] }[] = [
  {
    name: 'the request whose target is due first',
    claims: [claim({ targetLeftMs: 200 }), claim({ targetLeftMs: 300 })],
  },
  {
    name: 'a first attempt before a retry that can meet its target only as counted from the retry',
    claims: [claim({ targetLeftMs: 300 }), claim({ targetLeftMs: 200, spentMs: 250 })],
  },
  {
    name: 'a retry that can meet its target as counted from the first attempt before a first attempt',
    claims: [claim({ targetLeftMs: 300, spentMs: 100 }), claim({ targetLeftMs: 300 })],
  },
  {
    name: 'a retry before a late request',
    claims: [claim({ spentMs: 900 }), claim({ targetLeftMs: 120 })],
  },
];

for (const { name, claims } of ORDERS) {
  test(`first comes ${name}`, (t) => {
    const [first, second] = claims;
    t.true(placeOrder(first, NOW_MS, MEAN_MS) < placeOrder(second, NOW_MS, MEAN_MS));
  });
}

test('a request waits while it can still be answered in time', (t) => {
  t.is(spareMs(claim(), MEAN_MS), 170);
  t.is(placeWaitMs(claim(), 0, MEAN_MS), 170);
  t.is(placeWaitMs(claim(), 50, MEAN_MS), 120);
});

test('a late request waits for a minimum time, and never beyond its deadline', (t) => {
  t.is(placeWaitMs(claim({ targetLeftMs: 50, patienceMs: 0 }), 0, MEAN_MS), 20);
  t.is(placeWaitMs(claim({ targetLeftMs: 50, patienceMs: 60 }), 0, MEAN_MS), 60);
  t.is(placeWaitMs(claim({ remainingMs: 15 }), 0, MEAN_MS), 0, 'no time is left for the work');
  t.is(placeWaitMs(claim({ remainingMs: 115 }), 0, MEAN_MS), 15);
});

test('a request whose answer the link backlog would make late is not started', (t) => {
  t.true(comesTooLateForLink(claim({ targetLeftMs: 120 }), 400, MEAN_MS));
  t.false(comesTooLateForLink(claim({ targetLeftMs: 200 }), 400, MEAN_MS));
  t.false(
    comesTooLateForLink(claim({ targetLeftMs: 120 }), 0, MEAN_MS),
    'a free link is used even for a late answer',
  );
});

test('a late request is queued behind all others and waits until no time is left for its work', (t) => {
  const late = claim({ remainingMs: 1_000, targetLeftMs: 300 });
  t.true(lateOrder(late, NOW_MS) > placeOrder(claim({ spentMs: 900 }), NOW_MS, MEAN_MS));
  t.is(lateWaitMs(late, 400, MEAN_MS), 400);
  t.is(lateWaitMs(late, 900, MEAN_MS), 0);
});

for (const { name, meanMs, longestMs, rank } of [
  { name: 'short work goes before every priority', meanMs: 50, longestMs: 150, rank: -1 },
  { name: 'long work goes by its priority', meanMs: 100, longestMs: 150, rank: 2 },
  { name: 'the longest work goes by its priority', meanMs: 150, longestMs: 150, rank: 2 },
]) {
  test(name, (t) => {
    t.is(placeRank(2, meanMs, longestMs), rank);
  });
}

test('reserves are shares of the slots and leave at least one slot usable', (t) => {
  t.deepEqual([1, 2, 4, 10, 18].map(lateReserve), [0, 1, 1, 2, 4]);
  t.deepEqual([1, 2, 4, 5, 10, 18].map(shortWorkReserve), [0, 0, 0, 0, 1, 1]);
});

test('work that the deadline would interrupt is not started', (t) => {
  t.true(isTooLateToBegin(0.5, 0));
  t.true(isTooLateToBegin(50, MEAN_MS));
  t.false(isTooLateToBegin(51, MEAN_MS));
});

test('the time on the network link includes a margin, and is 0 without a link time', (t) => {
  t.is(linkTimeMs(100), 160);
  t.is(linkTimeMs(0), 0);
});
