/**
 * What a daemon knows of the back end beside it: which life it is in, whether it leaves, and when it was last heard.
 * A daemon that was started anew knows nothing until the next heartbeat.
 */
import type { BackendHeartbeat } from './backend-report.js';

/** Part of the drain time that is left unused, in ms, for requests that are already on their way. */
const DRAIN_MARGIN_MS = 400;

/** Earlier lives that are remembered, so that their late heartbeats are told apart. */
const REMEMBERED_LIVES = 64;

/** What a heartbeat was. */
export type HeartbeatNews = 'new-life' | 'news' | 'stale';

/** The back end beside a daemon. */
export class LocalBackend {
  private present: BackendHeartbeat | null = null;
  private readonly past = new Set<string>();
  private closesAt = Infinity;
  private hasLeft = false;
  private heardMs = -Infinity;

  constructor(private readonly drainMs: number) {}

  /** Id of the present life; null while none is known. */
  get id(): string | null {
    return this.present?.id ?? null;
  }

  /** Newest heartbeat of the present life. */
  get heartbeat(): BackendHeartbeat | null {
    return this.present;
  }

  /** When requests to it stop, in ms; infinite while it does not leave. */
  get closesAtMs(): number {
    return this.closesAt;
  }

  /** Whether it said that it leaves. */
  get leaving(): boolean {
    return this.closesAt !== Infinity;
  }

  /** Whether it said that it has left; no more heartbeats come. */
  get left(): boolean {
    return this.hasLeft;
  }

  /** When it was last heard, in ms. */
  get lastHeardMs(): number {
    return this.heardMs;
  }

  /** Whether a heartbeat of this life, or of one after it, was taken. */
  knows(id: string): boolean {
    return this.present?.id === id || this.past.has(id);
  }

  /** Takes a heartbeat. */
  take(heartbeat: BackendHeartbeat, nowMs: number): HeartbeatNews {
    if (this.past.has(heartbeat.id)) return 'stale';
    const isNew = this.present?.id !== heartbeat.id;
    if (!isNew && heartbeat.sequence <= (this.present?.sequence ?? 0)) return 'stale';
    if (isNew) this.replace();
    this.present = heartbeat;
    this.heardMs = nowMs;
    if (heartbeat.condition === 'draining') this.close(nowMs);
    return isNew ? 'new-life' : 'news';
  }

  /** It says that it leaves and sends no more heartbeats. */
  leave(nowMs: number): void {
    this.hasLeft = true;
    this.close(nowMs);
  }

  /** It is gone; its late heartbeats count no more. */
  forget(): void {
    this.replace();
  }

  private close(nowMs: number): void {
    this.closesAt = Math.min(this.closesAt, nowMs + Math.max(0, this.drainMs - DRAIN_MARGIN_MS));
  }

  private replace(): void {
    if (this.present !== null) this.past.add(this.present.id);
    if (this.past.size > REMEMBERED_LIVES) this.past.delete(this.past.values().next().value ?? '');
    this.present = null;
    this.closesAt = Infinity;
    this.hasLeft = false;
    this.heardMs = -Infinity;
  }
}
