/** Emulates a service under a workload and a way of placement, second by second, and measures. */
import { imbalance, percentile } from '../../src/placement/measures.js';
import { answerTimeMs, type ServedLoad } from './queueing.js';
import type { Strategy, StrategyView } from './strategies.js';
import { EMULATED, type BackendEvent, type Workload } from './workloads.js';

/** What was measured in one emulation. */
export interface EmulationResult {
  /** Mean over the seconds after settling. */
  readonly imbalance: number;
  /** Changes of owner after the first placement. */
  readonly churn: number;
  /** Sum over shards. */
  readonly unavailableMs: number;
  /** Of an answer at the back ends, queueing included. */
  readonly p99Ms: number;
}

/** Seconds in which a first placement may settle. */
const SETTLE_SECONDS = 120;

/** Age of the load that a strategy sees, in seconds. */
const REPORT_LAG_SECONDS = 2;

const MS_PER_SECOND = 1_000;

/** Runs one emulation. */
export function emulate(workload: Workload, strategy: Strategy): EmulationResult {
  return new Emulation(workload, strategy).run();
}

class Emulation {
  private readonly owners = new Array<number | null>(EMULATED.shards).fill(null);
  private readonly present: Set<number>;
  private readonly noticed: Set<number>;
  private readonly leaving = new Set<number>();
  private readonly imbalances: number[] = [];
  private readonly served: ServedLoad[] = [];
  private churn = 0;
  private unavailableMs = 0;

  constructor(
    private readonly workload: Workload,
    private readonly strategy: Strategy,
  ) {
    this.present = new Set(workload.present);
    this.noticed = new Set(workload.present);
  }

  run(): EmulationResult {
    for (let second = 0; second < EMULATED.seconds; second += 1) this.step(second);
    return {
      imbalance: this.imbalances.reduce((sum, value) => sum + value, 0) / this.imbalances.length,
      churn: this.churn,
      unavailableMs: Math.round(this.unavailableMs),
      p99Ms: answerTimeMs(this.served, 0.99),
    };
  }

  private step(second: number): void {
    for (const event of this.workload.events) if (event.atSecond === second) this.apply(event);
    this.noticeLosses(second);
    const view: StrategyView = {
      second,
      owners: this.owners,
      present: this.noticed,
      leaving: this.leaving,
      reported: this.workload.loadAt(Math.max(0, second - REPORT_LAG_SECONDS)),
    };
    for (const { shard, backend } of this.strategy.place(view)) this.place(shard, backend, second);
    this.finishLeaving();
    if (second >= SETTLE_SECONDS) this.measure(second);
  }

  private apply({ kind, backend }: BackendEvent): void {
    switch (kind) {
      case 'join':
        this.present.add(backend);
        this.noticed.add(backend);
        break;
      case 'leaving':
        this.leaving.add(backend);
        break;
      case 'lost':
        this.lose(backend);
        break;
    }
  }

  /** Its shards cannot be used until the loss is noticed and repaired. */
  private lose(backend: number): void {
    this.present.delete(backend);
    const held = this.owners.filter((owner) => owner === backend).length;
    this.unavailableMs += held * this.strategy.repairSeconds * MS_PER_SECOND;
  }

  private noticeLosses(second: number): void {
    for (const { kind, backend, atSecond } of this.workload.events) {
      if (kind !== 'lost' || second !== atSecond + Math.ceil(this.strategy.repairSeconds)) continue;
      this.noticed.delete(backend);
      this.owners.forEach((owner, shard) => {
        if (owner === backend) this.owners[shard] = null;
      });
    }
  }

  private place(shard: number, backend: number, second: number): void {
    const earlier = this.owners[shard] ?? null;
    if (second >= SETTLE_SECONDS) {
      this.churn += 1;
      if (earlier !== null) this.unavailableMs += this.strategy.moveSeconds * MS_PER_SECOND;
    }
    this.owners[shard] = backend;
  }

  private finishLeaving(): void {
    for (const backend of this.leaving) {
      if (this.owners.includes(backend)) continue;
      this.leaving.delete(backend);
      this.present.delete(backend);
      this.noticed.delete(backend);
    }
  }

  private measure(second: number): void {
    const load = this.workload.loadAt(second);
    const byBackend = new Map([...this.present].map((backend) => [backend, 0]));
    this.owners.forEach((owner, shard) => {
      if (owner === null || !byBackend.has(owner)) return;
      byBackend.set(owner, (byBackend.get(owner) ?? 0) + (load[shard] ?? 0));
    });
    const loads = [...byBackend.values()];
    this.imbalances.push(imbalance(loads));
    for (const requests of loads) this.served.push({ requests });
  }
}

/** Middle, least and largest of several runs. */
export interface Spread {
  readonly median: number;
  readonly least: number;
  readonly largest: number;
}

/** Spread of values over seeds. */
export function spreadOf(values: readonly number[]): Spread {
  return { median: percentile(values, 0.5), least: Math.min(...values), largest: Math.max(...values) };
}
