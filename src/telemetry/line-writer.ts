/**
 * Writes lines to standard output without ever blocking on the reader. Lines are collected for a short time, since a
 * system call costs more than a line.
 */
import { fstatSync } from 'node:fs';
import { Socket } from 'node:net';
import type { Writable } from 'node:stream';
import { processIntervals } from '../runtime/clock.js';

/** Maximum bytes buffered for the reader. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Characters of collected lines from which on they are written at once. */
const MAX_COLLECTED_CHARACTERS = 16 * 1024;

/** Interval in ms at which collected lines are written. */
const FLUSH_INTERVAL_MS = 250;

const STANDARD_OUTPUT = 1;

/** Destination of complete lines. */
export interface LineWriter {
  /** Writes one line; returns false if it was dropped because too many bytes are buffered. */
  write(line: string): boolean;
  /** Passes all lines to the reader now; others follow within half a second. */
  flush(): void;
}

/** Line writer on a stream. */
export class StreamLineWriter implements LineWriter {
  private broken = false;
  private collected = '';
  private cancelFlush: (() => void) | null = null;

  constructor(
    private readonly stream: Writable,
    private readonly maxBufferedBytes = MAX_BUFFERED_BYTES,
  ) {
    stream.on('error', () => {
      this.broken = true;
    });
  }

  /** See `LineWriter`. */
  write(line: string): boolean {
    const bufferedBytes = this.collected.length + this.stream.writableLength;
    if (this.broken || bufferedBytes > this.maxBufferedBytes) return false;
    this.collected += `${line}\n`;
    if (this.collected.length >= MAX_COLLECTED_CHARACTERS) this.flush();
    // While lines are collected only, since the interval wakes the process up.
    else
      this.cancelFlush ??= processIntervals.every(FLUSH_INTERVAL_MS, () => {
        this.flush();
      });
    return true;
  }

  /** See `LineWriter`. */
  flush(): void {
    this.cancelFlush?.();
    this.cancelFlush = null;
    const text = this.collected;
    this.collected = '';
    if (text !== '' && !this.broken) this.stream.write(text);
  }
}

/** Opens standard output. Node writes to pipes synchronously, so a pipe is wrapped in a socket, which is asynchronous. */
export function openStandardOutput(): LineWriter {
  const status = fstatSync(STANDARD_OUTPUT);
  const writer = new StreamLineWriter(status.isFIFO() || status.isSocket() ? openPipe() : process.stdout);
  process.on('exit', () => {
    writer.flush();
  });
  return writer;
}

function openPipe(): Socket {
  const socket = new Socket({ fd: STANDARD_OUTPUT, readable: false, writable: true });
  socket.unref();
  return socket;
}
