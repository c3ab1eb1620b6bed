/**
 * Open-loop callers: requests start when they are due, whether earlier ones have ended or not. Each caller
 * follows the refusals: comes back when it is told to, and repeats a confirmation only under the same key.
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

/** Requests under way at which new ones are no longer started but counted as skipped. */
const MAX_IN_FLIGHT = 4_000;

/** Pause in ms before a caller repeats without having been told when. */
const DEFAULT_RETRY_MS = 100;

const MICROSECONDS_PER_MS = 1_000;

/** Sums of a load run. Times in ms, of answered requests from their first sending on. */
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

/** A run of many callers. */
export class LoadRun {
  private readonly random: Random;
  private readonly journal: JournalWriter;
  private readonly agent = createCallerAgent();
  private readonly times: Histogram = build({
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

  /** Runs for the given time and waits for all callers. */
  async run(): Promise<LoadSummary> {
    await Promise.all(this.options.traffic.map((traffic, at) => this.generate(traffic, at)));
    while (this.inFlight > 0) await sleep(DEFAULT_RETRY_MS);
    this.journal.close();
    await this.agent.destroy();
    const ms = (percentile: number): number =>
      this.times.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
    return { ...this.counts, p50Ms: ms(50), p99Ms: ms(99), maxMs: this.times.maxValue / MICROSECONDS_PER_MS };
  }

  private async generate(traffic: Traffic, position: number): Promise<void> {
    const random = new Random(this.options.seed * 1_000 + position);
    const keys = new ZipfSampler(random, traffic.keys, traffic.zipf);
    const endMs = steadyMs() + this.options.seconds * 1_000;
    let dueMs = steadyMs();
    while (dueMs < endMs) {
      const waitMs = dueMs - steadyMs();
      if (waitMs > 0) await sleep(waitMs);
      this.start(this.draw(traffic, random, keys));
      dueMs += random.exponential(1_000 / traffic.rate);
    }
  }

  private draw(traffic: Traffic, random: Random, keys: ZipfSampler): CallerRequest {
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

  private start(request: CallerRequest): void {
    if (this.inFlight >= MAX_IN_FLIGHT) {
      this.counts.skipped += 1;
      return;
    }
    this.inFlight += 1;
    this.counts.requests += 1;
    void this.call(request).finally(() => {
      this.inFlight -= 1;
    });
  }

  /** One caller: sends until it has an answer or has tried often enough. */
  private async call(request: CallerRequest): Promise<void> {
    const startedMs = steadyMs();
    let last: SendingResult | null = null;
    let router = this.random.pick(this.options.routers);
    for (let sending = 0; sending < this.options.maxSendings; sending += 1) {
      last = await this.send(request, router);
      if (last.outcome === 'answered' || last.outcome === 'wrong-answer') break;
      await sleep(last.retryAfterMs ?? DEFAULT_RETRY_MS);
      router = this.random.pick(this.options.routers);
    }
    if (last !== null) this.count(last, steadyMs() - startedMs);
    const sendAgain = request.idempotencyKey !== null && this.random.fraction() < this.options.duplicateShare;
    if (sendAgain) await this.send(request, this.random.pick(this.options.routers));
  }

  private count(last: SendingResult, ms: number): void {
    if (last.outcome === 'answered') {
      this.counts.answered += 1;
      this.times.recordValue(Math.max(1, Math.round(ms * MICROSECONDS_PER_MS)));
    }
    if (last.outcome === 'refused') this.counts.refused += 1;
    if (last.outcome === 'unknown') this.counts.unknown += 1;
    if (last.outcome === 'wrong-answer') this.counts.wrongAnswers += 1;
  }

  private async send(request: CallerRequest, router: RouterTarget): Promise<SendingResult> {
    const { traffic, key, operation, idempotencyKey } = request;
    const { service, shards, downloadBytes } = traffic;
    const sendingId = uuidv7();
    this.counts.sendings += 1;
    const { deadlineMs } = this.options;
    const sent = {
      routerUrl: router.url,
      service,
      key,
      operation,
      sendingId,
      idempotencyKey,
      deadlineMs,
      downloadBytes,
    };
    const result = await sendOnce(this.agent, sent);
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
