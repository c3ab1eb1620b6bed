import test from 'ava';
import { ProcessIntervals } from '../../src/runtime/process-intervals.js';
import { ManualTime } from '../sidecar/manual-runtime.js';

/** Creates intervals on manual time and a counter of wake-ups. */
function setUp(): { time: ManualTime; intervals: ProcessIntervals; wakeUps: () => number } {
  const time = new ManualTime();
  let count = 0;
  const after = (ms: number, callback: () => void): (() => void) => {
    return time.runtime.after(ms, () => {
      count += 1;
      callback();
    });
  };
  return { time, intervals: new ProcessIntervals({ nowMs: () => time.nowMs, after }), wakeUps: () => count };
}

test('intervals that start at different times share their wake-ups', (t) => {
  const { time, intervals, wakeUps } = setUp();
  const calls = Array.from({ length: 40 }, () => 0);
  for (const at of calls.keys()) {
    intervals.every(at % 2 === 0 ? 100 : 200, () => {
      calls[at] = (calls[at] ?? 0) + 1;
    });
    time.pass(7.3);
  }
  time.pass(300);
  const [wakeUpsBefore, callsBefore] = [wakeUps(), [...calls]];
  time.pass(2_000);
  t.is(wakeUps() - wakeUpsBefore, 20);
  for (const [at, count] of calls.entries()) t.is(count - (callsBefore[at] ?? 0), at % 2 === 0 ? 20 : 10);
});

test('the first call comes after between half and one and a half times the interval', (t) => {
  for (const startMs of [0, 1, 49, 50, 51, 99]) {
    const { time, intervals } = setUp();
    time.pass(startMs);
    const begunMs = time.nowMs;
    let calledMs: number | null = null;
    intervals.every(100, () => (calledMs ??= time.nowMs));
    time.pass(200);
    t.true(
      calledMs !== null && calledMs - begunMs >= 50 && calledMs - begunMs <= 150,
      `${startMs}: ${calledMs}`,
    );
  }
});

test('an ended interval is not called again, even if another interval ends it in the same wake-up', (t) => {
  const { time, intervals } = setUp();
  let calls = 0;
  intervals.every(10, () => {
    cancel();
  });
  const cancel = intervals.every(10, () => (calls += 1));
  time.pass(100);
  t.is(calls, 0);
});

test('an interval that is started during a call continues', (t) => {
  const { time, intervals } = setUp();
  let calls = 0;
  const cancel = intervals.every(10, () => {
    cancel();
    intervals.every(10, () => (calls += 1));
  });
  time.pass(100);
  t.true(calls >= 7, `${calls}`);
});

test('after a stall each interval is called once', (t) => {
  const { time, intervals } = setUp();
  let calls = 0;
  intervals.every(10, () => (calls += 1));
  time.nowMs += 500;
  time.pass(1);
  t.is(calls, 1);
});
