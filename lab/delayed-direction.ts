/** One direction of a relayed connection: forwards chunks in order, each after its delay, and none while it is held. */
import type { Socket } from 'node:net';

/** Interval in ms between checks of a held direction. */
const HELD_POLL_MS = 15;

/**
 * Bytes that a direction takes before it stops reading from its source. As with the buffers of a real path, a sender then has
 * to keep the rest itself.
 */
const MAX_WAITING_BYTES = 1024 * 1024;

/** State of a direction. */
export interface DirectionState {
  readonly delayMs: number;
  /** Whether bytes are held back; as in TCP they arrive once this ends, unless the connection was closed. */
  readonly held: boolean;
  /** Bandwidth in bytes per ms; missing if it is not limited. */
  readonly bytesPerMs?: number;
}

/** Forwards chunks from one socket to another. */
export class DelayedDirection {
  private readonly waiting: { readonly chunk: Buffer | null; readonly dueMs: number }[] = [];
  private timer: NodeJS.Timeout | null = null;
  private discards = false;
  private waitingBytes = 0;
  private awaitsDrain = false;
  /** Time at which the last chunk has passed a limited bandwidth. */
  private passedMs = 0;

  constructor(
    private readonly source: Socket,
    private readonly target: Socket,
    private readonly state: () => DirectionState,
  ) {
    source.on('data', (chunk: Buffer) => {
      this.push(chunk);
    });
    source.on('end', () => {
      this.push(null);
    });
  }

  /** Discards all pending and further bytes, and does not pass on the end of the stream. */
  blackhole(): void {
    this.discards = true;
    this.waiting.length = 0;
    this.waitingBytes = 0;
    this.source.resume();
  }

  /** Stops forwarding and discards pending bytes. */
  stop(): void {
    if (this.timer !== null) clearTimeout(this.timer);
    this.waiting.length = 0;
  }

  private push(chunk: Buffer | null): void {
    if (this.discards) return;
    this.waiting.push({ chunk, dueMs: this.dueMs(chunk?.length ?? 0) });
    this.waitingBytes += chunk?.length ?? 0;
    if (this.waitingBytes > MAX_WAITING_BYTES) this.source.pause();
    if (this.timer === null) this.flush();
  }

  private dueMs(bytes: number): number {
    const { delayMs, bytesPerMs = Infinity } = this.state();
    this.passedMs = Math.max(this.passedMs, performance.now()) + bytes / bytesPerMs;
    return this.passedMs + delayMs;
  }

  private flush(): void {
    this.timer = null;
    if (this.awaitsDrain) return;
    for (let next = this.waiting[0]; next !== undefined; next = this.waiting[0]) {
      const leftMs = next.dueMs - performance.now();
      const { held } = this.state();
      if (held || leftMs > 0) {
        this.flushAfter(held ? HELD_POLL_MS : leftMs);
        this.resumeSource();
        return;
      }
      this.waiting.shift();
      this.deliver(next.chunk);
      if (this.awaitsDrain) return;
    }
    this.resumeSource();
  }

  private flushAfter(ms: number): void {
    this.timer = setTimeout(() => {
      this.flush();
    }, ms);
  }

  private deliver(chunk: Buffer | null): void {
    if (chunk === null) {
      this.target.end();
      return;
    }
    this.waitingBytes -= chunk.length;
    if (this.target.write(chunk)) return;
    this.awaitsDrain = true;
    this.source.pause();
    this.target.once('drain', () => {
      this.awaitsDrain = false;
      this.resumeSource();
      if (this.timer === null) this.flush();
    });
  }

  private resumeSource(): void {
    if (!this.awaitsDrain && this.waitingBytes <= MAX_WAITING_BYTES) this.source.resume();
  }
}
