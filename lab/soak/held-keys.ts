/**
 * The keys that a stand-in back end holds, granted in the answers to its heartbeats or by calls, and the keys on which
 * it works. Pure but for the clock that it is given.
 */
import { createHash } from 'node:crypto';
import type { GrantMode } from '../../src/directory/directory-state.js';
import type { HeartbeatGrant, HeldRange, ReleasedRange } from '../../src/sidecar/backend-report.js';
import { rangeName } from '../../src/sidecar/key-grants.js';
import type { GrantCall } from '../../platform/stand-in-wire.js';

/** Held keys of one life of a back end. */
export class HeldKeys {
  private held: readonly HeldRange[] = [];
  /** Until when each range is held, by its name; ranges of a heartbeat's answer share one end. */
  private readonly untilMs = new Map<string, number>();
  private released: ReleasedRange[] = [];
  private readonly running = new Map<number, number>();
  private handovers = 0;

  constructor(
    private readonly id: string,
    private readonly grantMode: GrantMode,
    private readonly nowMs: () => number,
    private readonly onChange: (ranges: readonly HeldRange[], untilMs: number) => void,
  ) {}

  /** Whether a key is held now. */
  holds(key: number): boolean {
    const range = this.held.find(({ from, to }) => key >= from && key <= to);
    return range !== undefined && this.nowMs() < this.endOf(range);
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
    if (this.grantMode !== 'heartbeat') return { holds: null, released: [] };
    this.forgetExpired();
    return { holds: [...this.held, ...this.leaving()], released: this.released };
  }

  /** Takes the answer to a heartbeat; null renews nothing. */
  takeAnswer(grant: HeartbeatGrant | null, sentMs: number): void {
    this.released = [];
    if (grant === null || this.grantMode !== 'heartbeat') return;
    const kept = new Set(grant.ranges.map(rangeName));
    for (const { from, to } of this.held.filter((range) => !kept.has(rangeName(range)))) {
      this.released.push({ from, to, handover: this.nextHandover() });
    }
    this.held = grant.ranges;
    for (const range of grant.ranges) this.untilMs.set(rangeName(range), sentMs + grant.holdMs);
    this.tell();
  }

  // ---- granted by calls

  /** Takes a grant; false when a higher fence holds any of its keys. */
  grant({ from, to, fence, holdMs }: GrantCall): boolean {
    const overlapping = this.held.filter((range) => from <= range.to && range.from <= to);
    if (overlapping.some((range) => range.fence > fence)) return false;
    const granted = { from, to, fence };
    this.held = [...this.held.filter((range) => !overlapping.includes(range)), granted];
    this.untilMs.set(rangeName(granted), this.nowMs() + holdMs);
    this.tell();
    return true;
  }

  /** Holds a span no more; what runs on it goes on. */
  release({ from, to }: GrantCall): void {
    this.held = this.held.flatMap((range) => this.without(range, from, to));
    this.tell();
  }

  /** A handover that no other release has. */
  nextHandover(): string {
    this.handovers += 1;
    return createHash('sha256').update(`${this.id} ${this.handovers}`).digest('hex').slice(0, 16);
  }

  private without(range: HeldRange, from: number, to: number): HeldRange[] {
    if (from > range.to || to < range.from) return [range];
    const endMs = this.endOf(range);
    const parts = [
      { ...range, to: from - 1 },
      { ...range, from: to + 1 },
    ].filter((part) => part.from <= part.to);
    for (const part of parts) this.untilMs.set(rangeName(part), endMs);
    return parts;
  }

  private forgetExpired(): void {
    const nowMs = this.nowMs();
    const standing = this.held.filter((range) => nowMs < this.endOf(range));
    if (standing.length === this.held.length) return;
    this.held = standing;
    this.tell();
  }

  private endOf(range: HeldRange): number {
    return this.untilMs.get(rangeName(range)) ?? -Infinity;
  }

  private tell(): void {
    this.onChange(this.held, Math.max(-Infinity, ...this.held.map((range) => this.endOf(range))));
  }
}
