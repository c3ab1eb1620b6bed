/** A process of callers for the router bench; its driver talks to it over the channel of `child_process.fork`. */
import { build, type Histogram } from 'hdr-histogram-js';
import { Pool } from 'undici';

/** What one process is to do. */
export interface CallerTask {
  readonly origins: readonly string[];
  readonly path: string;
  readonly connections: number;
  readonly seconds: number;
  /** Requests a second; null for as many as answers come back. */
  readonly rate: number | null;
}

/** What it saw. */
export interface CallerResult {
  readonly requests: number;
  readonly failures: number;
  readonly seconds: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

const MICROSECONDS_PER_MS = 1_000;
const HTTP_OK = 200;

/** Runs one task. */
export async function runCallers(task: CallerTask): Promise<CallerResult> {
  const pools = task.origins.map((origin) => new Pool(origin, { connections: task.connections }));
  const run = new CallerRun(task, pools);
  const result = await run.run();
  await Promise.all(pools.map(async (pool) => await pool.destroy()));
  return result;
}

class CallerRun {
  private readonly times: Histogram = build({ numberOfSignificantValueDigits: 3 });
  private requests = 0;
  private failures = 0;

  constructor(
    private readonly task: CallerTask,
    private readonly pools: readonly Pool[],
  ) {}

  async run(): Promise<CallerResult> {
    const startedMs = performance.now();
    const endMs = startedMs + this.task.seconds * 1_000;
    if (this.task.rate === null) await this.closedLoop(endMs);
    else await this.openLoop(endMs, 1_000 / this.task.rate);
    const ms = (percentile: number): number =>
      this.times.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
    const seconds = (performance.now() - startedMs) / 1_000;
    return { requests: this.requests, failures: this.failures, seconds, p50Ms: ms(50), p99Ms: ms(99) };
  }

  private async closedLoop(endMs: number): Promise<void> {
    const callers = this.pools.length * this.task.connections;
    await Promise.all(
      Array.from({ length: callers }, async () => {
        while (performance.now() < endMs) await this.request(performance.now());
      }),
    );
  }

  /** Times count from when a request was due, so that a slow answer does not hide the requests behind it. */
  private async openLoop(endMs: number, pauseMs: number): Promise<void> {
    const running: Promise<void>[] = [];
    for (let dueMs = performance.now(); dueMs < endMs; dueMs += pauseMs) {
      while (performance.now() < dueMs) await new Promise((resolve) => setImmediate(resolve));
      running.push(this.request(dueMs));
    }
    await Promise.all(running);
  }

  private async request(dueMs: number): Promise<void> {
    const pool = this.pools[this.requests % this.pools.length];
    this.requests += 1;
    const path = this.task.path.replace('{n}', String(this.requests % 1_000));
    const answer = await pool?.request({ method: 'GET', path }).catch(() => null);
    const status = answer?.statusCode;
    await answer?.body.dump();
    if (status !== HTTP_OK) this.failures += 1;
    const tookMs = performance.now() - dueMs;
    this.times.recordValue(Math.max(1, Math.round(tookMs * MICROSECONDS_PER_MS)));
  }
}

process.on('message', (task: CallerTask) => {
  void runCallers(task).then((result) => {
    process.send?.(result);
  });
});
