/** A regular build contains every policy. */
import test from 'ava';
import { policyIsOn } from '../src/policy-switches.js';

test('every policy is enabled outside trial bundles', (t) => {
  t.true(policyIsOn('late-waiting'));
  t.true(policyIsOn('retry-hints'));
});
