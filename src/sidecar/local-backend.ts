/**
 * What a daemon knows of the back end beside it: which life it is in, whether it leaves, and when it was last heard.
 * A daemon that was started anew knows nothing until the next heartbeat, and nothing of what the process before it
 * acknowledged; it takes the least favourable view of both.
 */
import { idOfLife, lifeName, type BackendLife } from '../model/backend-life.js';
import { AcknowledgedLeaves } from './acknowledged-leaves.js';
import type { BackendHeartbeat } from './backend-report.js';

/** Part of the drain time that is left unused, in ms, for requests that are already on their way. */
const DRAIN_MARGIN_MS = 400;

/** Earlier lives that are remembered, so that their late heartbeats are told apart. */
const REMEMBERED_LIVES = 64;

/** Time in ms after the start of this process in which what it hears may have been sent to the process before it. */
const LATE_WORD_MS = 5_000;

/** Sequence of the first heartbeat of a life. */
const FIRST_SEQUENCE = 1;

/** Heartbeats that say "ready" after which one of them must have been sent to this process. */
const READY_WORDS_THAT_TELL = 2;

/** Time in ms without a heartbeat after which a life gives way to one that seems to have begun before it: clocks step. */
const SILENT_LIFE_MS = 4_000;

/** What a heartbeat was. */
export type HeartbeatNews = 'new-life' | 'news' | 'stale';

/** The back end beside a daemon. */
export class LocalBackend {
  private present: BackendHeartbeat | null = null;
  private readonly past = new Set<string>();
  private readonly leaves = new AcknowledgedLeaves();
  private hasLeft = false;
  private heardMs = -Infinity;
  private firstHeardMs = -Infinity;
  private readyWords = 0;
  private isConfirmed = false;

  constructor(
    private readonly drainMs: number,
    /** When this process started, in ms of the daemon's clock. */
    private readonly startedMs = -Infinity,
  ) {}

  /** Name of the present life; null while none is known. */
  get life(): string | null {
    return this.present === null ? null : lifeName(this.present);
  }

  /** Newest heartbeat of the present life. */
  get heartbeat(): BackendHeartbeat | null {
    return this.present;
  }

  /** When requests to it stop, in ms; infinite while it does not leave. */
  get closesAtMs(): number {
    return this.leaves.closesAtMs(this.life);
  }

  /** Whether it said that it leaves. */
  get leaving(): boolean {
    return this.closesAtMs !== Infinity;
  }

  /** Whether it said that it has left; no more heartbeats come. */
  get left(): boolean {
    return this.hasLeft;
  }

  /** When it was last heard, in ms. */
  get lastHeardMs(): number {
    return this.heardMs;
  }

  /** Whether what is known of it was sent to this process, or stands in the directory. */
  get confirmed(): boolean {
    return this.isConfirmed;
  }

  /** Whether a heartbeat of this life, or of one after it, was taken. */
  knows(life: BackendLife): boolean {
    const name = lifeName(life);
    return this.life === name || this.past.has(name);
  }

  /** Whether a life of this id came before the present one. */
  hadOtherLife(id: string): boolean {
    return [...this.past].some((name) => idOfLife(name) === id);
  }

  /**
   * A life says that it leaves, and is told that this is known. The drain time counts from the first acknowledgement. Where the process before this one may have given it, nobody
   * knows when, and the life is closed at once: counted from the first heartbeat after a restart, requests reached back
   * ends 2,050 to 2,500 ms after the acknowledgement, with a bound of 2,000 ms.
   */
  noteLeave(leaving: BackendLife, nowMs: number): void {
    const life = lifeName(leaving);
    const mayBeOld = this.life !== life || !this.isFirstToHear;
    const leftMs = mayBeOld ? 0 : Math.max(0, this.drainMs - DRAIN_MARGIN_MS);
    this.leaves.note(life, nowMs + leftMs);
  }

  /** Takes a heartbeat. A leave binds from here on, whatever else becomes of the heartbeat: it is acknowledged. */
  take(heartbeat: BackendHeartbeat, nowMs: number): HeartbeatNews {
    const life = lifeName(heartbeat);
    if (heartbeat.condition === 'draining') this.noteLeave(heartbeat, nowMs);
    if (this.past.has(life) || this.isOfEarlierLife(heartbeat, nowMs)) return 'stale';
    const isNew = this.life !== life;
    if (!isNew && heartbeat.sequence <= (this.present?.sequence ?? 0)) return 'stale';
    if (isNew) this.begin(heartbeat, nowMs);
    this.present = heartbeat;
    this.heardMs = nowMs;
    if (heartbeat.condition === 'ready') this.readyWords += 1;
    if (this.readyWords >= READY_WORDS_THAT_TELL) this.isConfirmed = true;
    return isNew ? 'new-life' : 'news';
  }

  /** A life says that it leaves and sends no more heartbeats; late ones of it count no more. */
  leave(life: BackendLife, nowMs: number): void {
    const name = lifeName(life);
    this.noteLeave(life, nowMs);
    if (this.life === name) this.hasLeft = true;
    else this.remember(name);
  }

  /** The directory knows the present life as one that stays. */
  confirm(): void {
    this.isConfirmed = true;
  }

  /** The directory knows that the present life leaves, from the process before this one. */
  adoptLeave(nowMs: number): void {
    if (this.life !== null && !this.leaving) this.leaves.note(this.life, nowMs);
  }

  /** It is gone; its late heartbeats count no more. */
  forget(): void {
    if (this.life !== null) this.remember(this.life);
    this.present = null;
    this.hasLeft = false;
    this.heardMs = -Infinity;
    this.isConfirmed = false;
  }

  /** Whether no process before this one can have heard of a leave of the present life. */
  private get isFirstToHear(): boolean {
    return this.readyWords >= READY_WORDS_THAT_TELL || this.firstHeardMs - this.startedMs > LATE_WORD_MS;
  }

  private isOfEarlierLife({ id, bornMs }: BackendHeartbeat, nowMs: number): boolean {
    const { present } = this;
    if (present?.id !== id || present.bornMs === null) return false;
    if (bornMs === null) return true;
    return bornMs < present.bornMs && nowMs - this.heardMs <= SILENT_LIFE_MS;
  }

  /**
   * Soon after the start of this process a heartbeat may be one that was sent before a leave which the process before
   * it acknowledged; served on its word, a back end that had left got requests for as long as it was there.
   */
  private begin({ sequence }: BackendHeartbeat, nowMs: number): void {
    this.forget();
    this.readyWords = 0;
    this.firstHeardMs = nowMs;
    this.isConfirmed = sequence === FIRST_SEQUENCE || nowMs - this.startedMs > LATE_WORD_MS;
  }

  private remember(life: string): void {
    this.past.add(life);
    if (this.past.size <= REMEMBERED_LIVES) return;
    const [oldest] = this.past;
    if (oldest !== undefined) this.past.delete(oldest);
  }
}
