/** Plays one seed of a soak: the real programs under troubles, checked while they run. */
import { join } from 'node:path';
import {
  configurationBody,
  STAND_IN_BOUNDS,
  STAND_IN_PORTS,
  type StandInRoute,
} from '../../platform/stand-in-wire.js';
import { pause } from '../pause.js';
import { AwaitedChanges } from './awaited-changes.js';
import { Random } from '../random.js';
import { SoakCallers, type CalledDaemon, type CalledRoute, type CallerCounts } from './soak-callers.js';
import { SoakFleet } from './soak-fleet.js';
import { SoakJudge, type SoakViolation } from './soak-judge.js';
import { SoakOperator } from './soak-operator.js';
import { planSoak, type SoakPlan, type SoakTroubleKind } from './soak-plan.js';
import { SoakTroubles } from './soak-troubles.js';

const MS_PER_SECOND = 1_000;

/** Requests per second over all daemons. */
const REQUESTS_PER_SECOND = 60;

/** Mean pauses of the operator between changes and between reads, in ms. */
const CHANGE_PAUSE_MS = 1_200;
const READ_PAUSE_MS = 700;

/** Time limits in ms for the first configuration, and for the daemons to be ready after it. */
const FORMATION_LIMIT_MS = 20_000;
const READY_LIMIT_MS = 15_000;

/** Length in ms of the window after the troubles in which requests must be answered. */
const RECOVERY_WINDOW_MS = 3_000;

/** Minimum share of the requests of a window that must be answered. */
const MIN_ANSWERED_SHARE = 0.6;

/** Time in ms without troubles after which a daemon must know every acknowledged route. */
const SETTLED_MS = 6_000;

/** Time in ms without troubles after which the directory must acknowledge changes in time, and addition for each route. */
const STABLE_MS = 3_000;
const ACKNOWLEDGEMENT_PER_ROUTE_MS = 3;

const CHECK_INTERVAL_MS = 50;
const PROBE_INTERVAL_MS = 900;
const HOST = 'soak.example';
const UNKNOWN_ROUTE_STATUS = 404;

/** Result of one seed. */
export interface SoakReport {
  readonly seed: number;
  readonly grantMode: string;
  readonly counts: CallerCounts;
  readonly changes: number;
  readonly troubles: readonly string[];
  readonly violations: readonly SoakViolation[];
}

/** Options of a soak. */
export interface SoakOptions {
  readonly seed: number;
  readonly program: string;
  readonly folder: string;
  /** Limits the troubles to this kind; null for all. */
  readonly only: SoakTroubleKind | null;
}

/** Plays one seed and returns its report. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
  const plan = planSoak(options.seed, options.only);
  const random = new Random(options.seed + 1);
  const drainMs = STAND_IN_BOUNDS.drain_s * MS_PER_SECOND;
  const applyMs = STAND_IN_BOUNDS.config_apply_s * MS_PER_SECOND;
  const evacuationMs = STAND_IN_BOUNDS.evacuate_s * MS_PER_SECOND;
  const judge = new SoakJudge(
    drainMs,
    applyMs,
    evacuationMs,
    () => troubles.undisturbedFor(SETTLED_MS),
    (_machine, atMs) => troubles.wasUndisturbed(atMs, STABLE_MS),
  );
  const folder = join(options.folder, `seed-${options.seed}`);
  const fleet = new SoakFleet(plan, { program: options.program, folder }, judge, random);
  const bound = { baseMs: STAND_IN_BOUNDS.ack_s * MS_PER_SECOND, perRouteMs: ACKNOWLEDGEMENT_PER_ROUTE_MS };
  const awaitedChanges = new AwaitedChanges(bound, (detail, nowMs) => {
    judge.changeOverdue(detail, nowMs);
  });
  const operator = new SoakOperator(fleet.operatorAddresses, judge, random, awaitedChanges);
  const template = templateOf(plan);
  const troubles: SoakTroubles = new SoakTroubles(fleet, operator, template, (choice) => {
    callers.sendCrashingRequest(choice);
  });
  const callers: SoakCallers = makeCallers(plan, fleet, judge, random, troubles);
  let isFormed = false;
  const timers = [
    setInterval(() => {
      const nowMs = performance.now();
      judge.checkOverlaps(nowMs);
      awaitedChanges.check(isFormed && troubles.undisturbedFor(STABLE_MS), nowMs);
    }, CHECK_INTERVAL_MS),
  ];
  try {
    await fleet.up();
    if (await applyFirstConfiguration(plan, operator, judge)) {
      isFormed = true;
      timers.push(
        setInterval(
          () => void probeRoute(fleet, operator, callers, troubles, judge, random),
          PROBE_INTERVAL_MS,
        ),
      );
      await playPlan(plan, template, operator, callers, troubles, judge);
    }
  } finally {
    for (const timer of timers) clearInterval(timer);
    operator.stop();
    troubles.stop();
    callers.stop();
    await fleet.down();
    callers.close();
  }
  judge.checkLateWork(performance.now());
  return {
    seed: plan.seed,
    grantMode: plan.grantMode,
    counts: callers.counts,
    changes: operator.changes,
    troubles: troubles.records.map(({ kind, target }) => `${kind} on ${target}`),
    violations: judge.violations,
  };
}

async function playPlan(
  plan: SoakPlan,
  template: StandInRoute,
  operator: SoakOperator,
  callers: SoakCallers,
  troubles: SoakTroubles,
  judge: SoakJudge,
): Promise<void> {
  callers.start(REQUESTS_PER_SECOND);
  const allReady = await waitFor(
    () => plan.sidecars.every(({ name }) => callers.isReady(name)),
    READY_LIMIT_MS,
  );
  if (!allReady) judge.notRecovered('not all daemons were ready before the troubles', performance.now());
  const background = [
    operator.changeRepeatedly(template, CHANGE_PAUSE_MS),
    operator.readRepeatedly(READ_PAUSE_MS),
  ];
  const injected = plan.troubles.map(async (trouble) => {
    await pause(trouble.atMs);
    await troubles.inject(trouble);
  });
  await Promise.all([pause(plan.troubledMs), ...injected]);
  await pause(SETTLED_MS);
  await checkRecovery(callers, judge);
  operator.stop();
  await Promise.all(background);
  const read = await waitForRead(operator);
  if (!read) judge.notRecovered('the configuration could not be read at the end', performance.now());
}

async function checkRecovery(callers: SoakCallers, judge: SoakJudge): Promise<void> {
  const endMs = performance.now() + STAND_IN_BOUNDS.recovery_s * MS_PER_SECOND;
  for (;;) {
    const before = { ...callers.counts };
    await pause(RECOVERY_WINDOW_MS);
    const answered = callers.counts.answered - before.answered;
    const sent = callers.counts.sent - before.sent;
    if (sent > 0 && answered >= sent * MIN_ANSWERED_SHARE) return;
    if (performance.now() < endMs) continue;
    judge.notRecovered(
      `${answered} of ${sent} requests were answered in the last stretch`,
      performance.now(),
    );
    return;
  }
}

async function waitForRead(operator: SoakOperator): Promise<boolean> {
  for (let attempt = 0; attempt < 40; attempt += 1) {
    if (await operator.read(true)) return true;
    await pause(100);
  }
  return false;
}

async function applyFirstConfiguration(
  plan: SoakPlan,
  operator: SoakOperator,
  judge: SoakJudge,
): Promise<boolean> {
  const services = plan.services.map((service) => ({ ...service, grantMode: plan.grantMode }));
  const routes = routesOf(plan);
  const timer = setTimeout(() => {
    operator.stop();
  }, FORMATION_LIMIT_MS);
  const acknowledged = await operator.change(configurationBody(routes, services, 1), routes);
  clearTimeout(timer);
  if (!acknowledged) judge.notRecovered('the first configuration was not acknowledged', performance.now());
  return acknowledged;
}

/** Returns the route that added routes are modelled on. */
function templateOf(plan: SoakPlan): StandInRoute {
  const template = routesOf(plan)[1];
  if (template === undefined) throw new Error('invariant broken: a soak has a service');
  return template;
}

/** Returns one route for repeatable and one for non-repeatable requests of each service. */
function routesOf(plan: SoakPlan): StandInRoute[] {
  return plan.services.flatMap(({ name }) => [
    {
      name: `${name}-get`,
      host: HOST,
      prefix: `/${name}/get/`,
      kind: 'safe' as const,
      service: name,
      version: 1,
    },
    {
      name: `${name}-post`,
      host: HOST,
      prefix: `/${name}/post/`,
      kind: 'non_idempotent' as const,
      service: name,
      version: 1,
    },
  ]);
}

function makeCallers(
  plan: SoakPlan,
  fleet: SoakFleet,
  judge: SoakJudge,
  random: Random,
  troubles: SoakTroubles,
): SoakCallers {
  const daemons = fleet.sidecars.map(({ name, ip }) => calledDaemon(name, ip));
  const routes = routesOf(plan).map((route): CalledRoute => ({
    host: route.host,
    prefix: route.prefix,
    repeatable: route.kind === 'safe',
    keyed: plan.services.find(({ name }) => name === route.service)?.keyed === true,
  }));
  const quietMs = 3_000;
  return new SoakCallers(plan.seed, daemons, routes, {
    judge,
    random,
    onlyPlannedStops: (machine, sinceMs) => troubles.onlyPlannedStops(machine, sinceMs, quietMs),
  });
}

function calledDaemon(machine: string, ip: string): CalledDaemon {
  return {
    machine,
    callers: { host: ip, port: STAND_IN_PORTS.callers },
    readiness: { host: ip, port: STAND_IN_PORTS.readiness },
  };
}

/** Sends a request on a route that was acknowledged long enough ago to one daemon. */
async function probeRoute(
  fleet: SoakFleet,
  operator: SoakOperator,
  callers: SoakCallers,
  troubles: SoakTroubles,
  judge: SoakJudge,
  random: Random,
): Promise<void> {
  const applyMs = STAND_IN_BOUNDS.config_apply_s * MS_PER_SECOND;
  const settledRoutes = [...operator.routes.values()].filter(
    ({ atMs }) => performance.now() - atMs > applyMs,
  );
  const machine = random.pick(fleet.sidecars);
  if (settledRoutes.length === 0 || !callers.isReady(machine.name) || !troubles.undisturbedFor(SETTLED_MS))
    return;
  const { route } = random.pick(settledRoutes);
  const keyed = fleet.plan.services.find(({ name }) => name === route.service)?.keyed === true;
  const called = { host: route.host, prefix: route.prefix, repeatable: route.kind === 'safe', keyed };
  const status = await callers.send(calledDaemon(machine.name, machine.ip), called);
  if (status === UNKNOWN_ROUTE_STATUS) judge.routeUnknown(machine.name, route.name, performance.now());
}

async function waitFor(isDone: () => boolean, limitMs: number): Promise<boolean> {
  const endMs = performance.now() + limitMs;
  while (!isDone() && performance.now() < endMs) await pause(CHECK_INTERVAL_MS);
  return isDone();
}
