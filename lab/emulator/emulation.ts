/** Emulates a service under a workload and a placement strategy in steps of one second, and measures the result. */
import { imbalance, percentile } from '../../src/placement/measures.js';
import { answerTimePercentileMs, type ServedLoad } from './queueing.js';
import type { Strategy, StrategyView } from './strategies.js';
import { EMULATED_SERVICE, type BackendEvent, type Workload } from './workloads.js';

/** Measurements of one emulation. */
export interface EmulationResult {
  /** Mean imbalance over the seconds after the settling time. */
  readonly imbalance: number;
  /** Number of changes of owner after the settling time. */
  readonly churn: number;
  /** Unavailable time in ms, summed over all shards. */
  readonly unavailableMs: number;
  /** 99th percentile of the response time at the back ends in ms, queueing included. */
  readonly p99Ms: number;
}

/** Seconds at the start, while the first placement settles, that are not measured. */
const SETTLE_SECONDS = 120;

/** Age in seconds of the load report that a strategy receives. */
const REPORT_LAG_SECONDS = 2;

const MS_PER_SECOND = 1_000;

/** Runs one emulation. */
export function emulate(workload: Workload, strategy: Strategy): EmulationResult {
  return new Emulation(workload, strategy).run();
}

class Emulation {
  private readonly owners = new Array<number | null>(EMULATED_SERVICE.shards).fill(null);
  private readonly present: Set<number>;
  private readonly knownBackends: Set<number>;
  private readonly leaving = new Set<number>();
  private readonly imbalances: number[] = [];
  private readonly servedLoads: ServedLoad[] = [];
  private churn = 0;
  private unavailableMs = 0;

  constructor(
    private readonly workload: Workload,
    private readonly strategy: Strategy,
  ) {
    this.present = new Set(workload.present);
    this.knownBackends = new Set(workload.present);
  }

  run(): EmulationResult {
    for (let second = 0; second < EMULATED_SERVICE.seconds; second += 1) this.step(second);
    return {
      imbalance: this.imbalances.reduce((sum, value) => sum + value, 0) / this.imbalances.length,
      churn: this.churn,
      unavailableMs: Math.round(this.unavailableMs),
      p99Ms: answerTimePercentileMs(this.servedLoads, 0.99),
    };
  }

  private step(second: number): void {
    for (const event of this.workload.events) if (event.atSecond === second) this.apply(event);
    this.detectLosses(second);
    const view: StrategyView = {
      second,
      owners: this.owners,
      present: this.knownBackends,
      leaving: this.leaving,
      reported: this.workload.loadAt(Math.max(0, second - REPORT_LAG_SECONDS)),
    };
    for (const { shard, backend } of this.strategy.place(view)) this.place(shard, backend, second);
    this.removeEmptied();
    if (second >= SETTLE_SECONDS) this.measure(second);
  }

  private apply({ kind, backend }: BackendEvent): void {
    switch (kind) {
      case 'join':
        this.present.add(backend);
        this.knownBackends.add(backend);
        break;
      case 'leaving':
        this.leaving.add(backend);
        break;
      case 'lost':
        this.recordLoss(backend);
        break;
    }
  }

  /** Removes a back end; its shards are unavailable until the loss is detected and repaired. */
  private recordLoss(backend: number): void {
    this.present.delete(backend);
    const ownedShards = this.owners.filter((owner) => owner === backend).length;
    this.unavailableMs += ownedShards * this.strategy.repairSeconds * MS_PER_SECOND;
  }

  private detectLosses(second: number): void {
    for (const { kind, backend, atSecond } of this.workload.events) {
      if (kind !== 'lost' || second !== atSecond + Math.ceil(this.strategy.repairSeconds)) continue;
      this.knownBackends.delete(backend);
      this.owners.forEach((owner, shard) => {
        if (owner === backend) this.owners[shard] = null;
      });
    }
  }

  private place(shard: number, backend: number, second: number): void {
    const previousOwner = this.owners[shard] ?? null;
    if (second >= SETTLE_SECONDS) {
      this.churn += 1;
      if (previousOwner !== null) this.unavailableMs += this.strategy.moveSeconds * MS_PER_SECOND;
    }
    this.owners[shard] = backend;
  }

  private removeEmptied(): void {
    for (const backend of this.leaving) {
      if (this.owners.includes(backend)) continue;
      this.leaving.delete(backend);
      this.present.delete(backend);
      this.knownBackends.delete(backend);
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
    for (const requests of loads) this.servedLoads.push({ requests });
  }
}

/** Median, minimum and maximum over several runs. */
export interface Spread {
  readonly median: number;
  readonly least: number;
  readonly largest: number;
}

/** Returns the spread of values over seeds. */
export function spreadOf(values: readonly number[]): Spread {
  return { median: percentile(values, 0.5), least: Math.min(...values), largest: Math.max(...values) };
}
