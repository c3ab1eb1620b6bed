/** The program that is run has every mechanism. */
import test from 'ava';
import { policyIsOn } from '../src/policy-switches.js';

test('without a trial bundle every mechanism takes part', (t) => {
  t.true(policyIsOn('late-waiting'));
  t.true(policyIsOn('retry-hints'));
});
