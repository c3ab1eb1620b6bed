import test from 'ava';
import { SILENT_EVENT_LOG, type EventFields } from '../../src/telemetry/event-log.js';
import { watchStalls } from '../../src/telemetry/stall-watch.js';
import { ManualTime } from '../sidecar/manual-runtime.js';

test('a process that was kept from running tells for how long, and one that runs tells nothing', (t) => {
  const time = new ManualTime();
  const told: EventFields[] = [];
  const cancel = watchStalls(time.runtime, {
    ...SILENT_EVENT_LOG,
    event: (_name, fields) => told.push(fields),
  });
  time.pass(1_000);
  t.deepEqual(told, []);
  time.nowMs += 900;
  time.pass(100);
  t.is(told.length, 1);
  t.true(Number(told[0]?.['stalledMs']) >= 800);
  cancel();
  time.nowMs += 5_000;
  time.pass(100);
  t.is(told.length, 1);
});
