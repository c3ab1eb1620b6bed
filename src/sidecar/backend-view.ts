/** What a calling daemon believes of back ends elsewhere: how busy they are, and whether they can be reached. */
import { decayedPace } from './backend-pace.js';
import type { StatusHead } from '../link/link-messages.js';

/** Service time that is assumed before any was told, in ms. */
const ASSUMED_SERVICE_MS = 50;

/** Pauses in ms for which a back end is avoided after failures, by how many came in a row. */
const AVOID_MS = [0, 100, 300, 600, 1_000];

/** Wait for the network link up to which a back end counts as having room, in ms: some slices of other answers. */
const ROOM_SEND_WAIT_MS = 40;

/** Wait for a start up to which a cold back end counts as having room, in ms. */
const ROOM_START_DELAY_MS = 20;

/** Age in ms at which a status says nothing about places any more. */
const STATUS_AGE_LIMIT_MS = 2_000;

/** Bounds in ms of the age up to which a status still tells about places. Between them it is one service time, since
 * most of what ran then still runs. */
const LEAST_KNOWN_MS = 50;
const LONGEST_KNOWN_MS = 500;

/** One back end as it is seen from here. */
export class BackendView {
  private lastStatus: StatusHead | null = null;
  private statusMs = -Infinity;
  /** Requests that were sent since the last status. */
  private sentSinceStatus = 0;
  private failuresInRow = 0;
  private avoidUntilMs = -Infinity;
  /** Requests sent from here whose outcome is awaited. */
  outstanding = 0;

  /** Newest status. */
  get status(): StatusHead | null {
    return this.lastStatus;
  }

  /** Age of the newest status, in ms; infinite before the first. */
  statusAgeMs(nowMs: number): number {
    return nowMs - this.statusMs;
  }

  /** Whether the newest status is so young that it need not be asked for. */
  known(nowMs: number): boolean {
    if (this.lastStatus === null) return false;
    const limitMs = Math.min(LONGEST_KNOWN_MS, Math.max(LEAST_KNOWN_MS, this.lastStatus.serviceMs));
    return this.statusAgeMs(nowMs) <= limitMs;
  }

  /** Whether it takes new requests; what was told long ago counts for nothing, since the daemon may be another now. */
  accepting(nowMs: number): boolean {
    return this.lastStatus?.accepting !== false || this.statusAgeMs(nowMs) > STATUS_AGE_LIMIT_MS;
  }

  /** Whether a request sent now would find a free place, and its answer a free network link. */
  hasRoom(slots: number, nowMs: number): boolean {
    if (this.startDelayMs(nowMs) > ROOM_START_DELAY_MS) return false;
    return this.busy(nowMs) < slots && this.sendWaitMs(nowMs) < ROOM_SEND_WAIT_MS;
  }

  /** Its daemon tells how busy it is. */
  noteStatus(status: StatusHead, nowMs: number): void {
    this.lastStatus = status;
    this.statusMs = nowMs;
    this.sentSinceStatus = 0;
  }

  /** A request was sent there. */
  noteSent(): void {
    this.outstanding += 1;
    this.sentSinceStatus += 1;
  }

  /** A request sent there has ended. */
  noteEnded(): void {
    this.outstanding = Math.max(0, this.outstanding - 1);
  }

  /** It answered. */
  noteSuccess(): void {
    this.failuresInRow = 0;
    this.avoidUntilMs = -Infinity;
  }

  /** It could not be reached, or broke off. */
  noteFailure(nowMs: number): void {
    this.failuresInRow = Math.min(this.failuresInRow + 1, AVOID_MS.length - 1);
    this.avoidUntilMs = nowMs + (AVOID_MS[this.failuresInRow] ?? 0);
  }

  /** Whether it failed a moment ago. */
  avoided(nowMs: number): boolean {
    return nowMs < this.avoidUntilMs;
  }

  /** Requests that are there, as far as is known. */
  busy(nowMs: number): number {
    const fresh = this.lastStatus !== null && nowMs - this.statusMs < STATUS_AGE_LIMIT_MS;
    const told = fresh && this.lastStatus !== null ? this.lastStatus.running + this.lastStatus.waiting : 0;
    return Math.max(this.outstanding, told + this.sentSinceStatus);
  }

  /** Time in ms that a large answer would wait there for the network link. */
  sendWaitMs(nowMs: number): number {
    const fresh = nowMs - this.statusMs < STATUS_AGE_LIMIT_MS;
    return fresh ? (this.lastStatus?.sendWaitMs ?? 0) : 0;
  }

  /** Time in ms until a cold back end would be sent one more request; 0 where it is not cold. */
  startDelayMs(nowMs: number): number {
    const cold = this.lastStatus?.coldStart ?? null;
    const ageMs = this.statusAgeMs(nowMs);
    if (cold === null || ageMs > cold.leftMs) return 0;
    return Math.max(0, cold.delayMs + this.sentSinceStatus * cold.intervalMs - ageMs);
  }

  /** How long work takes there now, as a factor on the usual, by what was told last. */
  private paceAt(nowMs: number): number {
    if (this.lastStatus === null) return 1;
    const { pace: now, meanPace: mean } = this.lastStatus;
    return decayedPace({ now, mean }, this.statusAgeMs(nowMs));
  }

  /**
   * Time in ms that a request would take there, waiting included. `workMs` is the time that its own work usually takes;
   * null where that is not known.
   */
  expectedMs(slots: number, nowMs: number, workMs: number | null): number {
    const pace = this.paceAt(nowMs);
    const told = this.lastStatus;
    const serviceMs = told === null ? ASSUMED_SERVICE_MS : (told.serviceMs / told.pace) * pace;
    const ownMs = workMs === null ? serviceMs : workMs * pace;
    const ahead = Math.max(0, this.busy(nowMs) + 1 - slots);
    // Near its limit a back end is slower, and what is known of it is a little old.
    const crowding = 1 + 0.5 * Math.min(1, this.busy(nowMs) / slots) ** 2;
    return ownMs * crowding + (serviceMs * ahead) / slots + this.startDelayMs(nowMs);
  }
}
