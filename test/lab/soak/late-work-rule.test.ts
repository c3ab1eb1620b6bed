import test from 'ava';
import { LATE_MS, LateWorkRule } from '../../../lab/soak/late-work-rule.js';

const LEFT_MS = 1_000;

function ruleWithLateArrivals(count: number, isInTouch?: (machine: string) => boolean): LateWorkRule {
  const rule = new LateWorkRule(isInTouch);
  for (let at = 0; at < count; at += 1) {
    // The order in which callers and back ends report does not matter.
    rule.arrived({ requestId: `r${at}`, backend: 'b', atMs: LEFT_MS + LATE_MS + 1 });
    rule.callerLeft(`r${at}`, 'm', LEFT_MS);
  }
  return rule;
}

test('more than a few arrivals long after the callers had left are a violation', (t) => {
  t.deepEqual(ruleWithLateArrivals(3).result().violations, []);
  t.is(ruleWithLateArrivals(4).result().violations.length, 1);
});

test('arrivals before or soon after the caller left, and those of callers that stayed, are allowed', (t) => {
  const rule = new LateWorkRule();
  for (let at = 0; at < 20; at += 1) {
    rule.callerLeft(`soon${at}`, 'm', LEFT_MS);
    rule.arrived({ requestId: `soon${at}`, backend: 'b', atMs: LEFT_MS + LATE_MS });
    rule.arrived({ requestId: `stayed${at}`, backend: 'b', atMs: LEFT_MS * 100 });
  }
  t.deepEqual(rule.result().lateArrivals, []);
});

test('a disturbed machine at either end excuses an arrival', (t) => {
  for (const disturbed of ['m', 'b']) {
    const rule = ruleWithLateArrivals(9, (machine) => machine !== disturbed);
    t.deepEqual(rule.result().lateArrivals, []);
  }
});

test('work that goes on for most callers that have left is a violation; work that had nearly ended is not counted', (t) => {
  const rule = new LateWorkRule();
  for (let at = 0; at < 12; at += 1) {
    const requestId = `r${at}`;
    rule.callerLeft(requestId, 'm', LEFT_MS);
    const endedMs = at < 4 ? LEFT_MS + LATE_MS + 100 : LEFT_MS + 10;
    rule.ended({ requestId, backend: 'b', startedMs: 0, endedMs, plannedEndMs: LEFT_MS * 5 });
    rule.callerLeft(`short${at}`, 'm', LEFT_MS);
    const plannedEndMs = LEFT_MS + LATE_MS;
    rule.ended({ requestId: `short${at}`, backend: 'b', startedMs: 0, endedMs: plannedEndMs, plannedEndMs });
  }
  const { interruptedRuns, continuedRuns, violations } = rule.result();
  t.deepEqual({ interruptedRuns, continuedRuns }, { interruptedRuns: 12, continuedRuns: 4 });
  t.is(violations.length, 1);
});
