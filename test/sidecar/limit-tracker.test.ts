/** Which limit is in force after statements of a back end that arrive in any order. */
import test from 'ava';
import type { StatedLimit } from '../../src/sidecar/backend-signals.js';
import { LimitTracker } from '../../src/sidecar/limit-tracker.js';

const NONE: StatedLimit = { kind: 'none' };

function limited(requestsPerSecond: number): StatedLimit {
  return { kind: 'limited', requestsPerSecond };
}

test('a limit is named, changed and lifted by answers to requests that follow each other', (t) => {
  const tracker = new LimitTracker();
  const kinds = [limited(4), limited(4), limited(2.5), limited(8), NONE, NONE].map(
    (stated) => tracker.recordStatement(stated, tracker.recordSent())?.kind ?? null,
  );
  t.deepEqual(kinds, ['named', null, 'changed', 'changed', 'lifted', null]);
  t.is(tracker.perSecond, null);
});

test('an answer to a request that was sent before a limit was read does not lift or raise it', (t) => {
  const tracker = new LimitTracker();
  const first = tracker.recordSent();
  const second = tracker.recordSent();
  const third = tracker.recordSent();
  tracker.recordStatement(limited(4), second);
  t.is(tracker.recordStatement(NONE, first), null);
  t.is(tracker.recordStatement(limited(9), third), null);
  t.is(tracker.perSecond, 4);
  t.like(tracker.recordStatement(NONE, tracker.recordSent()), { kind: 'lifted', before: 4 });
});

test('of two statements that cannot be ordered the lower limit counts', (t) => {
  const tracker = new LimitTracker();
  const first = tracker.recordSent();
  const second = tracker.recordSent();
  tracker.recordStatement(limited(4), second);
  t.like(tracker.recordStatement(limited(1), first), { kind: 'changed', before: 4, after: 1 });
});

test('an unreadable statement is counted and changes nothing', (t) => {
  const tracker = new LimitTracker();
  tracker.recordStatement(limited(0.5), tracker.recordSent());
  t.is(tracker.recordStatement({ kind: 'unreadable' }, tracker.recordSent()), null);
  t.is(tracker.perSecond, 0.5);
  t.is(tracker.unreadable, 1);
});

test('a limit does not apply to the next incarnation', (t) => {
  const tracker = new LimitTracker();
  tracker.recordStatement(limited(4), tracker.recordSent());
  tracker.startIncarnation();
  t.is(tracker.perSecond, null);
});
