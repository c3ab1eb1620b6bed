/** Plays one seed of a large soak: calm, a series of troubles, the loss of all daemons, and the time after their return. */
import { configurationBody, STAND_IN_BOUNDS } from '../../../platform/stand-in-wire.js';
import { steadyMs } from '../../../src/runtime/clock.js';
import { pause } from '../../pause.js';
import { Random } from '../../random.js';
import { AwaitedChanges } from '../awaited-changes.js';
import { LateWorkRule, type LateWorkResult } from '../late-work-rule.js';
import { ReturnRule, type ReturnResult } from '../return-rule.js';
import { SoakJudge } from '../soak-judge.js';
import { SoakOperator } from '../soak-operator.js';
import { Disturbances } from './disturbances.js';
import type { HostReport } from './host-messages.js';
import { LargeFleet, type LargeMachine, type LargeSoakPaths } from './large-fleet.js';
import { planLargeSoak, type LargeSoakPlan, type LargeSoakSize, type LargeTrouble } from './large-plan.js';
import { configuredRoutes } from './large-routes.js';
import { processorSeconds } from './processor-time.js';

const MS_PER_SECOND = 1_000;

/** Time in ms without a disturbance after which a machine is in touch with the others. */
const CONTACT_MS = 3_000;

/** Time limits in ms for the first configuration, and for all daemons to be ready after it. */
const FORMATION_LIMIT_MS = 30_000;
const READY_LIMIT_MS = 30_000;
const READY_POLL_MS = 250;

/** Time in ms after the return of all daemons for which callers are still observed beyond the bound. */
const OBSERVED_MS = 6_000;

/** Time in ms between the end of the traffic and the end of the back ends, in which what is late arrives. */
const SETTLE_MS = 2_000;

/** Share of the requests that must be answered before the loss; with less, the return shows nothing. */
const MIN_SHARE_BEFORE = 0.25;

/** Factor on the work time of slow back ends. */
const SLOW_FACTOR = 4;

/** Bound on the time in which the directory acknowledges a change; large soaks do not judge it. */
const UNBOUNDED = { baseMs: Infinity, perRouteMs: 0 };

/** Outcomes of the requests of a phase. */
export interface PhaseCounts {
  answered: number;
  refused: number;
  failed: number;
  left: number;
}

/** Result of one seed. */
export interface LargeSoakReport {
  readonly seed: number;
  readonly loss: string;
  readonly troubles: readonly string[];
  /** Outcomes by phase: before the loss, and after it. */
  readonly before: PhaseCounts;
  readonly after: PhaseCounts;
  /** Processor cores that the daemons used before the loss, and in each second after the return. */
  readonly coresBefore: number;
  readonly coresAfter: readonly number[];
  readonly lateWork: LateWorkResult;
  readonly serviceReturn: ReturnResult;
  /** Longest stall of a host in ms; their stalls are taken off what they observe. */
  readonly longestHostStallMs: number;
  readonly violations: readonly string[];
}

/** What to play. */
export interface LargeSoakOptions extends LargeSoakPaths {
  readonly seed: number;
  readonly size: LargeSoakSize;
}

/** Plays one seed and returns its report. */
export async function runLargeSoak(options: LargeSoakOptions): Promise<LargeSoakReport> {
  const run = new LargeSoakRun(planLargeSoak(options.seed, options.size), options);
  return await run.play();
}

/** One seed. */
class LargeSoakRun {
  private readonly disturbances = new Disturbances(CONTACT_MS);
  private readonly lateWork = new LateWorkRule((machine, atMs) => this.disturbances.isInTouch(machine, atMs));
  private readonly serviceReturn = new ReturnRule(STAND_IN_BOUNDS.recovery_s * MS_PER_SECOND);
  private readonly judge = new SoakJudge(0, 0);
  private readonly fleet: LargeFleet;
  private readonly operator: SoakOperator;
  private readonly random: Random;
  private readonly before: PhaseCounts = { answered: 0, refused: 0, failed: 0, left: 0 };
  private readonly after: PhaseCounts = { answered: 0, refused: 0, failed: 0, left: 0 };
  private readonly coresAfter: number[] = [];
  private coresBefore = 0;
  private lostMs = Infinity;
  private returnedMs = Infinity;
  private longestHostStallMs = 0;
  private version = 1;

  constructor(
    private readonly plan: LargeSoakPlan,
    paths: LargeSoakPaths,
  ) {
    this.random = new Random(plan.seed + 1);
    this.fleet = new LargeFleet(plan, paths, (report) => {
      this.receive(report);
    });
    const awaited = new AwaitedChanges(UNBOUNDED, () => undefined);
    this.operator = new SoakOperator(this.fleet.operatorAddresses, this.judge, this.random, awaited);
  }

  async play(): Promise<LargeSoakReport> {
    const violations: string[] = [];
    try {
      this.fleet.up();
      if (!(await this.form())) violations.push('recovery: not all daemons were ready before the traffic');
      else await this.playPhases();
    } finally {
      this.operator.stop();
      await this.fleet.down();
    }
    const lateWork = this.lateWork.result();
    const serviceReturn = this.serviceReturn.result(this.lostMs, this.returnedMs);
    if (serviceReturn.shareBefore < MIN_SHARE_BEFORE)
      violations.push('recovery: too few requests were answered before the loss');
    violations.push(...lateWork.violations.map((detail) => `late-work: ${detail}`));
    violations.push(...serviceReturn.violations.map((detail) => `service-return: ${detail}`));
    violations.push(...this.judge.violations.map(({ promise, detail }) => `${promise}: ${detail}`));
    return {
      seed: this.plan.seed,
      loss: this.plan.loss,
      troubles: this.plan.troubles.map(({ kind }) => kind),
      before: this.before,
      after: this.after,
      coresBefore: this.coresBefore,
      coresAfter: this.coresAfter,
      lateWork,
      serviceReturn,
      longestHostStallMs: this.longestHostStallMs,
      violations,
    };
  }

  private receive({ outcomes, arrivals, runs, longestStallMs }: HostReport): void {
    this.longestHostStallMs = Math.max(this.longestHostStallMs, longestStallMs);
    for (const { requestId, machine, sentMs, endedMs, outcome } of outcomes) {
      (sentMs < this.lostMs ? this.before : this.after)[outcome] += 1;
      if (outcome === 'left') this.lateWork.callerLeft(requestId, machine, endedMs);
      else this.serviceReturn.record(sentMs, outcome === 'answered');
    }
    for (const arrival of arrivals) this.lateWork.arrived(arrival);
    for (const run of runs) this.lateWork.ended(run);
  }

  private async form(): Promise<boolean> {
    const { grantMode } = this.plan;
    const services = this.plan.services.map((service) => ({ ...service, grantMode }));
    const timer = setTimeout(() => {
      this.operator.stop();
    }, FORMATION_LIMIT_MS);
    const routes = configuredRoutes(this.version);
    const acknowledged = await this.operator.change(
      configurationBody(routes, services, this.version),
      routes,
    );
    clearTimeout(timer);
    return acknowledged && (await this.waitForReadiness());
  }

  private async waitForReadiness(): Promise<boolean> {
    const endMs = steadyMs() + READY_LIMIT_MS;
    while (steadyMs() < endMs) {
      const ready = await Promise.all(
        this.plan.sidecarMachines.map(async (machine) => await this.fleet.isReady(machine)),
      );
      if (ready.every(Boolean)) return true;
      await pause(READY_POLL_MS);
    }
    return false;
  }

  private async playPhases(): Promise<void> {
    const usedBefore = this.processorSeconds();
    const startMs = steadyMs();
    this.fleet.startBusyProcesses(this.plan.busyProcesses);
    this.fleet.startTraffic();
    await pause(this.plan.calmMs);
    this.coresBefore = ((this.processorSeconds() - usedBefore) * MS_PER_SECOND) / (steadyMs() - startMs);
    await Promise.all([
      pause(this.plan.troubledMs),
      ...this.plan.troubles.map(async (trouble) => {
        await pause(trouble.atMs);
        await this.inject(trouble);
      }),
    ]);
    await this.loseAll();
    await this.observeReturn();
    await this.fleet.endTraffic();
    await pause(SETTLE_MS);
  }

  private async observeReturn(): Promise<void> {
    const endMs = this.returnedMs + STAND_IN_BOUNDS.recovery_s * MS_PER_SECOND + OBSERVED_MS;
    let used = this.processorSeconds();
    while (steadyMs() < endMs) {
      const sinceMs = steadyMs();
      await pause(MS_PER_SECOND);
      const now = this.processorSeconds();
      this.coresAfter.push(((now - used) * MS_PER_SECOND) / (steadyMs() - sinceMs));
      used = now;
    }
  }

  private processorSeconds(): number {
    return this.fleet.pids.reduce((sum, pid) => sum + processorSeconds(pid), 0);
  }

  private async loseAll(): Promise<void> {
    const { loss, downMs } = this.plan;
    const daemons = [...this.fleet.directories, ...this.fleet.sidecars];
    const end = this.disturbances.begin(null, steadyMs());
    this.lostMs = steadyMs();
    if (loss === 'all-lose-power') this.fleet.orderBackends({ kind: 'lose-power', downMs });
    await Promise.all(daemons.map(async ({ process }) => await process.kill()));
    await Promise.all(
      daemons.map(async (daemon) => {
        await pause(this.random.fraction() * downMs);
        daemon.start();
      }),
    );
    this.returnedMs = steadyMs();
    end(this.returnedMs);
  }

  // ---- troubles

  private async inject({ kind, durationMs, share }: LargeTrouble): Promise<void> {
    switch (kind) {
      case 'pause-sidecars':
        await this.disturb(this.draw(share), async (machine) => {
          machine.process.signal('SIGSTOP');
          await pause(durationMs);
          machine.process.signal('SIGCONT');
        });
        return;
      case 'kill-sidecars':
        await this.disturb(this.draw(share), async (machine) => {
          await machine.process.kill();
          await pause(this.random.fraction() * durationMs);
          machine.start();
        });
        return;
      case 'stop-sidecars':
        await this.disturb(this.draw(share), async (machine) => {
          await pause(this.random.fraction() * durationMs);
          await machine.process.stop();
          machine.start();
        });
        return;
      case 'pause-directory':
      case 'kill-leader':
        await this.disturbDirectory(kind === 'kill-leader', durationMs);
        return;
      case 'slow-back-ends': {
        const machines = this.draw(share).map(({ name }) => name);
        this.fleet.orderBackends({ kind: 'slow', machines, factor: SLOW_FACTOR });
        await pause(durationMs);
        this.fleet.orderBackends({ kind: 'slow', machines, factor: 1 });
        return;
      }
      case 'narrow-traffic':
        await this.configure(true);
        await pause(durationMs);
        await this.configure(false);
        return;
    }
  }

  private async configure(narrowed: boolean): Promise<void> {
    this.version += 1;
    const routes = configuredRoutes(this.version, narrowed);
    await this.operator.change(configurationBody(routes, [], this.version), routes);
  }

  private draw(share: number): LargeMachine[] {
    return this.fleet.sidecars.filter(() => this.random.fraction() < share);
  }

  private async disturb(
    machines: readonly LargeMachine[],
    act: (machine: LargeMachine) => Promise<void>,
  ): Promise<void> {
    await Promise.all(
      machines.map(async (machine) => {
        const end = this.disturbances.begin(machine.name, steadyMs());
        await act(machine);
        end(steadyMs());
      }),
    );
  }

  private async disturbDirectory(kills: boolean, durationMs: number): Promise<void> {
    const machine = this.random.pick(this.fleet.directories);
    const end = this.disturbances.begin(null, steadyMs());
    if (kills) await machine.process.kill();
    else machine.process.signal('SIGSTOP');
    await pause(durationMs);
    if (kills) machine.start();
    else machine.process.signal('SIGCONT');
    end(steadyMs());
  }
}
