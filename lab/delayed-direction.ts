/** One direction of a relayed connection: forwards chunks in order, each after its delay, and none while it is held. */
import type { Socket } from 'node:net';

/** Interval in ms between checks of a held direction. */
const HELD_POLL_MS = 15;

/** State of a direction. */
export interface DirectionState {
  readonly delayMs: number;
  /** Whether bytes are held back; as in TCP they arrive once this ends, unless the connection was closed. */
  readonly held: boolean;
}

/** Forwards chunks from one socket to another. */
export class DelayedDirection {
  private readonly waiting: { readonly chunk: Buffer | null; readonly dueMs: number }[] = [];
  private timer: NodeJS.Timeout | null = null;
  private discards = false;

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
  }

  /** Stops forwarding and discards pending bytes. */
  stop(): void {
    if (this.timer !== null) clearTimeout(this.timer);
    this.waiting.length = 0;
  }

  private push(chunk: Buffer | null): void {
    if (this.discards) return;
    this.waiting.push({ chunk, dueMs: performance.now() + this.state().delayMs });
    if (this.timer === null) this.flush();
  }

  private flush(): void {
    this.timer = null;
    for (let next = this.waiting[0]; next !== undefined; next = this.waiting[0]) {
      const leftMs = next.dueMs - performance.now();
      const { held } = this.state();
      if (held || leftMs > 0) {
        this.flushAfter(held ? HELD_POLL_MS : leftMs);
        return;
      }
      this.waiting.shift();
      this.deliver(next.chunk);
    }
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
    if (this.target.write(chunk)) return;
    this.source.pause();
    this.target.once('drain', () => this.source.resume());
  }
}
