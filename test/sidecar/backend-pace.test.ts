/** Estimate of the pace of a back end, and handling of invalid reports. */
import test from 'ava';
import { PLATFORM_HEADERS } from '../../platform/wire-names.js';
import { BackendPace, clampPace, decayedPace } from '../../src/sidecar/backend-pace.js';
import { BackendView } from '../../src/sidecar/backend-view.js';

test('a recent report is used as it is, and an old one decays to the mean', (t) => {
  const pace = new BackendPace();
  for (let told = 0; told < 200; told += 1) pace.record(told % 2 === 0 ? 1 : 2, told);
  pace.record(3, 1_000);
  const { now, mean } = pace.at(1_000);
  t.is(now, 3);
  t.true(mean > 1.4 && mean < 1.7);
  t.true(Math.abs(pace.at(3_000).now - mean) < 0.01);
  pace.forget();
  t.deepEqual(pace.at(3_000), { now: 1, mean: 1 });
});

test('a report with a negative age counts as new', (t) => {
  t.is(decayedPace({ now: 3, mean: 1 }, -5), 3);
});

const READ: readonly [string, number | null][] = [
  ['1,0,4,150', 1.5],
  ['1,0,4', null],
  ['1,0,4, 50', 0.5],
  ['1,0,4,', NaN],
  ['1,0,4,slow', NaN],
  ['', NaN],
  ['1,2', NaN],
];

for (const [value, pace] of READ) {
  test(`a load header of "${value}" reports the pace ${String(pace)}`, (t) => {
    t.is(PLATFORM_HEADERS.readPace(value), pace);
  });
}

test('paces are clamped, and values that are not finite numbers are rejected', (t) => {
  t.is(clampPace(-4), 0.1);
  t.is(clampPace(0), 0.1);
  t.is(clampPace(1e9), 20);
  t.is(clampPace(NaN), null);
  t.is(clampPace(Infinity), null);
});

test('a back end that is slow now is expected to take longer, in proportion to the work of the route', (t) => {
  const status = {
    instance: 'a',
    running: 0,
    waiting: 0,
    slots: 4,
    serviceMs: 90,
    accepting: true,
    sendWaitMs: 0,
    pacing: null,
    meanPace: 1,
  };
  const slow = new BackendView();
  slow.recordStatus({ ...status, pace: 3 }, 0);
  const usual = new BackendView();
  usual.recordStatus({ ...status, serviceMs: 30, pace: 1 }, 0);
  t.is(Math.round(slow.expectedMs(4, 0, 20)), 60);
  t.is(Math.round(usual.expectedMs(4, 0, 20)), 20);
  t.true(slow.expectedMs(4, 2_000, 20) < 21, 'slow phases pass');
});
