/** When failures of broken runs are delivered, and which runs are reported to the crash guard. */
import test from 'ava';
import type { InterruptedRun } from '../../src/quarantine/interrupted-runs.js';
import type { IdentifiedRequest } from '../../src/quarantine/request-fingerprint.js';
import type { RunOutcome } from '../../src/sidecar/backend-run.js';
import { NO_CRASH_GUARD, type CrashGuard } from '../../src/sidecar/crash-guard.js';
import { RunReporter } from '../../src/sidecar/run-reporter.js';
import { ManualTime } from './manual-runtime.js';

const IDENTITY: IdentifiedRequest = {
  method: 'GET',
  host: 'h.example',
  path: '/a',
  headers: [],
  key: null,
  body: Buffer.alloc(0),
};
const RUN = { requestId: 'r', instance: 'one', identity: IDENTITY, alone: false, usedMs: 12.4 };
const BROKEN: RunOutcome = { kind: 'broken', reason: 'broken', detail: 'reset', sent: true };
const FAILURE = { reason: 'broken', detail: 'reset', status: null } as const;

class World {
  readonly interrupted: InterruptedRun[] = [];
  readonly answered: number[] = [];
  readonly delivered: string[] = [];
  endCheckDone: () => void = () => undefined;
  readonly reporter: RunReporter;

  constructor() {
    const guard: CrashGuard = {
      ...NO_CRASH_GUARD,
      answered: (_request, statusCode) => this.answered.push(statusCode),
      interrupted: (run) => this.interrupted.push(run),
      checkBackendEnd: async () => {
        await new Promise<void>((resolve) => (this.endCheckDone = resolve));
      },
    };
    this.reporter = new RunReporter(guard, new ManualTime().runtime);
  }

  fail(reason: 'broken' | 'garbled'): void {
    this.reporter.fail({ ...FAILURE, reason }, ({ reason: delivered }) => this.delivered.push(delivered));
  }
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 5; turn += 1) await Promise.resolve();
}

test('the failure of a broken run is delivered after the end check, and others at once', async (t) => {
  const world = new World();
  world.fail('garbled');
  world.fail('broken');
  await settle();
  t.deepEqual(world.delivered, ['garbled']);
  world.endCheckDone();
  await settle();
  t.deepEqual(world.delivered, ['garbled', 'broken']);
});

test('all held failures are delivered before the goodbye, after which requests without an answer count as not run', async (t) => {
  const world = new World();
  world.fail('broken');
  world.reporter.flush();
  t.deepEqual(world.delivered, ['broken']);
  world.endCheckDone();
  await settle();
  t.deepEqual(world.delivered, ['broken'], 'once');
});

const OUTCOMES: readonly [string, RunOutcome, boolean][] = [
  ['broken by the back end', BROKEN, true],
  ['refused before it was sent', { ...BROKEN, sent: false }, false],
  ['garbled', { ...BROKEN, reason: 'garbled' }, false],
  ['cancelled by its caller', { kind: 'cancelled' }, true],
  ['out of time', { kind: 'deadline' }, true],
  ['declined', { kind: 'declined', statusCode: 421 }, false],
  ['answered', { kind: 'answered', statusCode: 200, bytes: 1, pace: null }, false],
];

for (const [name, outcome, isInterrupted] of OUTCOMES) {
  test(`a run that was ${name} ${isInterrupted ? 'is' : 'is not'} reported as possibly ending its back end`, (t) => {
    const world = new World();
    const fingerprint = world.reporter.report(RUN, outcome);
    t.is(world.interrupted.length, isInterrupted ? 1 : 0);
    t.is(world.interrupted[0]?.fingerprint, fingerprint);
    t.deepEqual(world.answered, outcome.kind === 'answered' ? [200] : []);
  });
}

test('the run of a suspect ends at once, but a broken one only after the end check', async (t) => {
  const world = new World();
  const ended: string[] = [];
  world.reporter.afterEndCheck({ kind: 'deadline' }, () => ended.push('deadline'));
  world.reporter.afterEndCheck(BROKEN, () => ended.push('broken'));
  await settle();
  t.deepEqual(ended, ['deadline']);
  world.endCheckDone();
  await settle();
  t.deepEqual(ended, ['deadline', 'broken']);
});
