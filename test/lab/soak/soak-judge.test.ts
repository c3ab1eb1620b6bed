import test from 'ava';
import { SoakJudge, type SoakRule } from '../../../lab/soak/soak-judge.js';

const DRAIN_MS = 2_000;
const APPLY_MS = 2_000;

function run(requestId: string, backend: string, key: number | null, repeatable = false) {
  return { requestId, backend, service: 'keyed', key, repeatable };
}

const ALL = { from: 0, to: 65_535 };

/** Observations of callers, back ends and the operator, and the guarantees that they violate. */
const CASES: readonly { name: string; see: (judge: SoakJudge) => void; broken: readonly SoakRule[] }[] = [
  {
    name: 'a non-repeatable request runs twice',
    see: (judge) => {
      judge.runStarted(run('r', 'a', null), 0);
      judge.runStarted(run('r', 'b', null), 10);
    },
    broken: ['at-most-once'],
  },
  {
    name: 'a repeatable request runs twice',
    see: (judge) => {
      judge.runStarted(run('r', 'a', null, true), 0);
      judge.runStarted(run('r', 'b', null, true), 10);
    },
    broken: [],
  },
  {
    name: 'a request is refused after it ran',
    see: (judge) => {
      judge.runStarted(run('r', 'a', null), 0);
      judge.refusedAsNotRun('r', false, 10);
    },
    broken: ['not-run'],
  },
  {
    name: 'a request runs after it was refused',
    see: (judge) => {
      judge.refusedAsNotRun('r', false, 0);
      judge.runStarted(run('r', 'a', null), 10);
    },
    broken: ['not-run'],
  },
  {
    name: 'two back ends hold the same keys, and one of them begins work',
    see: (judge) => {
      judge.holds('a', 'keyed', [{ ...ALL, fence: 1, untilMs: 1_000 }], 0);
      judge.holds('b', 'keyed', [{ ...ALL, fence: 2, untilMs: 1_000 }], 100);
      judge.runStarted(run('r', 'b', 7), 110);
      judge.checkOverlaps(590);
    },
    broken: [],
  },
  {
    name: 'two back ends hold the same keys, and both begin work',
    see: (judge) => {
      judge.holds('a', 'keyed', [{ ...ALL, fence: 1, untilMs: 1_000 }], 0);
      judge.holds('b', 'keyed', [{ ...ALL, fence: 2, untilMs: 1_000 }], 100);
      judge.runStarted(run('r', 'b', 7), 110);
      judge.runStarted(run('s', 'a', 7), 120);
    },
    broken: ['one-owner'],
  },
  {
    name: 'two back ends hold the same keys for long',
    see: (judge) => {
      judge.holds('a', 'keyed', [{ ...ALL, fence: 1, untilMs: 1_000 }], 0);
      judge.holds('b', 'keyed', [{ ...ALL, fence: 2, untilMs: 1_000 }], 100);
      judge.checkOverlaps(601);
      judge.checkOverlaps(650);
    },
    broken: ['one-owner'],
  },
  {
    name: 'a lease ends before the next one begins',
    see: (judge) => {
      judge.holds('a', 'keyed', [{ ...ALL, fence: 1, untilMs: 100 }], 0);
      judge.holds('b', 'keyed', [{ ...ALL, fence: 2, untilMs: 1_000 }], 101);
      judge.checkOverlaps(900);
    },
    broken: [],
  },
  {
    name: 'keys are granted under a fence that is not higher',
    see: (judge) => {
      judge.holds('a', 'keyed', [{ ...ALL, fence: 2, untilMs: 100 }], 0);
      judge.ended('a');
      judge.holds('b', 'keyed', [{ from: 3, to: 9, fence: 2, untilMs: 1_000 }], 200);
    },
    broken: ['fence-rises'],
  },
  {
    name: 'a request arrives long after a leave was acknowledged',
    see: (judge) => {
      judge.drainAcknowledged('a', 0);
      judge.arrived('a', 'r1', DRAIN_MS);
      judge.arrived('a', 'r2', DRAIN_MS + 1);
    },
    broken: ['drain'],
  },
  {
    name: 'an older version is read in time',
    see: (judge) => {
      judge.changeAcknowledged('route', 3, 0);
      judge.changesRead(new Map([['route', 2]]), APPLY_MS, APPLY_MS + 50, false);
    },
    broken: [],
  },
  {
    name: 'an older version is read too late',
    see: (judge) => {
      judge.changeAcknowledged('route', 3, 0);
      judge.changesRead(new Map([['route', 2]]), APPLY_MS + 1, APPLY_MS + 50, false);
    },
    broken: ['configuration-kept'],
  },
  {
    name: 'an acknowledged item is missing at the end',
    see: (judge) => {
      judge.changeAcknowledged('route', 3, 0);
      judge.changesRead(new Map(), 1, 2, true);
    },
    broken: ['configuration-kept'],
  },
];

for (const { name, see, broken } of CASES) {
  test(name, (t) => {
    const judge = new SoakJudge(DRAIN_MS, APPLY_MS);
    see(judge);
    t.deepEqual(
      judge.violations.map(({ promise }) => promise),
      broken,
    );
  });
}

test('a request is sent to an evacuated zone after the bound', (t) => {
  const judge = new SoakJudge(2_000, 2_000, 5_000);
  judge.evacuationAcknowledged('z', 1_000);
  judge.arrivedInZone('a', 'z', 5_900);
  judge.arrivedInZone('b', 'other', 9_000);
  t.deepEqual(judge.violations, []);
  judge.arrivedInZone('a', 'z', 6_100);
  t.is(judge.violations[0]?.promise, 'evacuation');
  judge.evacuationEnds('z');
  judge.arrivedInZone('a', 'z', 6_200);
  t.is(judge.violations.length, 1);
});

test('a cold back end gets more requests in a second than allowed', (t) => {
  const judge = new SoakJudge(2_000, 2_000);
  for (let at = 0; at < 20; at += 1) judge.arrivedCold('a', 20, at * 50);
  t.deepEqual(judge.violations, []);
  judge.arrivedCold('a', 20, 990);
  t.is(judge.violations[0]?.promise, 'cold-start');
});

test('a crashing request runs more than three times long after its third crash', (t) => {
  const judge = new SoakJudge(2_000, 2_000);
  for (const atMs of [0, 500, 1_000]) judge.crashedUnder('/path', atMs);
  for (let at = 0; at < 5; at += 1) judge.crashingRequestStarted('/path', 1_500);
  for (let at = 0; at < 3; at += 1) judge.crashingRequestStarted('/path', 4_100 + at);
  judge.crashingRequestStarted('/other', 9_000);
  t.deepEqual(judge.violations, []);
  judge.crashingRequestStarted('/path', 9_000);
  t.is(judge.violations[0]?.promise, 'contained-request');
});
