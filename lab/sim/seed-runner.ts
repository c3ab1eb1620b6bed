/** Runs simulations in parallel on worker threads. */
import { Worker } from 'node:worker_threads';
import type { SimResult } from './sim-run.js';

/** Seeds from `first` to `last`, both included. */
export interface SeedRange {
  readonly first: number;
  readonly last: number;
}

/** One simulation to run. */
export interface SeedTask {
  readonly scenario: string;
  readonly seed: number;
  /** Guard that is disabled, or null. */
  readonly withoutGuard: string | null;
}

/** Runs every scenario with every seed; results are ordered by scenario, then seed. */
export async function runSeeds(
  scenarios: readonly string[],
  seeds: SeedRange,
  threads: number,
): Promise<SimResult[]> {
  const tasks: SeedTask[] = [];
  for (const scenario of scenarios) {
    for (let seed = seeds.first; seed <= seeds.last; seed += 1)
      tasks.push({ scenario, seed, withoutGuard: null });
  }
  return await runTasks(tasks, threads);
}

/** Runs tasks on up to `threads` worker threads; results are in the order of the tasks. */
export async function runTasks(tasks: readonly SeedTask[], threads: number): Promise<SimResult[]> {
  const results: SimResult[] = [];
  let next = 0;
  const workers = Array.from({ length: Math.min(threads, tasks.length) }, async () => {
    const worker = new Worker(new URL('./seed-worker.js', import.meta.url));
    try {
      for (;;) {
        const position = next;
        const task = tasks[position];
        if (task === undefined) return;
        next += 1;
        results[position] = await runOn(worker, task);
      }
    } finally {
      await worker.terminate();
    }
  });
  await Promise.all(workers);
  return results;
}

async function runOn(worker: Worker, task: SeedTask): Promise<SimResult> {
  return await new Promise((resolve, reject) => {
    const fail = (error: Error): void => {
      reject(new Error(`${task.scenario}, seed ${task.seed}: ${error.message}`, { cause: error }));
    };
    worker.once('error', fail);
    worker.once('message', (result: SimResult) => {
      worker.off('error', fail);
      resolve(result);
    });
    worker.postMessage(task);
  });
}
