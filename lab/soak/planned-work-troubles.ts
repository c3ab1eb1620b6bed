/** Does the planned work of a soak: stops and reloads of daemons, and changes of the configuration. */
import { pause } from '../pause.js';
import type { PlannedWorkLog } from './planned-work-log.js';
import type { PlannedWork } from './planned-work-plan.js';
import { SMALLER_LIMITS, type PlannedWorkChanges } from './planned-work-routes.js';
import type { SoakFleet, SoakMachine } from './soak-fleet.js';

/** Delay in ms before a daemon that ended is started again. */
const RESTART_MS = 300;

/** Largest number of daemons that a series stops. */
const SERIES_LENGTH = 3;

/** Interval in ms between the signals of reloads in series, and their number. */
const RELOAD_INTERVAL_MS = 400;
const RELOADS = 5;

/** Time limits in s that are smaller than the usual one. */
const SMALLER_TIMEOUTS_S = [1, 2, 4] as const;

/** Changes of a storm, which alternate between two time limits in s. */
const STORM_CHANGES = 16;
const STORM_TIMEOUTS_S = [20, 6] as const;

/** Time in ms for which a lost peer is gone before and during a stop. */
const LOST_BEFORE_STOP_MS = 500;
const PEER_LOST_MS = 4_000;

/** Does planned work and records it. */
export class PlannedWorkTroubles {
  readonly records: string[] = [];

  constructor(
    private readonly fleet: SoakFleet,
    private readonly changes: PlannedWorkChanges,
    private readonly log: PlannedWorkLog,
  ) {}

  /** Does one piece of work; resolves when it is over. */
  async apply(work: PlannedWork): Promise<void> {
    this.records.push(`${work.kind} (${work.choice}) at ${work.atMs}`);
    switch (work.kind) {
      case 'stop':
        await this.stop(this.machine(work.choice));
        return;
      case 'stop-in-series':
        for (let at = 0; at < SERIES_LENGTH; at += 1) await this.stop(this.machine(work.choice + at));
        return;
      case 'stop-overlapping':
        await this.stopOverlapping(work);
        return;
      case 'reload':
        this.reload(this.machine(work.choice));
        return;
      case 'reload-in-series':
        await this.reloadInSeries(work);
        return;
      case 'stop-during-change':
        await Promise.all([this.storm(work), this.stop(this.machine(work.choice))]);
        return;
      case 'stop-beside-lost-peer':
        await this.stopBesideLostPeer(work);
        return;
      default:
        await this.changeConfiguration(work);
    }
  }

  private async changeConfiguration(work: PlannedWork): Promise<void> {
    const { routes } = this.changes;
    const { choice, durationMs, kind } = work;
    switch (kind) {
      case 'smaller-time-outs':
        await this.changes.setRoutes(routes, SMALLER_TIMEOUTS_S[choice % SMALLER_TIMEOUTS_S.length]);
        await pause(durationMs);
        await this.changes.setRoutes(routes);
        return;
      case 'smaller-limits':
        await this.changes.setLimits(SMALLER_LIMITS);
        await pause(durationMs);
        await this.changes.setLimits();
        return;
      case 'remove-routes': {
        const removed = routes.filter((_, at) => at % 2 === choice % 2);
        await this.changes.removeRoutes(removed);
        await pause(durationMs);
        await this.changes.setRoutes(removed);
        return;
      }
      default:
        await this.storm(work);
    }
  }

  /** Several daemons are stopped within the grace time of the first one; at least one daemon of each service stays. */
  private async stopOverlapping({ choice, durationMs }: PlannedWork): Promise<void> {
    const others = Math.floor(this.fleet.sidecars.length / 2);
    await Promise.all([
      this.stop(this.machine(choice)),
      pause(durationMs / 2).then(async () => {
        await this.stop(this.machine(choice + others));
      }),
      pause(durationMs).then(async () => {
        await this.stop(this.machine(choice + 1));
      }),
    ]);
  }

  private async reloadInSeries({ choice }: PlannedWork): Promise<void> {
    for (let at = 0; at < RELOADS; at += 1) {
      this.reload(this.machine(choice + at));
      await pause(RELOAD_INTERVAL_MS);
    }
  }

  private async storm({ choice, durationMs }: PlannedWork): Promise<void> {
    const { routes } = this.changes;
    for (let at = 0; at < STORM_CHANGES; at += 1) {
      const route = routes[(choice + at) % routes.length];
      if (route !== undefined)
        await this.changes.setRoutes([route], STORM_TIMEOUTS_S[at % STORM_TIMEOUTS_S.length]);
      await pause(durationMs / STORM_CHANGES);
    }
    await this.changes.setRoutes(routes);
  }

  private async stopBesideLostPeer({ choice }: PlannedWork): Promise<void> {
    const peer = this.machine(choice + 1);
    if (peer === undefined || peer.troubled) return;
    peer.troubled = true;
    const ended = this.log.disrupted(peer.name, performance.now());
    await peer.process.kill();
    await pause(LOST_BEFORE_STOP_MS);
    const stopped = this.stop(this.machine(choice));
    await pause(PEER_LOST_MS);
    this.fleet.start(peer);
    ended(performance.now());
    peer.troubled = false;
    await stopped;
  }

  private reload(machine: SoakMachine | undefined): void {
    if (machine === undefined || machine.troubled) return;
    this.log.signalSent(machine.name, 'SIGHUP', performance.now());
    machine.process.signal('SIGHUP');
  }

  private async stop(machine: SoakMachine | undefined): Promise<void> {
    if (machine === undefined || machine.troubled) return;
    machine.troubled = true;
    this.log.signalSent(machine.name, 'SIGTERM', performance.now());
    await machine.process.stop();
    this.fleet.excuse(machine);
    await pause(RESTART_MS);
    this.fleet.start(machine);
    machine.troubled = false;
  }

  private machine(choice: number): SoakMachine | undefined {
    const { sidecars } = this.fleet;
    return sidecars[choice % sidecars.length];
  }
}
