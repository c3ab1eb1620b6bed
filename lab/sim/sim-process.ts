/** A simulated process that can crash, freeze and resume, and whose clocks run at a rate of their own. */
import { SuspensionClock } from '../../src/runtime/suspension-clock.js';
import type { EventQueue } from './event-queue.js';

/** Clock parameters of one process. */
export interface ClockOptions {
  /** Reading of the monotonic clock at the start, in ms. */
  readonly startMs: number;
  /** Rate of the monotonic clock relative to true time; 1 means no drift. */
  readonly rate: number;
  /** Offset of the wall clock from true time, in ms. */
  readonly wallOffsetMs: number;
}

/** Wall-clock time at which every simulation starts, in ms since the Unix epoch. */
export const SIMULATION_EPOCH_MS = 1_800_000_000_000;

/** Largest difference between two clock readings that is attributed to rounding, in ms. */
const CLOCK_TOLERANCE_MS = 0.001;

/** One process with one processor. Callbacks of an earlier incarnation never run. */
export class SimProcess {
  private life = 0;
  private isAlive = false;
  private isFrozen = false;
  private deferred: (() => void)[] = [];
  /**
   * Total time for which the steady clock was suspended, in ms of true time, and the start of the current suspension; null
   * while the clock runs.
   */
  private suspendedMs = 0;
  private suspendedSinceMs: number | null = null;
  private wallStepMs = 0;
  /** True time in ms at which the processor finishes its assigned work. */
  private busyUntilMs = 0;

  constructor(
    readonly name: string,
    private readonly queue: EventQueue,
    private readonly clock: ClockOptions,
  ) {}

  /** Creates another process that reads the same clocks. */
  onSameMachine(name: string): SimProcess {
    return new SimProcess(name, this.queue, this.clock);
  }

  /** Whether the process was started and has not crashed; a frozen process counts as alive. */
  get alive(): boolean {
    return this.isAlive;
  }

  /** Whether the process is frozen. */
  get frozen(): boolean {
    return this.isFrozen;
  }

  /** Steady clock in ms; it excludes the time for which the machine was suspended. */
  steadyMs(): number {
    const sinceMs = this.suspendedSinceMs === null ? 0 : this.queue.nowMs - this.suspendedSinceMs;
    return this.clock.startMs + (this.queue.nowMs - this.suspendedMs - sinceMs) * this.clock.rate;
  }

  /** Creates the clocks that a daemon of this process reads; each incarnation gets new ones. */
  clocks(): { nowMs(): number; steadyMs(): number } {
    const clock = new SuspensionClock(
      () => this.steadyMs(),
      () => this.wallMs(),
    );
    return { nowMs: () => clock.nowMs(), steadyMs: () => this.steadyMs() };
  }

  /** True time in ms, which real processes cannot read. */
  nowTrueMs(): number {
    return this.queue.nowMs;
  }

  /** Wall clock in ms since the Unix epoch. */
  wallMs(): number {
    const offsetMs = this.clock.wallOffsetMs + this.wallStepMs;
    return Math.round(SIMULATION_EPOCH_MS + this.queue.nowMs + offsetMs);
  }

  /** Occupies the processor for `ms` of true time; callbacks that come due meanwhile wait. */
  occupy(ms: number): void {
    this.busyUntilMs = this.nowTrueMs() + this.remainingWorkMs + ms;
  }

  /** Time until the processor finishes its assigned work, in ms of true time. */
  get remainingWorkMs(): number {
    return Math.max(0, this.busyUntilMs - this.nowTrueMs());
  }

  /** Returns the true time that elapses while the process clock advances by `ms`. */
  toTrueMs(ms: number): number {
    return ms / this.clock.rate;
  }

  /** Starts a new incarnation. */
  start(): void {
    this.life += 1;
    this.isAlive = true;
    this.isFrozen = false;
    this.busyUntilMs = 0;
  }

  /** Ends the current incarnation; callbacks that it scheduled never run. */
  crash(): void {
    this.endSuspension();
    this.life += 1;
    this.isAlive = false;
    this.isFrozen = false;
    this.deferred = [];
  }

  /** Freezes the process; callbacks that come due wait until `thaw`. */
  freeze(): void {
    if (this.isAlive) this.isFrozen = true;
  }

  /** Steps the wall clock forward, or back for a negative `ms`. */
  stepWallClock(ms: number): void {
    this.wallStepMs += ms;
  }

  /** Suspends the machine: the process and its monotonic clock stop; the wall clock continues. */
  suspend(): void {
    if (!this.isAlive || this.isFrozen) return;
    this.isFrozen = true;
    this.suspendedSinceMs = this.queue.nowMs;
  }

  /** Resumes the process and runs, in order, the callbacks that came due while it was frozen. */
  thaw(): void {
    if (!this.isFrozen) return;
    this.isFrozen = false;
    this.endSuspension();
    for (const run of this.deferred.splice(0)) this.queue.at(this.queue.nowMs, run);
  }

  /** Runs `run` once the steady clock has advanced by `ms`; such a timer stops while the clock is suspended. */
  scheduleOnClock(ms: number, run: () => void): void {
    const dueMs = this.steadyMs() + ms;
    this.schedule(this.toTrueMs(ms), () => {
      const leftMs = dueMs - this.steadyMs();
      if (leftMs > CLOCK_TOLERANCE_MS) this.scheduleOnClock(leftMs, run);
      else run();
    });
  }

  private endSuspension(): void {
    if (this.suspendedSinceMs !== null) this.suspendedMs += this.queue.nowMs - this.suspendedSinceMs;
    this.suspendedSinceMs = null;
  }

  /**
   * Runs `run` in the current incarnation after `trueMs` of true time; deferred while the process is frozen. Callbacks
   * that a crash would trigger in the process itself, such as closed connections, never run.
   */
  schedule(trueMs: number, run: () => void): void {
    const { life } = this;
    const attempt = (): void => {
      if (life !== this.life || !this.isAlive) return;
      if (this.isFrozen) this.deferred.push(attempt);
      else if (this.remainingWorkMs > 0) this.queue.at(this.busyUntilMs, attempt);
      else run();
    };
    this.queue.at(this.queue.nowMs + trueMs, attempt);
  }
}
