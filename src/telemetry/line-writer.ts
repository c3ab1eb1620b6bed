/** Lines on standard output that never wait for their reader. */
import { fstatSync } from 'node:fs';
import { Socket } from 'node:net';
import type { Writable } from 'node:stream';

/** Bytes that may wait for the reader. */
const MAX_WAITING_BYTES = 256 * 1024;

const STANDARD_OUTPUT = 1;

/** Takes whole lines. */
export interface LineWriter {
  /** Writes one line; false when it was dropped because too much waits for the reader. */
  write(line: string): boolean;
}

/** A writer on a stream. */
export class StreamLineWriter implements LineWriter {
  private broken = false;

  constructor(
    private readonly stream: Writable,
    private readonly maxWaitingBytes = MAX_WAITING_BYTES,
  ) {
    stream.on('error', () => {
      this.broken = true;
    });
  }

  /** See `LineWriter`. */
  write(line: string): boolean {
    if (this.broken || this.stream.writableLength > this.maxWaitingBytes) return false;
    this.stream.write(`${line}\n`);
    return true;
  }
}

/** Standard output. Node writes to pipes synchronously, so a pipe is opened anew as a socket, which does not. */
export function standardOutputLines(): LineWriter {
  const status = fstatSync(STANDARD_OUTPUT);
  if (!status.isFIFO() && !status.isSocket()) return new StreamLineWriter(process.stdout);
  const socket = new Socket({ fd: STANDARD_OUTPUT, readable: false, writable: true });
  socket.unref();
  return new StreamLineWriter(socket);
}
