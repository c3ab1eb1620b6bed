/**
 * Tracks the keys that a stand-in back end holds, granted in the answers to its heartbeats or by calls, and the keys on
 * which it works. Deterministic but for the clock that it is given.
 */
import { createHash } from 'node:crypto';
import type { GrantMode } from '../../src/directory/directory-state.js';
import { overlaps, subtractSpan } from '../../src/directory/key-ranges.js';
import type { HeartbeatGrant, HeldRange, ReleasedRange } from '../../src/sidecar/backend-report.js';
import type { GrantCall } from '../../platform/stand-in-wire.js';

/** A range, and the time in ms until which it is held. */
export interface TimedRange extends HeldRange {
  readonly untilMs: number;
}

/** Keys held by one incarnation of a back end. */
export class HeldKeys {
  private held: readonly TimedRange[] = [];
  /** Highest fence seen for each key, kept after the key is released. */
  private highestFences: readonly HeldRange[] = [];
  private released: ReleasedRange[] = [];
  private readonly running = new Map<number, number>();
  private handoverCount = 0;

  constructor(
    private readonly id: string,
    private readonly grantMode: () => GrantMode,
    private readonly nowMs: () => number,
    private readonly onChange: (ranges: readonly TimedRange[]) => void,
  ) {}

  /** Returns whether a key is held now. */
  holds(key: number): boolean {
    const range = this.held.find(({ from, to }) => key >= from && key <= to);
    return range !== undefined && this.nowMs() < range.untilMs;
  }

  /** Records the start of work on a key. */
  begin(key: number): void {
    this.running.set(key, (this.running.get(key) ?? 0) + 1);
  }

  /** Records the end of work on a key. */
  end(key: number): void {
    const remaining = (this.running.get(key) ?? 1) - 1;
    if (remaining > 0) this.running.set(key, remaining);
    else this.running.delete(key);
  }

  /** Returns whether there is work on any key of a span. */
  hasWorkIn({ from, to }: { readonly from: number; readonly to: number }): boolean {
    return [...this.running.keys()].some((key) => key >= from && key <= to);
  }

  /** Returns keys that are no longer held but still worked on. */
  leaving(): HeldRange[] {
    return [...this.running.keys()]
      .filter((key) => !this.holds(key))
      .map((key) => ({ from: key, to: key, fence: 0 }));
  }

  /** Whether the next heartbeat is due soon: it reports keys as released, or keys are still being released. */
  get isReleasing(): boolean {
    return this.released.length > 0 || this.leaving().length > 0;
  }

  // ---- grants in the answers to heartbeats

  /** Returns the key report of a heartbeat: keys held or still worked on, and keys released since the last answer. */
  report(): { readonly holds: readonly HeldRange[] | null; readonly released: readonly ReleasedRange[] } {
    if (this.grantMode() !== 'heartbeat') return { holds: null, released: [] };
    this.discardExpired();
    const holds = this.held.map(({ from, to, fence }) => ({ from, to, fence }));
    return { holds: [...holds, ...this.leaving()], released: this.released };
  }

  /** Applies the answer to a heartbeat; null renews nothing. Ignores rows whose fence is lower than the highest seen. */
  applyAnswer(grant: HeartbeatGrant | null, sentMs: number): void {
    this.released = [];
    if (grant === null || this.grantMode() !== 'heartbeat') return;
    const untilMs = sentMs + grant.holdMs;
    const rows = grant.ranges.filter((range) => this.isNotFenced(range));
    let removed = this.held;
    for (const row of rows) removed = removed.flatMap((range) => subtractSpan(range, row));
    for (const { from, to } of removed) this.released.push({ from, to, handover: this.nextHandover() });
    this.held = rows.map(({ from, to, fence }) => ({ from, to, fence, untilMs }));
    for (const row of rows) this.recordFence(row);
    this.notifyChange();
  }

  // ---- grants by calls

  /** Applies a grant; returns false if a higher fence was seen on any of its keys, whether or not they are still held. */
  grant({ from, to, fence, holdMs }: GrantCall): boolean {
    const granted = { from, to, fence, untilMs: this.nowMs() + holdMs };
    if (!this.isNotFenced(granted)) return false;
    this.held = [...this.held.flatMap((range) => subtractSpan(range, granted)), granted];
    this.recordFence(granted);
    this.notifyChange();
    return true;
  }

  /** Releases a span; work in progress on it continues. */
  release(call: GrantCall): void {
    this.held = this.held.flatMap((range) => subtractSpan(range, call));
    this.notifyChange();
  }

  /** Returns a handover id that no other release has. */
  nextHandover(): string {
    this.handoverCount += 1;
    return createHash('sha256').update(`${this.id} ${this.handoverCount}`).digest('hex').slice(0, 16);
  }

  private isNotFenced(range: HeldRange): boolean {
    return !this.highestFences.some((other) => other.fence > range.fence && overlaps(other, range));
  }

  private recordFence({ from, to, fence }: HeldRange): void {
    this.highestFences = [
      ...this.highestFences.flatMap((range) => subtractSpan(range, { from, to })),
      { from, to, fence },
    ];
  }

  private discardExpired(): void {
    const nowMs = this.nowMs();
    const remaining = this.held.filter(({ untilMs }) => nowMs < untilMs);
    if (remaining.length === this.held.length) return;
    this.held = remaining;
    this.notifyChange();
  }

  private notifyChange(): void {
    this.onChange(this.held);
  }
}
