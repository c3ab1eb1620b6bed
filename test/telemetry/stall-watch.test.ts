import test from 'ava';
import { SILENT_EVENT_LOG, type EventFields } from '../../src/telemetry/event-log.js';
import { watchStalls } from '../../src/telemetry/stall-watch.js';
import { ManualTime } from '../sidecar/manual-runtime.js';

test('a stalled process logs the duration of the stall, and a running one logs nothing', (t) => {
  const time = new ManualTime();
  const logged: EventFields[] = [];
  const delay = watchStalls(time.runtime, {
    ...SILENT_EVENT_LOG,
    event: (_name, fields) => logged.push(fields),
  });
  time.pass(1_000);
  t.deepEqual(logged, []);
  time.nowMs += 900;
  time.pass(100);
  t.is(logged.length, 1);
  t.true(Number(logged[0]?.['stalledMs']) >= 800);
  delay.stop();
  time.nowMs += 5_000;
  time.pass(100);
  t.is(logged.length, 1);
});

test('the longest delay counts as recent for a while, also before it has ended, and by phase of life', (t) => {
  const time = new ManualTime();
  const delay = watchStalls(time.runtime, SILENT_EVENT_LOG);
  time.pass(1_000);
  t.is(delay.recentMs, 0);
  time.nowMs += 600;
  t.true(delay.recentMs >= 500);
  time.pass(100);
  t.true(delay.recentMs >= 500);
  delay.phase = 'running';
  time.pass(3_000);
  t.is(delay.recentMs, 0);
  t.is(delay.counts.get('starting 250'), 1);
  t.true((delay.counts.get('running 0') ?? 0) > 20);
  delay.stop();
});
