/** Tests of what must be done before keys are released by a back end that may still apply grants of them. */
import test from 'ava';
import { OutstandingGrants, type ReleaseReadiness } from '../../src/sidecar/outstanding-grants.js';

const WHOLE = { from: 0, to: 99, fence: 5 };
const PART = { from: 20, to: 29, fence: 5 };
const RAISED = { ...PART, fence: 8 };

interface Case {
  readonly name: string;
  readonly record: (grants: OutstandingGrants) => void;
  readonly part: ReleaseReadiness;
  readonly raised: ReleaseReadiness;
}

const CASES: readonly Case[] = [
  { name: 'nothing was sent', record: () => undefined, part: 'certain', raised: 'certain' },
  {
    name: 'a renewal of the whole range is in flight',
    record: (grants) => void grants.recordSent(WHOLE, false),
    part: 'to-be-fenced',
    raised: 'to-be-granted',
  },
  {
    name: 'a renewal of the whole range was answered',
    record: (grants) => {
      grants.recordResult(grants.recordSent(WHOLE, false), WHOLE, 'granted');
    },
    part: 'certain',
    raised: 'certain',
  },
  {
    name: 'a renewal of the whole range got no answer',
    record: (grants) => {
      grants.recordResult(grants.recordSent(WHOLE, false), WHOLE, 'unanswered');
    },
    part: 'to-be-fenced',
    raised: 'to-be-granted',
  },
  {
    name: 'a later renewal of the same keys was answered',
    record: (grants) => {
      grants.recordResult(grants.recordSent(WHOLE, false), WHOLE, 'unanswered');
      grants.recordResult(grants.recordSent(WHOLE, false), WHOLE, 'granted');
    },
    part: 'to-be-fenced',
    raised: 'to-be-granted',
  },
  {
    name: 'the back end refused the renewal',
    record: (grants) => {
      grants.recordResult(grants.recordSent(WHOLE, false), WHOLE, 'superseded');
      grants.recordResult(grants.recordSent(WHOLE, false), WHOLE, 'misdirected');
    },
    part: 'certain',
    raised: 'certain',
  },
  {
    name: 'the grant under the raised fence is in flight',
    record: (grants) => {
      grants.recordResult(grants.recordSent(WHOLE, false), WHOLE, 'unanswered');
      grants.recordSent(RAISED, true);
    },
    part: 'to-be-fenced',
    raised: 'to-be-awaited',
  },
  {
    name: 'the grant under the raised fence was answered before the renewal',
    record: (grants) => {
      const renewal = grants.recordSent(WHOLE, false);
      grants.recordResult(grants.recordSent(RAISED, true), RAISED, 'granted');
      grants.recordResult(renewal, WHOLE, 'granted');
    },
    part: 'certain',
    raised: 'certain',
  },
  {
    name: 'the grant under the raised fence got no answer either',
    record: (grants) => {
      grants.recordResult(grants.recordSent(WHOLE, false), WHOLE, 'unanswered');
      grants.recordResult(grants.recordSent(RAISED, true), RAISED, 'unanswered');
    },
    part: 'to-be-fenced',
    raised: 'to-be-fenced',
  },
  {
    name: 'an earlier process of the daemon may have sent a grant',
    record: (grants) => {
      grants.recordInherited(WHOLE);
    },
    part: 'to-be-fenced',
    raised: 'to-be-granted',
  },
  {
    name: 'the back end has reported a higher fence on surrounding keys',
    record: (grants) => {
      grants.recordInherited(WHOLE);
      grants.recordSeenFence({ from: 0, to: 50, fence: 7 });
    },
    part: 'certain',
    raised: 'certain',
  },
  {
    name: 'the back end has a new incarnation',
    record: (grants) => {
      const call = grants.recordSent(WHOLE, false);
      grants.clear();
      grants.recordResult(call, WHOLE, 'unanswered');
    },
    part: 'certain',
    raised: 'certain',
  },
];

for (const { name, record, part, raised } of CASES) {
  test(`release readiness of a range: ${name}`, (t) => {
    const grants = new OutstandingGrants();
    record(grants);
    t.is(grants.releaseReadiness(PART), part);
    t.is(grants.releaseReadiness(RAISED), raised);
  });
}

test('a call is still known after more calls than are stored individually', (t) => {
  const grants = new OutstandingGrants();
  grants.recordInherited(PART);
  for (let key = 1_000; key < 3_000; key += 1) grants.recordInherited({ from: key, to: key, fence: 5 });
  t.is(grants.releaseReadiness(PART), 'to-be-fenced');
  t.is(grants.releaseReadiness({ from: 60_000, to: 60_001, fence: 5 }), 'certain');
});
