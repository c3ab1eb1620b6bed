/**
 * Schedules suspect requests, those that may have crashed back ends, at one back end. Each needs a permit and runs in
 * isolation, one at a time. A crash of the back end can then be attributed to one request and hits no others.
 */
import type { Runtime } from '../runtime/runtime.js';

/**
 * Maximum time in ms to drain the back end for a suspect. No other request starts meanwhile, so this is limited to the
 * duration of most work.
 */
const MAX_DRAIN_MS = 800;

/**
 * Maximum time in ms for which a suspect runs in isolation. After that other requests may run concurrently, so that calls
 * which it makes to its own service do not deadlock; a later crash no longer proves that the suspect caused it.
 */
const MAX_ISOLATION_MS = 1_000;

/** A suspect request that waits to run. */
export interface SuspectRequest {
  readonly fingerprint: string;
  /** Time in ms of the daemon's clock at which the request stops waiting. */
  readonly expiresMs: number;
  /** Starts the run; returns false if the request could no longer run and was disposed of otherwise. */
  start(): boolean;
  /** Refuses the request without running it. */
  refuse(): void;
  /** Re-evaluates the request after its removal from the queue, since its crash record may have changed. */
  reevaluate(): void;
}

/** Permits to run suspects at one back end, granted by the directory. */
export interface SuspectPermits {
  /** Whether the present incarnation of the back end has a permit for the request. */
  holds(fingerprint: string): boolean;
  /** Requests a permit, unless one was requested a moment ago. */
  request(fingerprint: string): void;
  /** Releases the permit. `begun` states whether the request may have been run. */
  release(fingerprint: string, begun: boolean): void;
}

/** Dependencies of a scheduler. */
export interface SuspectSchedulerPorts {
  readonly runtime: Runtime;
  readonly permits: SuspectPermits;
  /** Whether no request is in flight at the back end and one may be sent now. */
  readonly canRunAlone: () => boolean;
  /** Starts no requests other than suspects until `resume`. */
  readonly pause: () => void;
  readonly resume: () => void;
}

/** The suspect that is running, or for which the back end is being drained. */
interface IsolatedRun {
  readonly suspect: SuspectRequest;
  readonly sinceMs: number;
  begun: boolean;
  alone: boolean;
}

/** Schedules the suspects at one back end. */
export class SuspectScheduler {
  private readonly waiting = new Set<SuspectRequest>();
  private current: IsolatedRun | null = null;

  constructor(private readonly ports: SuspectSchedulerPorts) {}

  /** Number of suspects that wait. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Whether the back end is reserved for a suspect. */
  get isIsolating(): boolean {
    return this.current?.alone === true;
  }

  /** Whether a suspect waits or runs, so that `check` must be called again. */
  get hasWork(): boolean {
    return this.waiting.size > 0 || this.current !== null;
  }

  /** Queues a suspect. */
  add(suspect: SuspectRequest): void {
    this.waiting.add(suspect);
    this.check();
  }

  /** Removes a suspect that was withdrawn or is no longer one. */
  remove(suspect: SuspectRequest): void {
    this.waiting.delete(suspect);
    if (this.current?.suspect === suspect && !this.current.begun) this.abandon(this.current);
  }

  /** Removes and returns all waiting suspects, to be re-evaluated; the current run is not affected. */
  removeAllWaiting(): readonly SuspectRequest[] {
    const removed = [...this.waiting];
    this.waiting.clear();
    return removed;
  }

  /** Handles the end of a suspect's run; its outcome must have been reported before. */
  onRunEnded(suspect: SuspectRequest): void {
    const { current } = this;
    if (current?.suspect !== suspect) return;
    this.current = null;
    this.ports.permits.release(suspect.fingerprint, true);
    if (current.alone) this.ports.resume();
    this.check();
  }

  /** Expires waiting suspects, and starts or advances the current one. */
  check(): void {
    const nowMs = this.ports.runtime.nowMs();
    this.expire(nowMs);
    if (this.current === null) this.selectNext(nowMs);
    if (this.current !== null) this.advance(this.current, nowMs);
  }

  private expire(nowMs: number): void {
    for (const suspect of [...this.waiting]) {
      if (nowMs < suspect.expiresMs) continue;
      this.waiting.delete(suspect);
      suspect.refuse();
    }
  }

  private selectNext(nowMs: number): void {
    for (const suspect of this.waiting) {
      if (!this.ports.permits.holds(suspect.fingerprint)) {
        this.ports.permits.request(suspect.fingerprint);
        continue;
      }
      this.waiting.delete(suspect);
      this.current = { suspect, sinceMs: nowMs, begun: false, alone: true };
      this.ports.pause();
      return;
    }
  }

  private advance(run: IsolatedRun, nowMs: number): void {
    if (run.begun) {
      if (run.alone && nowMs - run.sinceMs > MAX_ISOLATION_MS) this.endIsolation(run);
      return;
    }
    if (this.ports.canRunAlone()) this.startRun(run, nowMs);
    else if (nowMs - run.sinceMs > MAX_DRAIN_MS || nowMs >= run.suspect.expiresMs) {
      this.abandon(run);
      run.suspect.refuse();
    }
  }

  private startRun(run: IsolatedRun, nowMs: number): void {
    this.current = { ...run, sinceMs: nowMs, begun: true };
    if (run.suspect.start()) return;
    this.current = null;
    this.ports.permits.release(run.suspect.fingerprint, false);
    this.ports.resume();
  }

  private endIsolation(run: IsolatedRun): void {
    run.alone = false;
    this.ports.resume();
  }

  private abandon(run: IsolatedRun): void {
    this.current = null;
    this.ports.permits.release(run.suspect.fingerprint, false);
    this.ports.resume();
  }
}
