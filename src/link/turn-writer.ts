/**
 * Collects what is written to a socket in one turn of the event loop and writes it at the turn's end: a system call and a
 * wake-up of the peer cost more than a small frame does.
 */
import type { Socket } from 'node:net';

/** Collected bytes from which on they are written at once, and up to which they are copied into one buffer. */
const MAX_COLLECTED_BYTES = 64 * 1024;

/** Calls back at the end of the turn. */
export type AtTurnEnd = (callback: () => void) => void;

/** Writer of one socket. */
export class TurnWriter {
  private collected: Buffer[] = [];
  private collectedBytes = 0;
  private scheduled = false;

  constructor(
    private readonly socket: Socket,
    private readonly atTurnEnd: AtTurnEnd,
  ) {}

  /** Bytes that the operating system has not taken yet. */
  get waitingBytes(): number {
    return this.collectedBytes + this.socket.writableLength;
  }

  /** Writes bytes behind all earlier ones. */
  write(bytes: Buffer): void {
    if (bytes.length === 0) return;
    this.collected.push(bytes);
    this.collectedBytes += bytes.length;
    if (this.collectedBytes >= MAX_COLLECTED_BYTES) this.flush();
    else this.scheduleFlush();
  }

  /** Passes everything that was written to the socket now. */
  flush(): void {
    const parts = this.collected;
    const bytes = this.collectedBytes;
    const [first] = parts;
    this.collected = [];
    this.collectedBytes = 0;
    if (first === undefined || this.socket.destroyed) return;
    if (parts.length === 1) this.socket.write(first);
    else if (bytes < MAX_COLLECTED_BYTES) this.socket.write(Buffer.concat(parts, bytes));
    else this.writeTogether(parts);
  }

  private writeTogether(parts: readonly Buffer[]): void {
    this.socket.cork();
    for (const part of parts) this.socket.write(part);
    this.socket.uncork();
  }

  private scheduleFlush(): void {
    if (this.scheduled) return;
    this.scheduled = true;
    this.atTurnEnd(() => {
      this.scheduled = false;
      this.flush();
    });
  }
}
