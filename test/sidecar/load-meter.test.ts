/** Load that is estimated when it is requested, and corrected when the request has been served. */
import test from 'ava';
import { LoadMeter } from '../../src/sidecar/load-meter.js';

test('an overestimate is deducted from later load and never reported as a negative value', (t) => {
  const meter = new LoadMeter();
  meter.add(0, 100);
  t.deepEqual(meter.take(), [[0, 100]]);
  meter.add(0, -30);
  t.deepEqual(meter.take(), []);
  meter.add(0, 100);
  t.deepEqual(meter.take(), [[0, 70]]);
});
