/**
 * Open-loop load generator: requests start when they are due, whether earlier ones have ended or not. Each caller
 * honours refusals: it retries after the delay that the refusal states, and repeats a confirmation only under the
 * same idempotency key.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { build, type Histogram } from 'hdr-histogram-js';
import { v7 as uuidv7 } from 'uuid';
import { steadyMs } from '../../src/runtime/clock.js';
import { shardOfKey } from '../../src/model/shard.js';
import { JournalWriter, type Operation } from '../journal.js';
import { Random, ZipfSampler } from '../random.js';
import type { LoadOptions, RouterTarget, Traffic } from './load-options.js';
import { createCallerAgent, sendOnce, type SendingResult } from './sending.js';

/** Maximum number of requests in flight; further ones are not started but counted as skipped. */
const MAX_IN_FLIGHT = 4_000;

/** Delay in ms before a retry when the refusal states none. */
const DEFAULT_RETRY_DELAY_MS = 100;

const MICROSECONDS_PER_MS = 1_000;

/** Totals of a load run. Latencies in ms are those of answered requests, from the first sending on. */
export interface LoadSummary {
  readonly requests: number;
  readonly answered: number;
  readonly refused: number;
  readonly unknown: number;
  readonly wrongAnswers: number;
  readonly skipped: number;
  readonly sendings: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

interface CallerRequest {
  readonly traffic: Traffic;
  readonly key: string;
  readonly operation: Operation;
  readonly idempotencyKey: string | null;
}

/** Runs the callers of all services. */
export class LoadRun {
  private readonly random: Random;
  private readonly journal: JournalWriter;
  private readonly agent = createCallerAgent();
  private readonly latencies: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 600_000_000,
  });
  private readonly counts = {
    requests: 0,
    answered: 0,
    refused: 0,
    unknown: 0,
    wrongAnswers: 0,
    skipped: 0,
    sendings: 0,
  };
  private inFlight = 0;

  constructor(private readonly options: LoadOptions) {
    this.random = new Random(options.seed);
    this.journal = new JournalWriter(options.journal);
  }

  /** Generates load for the configured time and waits until all callers have finished. */
  async run(): Promise<LoadSummary> {
    await Promise.all(
      this.options.traffic.map((traffic, position) => this.generateTraffic(traffic, position)),
    );
    while (this.inFlight > 0) await sleep(DEFAULT_RETRY_DELAY_MS);
    this.journal.close();
    await this.agent.destroy();
    const ms = (percentile: number): number =>
      this.latencies.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
    return {
      ...this.counts,
      p50Ms: ms(50),
      p99Ms: ms(99),
      maxMs: this.latencies.maxValue / MICROSECONDS_PER_MS,
    };
  }

  private async generateTraffic(traffic: Traffic, position: number): Promise<void> {
    const random = new Random(this.options.seed * 1_000 + position);
    const keys = new ZipfSampler(random, traffic.keys, traffic.zipf);
    const endMs = steadyMs() + this.options.seconds * 1_000;
    let dueMs = steadyMs();
    while (dueMs < endMs) {
      const waitMs = dueMs - steadyMs();
      if (waitMs > 0) await sleep(waitMs);
      this.startRequest(this.drawRequest(traffic, random, keys));
      dueMs += random.exponential(1_000 / traffic.rate);
    }
  }

  private drawRequest(traffic: Traffic, random: Random, keys: ZipfSampler): CallerRequest {
    const share = random.fraction();
    const { confirmationShare, downloadShare } = traffic;
    const operation =
      share < confirmationShare
        ? 'confirmation'
        : share < confirmationShare + downloadShare
          ? 'download'
          : 'lookup';
    const idempotencyKey = operation === 'confirmation' ? uuidv7() : null;
    return { traffic, key: `key-${keys.next()}`, operation, idempotencyKey };
  }

  private startRequest(request: CallerRequest): void {
    if (this.inFlight >= MAX_IN_FLIGHT) {
      this.counts.skipped += 1;
      return;
    }
    this.inFlight += 1;
    this.counts.requests += 1;
    void this.runCaller(request).finally(() => {
      this.inFlight -= 1;
    });
  }

  /** Sends one request until it is answered or `maxSendings` is reached. */
  private async runCaller(request: CallerRequest): Promise<void> {
    const startedMs = steadyMs();
    let lastResult: SendingResult | null = null;
    let router = this.random.pick(this.options.routers);
    for (let sending = 0; sending < this.options.maxSendings; sending += 1) {
      lastResult = await this.send(request, router);
      if (lastResult.outcome === 'answered' || lastResult.outcome === 'wrong-answer') break;
      await sleep(lastResult.retryAfterMs ?? DEFAULT_RETRY_DELAY_MS);
      router = this.random.pick(this.options.routers);
    }
    if (lastResult !== null) this.count(lastResult, steadyMs() - startedMs);
    const duplicate = request.idempotencyKey !== null && this.random.fraction() < this.options.duplicateShare;
    if (duplicate) await this.send(request, this.random.pick(this.options.routers));
  }

  private count(result: SendingResult, latencyMs: number): void {
    if (result.outcome === 'answered') {
      this.counts.answered += 1;
      this.latencies.recordValue(Math.max(1, Math.round(latencyMs * MICROSECONDS_PER_MS)));
    }
    if (result.outcome === 'refused') this.counts.refused += 1;
    if (result.outcome === 'unknown') this.counts.unknown += 1;
    if (result.outcome === 'wrong-answer') this.counts.wrongAnswers += 1;
  }

  private async send(request: CallerRequest, router: RouterTarget): Promise<SendingResult> {
    const { traffic, key, operation, idempotencyKey } = request;
    const { service, shards, downloadBytes } = traffic;
    const sendingId = uuidv7();
    this.counts.sendings += 1;
    const { deadlineMs } = this.options;
    const sendingRequest = {
      routerUrl: router.url,
      service,
      key,
      operation,
      sendingId,
      idempotencyKey,
      deadlineMs,
      downloadBytes,
    };
    const result = await sendOnce(this.agent, sendingRequest);
    const shard = shards === null ? null : shardOfKey(service, key, shards);
    this.journal.write({
      kind: 'sending',
      service,
      shard,
      key,
      operation,
      sendingId,
      idempotencyKey,
      router: router.name,
      ...result,
    });
    return result;
  }
}
