/** What ends and good runs say of a request, as a table and for any order of commands. */
import test from 'ava';
import fc from 'fast-check';
import {
  applyCrashCommand,
  withdrawPermits,
  type CrashCommand,
} from '../../src/quarantine/crash-commands.js';
import {
  ENDS_BEFORE_COUNT,
  endsOf,
  isWatched,
  MOST_COUNTED_RUNS,
  stageAt,
  type CrashRecords,
  type CrashStage,
} from '../../src/quarantine/crash-records.js';
import { reportCrashes } from '../../src/quarantine/crash-report.js';

const REQUEST = 'request';
const SERVICE = 'service';

type Step = CrashCommand | { readonly kind: 'gone'; readonly life: string };

function end(life: string, options: { alone?: boolean; version?: string; runs?: string[] } = {}): Step {
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

function good(version = 'v1', isGood = true): Step {
  return { kind: 'record-completion', fingerprint: REQUEST, version, isGood };
}

function reopen(by: 'operator' | 'time'): Step {
  return { kind: 'reopen-request', fingerprint: REQUEST, by };
}

/** Applies steps; returns which permits were given, in their order. */
function play(steps: readonly Step[]): { records: CrashRecords; given: string[] } {
  const records: CrashRecords = new Map();
  const given: string[] = [];
  steps.forEach((step, index) => {
    if (step.kind === 'gone') {
      withdrawPermits(records, new Set([step.life]));
      return;
    }
    const { outcome } = applyCrashCommand(records, step, index + 1);
    if (step.kind === 'permit-run' && outcome.kind === 'done') given.push(step.life);
  });
  return { records, given };
}

const PROVED = [end('a'), end('b'), permit('c'), end('c', { alone: true })];

interface Case {
  readonly name: string;
  readonly steps: readonly Step[];
  /** Stage at version v1, and where it matters at v2. */
  readonly stage: CrashStage;
  readonly stageAtV2?: CrashStage;
}

const CASES: readonly Case[] = [
  { name: 'nothing', steps: [], stage: 'free' },
  { name: 'one end proves nothing', steps: [end('a')], stage: 'free' },
  { name: 'a report that comes again counts once', steps: [end('a'), end('a'), end('a')], stage: 'free' },
  { name: 'two ends make a suspect', steps: [end('a'), end('b')], stage: 'suspect' },
  { name: 'a good run between two ends clears it', steps: [end('a'), good(), end('b')], stage: 'free' },
  { name: 'a good run clears a suspect', steps: [end('a'), end('b'), good()], stage: 'free' },
  {
    name: 'a failure that the back end outlives clears nothing',
    steps: [end('a'), end('b'), good('v1', false), good('v1', false)],
    stage: 'suspect',
  },
  {
    name: 'three failures in a row that it outlives clear a suspect',
    steps: [end('a'), end('b'), good('v1', false), good('v1', false), good('v1', false)],
    stage: 'free',
  },
  {
    name: 'an end between them begins the row anew',
    steps: [end('a'), end('b'), good('v1', false), good('v1', false), end('c'), good('v1', false)],
    stage: 'suspect',
  },
  {
    name: 'any number of ends beside others prove nothing',
    steps: [end('a'), end('b'), end('c'), end('d'), end('e')],
    stage: 'suspect',
  },
  {
    name: 'two ends prove nothing, even alone',
    steps: [end('a', { alone: true }), end('b', { alone: true })],
    stage: 'suspect',
  },
  { name: 'the third end, alone, is proof', steps: PROVED, stage: 'quarantined', stageAtV2: 'suspect' },
  { name: 'a good run clears what was proved', steps: [...PROVED, good()], stage: 'free' },
  { name: 'an operator reopens it', steps: [...PROVED, reopen('operator')], stage: 'suspect' },
  { name: 'time reopens it', steps: [...PROVED, reopen('time')], stage: 'suspect' },
  {
    name: 'what ends a back end again is quarantined again',
    steps: [...PROVED, reopen('time'), permit('d'), end('d', { alone: true })],
    stage: 'quarantined',
  },
  {
    name: 'time does not use the last run',
    steps: [
      ...PROVED,
      reopen('time'),
      permit('d'),
      end('d', { alone: true }),
      reopen('time'),
      permit('e'),
      end('e', { alone: true }),
      reopen('time'),
    ],
    stage: 'quarantined',
  },
  {
    name: 'three runs after the third end are all',
    steps: [
      ...PROVED,
      ...['d', 'e', 'f'].flatMap((life) => [reopen('operator'), permit(life), end(life, { alone: true })]),
      reopen('operator'),
    ],
    stage: 'quarantined',
    stageAtV2: 'quarantined',
  },
  {
    name: 'it ends back ends of the new version only',
    steps: [end('a', { version: 'v2' }), end('b', { version: 'v2' }), good('v1')],
    stage: 'free',
    stageAtV2: 'suspect',
  },
  {
    name: 'a repaired version runs it',
    steps: [...PROVED, permit('d', 'v2'), good('v2')],
    stage: 'quarantined',
    stageAtV2: 'free',
  },
];

for (const { name, steps, stage, stageAtV2 } of CASES) {
  test(`record: ${name}`, (t) => {
    const record = play(steps).records.get(REQUEST);
    t.is(record === undefined ? 'free' : stageAt(record, 'v1'), stage);
    if (stageAtV2 !== undefined && record !== undefined) t.is(stageAt(record, 'v2'), stageAtV2);
  });
}

test('one life may run a suspect at a time; the permit ends with its run, its report or its life', (t) => {
  const suspect = [end('a'), end('b')];
  t.deepEqual(play([...suspect, permit('c'), permit('d')]).given, ['c']);
  t.deepEqual(play([...suspect, permit('c'), release('c', true), permit('d')]).given, ['c', 'd']);
  t.deepEqual(play([...suspect, permit('c'), end('c'), permit('d')]).given, ['c', 'd']);
  t.deepEqual(play([...suspect, permit('c'), { kind: 'gone', life: 'c' }, permit('d')]).given, ['c', 'd']);
  t.deepEqual(
    play([...suspect, permit('c'), permit('c')]).given,
    ['c', 'c'],
    'asking again is answered again',
  );
});

test('a permit that was not used costs none of the runs that may follow', (t) => {
  const ambiguous = [end('a'), end('b'), end('c')];
  const unused = Array.from({ length: 9 }, () => [permit('d'), release('d', false)]).flat();
  t.is(play([...ambiguous, ...unused]).records.get(REQUEST)?.countedRuns, 0);
  const used = Array.from({ length: 9 }, () => [permit('d'), release('d', true)]).flat();
  t.is(play([...ambiguous, ...used]).given.length, MOST_COUNTED_RUNS);
});

test('what has used all its runs is shown as quarantined, and an operator is told why it is not reopened', (t) => {
  const used = ['d', 'e', 'f'].flatMap((at) => [permit(at), release(at, true)]);
  const { records } = play([end('a'), end('b'), end('c'), ...used]);
  t.like(reportCrashes(records.values())[0], { stage: 'quarantined', runsLeft: 0 });
  const command = { kind: 'reopen-request', fingerprint: REQUEST, by: 'operator' } as const;
  t.deepEqual(applyCrashCommand(records, command, 1).outcome, {
    kind: 'invalid',
    detail: 'all runs that may follow its third end have been used',
  });
});

const LIVES = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
const VERSIONS = ['v1', 'v2'];
const life = fc.constantFrom(...LIVES);
const version = fc.constantFrom(...VERSIONS);
const anyStep: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ life, version, alone: fc.boolean() }).map(({ life: at, ...options }) => end(at, options)),
  fc.record({ life, version }).map(({ life: at, version: of }) => permit(at, of)),
  fc.record({ life, begun: fc.boolean() }).map(({ life: at, begun }) => release(at, begun)),
  life.map((at): Step => ({ kind: 'gone', life: at })),
  fc.constantFrom<Step>(reopen('operator'), reopen('time')),
);

test('whatever the order: three runs at most are permitted after the third end, one at a time', (t) => {
  fc.assert(
    fc.property(fc.array(anyStep, { maxLength: 60 }), (steps) => {
      const records: CrashRecords = new Map();
      let begunSince = 0;
      let holder: string | null = null;
      steps.forEach((step, index) => {
        const before = records.get(REQUEST);
        const counted = before !== undefined && endsOf(before) >= ENDS_BEFORE_COUNT;
        if (step.kind === 'gone') {
          withdrawPermits(records, new Set([step.life]));
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
          if (counted && holder === null) begunSince += 1;
          holder = step.life;
        }
        const released = step.kind === 'release-permit' && holder === step.life;
        if (released && !step.begun && counted) begunSince -= 1;
        if (released || (step.kind === 'record-end' && holder === step.life)) {
          holder = records.get(REQUEST)?.permittedAt ?? null;
        }
      });
      return begunSince <= MOST_COUNTED_RUNS;
    }),
    { seed: 33, numRuns: 3_000 },
  );
  t.pass();
});

test('whatever the order: nothing is quarantined without an end of a back end that ran nothing else', (t) => {
  fc.assert(
    fc.property(fc.array(anyStep, { maxLength: 40 }), (steps) => {
      const beside = steps.map((step): Step => {
        if (step.kind !== 'record-end') return step;
        return { ...step, runs: step.runs.map((run) => ({ ...run, alone: false })) };
      });
      return play(beside).records.get(REQUEST)?.quarantined !== true;
    }),
    { seed: 33, numRuns: 1_000 },
  );
  t.pass();
});

test('whoever ends back ends on purpose: records stay bounded, and what is proved is kept longest', (t) => {
  const records: CrashRecords = new Map();
  let index = 0;
  const apply = (step: Step): readonly string[] => {
    index += 1;
    return step.kind === 'gone' ? [] : applyCrashCommand(records, step, index).removed;
  };
  for (const step of PROVED) apply(step);
  const removed: string[] = [];
  for (let at = 0; at < 400; at += 1) {
    const runs = Array.from({ length: 18 }, (_, run) => `flood-${at}-${run}`);
    removed.push(...apply(end(`x${at}`, { runs })), ...apply(end(`y${at}`, { runs })));
  }
  const watched = [...records.values()].filter(isWatched);
  t.true(watched.length <= 512);
  t.true(records.size - watched.length <= 2_048);
  t.true(watched.some(({ fingerprint }) => fingerprint === REQUEST));
  t.true(
    removed.length > 0 && removed.every((fingerprint) => !records.has(fingerprint)),
    'daemons forget them too',
  );
});
