/**
 * Bounds the processor time for input that costs much for its size. A body in chunks of one byte costs the HTTP parser some
 * microseconds a byte, whether it is stored, refused or discarded. Connections with such input are read one at a time, each once in a
 * turn, and the process has as long for everything else in between. A read cannot be interrupted; therefore, once costly reads have
 * taken a while, no other connection is read in the same turn of the event loop.
 */
import { processTimers } from './clock.js';

/** Number of parts in one read from which on their size counts. */
const MIN_PARTS = 256;

/** Mean size in bytes of the parts of a read below which it is costly. */
const SMALL_PART_BYTES = 64;

/** Minimum time in ms between two turns. */
const MIN_PAUSE_MS = 2;

/** Time in ms that costly reads may take in one turn of the event loop, besides the read in progress. */
const MAX_READ_MS = 200;

/** A connection whose reading can be held up, such as a socket. */
export interface HeldConnection {
  readonly destroyed: boolean;
  pause(): unknown;
  resume(): unknown;
  isPaused(): boolean;
}

/** A connection that tells when it has closed. */
export interface FollowedConnection extends HeldConnection {
  once(event: 'close', callback: () => void): unknown;
}

/** Clock and scheduling of the turns. */
export interface CostlyInputPorts {
  nowMs(): number;
  after(ms: number, callback: () => void): void;
  /** Calls back once after the input that is pending has been read. */
  afterInput(callback: () => void): void;
}

/** What one connection has delivered since the input was last read. */
export class InputMeter {
  private parts = 0;
  private bytes = 0;

  constructor(
    readonly connection: HeldConnection,
    private readonly onFirst: (meter: InputMeter) => void,
    private readonly onCostly: () => void,
  ) {}

  /** Counts a part of a body. */
  add(bytes: number): void {
    this.parts += 1;
    this.bytes += bytes;
    if (this.parts === 1) this.onFirst(this);
    if (this.parts === MIN_PARTS && this.isCostly) this.onCostly();
  }

  /** Whether the parts since the last reset were many and small. */
  get isCostly(): boolean {
    return this.parts >= MIN_PARTS && this.bytes < this.parts * SMALL_PART_BYTES;
  }

  /** Begins to count anew. */
  reset(): void {
    this.parts = 0;
    this.bytes = 0;
  }
}

/** Connections with costly input. */
export class CostlyInput {
  private active: InputMeter[] = [];
  /** Time in ms at which the first body was read in this turn. */
  private turnStartMs = 0;
  private readonly followed = new Set<HeldConnection>();
  /** Connections that are not read for the rest of this turn. */
  private heldForTurn: HeldConnection[] = [];
  private readonly waiting = new Set<HeldConnection>();
  private scheduled = false;

  constructor(private readonly ports: CostlyInputPorts) {}

  /** Number of connections that wait for their turn. */
  get size(): number {
    return this.waiting.size;
  }

  /** Includes a connection of a server among those that are not read behind a costly one in the same turn. */
  follow(connection: FollowedConnection): void {
    this.followed.add(connection);
    connection.once('close', () => {
      this.followed.delete(connection);
      this.waiting.delete(connection);
    });
  }

  /** Returns the meter for the body of one request; each part of it is to be counted, also if it is discarded. */
  meter(connection: HeldConnection): InputMeter {
    const onFirst = (meter: InputMeter): void => {
      this.active.push(meter);
      // Only then, since the stream of a request resumes its connection after each part.
      if (this.active.length > 1) return;
      this.turnStartMs = this.ports.nowMs();
      this.ports.afterInput(() => {
        this.endRead();
      });
    };
    return new InputMeter(connection, onFirst, () => {
      this.holdOthers(connection);
    });
  }

  private holdOthers(costly: HeldConnection): void {
    if (this.ports.nowMs() - this.turnStartMs < MAX_READ_MS) return;
    for (const connection of this.followed) {
      if (connection === costly || connection.destroyed || connection.isPaused()) continue;
      connection.pause();
      this.heldForTurn.push(connection);
    }
  }

  private endRead(): void {
    const { active, heldForTurn } = this;
    this.active = [];
    this.heldForTurn = [];
    // The latest connections come first in the next turn, since older ones have had their chance.
    for (const connection of heldForTurn.reverse()) if (!connection.destroyed) connection.resume();
    for (const meter of active) {
      if (meter.isCostly && !meter.connection.destroyed) this.hold(meter.connection);
      meter.reset();
    }
    if (this.waiting.size > 0) this.scheduleTurn(MIN_PAUSE_MS);
  }

  private hold(connection: HeldConnection): void {
    connection.pause();
    this.waiting.add(connection);
  }

  private scheduleTurn(ms: number): void {
    if (this.scheduled) return;
    this.scheduled = true;
    this.ports.after(ms, () => {
      this.runTurn();
    });
  }

  private runTurn(): void {
    const startMs = this.ports.nowMs();
    const [next] = this.waiting;
    if (next !== undefined) {
      this.waiting.delete(next);
      if (!next.destroyed) next.resume();
    }
    this.ports.afterInput(() => {
      this.scheduled = false;
      if (this.waiting.size > 0) this.scheduleTurn(Math.max(MIN_PAUSE_MS, this.ports.nowMs() - startMs));
    });
  }
}

/** Costly input of this process. */
export const costlyInput = new CostlyInput({
  nowMs: () => performance.now(),
  after: (ms, callback) => {
    processTimers.after(ms, callback);
  },
  afterInput: setImmediate,
});
