/** Replay of the peak of a wave of new work at a service that others call. */
import test from 'ava';
import { Random } from '../../lab/random.js';
import type { RequestHead } from '../../src/link/link-messages.js';
import { ManualTime } from './manual-runtime.js';
import { READ, RegistryGateway, SYNC } from './registry-gateway.js';

const BACKENDS = 19;
const SYNCS_PER_SECOND = 182;
const READS_PER_SECOND = 270;
const WAVE_MS = 6_000;

/** Share of the demand after the wave, the time in ms for which it is played, and that allowed to recover. */
const AFTER_WAVE_SHARE = 0.5;
const AFTER_WAVE_MS = 3_000;
const RECOVERY_MS = 1_000;

/** Time in ms that the parent of a read has, and within which its own answer has its full value. */
const PARENT_MS = 3_090;
const PARENT_TARGET_MS = 618;

/** Back ends that a caller's daemon compares, and the number of them that it tries for new work. */
const CANDIDATES = 3;

/** Time in ms between a refusal and the next attempt. */
const ATTEMPT_MS = 2;

/** Age in ms up to which callers use a status of a back end. */
const STATUS_MS = 300;

/** Back ends that have become slower without notification, and the factor on their work time. */
const SLOW_BACKENDS = 2;
const SLOW_FACTOR = 8;

interface Sent {
  readonly head: RequestHead;
  readonly atMs: number;
  readonly isCall: boolean;
  attempts: number;
  endedMs: number;
}

/** The whole registry during a wave; `nested` states whether calls carry what they inherit. */
class Wave {
  readonly sent: Sent[] = [];
  private readonly time = new ManualTime();
  private readonly random: Random;
  /** Work takes 0.5 to 1.6 of the normal time, or much longer, which callers do not know. */
  private readonly backends = Array.from({ length: BACKENDS }, (_, at) =>
    new RegistryGateway(
      this.time,
      at < SLOW_BACKENDS ? SLOW_FACTOR : 0.5 + (1.1 * at) / (BACKENDS - 1),
    ).learn(),
  );

  private readonly startMs = this.time.nowMs;
  /** Running and waiting requests of each back end, as callers know them. */
  private readonly knownLoads = new Map<RegistryGateway, number>();

  constructor(
    private readonly nested: boolean,
    seed: number,
  ) {
    this.random = new Random(seed);
    this.arrive(SYNCS_PER_SECOND, SYNC, false);
    this.arrive(READS_PER_SECOND, READ, true);
    this.time.runtime.every(STATUS_MS, () => {
      this.refreshLoads();
    });
    for (let passedMs = 0; passedMs < WAVE_MS + AFTER_WAVE_MS + PARENT_MS; passedMs += STATUS_MS)
      this.time.pass(STATUS_MS);
  }

  /** Share of the requests of one kind that were answered within a time in ms. */
  served(isCall: boolean, withinMs: number, fromMs = 0, untilMs = WAVE_MS): number {
    const sent = this.sent.filter(({ isCall: sentCall, atMs }) => {
      const arrivedMs = atMs - this.startMs;
      return sentCall === isCall && arrivedMs >= fromMs && arrivedMs < untilMs;
    });
    return sent.filter(({ atMs, endedMs }) => endedMs - atMs <= withinMs).length / sent.length;
  }

  private arrive(perSecond: number, head: RequestHead, isCall: boolean): void {
    const sinceStartMs = this.time.nowMs - this.startMs;
    const share = sinceStartMs < WAVE_MS ? 1 : AFTER_WAVE_SHARE;
    this.time.runtime.after(this.random.exponential(1_000 / (perSecond * share)), () => {
      const atMs = this.time.nowMs;
      if (atMs > this.startMs + WAVE_MS + AFTER_WAVE_MS) return;
      const request: Sent = { head, atMs, isCall, attempts: 0, endedMs: Infinity };
      this.sent.push(request);
      this.attempt(request);
      this.arrive(perSecond, head, isCall);
    });
  }

  private attempt(request: Sent): void {
    const { head, atMs, isCall } = request;
    const elapsedMs = this.time.nowMs - atMs;
    const remainingMs = head.remainingMs - elapsedMs;
    if (remainingMs <= 0) return;
    request.attempts += 1;
    const nested = isCall && this.nested ? { priority: 0, remainingMs: PARENT_MS - elapsedMs } : undefined;
    const present = { ...head, remainingMs, targetLeftMs: head.targetLeftMs - elapsedMs };
    this.choose().take(present, nested, {
      answered: () => {
        request.endedMs = this.time.nowMs;
      },
      refused: () => {
        if (request.attempts >= CANDIDATES && nested === undefined) return;
        this.time.runtime.after(ATTEMPT_MS, () => {
          this.attempt(request);
        });
      },
    });
  }

  private choose(): RegistryGateway {
    const drawn = Array.from({ length: CANDIDATES }, () => this.random.pick(this.backends));
    const load = (backend: RegistryGateway): number => this.knownLoads.get(backend) ?? 0;
    return drawn.reduce((best, other) => (load(other) < load(best) ? other : best));
  }

  private refreshLoads(): void {
    for (const backend of this.backends) {
      const { runningCount, waitingCount } = backend.gateway.admission;
      this.knownLoads.set(backend, runningCount + waitingCount);
    }
  }
}

for (const seed of [1, 2, 3]) {
  test(`at the peak of a wave, calls are answered in time for their parents, and new work is served: ${seed}`, (t) => {
    const before = new Wave(false, seed);
    const after = new Wave(true, seed);
    t.true(before.served(true, PARENT_TARGET_MS) < 0.97, 'the load is one that fails without the change');
    t.true(after.served(true, PARENT_TARGET_MS) >= 0.998);
    t.true(after.served(true, READ.targetLeftMs) >= 0.9, 'slots are kept free for calls');
    t.true(after.served(false, SYNC.targetLeftMs) >= 0.9);
    const recovered = [WAVE_MS + RECOVERY_MS, WAVE_MS + AFTER_WAVE_MS] as const;
    t.true(after.served(true, PARENT_TARGET_MS, ...recovered) >= 0.998, 'a second after the peak');
  });
}
