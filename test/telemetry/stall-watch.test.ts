import test from 'ava';
import { SILENT_EVENT_LOG, type EventFields } from '../../src/telemetry/event-log.js';
import { watchStalls } from '../../src/telemetry/stall-watch.js';
import { ManualTime } from '../sidecar/manual-runtime.js';

test('a stalled process logs the duration of the stall, and a running one logs nothing', (t) => {
  const time = new ManualTime();
  const logged: EventFields[] = [];
  const cancel = watchStalls(time.runtime, {
    ...SILENT_EVENT_LOG,
    event: (_name, fields) => logged.push(fields),
  });
  time.pass(1_000);
  t.deepEqual(logged, []);
  time.nowMs += 900;
  time.pass(100);
  t.is(logged.length, 1);
  t.true(Number(logged[0]?.['stalledMs']) >= 800);
  cancel();
  time.nowMs += 5_000;
  time.pass(100);
  t.is(logged.length, 1);
});
