/**
 * Runs of suspects at one back end: by permit, one after the other, and each with the back end to itself. An end of the
 * back end then shows which request did it, and takes no other with it.
 */
import type { Runtime } from '../runtime/runtime.js';

/**
 * Longest time in ms in which a back end is emptied for a suspect. Nothing new begins there meanwhile, so it is kept to
 * what most work takes.
 */
const LONGEST_DRAIN_MS = 800;

/**
 * Longest time in ms for which a suspect has the back end to itself. After that others begin beside it, so that calls
 * which it makes to its own service do not wait for it for ever; its end is no proof then.
 */
const LONGEST_ALONE_MS = 1_000;

/** A request that waits to run as a suspect. */
export interface Suspect {
  readonly fingerprint: string;
  /** When it gives up waiting, in ms of the daemon's clock. */
  readonly expiresMs: number;
  /** Begins the run now; false when it cannot run any more, and has ended otherwise. */
  begin(): boolean;
  /** Ends it without a run. */
  refuse(): void;
  /** It waits no more as a suspect; what is known of it may have changed. */
  reconsider(): void;
}

/** Permits to run suspects at one back end. */
export interface SuspectPermits {
  /** Whether a request may be run by the present life. */
  holds(fingerprint: string): boolean;
  /** Asks for a permit, unless that was done a moment ago. */
  ask(fingerprint: string): void;
  /** The permit is given back; `begun`: a run of it may have begun. */
  release(fingerprint: string, begun: boolean): void;
}

/** What the suspects need of their gateway. */
export interface SuspectRunsPorts {
  readonly runtime: Runtime;
  readonly permits: SuspectPermits;
  /** Whether nothing runs at the back end, and a request may be sent to it now. */
  readonly isFree: () => boolean;
  /** Begins nothing but suspects from now on. */
  readonly pause: () => void;
  readonly resume: () => void;
}

/** The suspect that has the back end, or is to have it. */
interface Turn {
  readonly suspect: Suspect;
  readonly sinceMs: number;
  begun: boolean;
  alone: boolean;
}

/** The suspects of one back end. */
export class SuspectRuns {
  private readonly waiting = new Set<Suspect>();
  private turn: Turn | null = null;

  constructor(private readonly ports: SuspectRunsPorts) {}

  /** Suspects that wait. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Whether the back end is kept for a suspect. */
  get isolating(): boolean {
    return this.turn?.alone === true;
  }

  /** Whether anything waits or runs that must be looked at again. */
  get active(): boolean {
    return this.waiting.size > 0 || this.turn !== null;
  }

  /** A suspect has come. */
  add(suspect: Suspect): void {
    this.waiting.add(suspect);
    this.step();
  }

  /** A suspect has gone, or is none any more. */
  remove(suspect: Suspect): void {
    this.waiting.delete(suspect);
    if (this.turn?.suspect === suspect && !this.turn.begun) this.giveUpTurn(this.turn);
  }

  /** Takes all that wait, for another look at each; the turn goes on. */
  takeWaiting(): readonly Suspect[] {
    const taken = [...this.waiting];
    this.waiting.clear();
    return taken;
  }

  /** The run of a suspect has ended; what it showed was reported before. */
  ended(suspect: Suspect): void {
    const { turn } = this;
    if (turn?.suspect !== suspect) return;
    this.turn = null;
    this.ports.permits.release(suspect.fingerprint, true);
    if (turn.alone) this.ports.resume();
    this.step();
  }

  /** Looks at what may go on. */
  step(): void {
    const nowMs = this.ports.runtime.nowMs();
    this.expire(nowMs);
    if (this.turn === null) this.startTurn(nowMs);
    if (this.turn !== null) this.advance(this.turn, nowMs);
  }

  private expire(nowMs: number): void {
    for (const suspect of [...this.waiting]) {
      if (nowMs < suspect.expiresMs) continue;
      this.waiting.delete(suspect);
      suspect.refuse();
    }
  }

  private startTurn(nowMs: number): void {
    for (const suspect of this.waiting) {
      if (!this.ports.permits.holds(suspect.fingerprint)) {
        this.ports.permits.ask(suspect.fingerprint);
        continue;
      }
      this.waiting.delete(suspect);
      this.turn = { suspect, sinceMs: nowMs, begun: false, alone: true };
      this.ports.pause();
      return;
    }
  }

  private advance(turn: Turn, nowMs: number): void {
    if (turn.begun) {
      if (turn.alone && nowMs - turn.sinceMs > LONGEST_ALONE_MS) this.share(turn);
      return;
    }
    if (this.ports.isFree()) this.begin(turn, nowMs);
    else if (nowMs - turn.sinceMs > LONGEST_DRAIN_MS || nowMs >= turn.suspect.expiresMs) {
      this.giveUpTurn(turn);
      turn.suspect.refuse();
    }
  }

  private begin(turn: Turn, nowMs: number): void {
    this.turn = { ...turn, sinceMs: nowMs, begun: true };
    if (turn.suspect.begin()) return;
    this.turn = null;
    this.ports.permits.release(turn.suspect.fingerprint, false);
    this.ports.resume();
  }

  private share(turn: Turn): void {
    turn.alone = false;
    this.ports.resume();
  }

  private giveUpTurn(turn: Turn): void {
    this.turn = null;
    this.ports.permits.release(turn.suspect.fingerprint, false);
    this.ports.resume();
  }
}
