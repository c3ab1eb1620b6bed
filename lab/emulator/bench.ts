/** Placement benchmark: runs every strategy on every workload with several seeds. */
import { Random } from '../random.js';
import { emulate, spreadOf, type EmulationResult, type Spread } from './emulation.js';
import { STRATEGIES } from './strategies.js';
import { WORKLOADS } from './workloads.js';

/** Result of one emulation. */
export interface BenchRow extends EmulationResult {
  readonly workload: string;
  readonly policy: string;
  readonly seed: number;
}

/** Spread of the results of one workload and strategy over the seeds. */
export interface BenchSummary {
  readonly workload: string;
  readonly policy: string;
  readonly imbalance: Spread;
  readonly churn: Spread;
  readonly unavailableMs: Spread;
  readonly p99Ms: Spread;
}

/** Runs every strategy; with the same seed all strategies see the same draw of a workload. */
export function runBench(workloads: readonly string[], seeds: number): BenchRow[] {
  const rows: BenchRow[] = [];
  for (const workload of workloads) {
    for (let seed = 1; seed <= seeds; seed += 1) rows.push(...runSeed(workload, seed));
  }
  return rows;
}

function runSeed(workload: string, seed: number): BenchRow[] {
  const makeWorkload = WORKLOADS[workload];
  if (makeWorkload === undefined) return [];
  return Object.entries(STRATEGIES).map(([policy, makeStrategy]) => {
    const result = emulate(makeWorkload(new Random(seed)), makeStrategy(new Random(seed)));
    return { workload, policy, seed, ...result };
  });
}

/** Summarizes rows by workload and strategy. */
export function summarizeBench(rows: readonly BenchRow[]): BenchSummary[] {
  const groups = new Map<string, BenchRow[]>();
  for (const row of rows) {
    const group = `${row.workload} ${row.policy}`;
    groups.set(group, [...(groups.get(group) ?? []), row]);
  }
  return [...groups.values()].map((group) => {
    const [first] = group;
    const spread = (pick: (row: BenchRow) => number): Spread => spreadOf(group.map(pick));
    return {
      workload: first?.workload ?? '',
      policy: first?.policy ?? '',
      imbalance: spread((row) => row.imbalance),
      churn: spread((row) => row.churn),
      unavailableMs: spread((row) => row.unavailableMs),
      p99Ms: spread((row) => row.p99Ms),
    };
  });
}
