import test from 'ava';
import { Disturbances } from '../../../../lab/soak/large/disturbances.js';

test('a machine is in touch again some time after the end of its disturbance', (t) => {
  const disturbances = new Disturbances(3_000);
  const end = disturbances.begin('a', 1_000);
  t.true(disturbances.isInTouch('a', 999));
  t.false(disturbances.isInTouch('a', 50_000));
  t.true(disturbances.isInTouch('b', 50_000));
  end(2_000);
  t.false(disturbances.isInTouch('a', 4_999));
  t.true(disturbances.isInTouch('a', 5_000));
});

test('a disturbance of the directory concerns all machines', (t) => {
  const disturbances = new Disturbances(3_000);
  disturbances.begin(null, 1_000)(2_000);
  t.false(disturbances.isInTouch('a', 4_000));
  t.true(disturbances.isInTouch('a', 5_000));
});
