/**
 * Grants and revokes keys by calls to the back end. A call without an answer may still be applied later: the back end
 * counts as a possible holder for the call's duration, but receives no requests by it.
 */
import type { KeyRange } from '../directory/directory-state.js';
import { overlaps, subtractSpan } from '../directory/key-ranges.js';
import { idOfIncarnation } from '../model/backend-incarnation.js';
import type { CancelTimer } from '../runtime/runtime.js';
import type { BackendCalls, GrantResult } from './backend-report.js';
import { rangeName, ReleaseReporter, type KeyGrantPorts, type KeyGrants } from './key-grants.js';

/** Interval in ms between checks for due grants and releases. */
const CHECK_INTERVAL_MS = 100;

/** Age in ms at which a grant is renewed. */
const RENEW_AFTER_MS = 1_500;

/** Minimum duration of a grant in ms; nothing is granted under a lease that ends earlier. */
const MIN_HOLD_MS = 300;

/** Gap in ms between two checks in which another incarnation may have started at the address unnoticed. */
const MAX_CHECK_GAP_MS = 500;

/** Fraction of a grant's duration for which the back end is trusted to hold it. */
const TRUSTED_HOLD_FRACTION = 0.95;

/**
 * Factor on a grant's duration after which it has certainly expired: covers a slow clock of the back end and the
 * network latency.
 */
const MAX_HOLD_FACTOR = 1.05;

interface GrantRecord {
  readonly range: KeyRange;
  sentMs: number;
  /** Until when the back end is certain to hold the range. */
  heldUntilMs: number;
  /** Until when the back end may hold the range, on the steady clock. */
  mayHoldUntilMs: number;
  callInFlight: boolean;
  releasing: boolean;
  /**
   * Whether the back end has refused the grant because it has seen a higher fence; it can be granted only under a
   * new one.
   */
  superseded: boolean;
  /** Handover data of the released range; null before the release. */
  handover: string | null;
}

/** Arguments of a grant call. */
interface GrantCall {
  readonly range: KeyRange;
  readonly holdMs: number;
  /** Id of the back end to which the call is addressed. */
  readonly id: string;
}

/** Grants made by calls. */
export class InvokedGrants implements KeyGrants {
  private readonly records = new Map<string, GrantRecord>();
  private readonly reporter: ReleaseReporter;
  private readonly cancelTimer: CancelTimer;
  /** Incremented when the incarnation ends or changes: results of calls to an earlier one are ignored. */
  private life = 0;
  private lastCheckMs: number;
  /** Whether the back end's identity must be probed before anything is granted. */
  private needsConfirmation = false;
  private confirmationInProgress = false;
  /** Sequence of the newest heartbeat when another incarnation was suspected; null if none is suspected. */
  private sequenceAtSuspicion: number | null = null;
  /** Session whose inherited grants were recorded; null before that. */
  private inheritedSession: number | null = null;

  constructor(
    private readonly ports: KeyGrantPorts,
    private readonly calls: BackendCalls,
    /** Probes whether the current incarnation is at the back end's address. */
    private readonly isPresent: () => Promise<boolean>,
    /** Returns the sequence of the current incarnation's newest heartbeat. */
    private readonly newestSequence: () => number = () => 0,
    /** Called when the back end rejected a grant as meant for another incarnation than the named one. */
    private readonly onMisdirected: (instance: string) => void = () => undefined,
  ) {
    this.lastCheckMs = ports.runtime.nowMs();
    this.reporter = new ReleaseReporter(ports);
    this.cancelTimer = ports.runtime.every(CHECK_INTERVAL_MS, () => {
      this.checkGrants();
    });
  }

  /** See `KeyGrants`. */
  holds(key: number): boolean {
    const nowMs = this.ports.runtime.nowMs();
    const fence = this.ports.owned.fenceOf(key);
    if (fence === null || nowMs >= this.ports.lease.deadlineMs) return false;
    for (const { range, heldUntilMs, releasing } of this.records.values()) {
      const covers = key >= range.from && key <= range.to && range.fence === fence;
      if (covers && !releasing && nowMs < heldUntilMs) return true;
    }
    return false;
  }

  /** Time after which no granted range can still be held, in ms of the steady clock. */
  get holdsExpireAtMs(): number {
    return Math.max(-Infinity, ...[...this.records.values()].map(({ mayHoldUntilMs }) => mayHoldUntilMs));
  }

  /** See `KeyGrants`. */
  tableChanged(): void {
    this.checkGrants();
  }

  /** See `KeyGrants`. */
  clear(): void {
    this.life += 1;
    this.records.clear();
    this.reporter.clear();
    this.ports.outstanding.clear();
    this.inheritedSession = null;
    this.needsConfirmation = false;
    this.sequenceAtSuspicion = null;
  }

  /**
   * Suspends grants until a later heartbeat of the current incarnation or the first one of another. Another
   * incarnation may have started under the same id, and would accept a grant that names the id.
   */
  suspendUntilHeartbeat(): void {
    this.sequenceAtSuspicion = this.newestSequence();
  }

  /** See `KeyGrants`. */
  stop(): void {
    this.cancelTimer();
  }

  private checkGrants(): void {
    const nowMs = this.ports.runtime.nowMs();
    if (nowMs - this.lastCheckMs > MAX_CHECK_GAP_MS) this.needsConfirmation = true;
    this.lastCheckMs = nowMs;
    if (this.needsConfirmation) {
      void this.confirmIncarnation();
      return;
    }
    if (this.sequenceAtSuspicion !== null && this.newestSequence() > this.sequenceAtSuspicion)
      this.sequenceAtSuspicion = null;
    const owned = this.ports.owned.list();
    this.recordInherited(owned);
    this.evictExpired(owned, this.ports.runtime.steadyMs());
    for (const range of owned) {
      if (range.movingTo === null) this.grantIfDue(range, nowMs);
      else this.release(range, nowMs);
    }
  }

  /**
   * Probes the back end's identity. An incarnation that started while this daemon was stalled must not be granted
   * what its predecessor held.
   */
  private async confirmIncarnation(): Promise<void> {
    if (this.confirmationInProgress) return;
    const { life } = this;
    this.confirmationInProgress = true;
    const isPresent = await this.isPresent();
    this.confirmationInProgress = false;
    if (isPresent && life === this.life) this.needsConfirmation = false;
  }

  /**
   * Records the ranges owned when a registration is first seen: an earlier process of this daemon may have granted
   * them.
   */
  private recordInherited(owned: readonly KeyRange[]): void {
    const { session } = this.ports.lease;
    if (session === null || session === this.inheritedSession) return;
    this.inheritedSession = session;
    for (const range of owned) this.ports.outstanding.recordInherited(range);
  }

  /**
   * Removes expired records of ranges that are not owned any more. The record of a range that was split covers its
   * parts until they have records of their own.
   */
  private evictExpired(owned: readonly KeyRange[], steadyMs: number): void {
    const names = new Set(owned.map(rangeName));
    for (const [name, record] of this.records) {
      if (!names.has(name) && steadyMs >= record.mayHoldUntilMs) this.records.delete(name);
    }
  }

  private grantIfDue(range: KeyRange, nowMs: number): void {
    const record = this.recordOf(range);
    if (record.superseded || this.reporter.reportedParts(range).length > 0) {
      this.reporter.raiseFence(range);
      return;
    }
    if (record.releasing) this.cancelRelease(record);
    const renewed = nowMs < record.heldUntilMs && nowMs - record.sentMs < RENEW_AFTER_MS;
    if (record.callInFlight || renewed) return;
    const holdMs = Math.min(this.ports.holdMs, this.ports.lease.deadlineMs - nowMs);
    const incarnation = this.ports.instance();
    if (incarnation === null || holdMs < MIN_HOLD_MS || this.sequenceAtSuspicion !== null) return;
    void this.grant(record, { range, holdMs, id: idOfIncarnation(incarnation) }, nowMs);
  }

  /** Resumes a range whose move was cancelled; the back end may have released it already. */
  private cancelRelease(record: GrantRecord): void {
    record.releasing = false;
    record.handover = null;
    record.heldUntilMs = -Infinity;
  }

  /**
   * Calls the back end under its id, so that another incarnation at the address accepts nothing under its
   * predecessor's fence.
   */
  private async grant(record: GrantRecord, { range, holdMs, id }: GrantCall, nowMs: number): Promise<void> {
    const { life } = this;
    record.callInFlight = true;
    record.sentMs = nowMs;
    const mayHoldUntilMs = this.ports.runtime.steadyMs() + holdMs * MAX_HOLD_FACTOR;
    record.mayHoldUntilMs = Math.max(record.mayHoldUntilMs, mayHoldUntilMs);
    const call = this.ports.outstanding.recordSent(range, range.movingTo !== null);
    const result = await this.calls.grant(id, range, holdMs);
    record.callInFlight = false;
    this.ports.outstanding.recordResult(call, range, result);
    if (life !== this.life) return;
    this.granted(record, result, nowMs + holdMs * TRUSTED_HOLD_FRACTION);
  }

  private granted(record: GrantRecord, result: GrantResult, heldUntilMs: number): void {
    if (result === 'granted') {
      const isNewlyHeld = record.heldUntilMs === -Infinity;
      record.heldUntilMs = Math.max(record.heldUntilMs, heldUntilMs);
      if (isNewlyHeld) this.ports.onKeysGained();
      return;
    }
    if (result === 'superseded') record.superseded = true;
    if (result === 'misdirected') this.handleMisdirected();
    const { from, to, fence } = record.range;
    const sentAgoMs = Math.round(this.ports.runtime.nowMs() - record.sentMs);
    this.ports.log.event('grant-failed', { service: this.ports.service, from, to, fence, result, sentAgoMs });
  }

  private handleMisdirected(): void {
    this.needsConfirmation = true;
    const instance = this.ports.instance();
    if (instance !== null) this.onMisdirected(instance);
  }

  private release(range: KeyRange, nowMs: number): void {
    if (!this.prepareRelease(range, nowMs)) return;
    this.stopAdmission(range);
    const record = this.recordOf(range);
    record.releasing = true;
    if (record.handover !== null) {
      this.reporter.report(range, record.handover);
      return;
    }
    if (!record.callInFlight) void this.callRelease(record, range);
  }

  /** Whether the range may be released; if not, first grants it or raises its fence as required. */
  private prepareRelease(range: KeyRange, nowMs: number): boolean {
    const record = this.recordOf(range);
    if (record.releasing) return true;
    const readiness = this.ports.outstanding.releaseReadiness(range);
    if (readiness === 'to-be-fenced') this.reporter.raiseFence(range);
    if (readiness === 'to-be-granted') this.grantIfDue(range, nowMs);
    return readiness === 'certain';
  }

  private async callRelease(record: GrantRecord, range: KeyRange): Promise<void> {
    const { life } = this;
    const instance = this.ports.instance();
    if (instance === null) return;
    const calledMs = this.ports.runtime.steadyMs();
    record.callInFlight = true;
    const handover = await this.calls.release(idOfIncarnation(instance), range);
    record.callInFlight = false;
    if (life !== this.life || !record.releasing) return;
    const expired = calledMs >= this.mayHoldUntil(range);
    if (handover !== null || expired) record.handover = handover ?? '';
    if (record.handover !== null) this.reporter.report(range, record.handover);
  }

  /**
   * Returns when all grants of a range's keys have expired, including grants of ranges that have been merged or
   * split since.
   */
  private mayHoldUntil(range: KeyRange): number {
    let untilMs = -Infinity;
    for (const record of this.records.values()) {
      if (overlaps(record.range, range)) untilMs = Math.max(untilMs, record.mayHoldUntilMs);
    }
    return untilMs;
  }

  /**
   * Stops treating a range as held. Records of wider ranges, from before a split, must not count for keys that are
   * being released.
   */
  private stopAdmission(range: KeyRange): void {
    for (const record of this.records.values()) {
      if (record.range.fence !== range.fence || record.releasing) continue;
      const inside = record.range.from >= range.from && record.range.to <= range.to;
      if (inside) record.releasing = true;
      else if (record.range.from <= range.to && record.range.to >= range.from) this.cut(record, range);
    }
  }

  /** Splits a record into one for the released keys and one for each remaining part. */
  private cut(record: GrantRecord, range: KeyRange): void {
    this.records.delete(rangeName(record.range));
    const from = Math.max(range.from, record.range.from);
    const to = Math.min(range.to, record.range.to);
    const released = { ...record.range, from, to };
    this.records.set(rangeName(released), {
      ...record,
      range: released,
      callInFlight: false,
      releasing: true,
    });
    for (const part of subtractSpan(record.range, range)) this.recordRemainder(record, part);
  }

  /** Adds a record for the remaining part of a split range. The part may be held for as long as the whole range. */
  private recordRemainder(record: GrantRecord, part: KeyRange): void {
    const known = this.records.get(rangeName(part));
    if (known === undefined) {
      this.records.set(rangeName(part), { ...record, range: part, callInFlight: false, releasing: false });
      return;
    }
    known.mayHoldUntilMs = Math.max(known.mayHoldUntilMs, record.mayHoldUntilMs);
  }

  private recordOf(range: KeyRange): GrantRecord {
    const name = rangeName(range);
    const known = this.records.get(name);
    if (known !== undefined) return known;
    const record: GrantRecord = {
      range,
      sentMs: -Infinity,
      heldUntilMs: -Infinity,
      mayHoldUntilMs: -Infinity,
      callInFlight: false,
      releasing: false,
      superseded: false,
      handover: null,
    };
    this.records.set(name, record);
    return record;
  }
}
