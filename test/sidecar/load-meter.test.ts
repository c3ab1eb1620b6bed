/** Load that is counted when it is asked for, and corrected when it has been served. */
import test from 'ava';
import { LoadMeter } from '../../src/sidecar/load-meter.js';

test('what was counted too much is taken off what comes later, and never reported as less than nothing', (t) => {
  const meter = new LoadMeter();
  meter.add(0, 100);
  t.deepEqual(meter.take(), [[0, 100]]);
  meter.add(0, -30);
  t.deepEqual(meter.take(), []);
  meter.add(0, 100);
  t.deepEqual(meter.take(), [[0, 70]]);
});
