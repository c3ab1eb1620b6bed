/**
 * Measures by how much this process runs late: its own work, others on its processor, or a stop signal keep it from
 * running. Whatever it reads after a delay may be as old as the delay.
 */
import type { CancelTimer, Runtime } from '../runtime/runtime.js';

/** Interval between checks, in ms. */
const CHECK_INTERVAL_MS = 100;

/** Time in ms for which a delay counts as recent. */
const RECENT_MS = 2_000;

/** Number of newest checks that a summary covers at most. */
const MAX_UNREPORTED = 100;

/** Lower bounds in ms of the classes in which delays are counted. */
const CLASS_MIN_MS = [0, 50, 250, 1_000] as const;

/** Phase in the life of a daemon: until its first answer to a caller, afterwards, and after the order to stop. */
export type LifePhase = 'starting' | 'running' | 'stopping';

/** Delays of a process during an interval, in ms. */
export interface DelaySummary {
  readonly medianMs: number;
  readonly ninthDecileMs: number;
  readonly maxMs: number;
}

/** Delay of this process. */
export class ProcessDelay {
  phase: LifePhase = 'starting';
  /** Number of checks by phase and lower bound of their delay in ms. */
  readonly counts = new Map<string, number>();
  private checkedMs: number;
  private recent: { readonly atMs: number; readonly delayMs: number }[] = [];
  /** Delays in ms of the checks since `takeSummary`. */
  private unreported: number[] = [];
  private readonly cancel: CancelTimer;

  constructor(
    private readonly runtime: Pick<Runtime, 'nowMs' | 'every'>,
    /** Called after each check with the delay in ms. */
    private readonly onCheck: (delayMs: number) => void = () => undefined,
  ) {
    this.checkedMs = runtime.nowMs();
    this.cancel = runtime.every(CHECK_INTERVAL_MS, () => {
      this.check();
    });
  }

  /** Longest recent delay in ms, including one that has not ended. */
  get recentMs(): number {
    const nowMs = this.runtime.nowMs();
    const pendingMs = Math.max(0, nowMs - this.checkedMs - CHECK_INTERVAL_MS);
    const recent = this.recent.filter(({ atMs }) => atMs > nowMs - RECENT_MS);
    return Math.max(pendingMs, ...recent.map(({ delayMs }) => delayMs));
  }

  /** Summarizes the delays since the previous call. */
  takeSummary(): DelaySummary {
    const sorted = this.unreported.sort((left, right) => left - right);
    this.unreported = [];
    const quantile = (share: number): number => Math.round(sorted[Math.floor(sorted.length * share)] ?? 0);
    return { medianMs: quantile(0.5), ninthDecileMs: quantile(0.9), maxMs: Math.round(sorted.at(-1) ?? 0) };
  }

  /** Stops measuring. */
  stop(): void {
    this.cancel();
  }

  private check(): void {
    const nowMs = this.runtime.nowMs();
    const delayMs = Math.max(0, nowMs - this.checkedMs - CHECK_INTERVAL_MS);
    this.checkedMs = nowMs;
    this.recent = this.recent.filter(({ atMs }) => atMs > nowMs - RECENT_MS);
    this.unreported.push(delayMs);
    if (this.unreported.length > MAX_UNREPORTED) this.unreported.shift();
    if (delayMs > 0) this.recent.push({ atMs: nowMs, delayMs });
    const minMs = CLASS_MIN_MS.findLast((bound) => delayMs >= bound) ?? 0;
    const key = `${this.phase} ${minMs}`;
    this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
    this.onCheck(delayMs);
  }
}
