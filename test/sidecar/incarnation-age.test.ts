/** Guards against a trial mode for incarnations that nobody can have served, and against none for those somebody may have. */
import test from 'ava';
import { isCertainlyNew, type NewIncarnationEvidence } from '../../src/sidecar/incarnation-age.js';

const NOW_MS = 1_000_000;
const REPEATED: NewIncarnationEvidence = {
  sequence: 9,
  bornMs: NOW_MS - 1_400,
  wallMs: NOW_MS,
  leaseTermMs: 9_500,
  replacesAnother: false,
  coldLeftMs: null,
  coldDurationMs: null,
};

const COLD = { bornMs: null, replacesAnother: true, coldLeftMs: 2_500, coldDurationMs: 3_000 };

const CASES: readonly [string, Partial<NewIncarnationEvidence>, boolean][] = [
  ['one that repeated its heartbeats is new', {}, true],
  ['one that is still cold is new', { coldLeftMs: 1_600, coldDurationMs: 3_000 }, true],
  ['without a start time few heartbeats show a new one', { bornMs: null, sequence: 4 }, true],
  [
    'without a start time many heartbeats show nothing',
    { bornMs: null, coldLeftMs: 2_900, coldDurationMs: 3_000 },
    false,
  ],
  ['without a start time, a cold one in the place of another is new', COLD, true],
  ['the same if the service has no cold time', { ...COLD, coldDurationMs: null }, true],
  [
    'without a start time, a warm one in the place of another may have been served',
    { ...COLD, coldLeftMs: 0 },
    false,
  ],
  ['the same for one that has been cold for long', { ...COLD, coldDurationMs: 9_000 }, false],
  ['one as old as the lease may have been served', { leaseTermMs: 1_400 }, false],
  ['one may have been served whose registration was ended early', { bornMs: NOW_MS - 4_000 }, false],
  ['an old one with few heartbeats may have been served', { bornMs: NOW_MS - 9_000, sequence: 2 }, false],
  ['a start in the future shows nothing', { bornMs: NOW_MS + 1 }, false],
  [
    'one that is warm too early is older than its clock says',
    { coldLeftMs: 0, coldDurationMs: 3_000 },
    false,
  ],
];

for (const [name, evidence, isNew] of CASES) {
  test(name, (t) => {
    t.is(isCertainlyNew({ ...REPEATED, ...evidence }), isNew);
  });
}
