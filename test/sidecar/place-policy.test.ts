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

/** Claims in the order in which they get places. */
const ORDERS: readonly { name: string; claims: readonly [PlaceClaim, PlaceClaim] }[] = [
  { name: 'whose time ends first', claims: [claim({ targetLeftMs: 200 }), claim({ targetLeftMs: 300 })] },
  {
    name: 'a first try before one that can only be in time counted from its second',
    claims: [claim({ targetLeftMs: 300 }), claim({ targetLeftMs: 200, spentMs: 250 })],
  },
  {
    name: 'a second try that can still be in time from the first before a fresh one',
    claims: [claim({ targetLeftMs: 300, spentMs: 100 }), claim({ targetLeftMs: 300 })],
  },
  {
    name: 'a second try before one that will be late',
    claims: [claim({ spentMs: 900 }), claim({ targetLeftMs: 120 })],
  },
];

for (const { name, claims } of ORDERS) {
  test(`first comes ${name}`, (t) => {
    const [first, second] = claims;
    t.true(placeOrder(first, NOW_MS, MEAN_MS) < placeOrder(second, NOW_MS, MEAN_MS));
  });
}

test('a request waits while it can be answered in time afterwards', (t) => {
  t.is(spareMs(claim(), MEAN_MS), 170);
  t.is(placeWaitMs(claim(), 0, MEAN_MS), 170);
  t.is(placeWaitMs(claim(), 50, MEAN_MS), 120);
});

test('one that will be late anyway waits for a moment, and never beyond its time', (t) => {
  t.is(placeWaitMs(claim({ targetLeftMs: 50, patienceMs: 0 }), 0, MEAN_MS), 20);
  t.is(placeWaitMs(claim({ targetLeftMs: 50, patienceMs: 60 }), 0, MEAN_MS), 60);
  t.is(placeWaitMs(claim({ remainingMs: 15 }), 0, MEAN_MS), 0, 'no time is left for its work');
  t.is(placeWaitMs(claim({ remainingMs: 115 }), 0, MEAN_MS), 15);
});

test('an answer that the queue for the link would make late is not begun', (t) => {
  t.true(comesTooLateForLink(claim({ targetLeftMs: 120 }), 400, MEAN_MS));
  t.false(comesTooLateForLink(claim({ targetLeftMs: 200 }), 400, MEAN_MS));
  t.false(comesTooLateForLink(claim({ targetLeftMs: 120 }), 0, MEAN_MS), 'a free link is used all the same');
});

test('one that will be late goes behind all others, and waits until no time is left for its work', (t) => {
  const late = claim({ remainingMs: 1_000, targetLeftMs: 300 });
  t.true(lateOrder(late, NOW_MS) > placeOrder(claim({ spentMs: 900 }), NOW_MS, MEAN_MS));
  t.is(lateWaitMs(late, 400, MEAN_MS), 400);
  t.is(lateWaitMs(late, 900, MEAN_MS), 0);
});

for (const { name, meanMs, longestMs, rank } of [
  { name: 'short work goes before every rank', meanMs: 50, longestMs: 150, rank: -1 },
  { name: 'long work goes by its rank', meanMs: 100, longestMs: 150, rank: 2 },
  { name: 'the longest work by its rank', meanMs: 150, longestMs: 150, rank: 2 },
]) {
  test(name, (t) => {
    t.is(placeRank(2, meanMs, longestMs), rank);
  });
}

test('reserves are parts of the places, and leave at least one place to use', (t) => {
  t.deepEqual([1, 2, 4, 10, 18].map(lateReserve), [0, 1, 1, 2, 4]);
  t.deepEqual([1, 2, 4, 5, 10, 18].map(shortWorkReserve), [0, 0, 0, 0, 1, 1]);
});

test('work that its deadline would break off is not begun', (t) => {
  t.true(isTooLateToBegin(0.5, 0));
  t.true(isTooLateToBegin(50, MEAN_MS));
  t.false(isTooLateToBegin(51, MEAN_MS));
});

test('the time on the network link is reckoned with a margin, and none where there is no link', (t) => {
  t.is(linkTimeMs(100), 160);
  t.is(linkTimeMs(0), 0);
});
