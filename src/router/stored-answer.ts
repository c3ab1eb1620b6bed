/** A short answer that is stored until it is whole, so that another one can be given in its place if the rest does not come. */
import type { IncomingHttpHeaders } from 'node:http';
import type { CallerAnswer } from './caller-answer.js';

/** The parts of one answer. */
export class StoredAnswer {
  private readonly parts: Buffer[] = [];
  private bytes = 0;

  /** `statedBytes` is the length of the body. */
  constructor(
    readonly statusCode: number,
    private readonly headers: IncomingHttpHeaders,
    private readonly statedBytes: number,
  ) {}

  /** Whether all of the body has been added. */
  get isWhole(): boolean {
    return this.bytes === this.statedBytes;
  }

  /** Adds a part of the body. */
  add(part: Buffer): void {
    this.parts.push(part);
    this.bytes += part.length;
  }

  /** Passes the whole answer on. */
  passOn(answer: CallerAnswer): void {
    answer.give(this.statusCode, this.headers, Buffer.concat(this.parts, this.bytes));
  }
}
