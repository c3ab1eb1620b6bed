/** When requests to a back end that states its leave in its answers break the rule. */
import test from 'ava';
import { ToldLeaveRule } from '../../../lab/soak/told-leave-rule.js';

const DRAIN_MS = 2_000;

function newRule(): { readonly rule: ToldLeaveRule; readonly reported: string[] } {
  const reported: string[] = [];
  const rule = new ToldLeaveRule(DRAIN_MS, (_atMs, detail) => reported.push(detail));
  rule.answerPassedOn('a', 'machine', 1_000);
  return { rule, reported };
}

test('a request sent within the drain time may arrive at any time, a later one may not', (t) => {
  const { rule, reported } = newRule();
  rule.requestSent('r1', 'machine', 3_000);
  rule.arrived('a', 'r1', 9_000);
  t.deepEqual(reported, []);
  rule.requestSent('r2', 'machine', 3_001);
  rule.arrived('a', 'r2', 3_002);
  t.is(reported.length, 1);
});

test('later answers do not prolong the drain time', (t) => {
  const { rule, reported } = newRule();
  rule.answerPassedOn('a', 'machine', 2_900);
  rule.requestSent('r', 'machine', 3_500);
  rule.arrived('a', 'r', 3_501);
  t.is(reported.length, 1);
});

test('machines that have not passed it on, other back ends and excused machines do not count', (t) => {
  const { rule, reported } = newRule();
  rule.requestSent('r1', 'other', 9_000);
  rule.arrived('a', 'r1', 9_001);
  rule.requestSent('r2', 'machine', 9_000);
  rule.arrived('b', 'r2', 9_001);
  rule.excuse('machine');
  rule.requestSent('r3', 'machine', 9_500);
  rule.arrived('a', 'r3', 9_501);
  t.deepEqual(reported, []);
});
