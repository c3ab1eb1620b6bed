/**
 * The keys that a stand-in back end holds, granted in the answers to its heartbeats or by calls, and the keys on which
 * it works. Pure but for the clock that it is given.
 */
import { createHash } from 'node:crypto';
import type { GrantMode } from '../../src/directory/directory-state.js';
import { overlaps, subtractSpan } from '../../src/directory/key-ranges.js';
import type { HeartbeatGrant, HeldRange, ReleasedRange } from '../../src/sidecar/backend-report.js';
import type { GrantCall } from '../../platform/stand-in-wire.js';

/** A range, and until when it is held, in ms. */
export interface TimedRange extends HeldRange {
  readonly untilMs: number;
}

/** Held keys of one life of a back end. */
export class HeldKeys {
  private held: readonly TimedRange[] = [];
  /** Highest fences seen; a key that was let go keeps its own. */
  private seen: readonly HeldRange[] = [];
  private released: ReleasedRange[] = [];
  private readonly running = new Map<number, number>();
  private handovers = 0;

  constructor(
    private readonly id: string,
    private readonly grantMode: () => GrantMode,
    private readonly nowMs: () => number,
    private readonly onChange: (ranges: readonly TimedRange[]) => void,
  ) {}

  /** Whether a key is held now. */
  holds(key: number): boolean {
    const range = this.held.find(({ from, to }) => key >= from && key <= to);
    return range !== undefined && this.nowMs() < range.untilMs;
  }

  /** Work on a key begins. */
  begin(key: number): void {
    this.running.set(key, (this.running.get(key) ?? 0) + 1);
  }

  /** Work on a key has ended. */
  end(key: number): void {
    const left = (this.running.get(key) ?? 1) - 1;
    if (left > 0) this.running.set(key, left);
    else this.running.delete(key);
  }

  /** Whether there is work on any key of a span. */
  worksIn({ from, to }: { readonly from: number; readonly to: number }): boolean {
    return [...this.running.keys()].some((key) => key >= from && key <= to);
  }

  /** Keys that are held no more, on which work goes on. */
  leaving(): HeldRange[] {
    return [...this.running.keys()]
      .filter((key) => !this.holds(key))
      .map((key) => ({ from: key, to: key, fence: 0 }));
  }

  // ---- granted in the answers to heartbeats

  /** What a heartbeat tells: what is held or still worked on, and what was let go since the last one. */
  report(): { readonly holds: readonly HeldRange[] | null; readonly released: readonly ReleasedRange[] } {
    if (this.grantMode() !== 'heartbeat') return { holds: null, released: [] };
    this.forgetExpired();
    const holds = this.held.map(({ from, to, fence }) => ({ from, to, fence }));
    return { holds: [...holds, ...this.leaving()], released: this.released };
  }

  /** Takes the answer to a heartbeat; null renews nothing. Rows under a fence that is not the highest seen are left. */
  takeAnswer(grant: HeartbeatGrant | null, sentMs: number): void {
    this.released = [];
    if (grant === null || this.grantMode() !== 'heartbeat') return;
    const untilMs = sentMs + grant.holdMs;
    const rows = grant.ranges.filter((range) => this.mayTake(range));
    let letGo = this.held;
    for (const row of rows) letGo = letGo.flatMap((range) => subtractSpan(range, row));
    for (const { from, to } of letGo) this.released.push({ from, to, handover: this.nextHandover() });
    this.held = rows.map(({ from, to, fence }) => ({ from, to, fence, untilMs }));
    for (const row of rows) this.noteSeen(row);
    this.tell();
  }

  // ---- granted by calls

  /** Takes a grant; false when a higher fence was seen on any of its keys, whether or not they are still held. */
  grant({ from, to, fence, holdMs }: GrantCall): boolean {
    const granted = { from, to, fence, untilMs: this.nowMs() + holdMs };
    if (!this.mayTake(granted)) return false;
    this.held = [...this.held.flatMap((range) => subtractSpan(range, granted)), granted];
    this.noteSeen(granted);
    this.tell();
    return true;
  }

  /** Holds a span no more; what runs on it goes on. */
  release(call: GrantCall): void {
    this.held = this.held.flatMap((range) => subtractSpan(range, call));
    this.tell();
  }

  /** A handover that no other release has. */
  nextHandover(): string {
    this.handovers += 1;
    return createHash('sha256').update(`${this.id} ${this.handovers}`).digest('hex').slice(0, 16);
  }

  private mayTake(range: HeldRange): boolean {
    return !this.seen.some((other) => other.fence > range.fence && overlaps(other, range));
  }

  private noteSeen({ from, to, fence }: HeldRange): void {
    this.seen = [...this.seen.flatMap((range) => subtractSpan(range, { from, to })), { from, to, fence }];
  }

  private forgetExpired(): void {
    const nowMs = this.nowMs();
    const standing = this.held.filter(({ untilMs }) => nowMs < untilMs);
    if (standing.length === this.held.length) return;
    this.held = standing;
    this.tell();
  }

  private tell(): void {
    this.onChange(this.held);
  }
}
