import test from 'ava';
import { SpentTimeEstimator } from '../../src/sidecar/spent-time-estimator.js';

function estimatorAfter(...deadlines: number[]): SpentTimeEstimator {
  const estimator = new SpentTimeEstimator();
  for (const deadlineMs of deadlines) estimator.spentMs(deadlineMs);
  return estimator;
}

function times(count: number, deadlineMs: number): number[] {
  return Array.from({ length: count }, () => deadlineMs);
}

test('no estimate is made from a few requests', (t) => {
  t.is(estimatorAfter(...times(10, 2_000)).spentMs(500), 0);
});

test('a first attempt has spent no time, even if its deadline is a millisecond shorter', (t) => {
  const usual = estimatorAfter(...times(30, 2_000));
  t.is(usual.spentMs(2_000), 0);
  t.is(usual.spentMs(1_999), 0);
});

test('a retry has spent the difference to the usual deadline', (t) => {
  t.is(estimatorAfter(...times(30, 2_000)).spentMs(1_850), 150);
});

test('a few callers with longer deadlines do not make the others count as retries', (t) => {
  const usual = estimatorAfter(...times(40, 2_000), ...times(5, 5_000));
  t.is(usual.spentMs(2_000), 0);
  t.is(usual.spentMs(5_000), 0);
});

test('many different deadlines of retries do not hide the usual deadline', (t) => {
  const later = Array.from({ length: 60 }, (_, at) => 700 + at * 21);
  t.is(estimatorAfter(...times(50, 2_000), ...later).spentMs(1_500), 500);
});

test('no estimate is made from deadlines without a frequent value', (t) => {
  const mixed = Array.from({ length: 100 }, (_, at) => 500 + at * 25);
  t.is(estimatorAfter(...mixed).spentMs(600), 0);
});

test('the estimate follows a changed usual deadline', (t) => {
  t.is(estimatorAfter(...times(128, 2_000), ...times(128, 1_000)).spentMs(900), 100);
});

test('first attempts are recognized even if most requests are second and third attempts', (t) => {
  const tries = Array.from({ length: 32 }, () => [2_000, 1_660, 1_660, 1_340]).flat();
  t.is(estimatorAfter(...tries).spentMs(1_340), 660);
  const spread = Array.from({ length: 32 }, (_, at) => [
    2_000,
    1_660 - at * 21,
    1_340 - at * 21,
    900 - at * 21,
  ]);
  t.is(estimatorAfter(...spread.flat()).spentMs(1_340), 660);
});
