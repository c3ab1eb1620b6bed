/** Measures a router beside direct connections in one run: throughput, added time, processor time, memory. */
import { fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { formatAddress } from '../../src/model/socket-address.js';
import type { ProgramPaths } from '../fleet/fleet-plan.js';
import type { CallerResult, CallerTask } from './bench-caller.js';
import { BenchFleet, KEYED_SERVICE, SPREAD_SERVICE } from './bench-fleet.js';
import { median } from './slope.js';

const CALLER_PROCESSES = 2;
const CONNECTIONS = 16;
const ROUNDS = 3;
const DOWNLOAD_BYTES = 256 * 1024 * 1024;
const MEMORY_POLL_MS = 50;
const RATE_SHARES = [0.25, 0.5, 0.75] as const;

/** Requests of several processes together. */
export interface BenchPoint {
  readonly requestsPerSecond: number;
  readonly failures: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** A router at one rate. */
export interface RouterPoint extends BenchPoint {
  /** Processor time of the router for a request, in microseconds. */
  readonly cpuMicroseconds: number;
}

/** What was measured. */
export interface RouterBenchReport {
  /** As many as come back, each round: direct, through the router, through the router by key. */
  readonly saturation: readonly {
    readonly direct: BenchPoint;
    readonly spread: RouterPoint;
    readonly keyed: RouterPoint;
    /** Through the router by key over direct. */
    readonly throughputRatio: number;
  }[];
  /** At shares of the router's saturation, by key; direct beside it at the same rate. */
  readonly atRates: readonly {
    readonly share: number;
    readonly rate: number;
    readonly direct: BenchPoint;
    readonly keyed: RouterPoint;
  }[];
  readonly download: { readonly bytes: number; readonly memoryGrowthBytes: number };
}

/** Runs the bench. */
export async function runRouterBench(
  folder: string,
  programs: ProgramPaths,
  seconds: number,
): Promise<RouterBenchReport> {
  const fleet = await BenchFleet.start(folder, programs);
  try {
    const download = await measureDownload(fleet);
    await measureRouter(fleet, KEYED_SERVICE, seconds, null);
    const saturation = [];
    for (let round = 0; round < ROUNDS; round += 1) {
      const direct = await measure(fleet.origins(SPREAD_SERVICE), SPREAD_SERVICE, seconds, null);
      const spread = await measureRouter(fleet, SPREAD_SERVICE, seconds, null);
      const keyed = await measureRouter(fleet, KEYED_SERVICE, seconds, null);
      const throughputRatio = keyed.requestsPerSecond / direct.requestsPerSecond;
      saturation.push({ direct, spread, keyed, throughputRatio });
    }
    const limit = median(saturation.map(({ keyed }) => keyed.requestsPerSecond));
    const atRates = [];
    for (const share of RATE_SHARES) {
      const rate = limit * share;
      const direct = await measure(fleet.origins(SPREAD_SERVICE), SPREAD_SERVICE, seconds, rate);
      const keyed = await measureRouter(fleet, KEYED_SERVICE, seconds, rate);
      atRates.push({ share, rate, direct, keyed });
    }
    return { saturation, atRates, download };
  } finally {
    await fleet.end();
  }
}

async function measureRouter(
  fleet: BenchFleet,
  service: string,
  seconds: number,
  rate: number | null,
): Promise<RouterPoint> {
  const before = await fleet.readRouter();
  const point = await measure([`http://${formatAddress(fleet.router)}`], service, seconds, rate);
  const after = await fleet.readRouter();
  const requests = point.requestsPerSecond * seconds;
  return { ...point, cpuMicroseconds: ((after.cpuSeconds - before.cpuSeconds) * 1_000_000) / requests };
}

async function measure(
  origins: readonly string[],
  service: string,
  seconds: number,
  rate: number | null,
): Promise<BenchPoint> {
  const connections = Math.ceil(CONNECTIONS / origins.length);
  const task: CallerTask = {
    origins,
    path: `/${service}/items/key-{n}`,
    connections,
    seconds,
    rate: rate === null ? null : rate / CALLER_PROCESSES,
  };
  const results = await Promise.all(
    Array.from({ length: CALLER_PROCESSES }, async () => await runCaller(task)),
  );
  return {
    requestsPerSecond: results.reduce((sum, result) => sum + result.requests / result.seconds, 0),
    failures: results.reduce((sum, { failures }) => sum + failures, 0),
    p50Ms: median(results.map(({ p50Ms }) => p50Ms)),
    p99Ms: Math.max(...results.map(({ p99Ms }) => p99Ms)),
  };
}

async function runCaller(task: CallerTask): Promise<CallerResult> {
  const child = fork(fileURLToPath(new URL('./bench-caller.js', import.meta.url)));
  const result = new Promise<CallerResult>((resolve) => child.once('message', resolve));
  child.send(task);
  const done = await result;
  child.kill();
  return done;
}

/** Reads a large download slowly enough that a router that held it would be seen to. */
async function measureDownload(fleet: BenchFleet): Promise<RouterBenchReport['download']> {
  const { memoryBytes: before } = await fleet.readRouter();
  const url = `http://${formatAddress(fleet.router)}/${SPREAD_SERVICE}/download/key?bytes=${DOWNLOAD_BYTES}`;
  const headers = { 'aldertide-deadline-ms': '2000' };
  const response = await request(url, { headers });
  let bytes = 0;
  let largest = before;
  let lookDueMs = 0;
  for await (const chunk of response.body) {
    bytes += (chunk as Buffer).length;
    if (performance.now() < lookDueMs) continue;
    lookDueMs = performance.now() + MEMORY_POLL_MS;
    largest = Math.max(largest, (await fleet.readRouter()).memoryBytes);
    await sleep(1);
  }
  return { bytes, memoryGrowthBytes: largest - before };
}
