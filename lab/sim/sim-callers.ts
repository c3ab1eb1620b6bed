/** Simulated callers: lookups, and confirmations that are resent under their idempotency key until they are answered. */
import { shardOfKey } from '../../src/model/shard.js';
import type { CallerOutcome, SendingRecord } from '../journal.js';
import type { Random } from '../random.js';
import type { RoutedOutcome, SimRouter } from './sim-router.js';
import type { SimNetwork } from './sim-network.js';
import type { SimProcess } from './sim-process.js';

const REQUEST_DEADLINE_MS = 1_500;
const MAX_ANSWER_WAIT_MS = 2_000;
const DEFAULT_RETRY_DELAY_MS = 100;
const MAX_ATTEMPTS = 6;
const KEYS = 40;
const CONFIRMATION_PROBABILITY = 0.4;
const REPEAT_PROBABILITY = 0.2;

/** Longest delay in ms of a repeat of an answered request: long enough to arrive after a move or a loss. */
const MAX_REPEAT_DELAY_MS = 4_000;
const MEAN_INTERVAL_MS = 40;

/** Dependencies of the callers. */
export interface CallerDependencies {
  readonly service: string;
  readonly shards: number;
  readonly routers: () => readonly SimRouter[];
  readonly record: (sending: SendingRecord) => void;
}

interface CallerRequest {
  readonly key: string;
  readonly idempotencyKey: string | null;
}

interface AttemptOutcome {
  readonly outcome: CallerOutcome;
  readonly detail: string;
  readonly retryAfterMs: number | null;
}

/** All callers of a simulation. */
export class SimCallers {
  /** Number of requests that were answered. */
  answered = 0;
  /** Number of requests that were started. */
  started = 0;
  private sendings = 0;

  constructor(
    private readonly process: SimProcess,
    private readonly network: SimNetwork,
    private readonly random: Random,
    private readonly ports: CallerDependencies,
  ) {}

  /** Starts requests until `untilMs` of true time. */
  run(untilMs: number): void {
    this.process.schedule(this.random.exponential(MEAN_INTERVAL_MS), () => {
      if (this.process.nowTrueMs() >= untilMs) return;
      void this.call(this.drawRequest());
      this.run(untilMs);
    });
  }

  private drawRequest(): CallerRequest {
    const key = `key-${this.random.below(KEYS)}`;
    const isConfirmation = this.random.fraction() < CONFIRMATION_PROBABILITY;
    return { key, idempotencyKey: isConfirmation ? this.uuid7() : null };
  }

  /** A version 7 UUID: the caller's wall clock, then a unique sequence number. */
  private uuid7(): string {
    this.sendings += 1;
    const time = this.process.wallMs().toString(16).padStart(12, '0');
    const number = this.sendings.toString(16).padStart(12, '0');
    return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${number}`;
  }

  private async call(request: CallerRequest): Promise<void> {
    this.started += 1;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const attemptOutcome = await this.send(request);
      if (attemptOutcome.outcome === 'answered') {
        this.answered += 1;
        break;
      }
      await this.sleep(attemptOutcome.retryAfterMs ?? DEFAULT_RETRY_DELAY_MS);
    }
    const repeats = request.idempotencyKey !== null && this.random.fraction() < REPEAT_PROBABILITY;
    if (!repeats) return;
    await this.sleep(this.random.fraction() * MAX_REPEAT_DELAY_MS);
    await this.send(request);
  }

  private async send({ key, idempotencyKey }: CallerRequest): Promise<AttemptOutcome> {
    const { service, shards, record } = this.ports;
    const router = this.random.pick(this.ports.routers());
    this.sendings += 1;
    const sendingId = `sending-${this.sendings}`;
    const sentMs = this.process.nowTrueMs();
    const attemptOutcome = await this.exchange(router, {
      service,
      key,
      sendingId,
      idempotencyKey,
      remainingMs: REQUEST_DEADLINE_MS,
    });
    record({
      kind: 'sending',
      sentMs,
      endedMs: this.process.nowTrueMs(),
      service,
      shard: shardOfKey(service, key, shards),
      key,
      operation: idempotencyKey === null ? 'lookup' : 'confirmation',
      sendingId,
      idempotencyKey,
      status: 0,
      router: router.name,
      ...attemptOutcome,
    });
    return attemptOutcome;
  }

  private async exchange(
    router: SimRouter,
    request: Parameters<SimRouter['handle']>[0],
  ): Promise<AttemptOutcome> {
    if (!router.process.alive) {
      await this.sleep(this.network.drawDelayMs() * 2);
      return { outcome: 'refused', detail: 'connection refused', retryAfterMs: null };
    }
    return await new Promise((resolve) => {
      router.process.schedule(this.network.drawDelayMs(), () => {
        void router.handle(request).then((end) => {
          this.process.schedule(this.network.drawDelayMs(), () => {
            resolve(toAttemptOutcome(end));
          });
        });
      });
      this.process.schedule(MAX_ANSWER_WAIT_MS, () => {
        resolve({ outcome: 'unknown', detail: 'no answer', retryAfterMs: null });
      });
    });
  }

  private async sleep(ms: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.process.schedule(ms, resolve);
    });
  }
}

function toAttemptOutcome(end: RoutedOutcome): AttemptOutcome {
  if (end.kind === 'answered') return { outcome: 'answered', detail: '', retryAfterMs: null };
  const { outcome, code, retryAfterMs } = end.refusal;
  return { outcome: outcome === 'not-run' ? 'refused' : 'unknown', detail: code, retryAfterMs };
}
