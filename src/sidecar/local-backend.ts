/**
 * State of the local back end: its incarnation, whether it is leaving, and the time of its last heartbeat. A
 * restarted daemon has no information on the back end until the next heartbeat, and none on what the previous process
 * acknowledged; it assumes the worst case for both.
 */
import { idOfIncarnation, incarnationName, type BackendIncarnation } from '../model/backend-incarnation.js';
import type { BackendHeartbeat } from './backend-report.js';
import { LeaveDeadlines } from './leave-deadlines.js';

/** Part of the drain time in ms that is reserved for requests already in flight to the back end. */
export const DRAIN_MARGIN_MS = 400;

/** Maximum number of past incarnations that are stored to recognize their delayed heartbeats. */
const MAX_PAST_INCARNATIONS = 64;

/** Maximum number of stored leaves; a daemon sees one back end at a time. */
const MAX_LEAVES = 64;

/**
 * Time in ms after the start of this process during which a received message may have been sent to the previous
 * process.
 */
const LATE_MESSAGE_MS = 5_000;

/** Sequence of an incarnation's first heartbeat. */
export const FIRST_SEQUENCE = 1;

/** Number of heartbeats with condition "ready" after which at least one was certainly sent to this process. */
const MIN_READY_HEARTBEATS = 2;

/**
 * Time in ms without a heartbeat after which an incarnation is replaced by one with an earlier start time: the
 * machine's wall clock may have been set back.
 */
const CLOCK_STEP_SILENCE_MS = 4_000;

/**
 * How an incarnation ended: by its final message, certainly, or by assumption, because it was silent or replaced by one that was
 * not shown to be at the address.
 */
export type PastEnd = 'left' | 'ended' | 'assumed';

/** Result of processing a heartbeat: from a new incarnation, a newer one of the current incarnation, or stale. */
export type HeartbeatOutcome = 'new-life' | 'news' | 'stale';

/** State of the local back end. */
export class LocalBackend {
  private present: BackendHeartbeat | null = null;
  /** Ends of past incarnations by name, oldest first. */
  private readonly pastIncarnations = new Map<string, PastEnd>();
  private readonly acknowledgedLeaves = new LeaveDeadlines(MAX_LEAVES);
  private hasLeft = false;
  private newestHeartbeatMs = -Infinity;
  private firstSeenMs = -Infinity;
  private readyCount = 0;
  private isConfirmed = false;
  /** Whether the current incarnation has told this process, in its first heartbeat or an answer, that it does not leave. */
  private hasServed = false;

  constructor(
    private readonly drainMs: number,
    /** Start time of this process, in ms of the daemon's clock. */
    private readonly startedMs = -Infinity,
  ) {}

  /** Name of the current incarnation; null if none is known. */
  get life(): string | null {
    return this.present === null ? null : incarnationName(this.present);
  }

  /** Newest heartbeat of the current incarnation; null if none is known. */
  get heartbeat(): BackendHeartbeat | null {
    return this.present;
  }

  /** Time in ms after which no requests are sent to the back end; Infinity if it is not leaving. */
  get closesAtMs(): number {
    return this.acknowledgedLeaves.closesAtMs(this.life);
  }

  /** Whether the back end has announced that it leaves. */
  get leaving(): boolean {
    return this.closesAtMs !== Infinity;
  }

  /** Whether the back end has sent its final message; no more heartbeats follow. */
  get left(): boolean {
    return this.hasLeft;
  }

  /** Time of the last heartbeat, in ms. */
  get lastHeartbeatMs(): number {
    return this.newestHeartbeatMs;
  }

  /** Whether the state of the current incarnation is known from messages to this process or from the directory. */
  get confirmed(): boolean {
    return this.isConfirmed;
  }

  /** Whether an incarnation is the current one. */
  isCurrent(incarnation: BackendIncarnation): boolean {
    return this.life === incarnationName(incarnation);
  }

  /** Whether an incarnation, by its name, is a past one. */
  isPast(name: string): boolean {
    return this.pastIncarnations.has(name);
  }

  /** How a past incarnation ended; null for any other. */
  endOf(incarnation: BackendIncarnation): PastEnd | null {
    return this.pastIncarnations.get(incarnationName(incarnation)) ?? null;
  }

  /** Takes back the end of an incarnation that has shown that it is up; a leave that it has stated stays in force. */
  readmit(incarnation: BackendIncarnation): void {
    const name = incarnationName(incarnation);
    if (this.pastIncarnations.get(name) !== 'left') this.pastIncarnations.delete(name);
  }

  /** Whether this process has known no incarnation before the current one. */
  get isFirstIncarnation(): boolean {
    return this.pastIncarnations.size === 0;
  }

  /** Whether an earlier incarnation had this id. */
  hadEarlierIncarnation(id: string): boolean {
    return [...this.pastIncarnations.keys()].some((name) => idOfIncarnation(name) === id);
  }

  /**
   * Records the acknowledged leave of an incarnation. The drain time counts from the first acknowledgement. If the
   * previous process may have given it, its time is unknown and the incarnation is closed at once: when the drain
   * time was counted from the first heartbeat after a restart, requests reached back ends 2,050 to 2,500 ms after
   * the acknowledgement, with a limit of 2,000 ms.
   */
  recordLeave(leaving: BackendIncarnation, nowMs: number): void {
    const name = incarnationName(leaving);
    const mayBeRepeated = this.life !== name || !this.isFirstRecipient;
    const remainingMs = mayBeRepeated ? 0 : Math.max(0, this.drainMs - DRAIN_MARGIN_MS);
    this.acknowledgedLeaves.record(name, nowMs + remainingMs);
  }

  /** Records an answer of the current incarnation that does not state its leave. */
  recordServing(): void {
    this.hasServed = true;
  }

  /**
   * Records that the current incarnation states its leave in its answers. If this process has never received an answer
   * without it, the previous process may have passed such answers on, and the incarnation is closed at once.
   */
  recordStatedLeave(nowMs: number): void {
    if (this.life === null) return;
    const remainingMs = this.hasServed ? Math.max(0, this.drainMs - DRAIN_MARGIN_MS) : 0;
    this.acknowledgedLeaves.record(this.life, nowMs + remainingMs);
  }

  /** Processes a heartbeat. A leave is binding even if the heartbeat is stale, because it is acknowledged. */
  recordHeartbeat(heartbeat: BackendHeartbeat, nowMs: number): HeartbeatOutcome {
    const name = incarnationName(heartbeat);
    if (heartbeat.condition === 'draining') this.recordLeave(heartbeat, nowMs);
    if (this.pastIncarnations.has(name) || this.isFromEarlierIncarnation(heartbeat, nowMs)) return 'stale';
    const isNew = this.life !== name;
    if (!isNew && heartbeat.sequence <= (this.present?.sequence ?? 0)) return 'stale';
    if (isNew) this.startIncarnation(heartbeat, nowMs);
    this.present = heartbeat;
    this.newestHeartbeatMs = nowMs;
    if (heartbeat.condition === 'ready') this.readyCount += 1;
    if (this.readyCount >= MIN_READY_HEARTBEATS) this.isConfirmed = true;
    return isNew ? 'new-life' : 'news';
  }

  /**
   * Processes the final message of an incarnation, which sends no more heartbeats; delayed ones are ignored from
   * now on.
   */
  leave(incarnation: BackendIncarnation, nowMs: number): void {
    const name = incarnationName(incarnation);
    this.recordLeave(incarnation, nowMs);
    if (this.life === name) this.hasLeft = true;
    else this.addPastIncarnation(name, 'left');
  }

  /** Marks the current incarnation as confirmed: neither the directory nor a probe reports that it leaves. */
  confirm(): void {
    this.isConfirmed = true;
  }

  /** Adopts a leave of the current incarnation that the directory reports, recorded by the previous process. */
  adoptLeave(nowMs: number): void {
    if (this.life !== null && !this.leaving) this.acknowledgedLeaves.record(this.life, nowMs);
  }

  /** Discards the current incarnation; its delayed heartbeats are ignored from now on, unless it is readmitted. */
  forget(end: PastEnd): void {
    if (this.life !== null) this.addPastIncarnation(this.life, this.hasLeft ? 'left' : end);
    this.present = null;
    this.hasLeft = false;
    this.newestHeartbeatMs = -Infinity;
    this.isConfirmed = false;
  }

  /** Whether the previous process cannot have received a leave of the current incarnation. */
  private get isFirstRecipient(): boolean {
    return this.readyCount >= MIN_READY_HEARTBEATS || this.firstSeenMs - this.startedMs > LATE_MESSAGE_MS;
  }

  private isFromEarlierIncarnation({ id, bornMs }: BackendHeartbeat, nowMs: number): boolean {
    const { present } = this;
    if (present?.id !== id || present.bornMs === null) return false;
    if (bornMs === null) return true;
    return bornMs < present.bornMs && nowMs - this.newestHeartbeatMs <= CLOCK_STEP_SILENCE_MS;
  }

  /**
   * Starts tracking a new incarnation. Shortly after the start of this process, a heartbeat may have been sent
   * before a leave that the previous process acknowledged, so it does not confirm the incarnation: otherwise, a
   * back end that had left received requests for as long as its process ran.
   */
  private startIncarnation({ sequence }: BackendHeartbeat, nowMs: number): void {
    this.forget('assumed');
    this.readyCount = 0;
    this.firstSeenMs = nowMs;
    this.hasServed = sequence === FIRST_SEQUENCE;
    this.isConfirmed = sequence === FIRST_SEQUENCE || nowMs - this.startedMs > LATE_MESSAGE_MS;
  }

  private addPastIncarnation(name: string, end: PastEnd): void {
    this.pastIncarnations.delete(name);
    this.pastIncarnations.set(name, end);
    if (this.pastIncarnations.size <= MAX_PAST_INCARNATIONS) return;
    const [oldest] = this.pastIncarnations.keys();
    if (oldest !== undefined) this.pastIncarnations.delete(oldest);
  }
}
