/** Writes lines to standard output without ever blocking on the reader. */
import { fstatSync } from 'node:fs';
import { Socket } from 'node:net';
import type { Writable } from 'node:stream';

/** Maximum bytes buffered for the reader. */
const MAX_BUFFERED_BYTES = 256 * 1024;

const STANDARD_OUTPUT = 1;

/** Destination of complete lines. */
export interface LineWriter {
  /** Writes one line; returns false if it was dropped because too many bytes are buffered. */
  write(line: string): boolean;
}

/** Line writer on a stream. */
export class StreamLineWriter implements LineWriter {
  private broken = false;

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
    if (this.broken || this.stream.writableLength > this.maxBufferedBytes) return false;
    this.stream.write(`${line}\n`);
    return true;
  }
}

/** Opens standard output. Node writes to pipes synchronously, so a pipe is wrapped in a socket, which is asynchronous. */
export function openStandardOutput(): LineWriter {
  const status = fstatSync(STANDARD_OUTPUT);
  if (!status.isFIFO() && !status.isSocket()) return new StreamLineWriter(process.stdout);
  const socket = new Socket({ fd: STANDARD_OUTPUT, readable: false, writable: true });
  socket.unref();
  return new StreamLineWriter(socket);
}
