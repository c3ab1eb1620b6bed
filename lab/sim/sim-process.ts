/** A simulated process: it can crash, freeze and go on, and its clocks run at their own rate. */
import { SuspensionClock } from '../../src/runtime/suspension-clock.js';
import type { EventQueue } from './event-queue.js';

/** Clocks of one process. */
export interface ClockOptions {
  /** Reading of the monotonic clock at the start, in ms. */
  readonly startMs: number;
  /** How fast it runs; 1 is true time. */
  readonly rate: number;
  /** How far its wall clock is off, in ms. */
  readonly wallOffsetMs: number;
}

/** Wall-clock time at which every simulation starts, in ms since 1970. */
export const SIMULATION_EPOCH_MS = 1_800_000_000_000;

/** What two readings of a clock may differ by through rounding, in ms. */
const CLOCK_GRAIN_MS = 0.001;

/** One process with one processor. Callbacks of an earlier life never run. */
export class SimProcess {
  private life = 0;
  private isAlive = false;
  private isFrozen = false;
  private held: (() => void)[] = [];
  /** Time for which its steady clock stood still, in ms of true time, and since when it does; null while it runs. */
  private suspendedMs = 0;
  private suspendedSinceMs: number | null = null;
  private wallStepMs = 0;
  /** When its processor has done all that it was given, in ms of true time. */
  private idleAtMs = 0;

  constructor(
    readonly name: string,
    private readonly queue: EventQueue,
    private readonly clock: ClockOptions,
  ) {}

  /** Another process that reads the same clocks. */
  onSameMachine(name: string): SimProcess {
    return new SimProcess(name, this.queue, this.clock);
  }

  /** Whether it has been started and has not crashed; a frozen process is alive. */
  get alive(): boolean {
    return this.isAlive;
  }

  /** Whether it is frozen. */
  get frozen(): boolean {
    return this.isFrozen;
  }

  /** Its steady clock, in ms; it does not count the time for which its machine was suspended. */
  steadyMs(): number {
    const sinceMs = this.suspendedSinceMs === null ? 0 : this.queue.nowMs - this.suspendedSinceMs;
    return this.clock.startMs + (this.queue.nowMs - this.suspendedMs - sinceMs) * this.clock.rate;
  }

  /** The clocks that a daemon of this process reads; a new life reads new ones. */
  clocks(): { nowMs(): number; steadyMs(): number } {
    const clock = new SuspensionClock(
      () => this.steadyMs(),
      () => this.wallMs(),
    );
    return { nowMs: () => clock.nowMs(), steadyMs: () => this.steadyMs() };
  }

  /** True time, which no process can read, in ms. */
  nowTrueMs(): number {
    return this.queue.nowMs;
  }

  /** Its wall clock, in ms since 1970. */
  wallMs(): number {
    const offsetMs = this.clock.wallOffsetMs + this.wallStepMs;
    return Math.round(SIMULATION_EPOCH_MS + this.queue.nowMs + offsetMs);
  }

  /** Its processor works for so many ms of true time; what comes due meanwhile waits. */
  work(ms: number): void {
    this.idleAtMs = this.nowTrueMs() + this.workLeftMs + ms;
  }

  /** Time until its processor has done all that it was given, in ms of true time. */
  get workLeftMs(): number {
    return Math.max(0, this.idleAtMs - this.nowTrueMs());
  }

  /** True time that passes while its clock moves on by `ms`. */
  trueMs(ms: number): number {
    return ms / this.clock.rate;
  }

  /** Starts a new life. */
  start(): void {
    this.life += 1;
    this.isAlive = true;
    this.isFrozen = false;
    this.idleAtMs = 0;
  }

  /** Ends the present life; nothing that it has scheduled will run. */
  crash(): void {
    this.countSuspension();
    this.life += 1;
    this.isAlive = false;
    this.isFrozen = false;
    this.held = [];
  }

  /** Stops it; what comes due waits. */
  freeze(): void {
    if (this.isAlive) this.isFrozen = true;
  }

  /** Sets its wall clock forward, or back. */
  stepWall(ms: number): void {
    this.wallStepMs += ms;
  }

  /** Its machine is suspended: it stands still, and its monotonic clock with it; the wall clock does not. */
  suspend(): void {
    if (!this.isAlive || this.isFrozen) return;
    this.isFrozen = true;
    this.suspendedSinceMs = this.queue.nowMs;
  }

  /** Goes on with everything that came due meanwhile, in order. */
  thaw(): void {
    if (!this.isFrozen) return;
    this.isFrozen = false;
    this.countSuspension();
    for (const run of this.held.splice(0)) this.queue.at(this.queue.nowMs, run);
  }

  /** Runs `run` once the steady clock has moved on by `ms`; a timer, which stands still with its clock. */
  scheduleOnClock(ms: number, run: () => void): void {
    const dueMs = this.steadyMs() + ms;
    this.schedule(this.trueMs(ms), () => {
      const leftMs = dueMs - this.steadyMs();
      if (leftMs > CLOCK_GRAIN_MS) this.scheduleOnClock(leftMs, run);
      else run();
    });
  }

  private countSuspension(): void {
    if (this.suspendedSinceMs !== null) this.suspendedMs += this.queue.nowMs - this.suspendedSinceMs;
    this.suspendedSinceMs = null;
  }

  /**
   * Runs `run` in this process's present life after `trueMs` of true time; held while it is frozen. What a crash sets off
   * in the process itself, as the ends of its connections, never runs.
   */
  schedule(trueMs: number, run: () => void): void {
    const { life } = this;
    const attempt = (): void => {
      if (life !== this.life || !this.isAlive) return;
      if (this.isFrozen) this.held.push(attempt);
      else if (this.workLeftMs > 0) this.queue.at(this.idleAtMs, attempt);
      else run();
    };
    this.queue.at(this.queue.nowMs + trueMs, attempt);
  }
}
