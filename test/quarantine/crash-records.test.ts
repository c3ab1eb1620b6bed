/** Stages of a request after crashes and successful runs: a table of cases, and properties of arbitrary command sequences. */
import test from 'ava';
import fc from 'fast-check';
import {
  applyCrashCommand,
  revokePermitsHeldBy,
  type CrashCommand,
} from '../../src/quarantine/crash-commands.js';
import {
  RUN_LIMIT_CRASH_THRESHOLD,
  crashCount,
  isWatched,
  MAX_COUNTED_RUNS,
  stageAt,
  type CrashRecords,
  type CrashStage,
} from '../../src/quarantine/crash-records.js';
import { reportCrashes } from '../../src/quarantine/crash-report.js';

const REQUEST = 'request';
const SERVICE = 'service';

type Step = CrashCommand | { readonly kind: 'gone'; readonly life: string };

function crash(life: string, options: { alone?: boolean; version?: string; runs?: string[] } = {}): Step {
  const { alone = false, version = 'v1', runs = [REQUEST] } = options;
  const ended = runs.map((fingerprint) => ({ fingerprint, alone }));
  return { kind: 'record-end', life, service: SERVICE, version, runs: ended };
}

function permit(life: string, version = 'v1'): Step {
  return { kind: 'permit-run', fingerprint: REQUEST, life, version };
}

function release(life: string, begun: boolean): Step {
  return { kind: 'release-permit', fingerprint: REQUEST, life, begun };
}

function completion(version = 'v1', isGood = true): Step {
  return { kind: 'record-completion', fingerprint: REQUEST, version, isGood };
}

function reopen(by: 'operator' | 'time'): Step {
  return { kind: 'reopen-request', fingerprint: REQUEST, by };
}

/** Applies steps; returns the records and the incarnations that were granted permits, in order. */
function applySteps(steps: readonly Step[]): { records: CrashRecords; granted: string[] } {
  const records: CrashRecords = new Map();
  const granted: string[] = [];
  steps.forEach((step, index) => {
    if (step.kind === 'gone') {
      revokePermitsHeldBy(records, new Set([step.life]));
      return;
    }
    const { outcome } = applyCrashCommand(records, step, index + 1);
    if (step.kind === 'permit-run' && outcome.kind === 'done') granted.push(step.life);
  });
  return { records, granted };
}

const QUARANTINE_STEPS = [crash('a'), crash('b'), permit('c'), crash('c', { alone: true })];

interface Case {
  readonly name: string;
  readonly steps: readonly Step[];
  /** Expected stage at version v1, and optionally at v2. */
  readonly stage: CrashStage;
  readonly stageAtV2?: CrashStage;
}

const CASES: readonly Case[] = [
  { name: 'no crash', steps: [], stage: 'free' },
  { name: 'one crash proves nothing', steps: [crash('a')], stage: 'free' },
  { name: 'a repeated report counts once', steps: [crash('a'), crash('a'), crash('a')], stage: 'free' },
  { name: 'two crashes make a suspect', steps: [crash('a'), crash('b')], stage: 'suspect' },
  {
    name: 'a successful run between crashes clears the first',
    steps: [crash('a'), completion(), crash('b')],
    stage: 'free',
  },
  { name: 'a successful run clears a suspect', steps: [crash('a'), crash('b'), completion()], stage: 'free' },
  {
    name: 'two failed runs that the back end survives clear nothing',
    steps: [crash('a'), crash('b'), completion('v1', false), completion('v1', false)],
    stage: 'suspect',
  },
  {
    name: 'three consecutive failed runs that it survives clear a suspect',
    steps: [
      crash('a'),
      crash('b'),
      completion('v1', false),
      completion('v1', false),
      completion('v1', false),
    ],
    stage: 'free',
  },
  {
    name: 'a crash between failed runs restarts their count',
    steps: [
      crash('a'),
      crash('b'),
      completion('v1', false),
      completion('v1', false),
      crash('c'),
      completion('v1', false),
    ],
    stage: 'suspect',
  },
  {
    name: 'any number of crashes while other requests were executed prove nothing',
    steps: [crash('a'), crash('b'), crash('c'), crash('d'), crash('e')],
    stage: 'suspect',
  },
  {
    name: 'two crashes prove nothing, even when it was executed alone',
    steps: [crash('a', { alone: true }), crash('b', { alone: true })],
    stage: 'suspect',
  },
  {
    name: 'a third crash while executed alone is proof',
    steps: QUARANTINE_STEPS,
    stage: 'quarantined',
    stageAtV2: 'suspect',
  },
  {
    name: 'a successful run clears a quarantined request',
    steps: [...QUARANTINE_STEPS, completion()],
    stage: 'free',
  },
  {
    name: 'an operator lifts the quarantine',
    steps: [...QUARANTINE_STEPS, reopen('operator')],
    stage: 'suspect',
  },
  {
    name: 'the quarantine is lifted after a period of time',
    steps: [...QUARANTINE_STEPS, reopen('time')],
    stage: 'suspect',
  },
  {
    name: 'a request that crashes a back end again is quarantined again',
    steps: [...QUARANTINE_STEPS, reopen('time'), permit('d'), crash('d', { alone: true })],
    stage: 'quarantined',
  },
  {
    name: 'timed reopening leaves the last run to operators',
    steps: [
      ...QUARANTINE_STEPS,
      reopen('time'),
      permit('d'),
      crash('d', { alone: true }),
      reopen('time'),
      permit('e'),
      crash('e', { alone: true }),
      reopen('time'),
    ],
    stage: 'quarantined',
  },
  {
    name: 'no more than three runs are permitted after the third crash',
    steps: [
      ...QUARANTINE_STEPS,
      ...['d', 'e', 'f'].flatMap((life) => [reopen('operator'), permit(life), crash(life, { alone: true })]),
      reopen('operator'),
    ],
    stage: 'quarantined',
    stageAtV2: 'quarantined',
  },
  {
    name: 'it crashes back ends of the new version only',
    steps: [crash('a', { version: 'v2' }), crash('b', { version: 'v2' }), completion('v1')],
    stage: 'free',
    stageAtV2: 'suspect',
  },
  {
    name: 'a fixed version runs it',
    steps: [...QUARANTINE_STEPS, permit('d', 'v2'), completion('v2')],
    stage: 'quarantined',
    stageAtV2: 'free',
  },
];

for (const { name, steps, stage, stageAtV2 } of CASES) {
  test(`record: ${name}`, (t) => {
    const record = applySteps(steps).records.get(REQUEST);
    t.is(record === undefined ? 'free' : stageAt(record, 'v1'), stage);
    if (stageAtV2 !== undefined && record !== undefined) t.is(stageAt(record, 'v2'), stageAtV2);
  });
}

test('one incarnation at a time may run a suspect; the permit ends with its release, a crash or the incarnation', (t) => {
  const suspect = [crash('a'), crash('b')];
  t.deepEqual(applySteps([...suspect, permit('c'), permit('d')]).granted, ['c']);
  t.deepEqual(applySteps([...suspect, permit('c'), release('c', true), permit('d')]).granted, ['c', 'd']);
  t.deepEqual(applySteps([...suspect, permit('c'), crash('c'), permit('d')]).granted, ['c', 'd']);
  t.deepEqual(applySteps([...suspect, permit('c'), { kind: 'gone', life: 'c' }, permit('d')]).granted, [
    'c',
    'd',
  ]);
  t.deepEqual(
    applySteps([...suspect, permit('c'), permit('c')]).granted,
    ['c', 'c'],
    'a repeated request by the holder is granted again',
  );
});

test('an unused permit does not count as a run', (t) => {
  const ambiguous = [crash('a'), crash('b'), crash('c')];
  const unused = Array.from({ length: 9 }, () => [permit('d'), release('d', false)]).flat();
  t.is(applySteps([...ambiguous, ...unused]).records.get(REQUEST)?.countedRuns, 0);
  const used = Array.from({ length: 9 }, () => [permit('d'), release('d', true)]).flat();
  t.is(applySteps([...ambiguous, ...used]).granted.length, MAX_COUNTED_RUNS);
});

test('a request without runs left is reported as quarantined, and reopening it is rejected with the reason', (t) => {
  const used = ['d', 'e', 'f'].flatMap((at) => [permit(at), release(at, true)]);
  const { records } = applySteps([crash('a'), crash('b'), crash('c'), ...used]);
  t.like(reportCrashes(records.values())[0], { stage: 'quarantined', runsLeft: 0 });
  const command = { kind: 'reopen-request', fingerprint: REQUEST, by: 'operator' } as const;
  t.deepEqual(applyCrashCommand(records, command, 1).outcome, {
    kind: 'invalid',
    detail: 'all runs that may follow its third end have been used',
  });
});

const INCARNATIONS = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
const VERSIONS = ['v1', 'v2'];
const life = fc.constantFrom(...INCARNATIONS);
const version = fc.constantFrom(...VERSIONS);
const anyStep: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ life, version, alone: fc.boolean() }).map(({ life: at, ...options }) => crash(at, options)),
  fc.record({ life, version }).map(({ life: at, version: of }) => permit(at, of)),
  fc.record({ life, begun: fc.boolean() }).map(({ life: at, begun }) => release(at, begun)),
  life.map((at): Step => ({ kind: 'gone', life: at })),
  fc.constantFrom<Step>(reopen('operator'), reopen('time')),
);

test('in any order of commands, at most three runs are permitted after the third crash, one at a time', (t) => {
  fc.assert(
    fc.property(fc.array(anyStep, { maxLength: 60 }), (steps) => {
      const records: CrashRecords = new Map();
      let countedRuns = 0;
      let holder: string | null = null;
      steps.forEach((step, index) => {
        const before = records.get(REQUEST);
        const counted = before !== undefined && crashCount(before) >= RUN_LIMIT_CRASH_THRESHOLD;
        if (step.kind === 'gone') {
          revokePermitsHeldBy(records, new Set([step.life]));
          if (holder === step.life) holder = null;
          return;
        }
        const { outcome } = applyCrashCommand(records, step, index + 1);
        if (
          step.kind === 'permit-run' &&
          outcome.kind === 'done' &&
          before !== undefined &&
          isWatched(before)
        ) {
          if (stageAt(before, step.version) === 'free') return;
          if (holder !== null && holder !== step.life) throw new Error(`${step.life} beside ${holder}`);
          if (counted && holder === null) countedRuns += 1;
          holder = step.life;
        }
        const released = step.kind === 'release-permit' && holder === step.life;
        if (released && !step.begun && counted) countedRuns -= 1;
        if (released || (step.kind === 'record-end' && holder === step.life)) {
          holder = records.get(REQUEST)?.permittedAt ?? null;
        }
      });
      return countedRuns <= MAX_COUNTED_RUNS;
    }),
    { seed: 33, numRuns: 3_000 },
  );
  t.pass();
});

test('in any order of commands, a request is quarantined only if it crashed a back end that executed nothing else', (t) => {
  fc.assert(
    fc.property(fc.array(anyStep, { maxLength: 40 }), (steps) => {
      const notAlone = steps.map((step): Step => {
        if (step.kind !== 'record-end') return step;
        return { ...step, runs: step.runs.map((run) => ({ ...run, alone: false })) };
      });
      return applySteps(notAlone).records.get(REQUEST)?.quarantined !== true;
    }),
    { seed: 33, numRuns: 1_000 },
  );
  t.pass();
});

test('the number of records stays bounded under deliberate crashes, and quarantined requests are evicted last', (t) => {
  const records: CrashRecords = new Map();
  let index = 0;
  const apply = (step: Step): readonly string[] => {
    index += 1;
    return step.kind === 'gone' ? [] : applyCrashCommand(records, step, index).removed;
  };
  for (const step of QUARANTINE_STEPS) apply(step);
  const removed: string[] = [];
  for (let at = 0; at < 400; at += 1) {
    const runs = Array.from({ length: 18 }, (_, run) => `flood-${at}-${run}`);
    removed.push(...apply(crash(`x${at}`, { runs })), ...apply(crash(`y${at}`, { runs })));
  }
  const watched = [...records.values()].filter(isWatched);
  t.true(watched.length <= 512);
  t.true(records.size - watched.length <= 2_048);
  t.true(watched.some(({ fingerprint }) => fingerprint === REQUEST));
  t.true(
    removed.length > 0 && removed.every((fingerprint) => !records.has(fingerprint)),
    'daemons are told to delete them too',
  );
});
