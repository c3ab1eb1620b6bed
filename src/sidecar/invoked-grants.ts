/**
 * Grants keys by calls to the back end, and takes them back by calls. A call that got no answer may still be taken
 * later, so its time counts as granted although nothing is sent to the back end on the strength of it.
 */
import type { KeyRange } from '../directory/directory-state.js';
import { overlaps, subtractSpan } from '../directory/key-ranges.js';
import { idOfLife } from '../model/backend-life.js';
import type { CancelTimer } from '../runtime/runtime.js';
import type { BackendCalls, GrantResult } from './backend-report.js';
import { rangeName, ReleaseReporter, type KeyGrantPorts, type KeyGrants } from './key-grants.js';

/** Pause between looks at what is due, in ms. */
const STEP_MS = 100;

/** Age at which a grant is renewed, in ms. */
const RENEW_AFTER_MS = 1_500;

/** Least time in ms that is worth granting. */
const LEAST_HOLD_MS = 300;

/** Pause between two steps in ms after which another life of the back end may have begun at its address unnoticed. */
const LONGEST_PAUSE_MS = 500;

/** Part of a grant's time for which the back end is trusted to hold it. */
const TRUSTED_SHARE = 0.95;

/** Part by which a back end's clock may stretch a grant, with room for the way. */
const STRETCH_SHARE = 1.05;

interface GrantRecord {
  readonly range: KeyRange;
  sentMs: number;
  /** Until when the back end certainly holds the range. */
  heldUntilMs: number;
  /** Until when it may hold the range, on the steady clock. */
  mayHoldUntilMs: number;
  underWay: boolean;
  releasing: boolean;
  /** Whether the back end has refused it for a higher fence: only under a new fence can it be granted. */
  superseded: boolean;
  /** What the back end left when it released the range; null before that. */
  handover: string | null;
}

/** A grant that is to be sent. */
interface GrantOrder {
  readonly range: KeyRange;
  readonly holdMs: number;
  /** Id of the back end that it is meant for. */
  readonly id: string;
}

/** Grants by calls. */
export class InvokedGrants implements KeyGrants {
  private readonly records = new Map<string, GrantRecord>();
  private readonly reporter: ReleaseReporter;
  private readonly cancelTimer: CancelTimer;
  private life = 0;
  private steppedMs: number;
  /** Whether the back end must be asked who it is before anything is granted. */
  private unconfirmed = false;
  private confirming = false;
  /** Newest heartbeat that had been heard when another life was suspected; null while none is. */
  private doubtedSequence: number | null = null;
  /** Session whose ranges were first looked at; null before that. */
  private inheritedSession: number | null = null;

  constructor(
    private readonly ports: KeyGrantPorts,
    private readonly calls: BackendCalls,
    /** Asks at the back end's address whether the present life is there. */
    private readonly isPresent: () => Promise<boolean>,
    /** Sequence of the newest heartbeat of the present life. */
    private readonly heardSequence: () => number = () => 0,
  ) {
    this.steppedMs = ports.runtime.nowMs();
    this.reporter = new ReleaseReporter(ports);
    this.cancelTimer = ports.runtime.every(STEP_MS, () => {
      this.step();
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

  /** When nothing that was granted can still be held, in ms of the steady clock. */
  get heldUntil(): number {
    return Math.max(-Infinity, ...[...this.records.values()].map(({ mayHoldUntilMs }) => mayHoldUntilMs));
  }

  /** See `KeyGrants`. */
  tableChanged(): void {
    this.step();
  }

  /** See `KeyGrants`. */
  clear(): void {
    this.life += 1;
    this.records.clear();
    this.reporter.clear();
    this.ports.outstanding.clear();
    this.inheritedSession = null;
    this.unconfirmed = false;
    this.doubtedSequence = null;
  }

  /**
   * Another life may have begun under the same id. It would take a grant that names the id, so nothing is granted before a
   * later heartbeat of the present life, or the first one of another.
   */
  awaitHeartbeat(): void {
    this.doubtedSequence = this.heardSequence();
  }

  /** See `KeyGrants`. */
  stop(): void {
    this.cancelTimer();
  }

  private step(): void {
    const nowMs = this.ports.runtime.nowMs();
    if (nowMs - this.steppedMs > LONGEST_PAUSE_MS) this.unconfirmed = true;
    this.steppedMs = nowMs;
    if (this.unconfirmed) {
      void this.confirm();
      return;
    }
    if (this.doubtedSequence !== null && this.heardSequence() > this.doubtedSequence)
      this.doubtedSequence = null;
    const owned = this.ports.owned.list();
    this.noteInherited(owned);
    this.forgetPast(owned, this.ports.runtime.steadyMs());
    for (const range of owned) {
      if (range.movingTo === null) this.grantIfDue(range, nowMs);
      else this.release(range, nowMs);
    }
  }

  /** A back end that began at the address while this daemon stood still must not be given what its forerunner held. */
  private async confirm(): Promise<void> {
    if (this.confirming) return;
    const { life } = this;
    this.confirming = true;
    const isPresent = await this.isPresent();
    this.confirming = false;
    if (isPresent && life === this.life) this.unconfirmed = false;
  }

  /** What is owned when a registration is first seen here may have been granted by an earlier life of this daemon. */
  private noteInherited(owned: readonly KeyRange[]): void {
    const { session } = this.ports.lease;
    if (session === null || session === this.inheritedSession) return;
    this.inheritedSession = session;
    for (const range of owned) this.ports.outstanding.inherit(range);
  }

  /** A record of a range that was cut covers its parts until they have records of their own. */
  private forgetPast(owned: readonly KeyRange[], steadyMs: number): void {
    const names = new Set(owned.map(rangeName));
    for (const [name, record] of this.records) {
      if (!names.has(name) && steadyMs >= record.mayHoldUntilMs) this.records.delete(name);
    }
  }

  private grantIfDue(range: KeyRange, nowMs: number): void {
    const record = this.recordOf(range);
    if (record.superseded) {
      this.reporter.raiseFence(range);
      return;
    }
    if (record.releasing) this.takeUpAgain(record);
    const renewed = nowMs < record.heldUntilMs && nowMs - record.sentMs < RENEW_AFTER_MS;
    if (record.underWay || renewed) return;
    const holdMs = Math.min(this.ports.holdMs, this.ports.lease.deadlineMs - nowMs);
    const life = this.ports.instance();
    if (life === null || holdMs < LEAST_HOLD_MS || this.doubtedSequence !== null) return;
    void this.grant(record, { range, holdMs, id: idOfLife(life) }, nowMs);
  }

  /** A move was called off; the back end may have let go of the range already. */
  private takeUpAgain(record: GrantRecord): void {
    record.releasing = false;
    record.handover = null;
    record.heldUntilMs = -Infinity;
  }

  /** The call names the back end: another life that begins at the address takes nothing under its forerunner's fence. */
  private async grant(record: GrantRecord, { range, holdMs, id }: GrantOrder, nowMs: number): Promise<void> {
    const { life } = this;
    record.underWay = true;
    record.sentMs = nowMs;
    const mayHoldUntilMs = this.ports.runtime.steadyMs() + holdMs * STRETCH_SHARE;
    record.mayHoldUntilMs = Math.max(record.mayHoldUntilMs, mayHoldUntilMs);
    const call = this.ports.outstanding.sent(range, range.movingTo !== null);
    const result = await this.calls.grant(id, range, holdMs);
    record.underWay = false;
    this.ports.outstanding.settled(call, range, result);
    if (life !== this.life) return;
    this.granted(record, result, nowMs + holdMs * TRUSTED_SHARE);
  }

  private granted(record: GrantRecord, result: GrantResult, untilMs: number): void {
    if (result === 'granted') {
      const gained = record.heldUntilMs === -Infinity;
      record.heldUntilMs = Math.max(record.heldUntilMs, untilMs);
      if (gained) this.ports.onGained();
      return;
    }
    if (result === 'superseded') record.superseded = true;
    if (result === 'misdirected') this.unconfirmed = true;
    const { from, to, fence } = record.range;
    const sentAgoMs = Math.round(this.ports.runtime.nowMs() - record.sentMs);
    this.ports.log.event('grant-failed', { service: this.ports.service, from, to, fence, result, sentAgoMs });
  }

  private release(range: KeyRange, nowMs: number): void {
    if (!this.makeCertain(range, nowMs)) return;
    this.stopAdmission(range);
    const record = this.recordOf(range);
    record.releasing = true;
    if (record.handover !== null) {
      this.reporter.report(range, record.handover);
      return;
    }
    if (!record.underWay) void this.callRelease(record, range);
  }

  /** Whether the range may leave; if not, takes the next step towards that. */
  private makeCertain(range: KeyRange, nowMs: number): boolean {
    const record = this.recordOf(range);
    if (record.releasing) return true;
    const certainty = this.ports.outstanding.certaintyOf(range);
    if (certainty === 'to-be-fenced') this.reporter.raiseFence(range);
    if (certainty === 'to-be-granted') this.grantIfDue(range, nowMs);
    return certainty === 'certain';
  }

  private async callRelease(record: GrantRecord, range: KeyRange): Promise<void> {
    const { life } = this;
    const instance = this.ports.instance();
    if (instance === null) return;
    const calledMs = this.ports.runtime.steadyMs();
    record.underWay = true;
    const handover = await this.calls.release(idOfLife(instance), range);
    record.underWay = false;
    if (life !== this.life || !record.releasing) return;
    const expired = calledMs >= this.mayHoldUntil(range);
    if (handover !== null || expired) record.handover = handover ?? '';
    if (record.handover !== null) this.reporter.report(range, record.handover);
  }

  /** Whatever was granted of its keys counts, also under ranges that have been joined or cut since. */
  private mayHoldUntil(range: KeyRange): number {
    let untilMs = -Infinity;
    for (const record of this.records.values()) {
      if (overlaps(record.range, range)) untilMs = Math.max(untilMs, record.mayHoldUntilMs);
    }
    return untilMs;
  }

  /** Records of wider ranges, from before a cut, must not count for the keys that are being released. */
  private stopAdmission(range: KeyRange): void {
    for (const record of this.records.values()) {
      if (record.range.fence !== range.fence || record.releasing) continue;
      const inside = record.range.from >= range.from && record.range.to <= range.to;
      if (inside) record.releasing = true;
      else if (record.range.from <= range.to && record.range.to >= range.from) this.cut(record, range);
    }
  }

  private cut(record: GrantRecord, range: KeyRange): void {
    this.records.delete(rangeName(record.range));
    const from = Math.max(range.from, record.range.from);
    const to = Math.min(range.to, record.range.to);
    const leaving = { ...record.range, from, to };
    this.records.set(rangeName(leaving), { ...record, range: leaving, underWay: false, releasing: true });
    for (const kept of subtractSpan(record.range, range)) this.keepPart(record, kept);
  }

  /** A part of a range that was cut; what may be held of it counts from before the cut as well. */
  private keepPart(record: GrantRecord, part: KeyRange): void {
    const known = this.records.get(rangeName(part));
    if (known === undefined) {
      this.records.set(rangeName(part), { ...record, range: part, underWay: false, releasing: false });
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
      underWay: false,
      releasing: false,
      superseded: false,
      handover: null,
    };
    this.records.set(name, record);
    return record;
  }
}
