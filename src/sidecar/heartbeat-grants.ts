/**
 * Grants keys in the answers to a back end's heartbeats. A range that is to move is omitted from the answer; a
 * later heartbeat shows that the back end has released it.
 */
import type { KeyRange } from '../directory/directory-state.js';
import { overlaps, subtractSpan } from '../directory/key-ranges.js';
import type { BackendHeartbeat, HeartbeatGrant, HeldRange, ReleasedRange } from './backend-report.js';
import { rangeName, ReleaseReporter, type KeyGrantPorts, type KeyGrants } from './key-grants.js';

/** Minimum duration of a grant in ms. */
const MIN_HOLD_MS = 300;

/** Maximum number of handovers stored until their ranges are reported as released. */
const MAX_HANDOVERS = 256;

/** Time in ms for which keys that a back end reports before its registration is known here count as held. */
const RECOVERED_HOLD_MS = 4_000;

/** Grants sent in heartbeat answers. */
export class HeartbeatGrants implements KeyGrants {
  private held: readonly HeldRange[] = [];
  private heldUntilMs = -Infinity;
  /** Deadline on the steady clock, which may be later: the back end may hold the ranges until then. */
  private mayHoldUntilMs = -Infinity;
  private hasAnswered = false;
  /** Sequence of the first heartbeat whose answer omitted a moving range, by range name. */
  private readonly omittedSince = new Map<string, number>();
  /** Handovers received, oldest first. */
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

  /** Time after which no granted range can still be held, in ms of the steady clock. */
  get holdsExpireAtMs(): number {
    return this.mayHoldUntilMs;
  }

  /** Processes the held and released ranges of a heartbeat. */
  recordHeartbeat(heartbeat: BackendHeartbeat): void {
    this.handovers = [...this.handovers, ...heartbeat.released].slice(-MAX_HANDOVERS);
    for (const range of heartbeat.holds ?? []) this.ports.outstanding.recordSeenFence(range);
    this.raiseFences();
    this.recoverHeldRanges(heartbeat);
    this.reportReleases(heartbeat);
  }

  /**
   * Returns the grant for a heartbeat's answer, as of the time when the answer is sent; null to leave the earlier
   * grant unrenewed.
   */
  answer(heartbeat: BackendHeartbeat, arrivedMs: number): HeartbeatGrant | null {
    const { lease, owned, runtime, holdMs } = this.ports;
    if (lease.session === null) return null;
    const remainingMs = Math.min(holdMs, lease.deadlineMs - runtime.nowMs());
    if (remainingMs < MIN_HOLD_MS) return null;
    const ownedRanges = owned.list();
    const grantedRanges = ownedRanges.filter((range) => {
      return !this.mayOmit(range, heartbeat) && this.isUnreported(range);
    });
    this.recordOmitted(ownedRanges, grantedRanges, heartbeat.sequence);
    this.applyGrant(grantedRanges, arrivedMs + remainingMs);
    const ranges = grantedRanges.map(({ from, to, fence, handover }) => ({ from, to, fence, handover }));
    return { ranges, holdMs: remainingMs };
  }

  /** See `KeyGrants`. */
  tableChanged(): void {
    this.raiseFences();
    const names = new Set(this.ports.owned.list().map(rangeName));
    for (const name of this.omittedSince.keys()) if (!names.has(name)) this.omittedSince.delete(name);
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

  /**
   * Whether a range may be released. A grant made by a call, before the grant mode changed, may still be applied;
   * the keys stay until the back end would refuse it.
   */
  private mayRelease(range: KeyRange): boolean {
    return range.movingTo !== null && this.ports.outstanding.releaseReadiness(range) === 'certain';
  }

  private raiseFences(): void {
    const { outstanding, owned } = this.ports;
    for (const range of owned.list()) {
      const isUncertain = range.movingTo !== null && outstanding.releaseReadiness(range) === 'to-be-fenced';
      if (isUncertain) this.reporter.raiseFence(range);
    }
  }

  private forget(): void {
    this.held = [];
    this.heldUntilMs = -Infinity;
    this.mayHoldUntilMs = -Infinity;
    this.hasAnswered = false;
    this.omittedSince.clear();
    this.handovers = [];
    this.reporter.clear();
  }

  private applyGrant(ranges: readonly HeldRange[], untilMs: number): void {
    const before = new Set(this.held.map(rangeName));
    this.hasAnswered = true;
    this.held = ranges;
    const { runtime } = this.ports;
    this.heldUntilMs = untilMs;
    this.mayHoldUntilMs = runtime.steadyMs() + (untilMs - runtime.nowMs());
    if (ranges.some((range) => !before.has(rangeName(range)))) this.ports.onKeysGained();
  }

  /**
   * After a daemon restart, counts the ranges as held that the back end reports and an earlier process of this
   * daemon granted.
   */
  private recoverHeldRanges(heartbeat: BackendHeartbeat): void {
    if (this.hasAnswered || heartbeat.holds === null || heartbeat.holds.length === 0) return;
    this.held = heartbeat.holds;
    this.heldUntilMs = this.ports.runtime.nowMs() + RECOVERED_HOLD_MS;
    this.mayHoldUntilMs = this.ports.runtime.steadyMs() + RECOVERED_HOLD_MS;
    this.ports.onKeysGained();
  }

  /** Whether no key of a range was reported as released under its fence; if one was, requests a higher fence. */
  private isUnreported(range: KeyRange): boolean {
    if (this.reporter.reportedParts(range).length === 0) return true;
    this.reporter.raiseFence(range);
    return false;
  }

  /**
   * Whether an answer may omit a range. The back end must have reported the range under its present fence, or have released it
   * already: only then does it refuse a call that the previous process made before the grant mode changed.
   */
  private mayOmit(range: KeyRange, { holds }: BackendHeartbeat): boolean {
    if (!this.mayRelease(range)) return false;
    if (this.omittedSince.has(rangeName(range))) return true;
    return coversRange(range, [...(holds ?? []), ...this.reporter.reportedParts(range)]);
  }

  private recordOmitted(
    ownedRanges: readonly KeyRange[],
    grantedRanges: readonly KeyRange[],
    sequence: number,
  ): void {
    for (const range of ownedRanges) {
      const name = rangeName(range);
      if (grantedRanges.includes(range)) this.omittedSince.delete(name);
      else if (!this.omittedSince.has(name)) this.omittedSince.set(name, sequence);
    }
  }

  private reportReleases(heartbeat: BackendHeartbeat): void {
    const { holds, sequence } = heartbeat;
    if (holds === null) return;
    for (const range of this.ports.owned.list()) {
      if (!this.mayRelease(range)) continue;
      const omittedAt = this.omittedSince.get(rangeName(range));
      const answered = omittedAt !== undefined && sequence > omittedAt;
      if (!answered || holds.some((held) => overlaps(held, range))) continue;
      this.reporter.report(range, this.handoverOf(range));
    }
  }

  /** Returns the handover data of a range; a back end may release several ranges as one. */
  private handoverOf(range: KeyRange): string {
    const covering = this.handovers.findLast(({ from, to }) => from <= range.from && to >= range.to);
    return covering?.handover ?? '';
  }
}

/** Whether the ranges that a back end holds cover a range under its fence. */
function coversRange(range: KeyRange, holds: readonly HeldRange[]): boolean {
  let missing: KeyRange[] = [range];
  for (const held of holds) {
    if (held.fence === range.fence) missing = missing.flatMap((part) => subtractSpan(part, held));
  }
  return missing.length === 0;
}
