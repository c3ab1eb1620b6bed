import test from 'ava';
import { UsualDeadline } from '../../src/sidecar/usual-deadline.js';

function seen(...deadlines: number[]): UsualDeadline {
  const usual = new UsualDeadline();
  for (const deadlineMs of deadlines) usual.spentMs(deadlineMs);
  return usual;
}

function times(count: number, deadlineMs: number): number[] {
  return Array.from({ length: count }, () => deadlineMs);
}

test('nothing is concluded from a few requests', (t) => {
  t.is(seen(...times(10, 2_000)).spentMs(500), 0);
});

test('a first try has spent nothing, also when a ms was lost on the way', (t) => {
  const usual = seen(...times(30, 2_000));
  t.is(usual.spentMs(2_000), 0);
  t.is(usual.spentMs(1_999), 0);
});

test('a caller that comes back has spent the difference', (t) => {
  t.is(seen(...times(30, 2_000)).spentMs(1_850), 150);
});

test('a few callers that wait for longer do not make the others late', (t) => {
  const usual = seen(...times(40, 2_000), ...times(5, 5_000));
  t.is(usual.spentMs(2_000), 0);
  t.is(usual.spentMs(5_000), 0);
});

test('many different later tries do not hide the usual deadline', (t) => {
  const later = Array.from({ length: 60 }, (_, at) => 700 + at * 21);
  t.is(seen(...times(50, 2_000), ...later).spentMs(1_500), 500);
});

test('deadlines that have nothing in common tell nothing', (t) => {
  const mixed = Array.from({ length: 100 }, (_, at) => 500 + at * 25);
  t.is(seen(...mixed).spentMs(600), 0);
});

test('a new usual deadline is learnt', (t) => {
  t.is(seen(...times(128, 2_000), ...times(128, 1_000)).spentMs(900), 100);
});

test('where most requests are second and third tries, the first tries still tell', (t) => {
  const tries = Array.from({ length: 32 }, () => [2_000, 1_660, 1_660, 1_340]).flat();
  t.is(seen(...tries).spentMs(1_340), 660);
  const spread = Array.from({ length: 32 }, (_, at) => [
    2_000,
    1_660 - at * 21,
    1_340 - at * 21,
    900 - at * 21,
  ]);
  t.is(seen(...spread.flat()).spentMs(1_340), 660);
});
