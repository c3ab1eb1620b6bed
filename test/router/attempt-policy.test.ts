import test from 'ava';
import {
  decideAfterFailure,
  OWNER_RETRY_AFTER_MS,
  type AttemptFailure,
} from '../../src/router/attempt-policy.js';

interface Case {
  readonly name: string;
  readonly failure: AttemptFailure;
  readonly repeatable?: boolean;
  readonly bodyAvailable?: boolean;
  readonly attempts?: number;
  readonly budget?: boolean;
  /** `retry`, or code and outcome of the refusal. */
  readonly expected: string;
}

const REFUSED = { kind: 'refused', retryAfterMs: 0 } as const;

const CASES: readonly Case[] = [
  { name: 'no byte was sent', failure: { kind: 'not-sent', gone: true }, expected: 'retry' },
  {
    name: 'no byte was sent and the retry budget is spent',
    failure: { kind: 'not-sent', gone: true },
    budget: false,
    expected: 'owner-unreachable not-run',
  },
  {
    name: 'a request that may not be repeated got no answer',
    failure: { kind: 'no-answer' },
    repeatable: false,
    expected: 'outcome-unknown unknown',
  },
  { name: 'a repeatable request got no answer', failure: { kind: 'no-answer' }, expected: 'retry' },
  {
    name: 'a repeatable request got no answer and its body is not available any more',
    failure: { kind: 'no-answer' },
    bodyAvailable: false,
    expected: 'outcome-unknown unknown',
  },
  {
    name: 'the deadline passed before it was sent',
    failure: { kind: 'deadline-passed', sent: false },
    expected: 'deadline-passed not-run',
  },
  {
    name: 'the deadline passed after it was sent',
    failure: { kind: 'deadline-passed', sent: true },
    expected: 'outcome-unknown unknown',
  },
  { name: 'not the owner', failure: { ...REFUSED, code: 'not-owner' }, repeatable: false, expected: 'retry' },
  { name: 'lease expired', failure: { ...REFUSED, code: 'lease-expired' }, expected: 'retry' },
  { name: 'releasing', failure: { ...REFUSED, code: 'releasing' }, repeatable: false, expected: 'retry' },
  {
    name: 'too many attempts',
    failure: { ...REFUSED, code: 'not-owner' },
    attempts: 8,
    expected: 'no-owner not-run',
  },
  { name: 'leaving', failure: { ...REFUSED, code: 'draining' }, repeatable: false, expected: 'retry' },
  { name: 'overloaded', failure: { ...REFUSED, code: 'overloaded' }, expected: 'overloaded not-run' },
  {
    name: 'the deadline passed at the back end',
    failure: { ...REFUSED, code: 'deadline-passed' },
    expected: 'deadline-passed not-run',
  },
  {
    name: 'the window was lost',
    failure: { ...REFUSED, code: 'freshness-unproven' },
    expected: 'freshness-unproven unknown',
  },
  {
    name: 'an earlier attempt is running',
    failure: { ...REFUSED, code: 'in-progress' },
    expected: 'in-progress unknown',
  },
];

for (const testCase of CASES) {
  test(`after failure: ${testCase.name}`, (t) => {
    const decision = decideAfterFailure(testCase.failure, {
      repeatable: testCase.repeatable ?? true,
      bodyAvailable: testCase.bodyAvailable ?? true,
      attempts: testCase.attempts ?? 1,
      remainingMs: 1_000,
      tryConsumeRetry: () => testCase.budget ?? true,
    });
    const { expected } = testCase;
    if (decision.kind === 'end' && expected.startsWith('outcome-unknown')) {
      t.is(decision.refusal.retryAfterMs, OWNER_RETRY_AFTER_MS);
    }
    t.is(
      decision.kind === 'retry' ? 'retry' : `${decision.refusal.code} ${decision.refusal.outcome}`,
      expected,
    );
  });
}
