/** Collects an answer that arrives in parts until it is whole, so that another answer can be given if the rest does not come. */
import type { AnswerHead } from '../link/link-messages.js';

/** The parts of one answer. */
export class AnswerAssembly {
  private readonly parts: Buffer[] = [];

  constructor(private readonly head: AnswerHead) {}

  /** Adds a part of the body. */
  add(part: Buffer): void {
    this.parts.push(part);
  }

  /** Returns the whole answer once its last part has been added. */
  whole(): { readonly head: AnswerHead; readonly body: Buffer } {
    return { head: { ...this.head, moreFollows: false }, body: Buffer.concat(this.parts) };
  }
}
