/**
 * Grants keys in the answers to a back end's heartbeats. A range that is to move is left out of an answer; a later
 * heartbeat shows that the back end has let it go.
 */
import type { KeyRange } from '../directory/directory-state.js';
import { overlaps, subtractSpan } from '../directory/key-ranges.js';
import type { BackendHeartbeat, HeartbeatGrant, HeldRange, ReleasedRange } from './backend-report.js';
import { rangeName, ReleaseReporter, type KeyGrantPorts, type KeyGrants } from './key-grants.js';

/** Least time in ms that is worth granting. */
const LEAST_HOLD_MS = 300;

/** Handovers that are kept until their range is reported as released. */
const KEPT_HANDOVERS = 256;

/** Time in ms for which keys count as held that a back end reports before this daemon knows its registration. */
const RECOVERED_HOLD_MS = 4_000;

/** Grants by heartbeat. */
export class HeartbeatGrants implements KeyGrants {
  private held: readonly HeldRange[] = [];
  private heldUntilMs = -Infinity;
  /** The same on the steady clock: until then it may hold them, whatever time may have passed. */
  private mayHoldUntilMs = -Infinity;
  private answeredAny = false;
  /** Sequence of the first heartbeat whose answer left a moving range out, by the range's name. */
  private readonly leftOut = new Map<string, number>();
  /** Newest last. */
  private handovers: ReleasedRange[] = [];
  private readonly reporter: ReleaseReporter;

  constructor(private readonly ports: KeyGrantPorts) {
    this.reporter = new ReleaseReporter(ports);
  }

  /** See `KeyGrants`. */
  holds(key: number): boolean {
    if (this.ports.runtime.nowMs() >= this.heldUntilMs) return false;
    return this.held.some(({ from, to }) => key >= from && key <= to);
  }

  /** When nothing that was granted can still be held, in ms of the steady clock. */
  get heldUntil(): number {
    return this.mayHoldUntilMs;
  }

  /** Takes what a heartbeat tells of keys. */
  take(heartbeat: BackendHeartbeat): void {
    this.handovers = [...this.handovers, ...heartbeat.released].slice(-KEPT_HANDOVERS);
    for (const range of heartbeat.holds ?? []) this.ports.outstanding.noteSeen(range);
    this.raiseFences();
    this.recover(heartbeat);
    this.reportReleases(heartbeat);
  }

  /** What the answer to a heartbeat grants, decided when the answer is sent; null renews nothing. */
  answer(heartbeat: BackendHeartbeat, arrivedMs: number): HeartbeatGrant | null {
    const { lease, owned, runtime, holdMs } = this.ports;
    if (lease.session === null) return null;
    const remainingMs = Math.min(holdMs, lease.deadlineMs - runtime.nowMs());
    if (remainingMs < LEAST_HOLD_MS) return null;
    const mine = owned.list();
    const kept = mine.filter((range) => !this.leaves(range, heartbeat));
    this.noteLeftOut(mine, kept, heartbeat.sequence);
    this.become(kept, arrivedMs + remainingMs);
    const ranges = kept.map(({ from, to, fence, handover }) => ({ from, to, fence, handover }));
    return { ranges, holdMs: remainingMs };
  }

  /** See `KeyGrants`. */
  tableChanged(): void {
    this.raiseFences();
    const names = new Set(this.ports.owned.list().map(rangeName));
    for (const name of this.leftOut.keys()) if (!names.has(name)) this.leftOut.delete(name);
  }

  /** See `KeyGrants`. */
  clear(): void {
    this.ports.outstanding.clear();
    this.forget();
  }

  /** See `KeyGrants`. */
  stop(): void {
    this.forget();
  }

  /** A grant by call from before the way of granting changed may still be taken: its keys stay until it is refused. */
  private mayLeave(range: KeyRange): boolean {
    return range.movingTo !== null && this.ports.outstanding.certaintyOf(range) === 'certain';
  }

  private raiseFences(): void {
    const { outstanding, owned } = this.ports;
    for (const range of owned.list()) {
      const isUncertain = range.movingTo !== null && outstanding.certaintyOf(range) === 'to-be-fenced';
      if (isUncertain) this.reporter.raiseFence(range);
    }
  }

  private forget(): void {
    this.held = [];
    this.heldUntilMs = -Infinity;
    this.mayHoldUntilMs = -Infinity;
    this.answeredAny = false;
    this.leftOut.clear();
    this.handovers = [];
    this.reporter.clear();
  }

  private become(ranges: readonly HeldRange[], untilMs: number): void {
    const before = new Set(this.held.map(rangeName));
    this.answeredAny = true;
    this.held = ranges;
    const { runtime } = this.ports;
    this.heldUntilMs = untilMs;
    this.mayHoldUntilMs = runtime.steadyMs() + (untilMs - runtime.nowMs());
    if (ranges.some((range) => !before.has(rangeName(range)))) this.ports.onGained();
  }

  /** After a restart of this daemon the back end goes on with what an earlier life of the daemon granted. */
  private recover(heartbeat: BackendHeartbeat): void {
    if (this.answeredAny || heartbeat.holds === null || heartbeat.holds.length === 0) return;
    this.held = heartbeat.holds;
    this.heldUntilMs = this.ports.runtime.nowMs() + RECOVERED_HOLD_MS;
    this.mayHoldUntilMs = this.ports.runtime.steadyMs() + RECOVERED_HOLD_MS;
    this.ports.onGained();
  }

  /**
   * Whether an answer leaves a range out. The back end must have shown it under its present fence: a call of the process
   * before, from before the way of granting changed, is refused only then.
   */
  private leaves(range: KeyRange, { holds }: BackendHeartbeat): boolean {
    if (!this.mayLeave(range)) return false;
    return this.leftOut.has(rangeName(range)) || isShown(range, holds ?? []);
  }

  private noteLeftOut(mine: readonly KeyRange[], kept: readonly KeyRange[], sequence: number): void {
    for (const range of mine) {
      const name = rangeName(range);
      if (kept.includes(range)) this.leftOut.delete(name);
      else if (!this.leftOut.has(name)) this.leftOut.set(name, sequence);
    }
  }

  private reportReleases(heartbeat: BackendHeartbeat): void {
    const { holds, sequence } = heartbeat;
    if (holds === null) return;
    for (const range of this.ports.owned.list()) {
      if (!this.mayLeave(range)) continue;
      const leftOutAt = this.leftOut.get(rangeName(range));
      const answered = leftOutAt !== undefined && sequence > leftOutAt;
      if (!answered || holds.some((held) => overlaps(held, range))) continue;
      this.reporter.report(range, this.handoverOf(range));
    }
  }

  /** A back end may let go of several ranges at once, as one. */
  private handoverOf(range: KeyRange): string {
    const covering = this.handovers.findLast(({ from, to }) => from <= range.from && to >= range.to);
    return covering?.handover ?? '';
  }
}

/** Whether rows that a back end holds cover a range under its fence. */
function isShown(range: KeyRange, holds: readonly HeldRange[]): boolean {
  let missing: KeyRange[] = [range];
  for (const held of holds) {
    if (held.fence === range.fence) missing = missing.flatMap((part) => subtractSpan(part, held));
  }
  return missing.length === 0;
}
