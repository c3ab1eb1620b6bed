/** Measures what a request costs the sidecars of a small fleet: processor time, system calls and wake-ups. */
import { configurationBody } from '../../../platform/stand-in-wire.js';
import { steadyMs } from '../../../src/runtime/clock.js';
import { pause } from '../../pause.js';
import { Random } from '../../random.js';
import { AwaitedChanges } from '../awaited-changes.js';
import { SoakJudge } from '../soak-judge.js';
import { SoakOperator } from '../soak-operator.js';
import type { HostReport } from './host-messages.js';
import { LargeFleet, type LargeSoakPaths } from './large-fleet.js';
import { planLargeSoak, type LargeSoakPlan, type LargeSoakSize } from './large-plan.js';
import { configuredRoutes } from './large-routes.js';
import { processUsage, usageBetween } from './process-usage.js';

const MS_PER_SECOND = 1_000;
const READY_LIMIT_MS = 30_000;
const READY_POLL_MS = 250;

/** Time in ms after the start of the traffic that is not measured: connections are opened and slots fill up. */
const SETTLE_MS = 2_000;

/** What to measure. */
export interface RequestCostOptions extends LargeSoakPaths {
  readonly seed: number;
  readonly size: LargeSoakSize;
  readonly measuredMs: number;
}

/** Cost of one request, as means over the measured time and the sum of all sidecars. */
export interface RequestCost {
  readonly requests: number;
  readonly answeredShare: number;
  readonly refusedShare: number;
  readonly processorMs: number;
  readonly reads: number;
  readonly writes: number;
  readonly wakeUps: number;
}

/** Starts a fleet, sends its traffic and measures its sidecars; null if they were not ready in time. */
export async function measureRequestCost(options: RequestCostOptions): Promise<RequestCost | null> {
  const plan = planLargeSoak(options.seed, options.size);
  const ended = { answered: 0, refused: 0, failed: 0, left: 0 };
  const fleet = new LargeFleet(plan, options, (report: HostReport) => {
    for (const { outcome } of report.outcomes) ended[outcome] += 1;
  });
  try {
    fleet.up();
    if (!(await form(plan, fleet))) return null;
    fleet.startTraffic();
    await pause(SETTLE_MS);
    const pids = fleet.sidecars.flatMap(({ process }) => process.pid ?? []);
    const [usageBefore, endedBefore] = [processUsage(pids), { ...ended }];
    await pause(options.measuredMs);
    const used = usageBetween(usageBefore, processUsage(pids));
    const answered = ended.answered - endedBefore.answered;
    const refused = ended.refused - endedBefore.refused;
    const rest = ended.failed - endedBefore.failed + ended.left - endedBefore.left;
    const requests = Math.max(1, answered + refused + rest);
    return {
      requests,
      answeredShare: answered / requests,
      refusedShare: refused / requests,
      processorMs: (used.processorSeconds * MS_PER_SECOND) / requests,
      reads: used.reads / requests,
      writes: used.writes / requests,
      wakeUps: used.wakeUps / requests,
    };
  } finally {
    await fleet.endTraffic();
    await fleet.down();
  }
}

async function form(plan: LargeSoakPlan, fleet: LargeFleet): Promise<boolean> {
  const awaited = new AwaitedChanges({ baseMs: Infinity, perRouteMs: 0 }, () => undefined);
  const judge = new SoakJudge(0, 0);
  const operator = new SoakOperator(fleet.operatorAddresses, judge, new Random(plan.seed), awaited);
  const timer = setTimeout(() => {
    operator.stop();
  }, READY_LIMIT_MS);
  const routes = configuredRoutes(1);
  const services = plan.services.map((service) => ({ ...service, grantMode: plan.grantMode }));
  const acknowledged = await operator.change(configurationBody(routes, services, 1), routes);
  clearTimeout(timer);
  const endMs = steadyMs() + READY_LIMIT_MS;
  while (acknowledged && steadyMs() < endMs) {
    const ready = await Promise.all(
      plan.sidecarMachines.map(async (machine) => await fleet.isReady(machine)),
    );
    if (ready.every(Boolean)) return true;
    await pause(READY_POLL_MS);
  }
  return false;
}
