/** What must be done before keys may leave a back end that may still take grants of them. */
import test from 'ava';
import { OutstandingGrants, type Certainty } from '../../src/sidecar/outstanding-grants.js';

const WHOLE = { from: 0, to: 99, fence: 5 };
const PART = { from: 20, to: 29, fence: 5 };
const RAISED = { ...PART, fence: 8 };

interface Case {
  readonly name: string;
  readonly see: (grants: OutstandingGrants) => void;
  readonly part: Certainty;
  readonly raised: Certainty;
}

const CASES: readonly Case[] = [
  { name: 'nothing was sent', see: () => undefined, part: 'certain', raised: 'certain' },
  {
    name: 'a renewal of the whole is under way',
    see: (grants) => void grants.sent(WHOLE, false),
    part: 'to-be-fenced',
    raised: 'to-be-granted',
  },
  {
    name: 'a renewal of the whole was answered',
    see: (grants) => {
      grants.settled(grants.sent(WHOLE, false), WHOLE, 'granted');
    },
    part: 'certain',
    raised: 'certain',
  },
  {
    name: 'a renewal of the whole got no answer',
    see: (grants) => {
      grants.settled(grants.sent(WHOLE, false), WHOLE, 'unanswered');
    },
    part: 'to-be-fenced',
    raised: 'to-be-granted',
  },
  {
    name: 'a later renewal of the same keys was answered',
    see: (grants) => {
      grants.settled(grants.sent(WHOLE, false), WHOLE, 'unanswered');
      grants.settled(grants.sent(WHOLE, false), WHOLE, 'granted');
    },
    part: 'to-be-fenced',
    raised: 'to-be-granted',
  },
  {
    name: 'the back end refused the renewal',
    see: (grants) => {
      grants.settled(grants.sent(WHOLE, false), WHOLE, 'superseded');
      grants.settled(grants.sent(WHOLE, false), WHOLE, 'misdirected');
    },
    part: 'certain',
    raised: 'certain',
  },
  {
    name: 'the grant under the raised fence is under way',
    see: (grants) => {
      grants.settled(grants.sent(WHOLE, false), WHOLE, 'unanswered');
      grants.sent(RAISED, true);
    },
    part: 'to-be-fenced',
    raised: 'to-be-awaited',
  },
  {
    name: 'the grant under the raised fence was answered before the renewal was',
    see: (grants) => {
      const renewal = grants.sent(WHOLE, false);
      grants.settled(grants.sent(RAISED, true), RAISED, 'granted');
      grants.settled(renewal, WHOLE, 'granted');
    },
    part: 'certain',
    raised: 'certain',
  },
  {
    name: 'the grant under the raised fence got no answer either',
    see: (grants) => {
      grants.settled(grants.sent(WHOLE, false), WHOLE, 'unanswered');
      grants.settled(grants.sent(RAISED, true), RAISED, 'unanswered');
    },
    part: 'to-be-fenced',
    raised: 'to-be-fenced',
  },
  {
    name: 'an earlier life of the daemon may have sent it',
    see: (grants) => {
      grants.inherit(WHOLE);
    },
    part: 'to-be-fenced',
    raised: 'to-be-granted',
  },
  {
    name: 'the back end has shown a higher fence on the keys around',
    see: (grants) => {
      grants.inherit(WHOLE);
      grants.noteSeen({ from: 0, to: 50, fence: 7 });
    },
    part: 'certain',
    raised: 'certain',
  },
  {
    name: 'the back end has another life',
    see: (grants) => {
      const call = grants.sent(WHOLE, false);
      grants.clear();
      grants.settled(call, WHOLE, 'unanswered');
    },
    part: 'certain',
    raised: 'certain',
  },
];

for (const { name, see, part, raised } of CASES) {
  test(`what a range that is to leave needs: ${name}`, (t) => {
    const grants = new OutstandingGrants();
    see(grants);
    t.is(grants.certaintyOf(PART), part);
    t.is(grants.certaintyOf(RAISED), raised);
  });
}

test('a call that is one of very many is not forgotten', (t) => {
  const grants = new OutstandingGrants();
  grants.inherit(PART);
  for (let key = 1_000; key < 3_000; key += 1) grants.inherit({ from: key, to: key, fence: 5 });
  t.is(grants.certaintyOf(PART), 'to-be-fenced');
  t.is(grants.certaintyOf({ from: 60_000, to: 60_001, fence: 5 }), 'certain');
});
