/** Plays one seed of the soak of planned work: the real programs, with requests of every length over kept connections. */
import { rmSync } from 'node:fs';
import { join } from 'node:path';
import { STAND_IN_BOUNDS, STAND_IN_PORTS } from '../../platform/stand-in-wire.js';
import { pause } from '../pause.js';
import { Random } from '../random.js';
import { AnswerTimes } from './answer-times.js';
import { AwaitedChanges } from './awaited-changes.js';
import { OwedAnswerRule, type OwedAnswer } from './owed-answer-rule.js';
import { PlannedWorkCaller, type PlannedWorkCounts } from './planned-work-callers.js';
import { PlannedWorkLog } from './planned-work-log.js';
import { planPlannedWork, type PlannedWorkChoice, type PlannedWorkPlan } from './planned-work-plan.js';
import { CALLER_GROUPS, type CallerGroup } from './planned-work-requests.js';
import { PlannedWorkChanges, plannedWorkRoutes } from './planned-work-routes.js';
import { PlannedWorkTroubles } from './planned-work-troubles.js';
import { threadTimes } from './large/processor-time.js';
import { ProcessorWaits } from './processor-waits.js';
import { SoakFleet } from './soak-fleet.js';
import { SoakJudge, type SoakViolation } from './soak-judge.js';
import { SoakOperator } from './soak-operator.js';
import { UnansweredRule } from './unanswered-rule.js';

const MS_PER_SECOND = 1_000;

/** Time that a disruption excuses its machine after its end, in ms. */
const CONTACT_MS = 3_000;

/** Distance between the seeds of the callers of one run. */
const CALLER_SEED_STEP = 1_009;

/** Time limits in ms for the first configuration, for the fleet to serve, and for the last requests to end. */
const FORMATION_LIMIT_MS = 20_000;
const SETTLE_MS = 3_000;
const LAST_REQUESTS_MS = 12_000;

/** Share of the requests that must be answered in a run, so that the rules have something to judge; full links refuse more. */
const MIN_ANSWERED_SHARE = 0.5;
const MIN_ANSWERED_SHARE_ON_SLOW_LINKS = 0.3;

/** Interval in ms between checks for shared keys. */
const CHECK_INTERVAL_MS = 50;

/** Interval in ms between samples of the waits for a processor, near the silence after which daemons give up a link. */
const WAITS_INTERVAL_MS = 500;

/** Result of one seed. */
export interface PlannedWorkReport {
  readonly seed: number;
  readonly grantMode: string;
  /** Missing if the links are not limited. */
  readonly linkMbps?: number;
  readonly counts: PlannedWorkCounts;
  readonly answers: Readonly<Record<CallerGroup, AnswerTimes>>;
  /** Numbers of requests without the answer that they were owed, by kind. */
  readonly owed: Readonly<Record<string, number>>;
  readonly changes: number;
  readonly work: readonly string[];
  readonly longestStallMs: number;
  readonly violations: readonly SoakViolation[];
  /** Observations that break no rule. */
  readonly notes: readonly string[];
}

/** Options of a run. */
export interface PlannedWorkOptions extends PlannedWorkChoice {
  readonly program: string;
  readonly folder: string;
}

/** Everything that takes part in a run. */
interface PlannedWorkParts {
  readonly plan: PlannedWorkPlan;
  readonly judge: SoakJudge;
  readonly fleet: SoakFleet;
  readonly changes: PlannedWorkChanges;
  readonly troubles: PlannedWorkTroubles;
  readonly owedAnswers: OwedAnswerRule;
  readonly callers: readonly PlannedWorkCaller[];
  /** Start of the requests, which `play` sets. */
  readonly traffic: { startMs: number };
}

/** Plays one seed and returns its report. */
export async function runPlannedWork(options: PlannedWorkOptions): Promise<PlannedWorkReport> {
  const plan = planPlannedWork(options);
  const log = new PlannedWorkLog({
    graceMs: STAND_IN_BOUNDS.grace_s * MS_PER_SECOND,
    applyMs: STAND_IN_BOUNDS.config_apply_s * MS_PER_SECOND,
    contactMs: CONTACT_MS,
  });
  const unanswered = new UnansweredRule(log);
  const { drain_s: drainSeconds, config_apply_s: applySeconds } = STAND_IN_BOUNDS;
  const judge = new SoakJudge(
    drainSeconds * MS_PER_SECOND,
    applySeconds * MS_PER_SECOND,
    Infinity,
    () => false,
    () => false,
    unanswered,
  );
  const random = new Random(options.seed + 1);
  const folder = join(options.folder, `planned-${options.seed}`);
  // A replica's log of an earlier run would bring its configuration back.
  rmSync(folder, { recursive: true, force: true });
  const fleet = new SoakFleet(plan.fleet, { program: options.program, folder }, judge, random);
  const awaited = new AwaitedChanges({ baseMs: Infinity, perRouteMs: 0 }, () => undefined);
  const operator = new SoakOperator(fleet.operatorAddresses, judge, random, awaited);
  const changes = new PlannedWorkChanges(plannedWorkRoutes(plan.fleet.services), operator, log);
  const troubles = new PlannedWorkTroubles(fleet, changes, log);
  const counts = { sent: 0, answered: 0, refused: 0, failed: 0, closed: 0, incomplete: 0 };
  const times = { usual: new AnswerTimes(), pool: new AnswerTimes(), pipelined: new AnswerTimes() };
  const traffic = { startMs: Infinity };
  const isRush = (): boolean => {
    const atMs = performance.now() - traffic.startMs;
    return plan.rushes.some(({ fromMs, toMs }) => fromMs <= atMs && atMs <= toMs);
  };
  const groups = CALLER_GROUPS.flatMap((group) => repeated(group, plan.callers[group]));
  const { stalls } = fleet;
  const ports = { judge, records: unanswered, stalls, routes: changes.routes, counts, times, isRush };
  const callers = fleet.sidecars.flatMap(({ name, ip }, machineAt) =>
    groups.map((group, at) => {
      const number = machineAt * groups.length + at;
      const seed = options.seed + (1 + number) * CALLER_SEED_STEP;
      const address = { host: ip, port: STAND_IN_PORTS.callers };
      return new PlannedWorkCaller(`p${options.seed}-${group}-${number}`, group, seed, name, address, ports);
    }),
  );
  const timer = setInterval(() => {
    judge.checkOverlaps(performance.now());
  }, CHECK_INTERVAL_MS);
  const waits = new ProcessorWaits(
    (pid) => threadTimes(pid).waitedMs,
    (machine, fromMs, toMs) => {
      log.delayed(machine, fromMs, toMs);
    },
    performance.now(),
  );
  const waitsTimer = setInterval(() => {
    const daemons = [...fleet.directories, ...fleet.sidecars].flatMap(({ name, process: daemon }) =>
      daemon.pid === undefined ? [] : [{ machine: name, pid: daemon.pid }],
    );
    waits.sample([{ machine: null, pid: process.pid }, ...daemons], performance.now());
  }, WAITS_INTERVAL_MS);
  const owedAnswers = new OwedAnswerRule(unanswered, log);
  let owed: readonly OwedAnswer[] = [];
  try {
    owed = await play({ plan, judge, fleet, changes, troubles, owedAnswers, callers, traffic });
  } finally {
    clearInterval(timer);
    clearInterval(waitsTimer);
    operator.stop();
    await fleet.down();
  }
  for (const { isViolation, detail, atMs } of owed) {
    if (isViolation) judge.answerOwed(detail, atMs);
    else judge.notes.push(detail);
  }
  const isSlow = plan.fleet.linkMbps !== undefined;
  const minShare = isSlow ? MIN_ANSWERED_SHARE_ON_SLOW_LINKS : MIN_ANSWERED_SHARE;
  if (counts.answered < counts.sent * minShare)
    judge.notRecovered(`${counts.answered} of ${counts.sent} requests were answered`, performance.now());
  return {
    seed: options.seed,
    grantMode: plan.fleet.grantMode,
    ...(plan.fleet.linkMbps === undefined ? {} : { linkMbps: plan.fleet.linkMbps }),
    counts,
    answers: times,
    owed: countsOf(owed),
    changes: operator.changes,
    work: troubles.records,
    longestStallMs: fleet.stalls.longestMs,
    violations: judge.violations,
    notes: judge.notes,
  };
}

/** Plays the plan; returns the requests that ended without the answer that they were owed. */
async function play({
  plan,
  judge,
  fleet,
  changes,
  troubles,
  owedAnswers,
  callers,
  traffic,
}: PlannedWorkParts): Promise<readonly OwedAnswer[]> {
  await fleet.up();
  const isFormed = await Promise.race([
    changes.setFirst(plan.fleet.services, plan.fleet.grantMode),
    pause(FORMATION_LIMIT_MS).then(() => false),
  ]);
  if (!isFormed) {
    judge.notRecovered('the first configuration was not acknowledged', performance.now());
    return [];
  }
  await pause(SETTLE_MS);
  const startMs = performance.now();
  traffic.startMs = startMs;
  const calls = Promise.all(callers.map(async (caller) => await caller.run()));
  const works = plan.work.map(async (work) => {
    await pause(work.atMs);
    await troubles.apply(work);
  });
  await Promise.all([pause(plan.fleet.troubledMs), ...works]);
  for (const caller of callers) caller.stop();
  await Promise.race([calls, pause(LAST_REQUESTS_MS)]);
  judge.checkUnanswered(startMs, performance.now());
  for (const caller of callers) caller.abandon();
  return owedAnswers.result();
}

/** Counts by kind; those during which the machine delayed the processes on the way apart. */
function countsOf(owed: readonly OwedAnswer[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { kind, isDelayed } of owed) {
    const name = isDelayed ? `${kind} (delayed)` : kind;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

/** Returns a list of one item several times. */
function repeated<T>(item: T, times: number): T[] {
  return Array.from({ length: times }, () => item);
}
