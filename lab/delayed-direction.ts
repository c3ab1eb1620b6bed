/** One direction of a relayed connection: chunks leave in order, each not before its time, none while it is held. */
import type { Socket } from 'node:net';

/** Pause between looks at a direction that is held, in ms. */
const HELD_POLL_MS = 15;

/** What happens to the bytes of a direction. */
export interface DirectionState {
  readonly delayMs: number;
  /** Nothing passes; what was sent arrives when that ends, as TCP has it, unless the connection has gone. */
  readonly held: boolean;
}

/** A direction. */
export class DelayedDirection {
  private readonly waiting: { readonly chunk: Buffer | null; readonly dueMs: number }[] = [];
  private timer: NodeJS.Timeout | null = null;
  private swallows = false;

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

  /** Takes what comes and passes nothing any more, also not the end. */
  swallow(): void {
    this.swallows = true;
    this.waiting.length = 0;
  }

  /** Passes nothing any more. */
  stop(): void {
    if (this.timer !== null) clearTimeout(this.timer);
    this.waiting.length = 0;
  }

  private push(chunk: Buffer | null): void {
    if (this.swallows) return;
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
