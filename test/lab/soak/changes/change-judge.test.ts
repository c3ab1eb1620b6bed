/** A rule that did not see its own fault would let a soak pass on any code. */
import test from 'ava';
import {
  markerPrefix,
  routesAfter,
  type OperatorChange,
} from '../../../../lab/soak/changes/change-content.js';
import { ChangeJudge } from '../../../../lab/soak/changes/change-judge.js';

function change(version: number, base: number, fields: Partial<OperatorChange> = {}): OperatorChange {
  return { method: 'PUT', version, base, routes: 2, seed: version, invalid: null, ...fields };
}

/** A judge that has seen acknowledgements of versions 1 and 2. */
function setUp(): ChangeJudge {
  const judge = new ChangeJudge();
  for (const made of [change(1, 0), change(2, 1)]) {
    judge.submitted(made);
    judge.answered(made, 200, judge.newestAcknowledged, null);
  }
  return judge;
}

function readOf(made: OperatorChange): { version: number; routes: ReadonlyMap<string, string> } {
  return { version: made.version, routes: routesAfter(new Map(), made) };
}

function rules(judge: ChangeJudge): string[] {
  return judge.violations.map(({ rule }) => rule);
}

test('acknowledged changes that are read back break no rule, resends and refusals included', (t) => {
  const judge = setUp();
  judge.answered(change(2, 1), 200, 2, null);
  const stale = change(3, 1);
  judge.submitted(stale);
  judge.answered(stale, 412, 2, 2);
  const invalid = change(4, 2, { invalid: 'not-json' });
  judge.submitted(invalid);
  judge.answered(invalid, 400, 2, null);
  judge.readAtEnd(readOf(change(2, 1)));
  t.deepEqual(judge.violations, []);
});

test('a change without an answer may be in force', (t) => {
  const judge = setUp();
  judge.submitted(change(3, 2));
  judge.readAtEnd(readOf(change(3, 2)));
  t.deepEqual(judge.violations, []);
});

test('an older version is read, in an answer and in a refusal', (t) => {
  const judge = setUp();
  judge.read(readOf(change(1, 0)), 2);
  judge.submitted(change(3, 2));
  judge.answered(change(3, 2), 412, 2, 1);
  t.deepEqual(rules(judge), ['older-read', 'older-read']);
});

test('an acknowledged change is missing in the version at the end', (t) => {
  const judge = setUp();
  judge.submitted(change(3, 1));
  judge.readAtEnd(readOf(change(3, 1)));
  t.deepEqual(rules(judge), ['acknowledged-lost']);
});

test('refused and unknown changes are in force', (t) => {
  const judge = setUp();
  judge.submitted(change(3, 2));
  judge.answered(change(3, 2), 412, 2, 2);
  judge.read(readOf(change(3, 2)), 2);
  judge.read(readOf(change(9, 2)), 2);
  t.deepEqual(rules(judge), ['refused-in-force', 'refused-in-force']);
});

test('invalid and stale changes are accepted, and valid ones refused', (t) => {
  const judge = setUp();
  const cases = [change(3, 2, { invalid: 'not-a-route' }), change(4, 1), change(5, 2)];
  for (const made of cases) judge.submitted(made);
  judge.answered(change(5, 2), 413, 2, null);
  judge.answered(change(3, 2, { invalid: 'not-a-route' }), 200, 2, null);
  judge.answered(change(4, 1), 200, 2, null);
  t.deepEqual(rules(judge), ['valid-refused', 'invalid-accepted', 'stale-accepted']);
});

test('two calls of one change are answered differently', (t) => {
  const judge = setUp();
  judge.answered(change(2, 1), 412, 2, 2);
  t.deepEqual(rules(judge), ['contradicting-answers']);
});

test('a version is read with the routes of another', (t) => {
  const judge = setUp();
  const { version, routes } = readOf(change(2, 1));
  judge.read({ version, routes: new Map([...routes, ['marker', markerPrefix(1)]]) }, 2);
  judge.readAtEnd({ version, routes: new Map([...routes, ['route-0', '/elsewhere/']]) });
  t.deepEqual(rules(judge), ['content', 'content']);
});
