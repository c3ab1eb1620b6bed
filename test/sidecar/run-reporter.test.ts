/** When callers are told of runs that broke off, and what the guard is told of runs. */
import test from 'ava';
import type { InterruptedRun } from '../../src/quarantine/interrupted-runs.js';
import type { IdentifiedRequest } from '../../src/quarantine/request-fingerprint.js';
import type { RunOutcome } from '../../src/sidecar/backend-run.js';
import { OPEN_GUARD, type CrashGuard } from '../../src/sidecar/crash-guard.js';
import { RunReports } from '../../src/sidecar/run-reporter.js';
import { ManualTime } from './manual-runtime.js';

const IDENTITY: IdentifiedRequest = {
  method: 'GET',
  host: 'h.example',
  path: '/a',
  headers: [],
  key: null,
  body: Buffer.alloc(0),
};
const RUN = { requestId: 'r', identity: IDENTITY, alone: false, usedMs: 12.4 };
const BROKEN: RunOutcome = { kind: 'broken', reason: 'broken', detail: 'reset', sent: true };
const FAILURE = { reason: 'broken', detail: 'reset', status: null } as const;

class World {
  readonly interrupted: InterruptedRun[] = [];
  readonly answered: number[] = [];
  readonly told: string[] = [];
  known: () => void = () => undefined;
  readonly reports: RunReports;

  constructor() {
    const guard: CrashGuard = {
      ...OPEN_GUARD,
      answered: (_request, statusCode) => this.answered.push(statusCode),
      interrupted: (run) => this.interrupted.push(run),
      runBroke: async () => {
        await new Promise<void>((resolve) => (this.known = resolve));
      },
    };
    this.reports = new RunReports(guard, new ManualTime().runtime);
  }

  fail(reason: 'broken' | 'garbled'): void {
    this.reports.fail({ ...FAILURE, reason }, ({ reason: told }) => this.told.push(told));
  }
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 5; turn += 1) await Promise.resolve();
}

test('a caller is told of a broken run once it is known what it showed, and of others at once', async (t) => {
  const world = new World();
  world.fail('garbled');
  world.fail('broken');
  await settle();
  t.deepEqual(world.told, ['garbled']);
  world.known();
  await settle();
  t.deepEqual(world.told, ['garbled', 'broken']);
});

test('a daemon that says goodbye has told of every failure before, since what has no answer counts as not run', async (t) => {
  const world = new World();
  world.fail('broken');
  world.reports.flush();
  t.deepEqual(world.told, ['broken']);
  world.known();
  await settle();
  t.deepEqual(world.told, ['broken'], 'once');
});

const OUTCOMES: readonly [string, RunOutcome, boolean][] = [
  ['broken off by the back end', BROKEN, true],
  ['refused before it was sent', { ...BROKEN, sent: false }, false],
  ['garbled', { ...BROKEN, reason: 'garbled' }, false],
  ['cancelled by its caller', { kind: 'cancelled' }, true],
  ['out of time', { kind: 'deadline' }, true],
  ['declined', { kind: 'declined', statusCode: 421 }, false],
  ['answered', { kind: 'answered', statusCode: 200, bytes: 1, pace: null }, false],
];

for (const [name, outcome, isInterrupted] of OUTCOMES) {
  test(`a run that was ${name} ${isInterrupted ? 'may be' : 'is not'} what its back end ends under`, (t) => {
    const world = new World();
    const fingerprint = world.reports.report(RUN, outcome);
    t.is(world.interrupted.length, isInterrupted ? 1 : 0);
    t.is(world.interrupted[0]?.fingerprint, fingerprint);
    t.deepEqual(world.answered, outcome.kind === 'answered' ? [200] : []);
  });
}

test('the run of a suspect is over at once, but after a break only when that is recorded', async (t) => {
  const world = new World();
  const over: string[] = [];
  world.reports.whenKnown({ kind: 'deadline' }, () => over.push('deadline'));
  world.reports.whenKnown(BROKEN, () => over.push('broken'));
  await settle();
  t.deepEqual(over, ['deadline']);
  world.known();
  await settle();
  t.deepEqual(over, ['deadline', 'broken']);
});
