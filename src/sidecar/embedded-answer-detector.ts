/**
 * Detects another answer inside the body of an answer: a status line whose head contains the id of a request that the
 * connection has carried. A back end that cuts an answer off and goes on with another one, or that sends a surplus answer
 * behind one without a length, would otherwise have its bytes passed on as part of the body.
 */

const VERSION_PREFIX = 'HTTP/1.';
const STATUS_LINE = /^HTTP\/1\.[01] \d{3}/;
const STATUS_LINE_CHARACTERS = 'HTTP/1.x nnn'.length;
const HEAD_END = '\r\n\r\n';
const HEADER_LINE = /^[!#$%&'*+.^_`|~\dA-Za-z-]+:/;
const PARTIAL_HEADER_LINE = /^[!#$%&'*+.^_`|~\dA-Za-z-]*(?::.*)?\r?$/;

/** Maximum length in bytes of a head that is looked at. */
const MAX_HEAD_BYTES = 16 * 1024;

/** Minimum length of the beginning of a status line at the end of a body that counts as one. */
const MIN_PARTIAL_STATUS_LINE = 'HTTP/'.length;

/** Looks through one body, in parts of any size. */
export class EmbeddedAnswerDetector {
  /** The last bytes, which may be the beginning of a head; those of a status line that was found come first. */
  private tail: Buffer = Buffer.alloc(0);

  /** `carriedRequests` are the ids of the requests that the connection has carried. */
  constructor(private readonly carriedRequests: ReadonlySet<string>) {}

  /** Looks through the next bytes of the body; true if they complete a head with the id of a carried request. */
  push(chunk: Buffer): boolean {
    const bytes = this.tail.length === 0 ? chunk : Buffer.concat([this.tail, chunk]);
    let at = bytes.indexOf(VERSION_PREFIX, 0, 'latin1');
    while (at >= 0) {
      const head = headAt(bytes, at);
      if (this.carriesId(head.text)) return true;
      if (head.isOpen) {
        this.tail = Buffer.from(bytes.subarray(at));
        return false;
      }
      at = bytes.indexOf(VERSION_PREFIX, at + 1, 'latin1');
    }
    this.tail = Buffer.from(bytes.subarray(bytes.length - partialPrefixLength(bytes)));
    return false;
  }

  /**
   * Looks at the end of the body; true if the body ends inside the head of another answer. `following` are bytes of the
   * connection behind the body.
   */
  endsInsideHead(following: Buffer = Buffer.alloc(0)): boolean {
    const { tail } = this;
    if (tail.length === 0) return false;
    const text = tail.toString('latin1');
    if (following.length > 0) {
      const joined = text + following.subarray(0, STATUS_LINE_CHARACTERS).toString('latin1');
      if (STATUS_LINE.test(joined)) return true;
    }
    if (text.length < STATUS_LINE_CHARACTERS) return text.length >= MIN_PARTIAL_STATUS_LINE;
    const [, ...lines] = text.split('\r\n');
    const last = lines.pop() ?? '';
    return lines.every((line) => HEADER_LINE.test(line)) && PARTIAL_HEADER_LINE.test(last);
  }

  private carriesId(head: string): boolean {
    if (head === '') return false;
    for (const id of this.carriedRequests) if (head.includes(id)) return true;
    return false;
  }
}

/** Returns the head that may begin at a position, as far as it was received; empty if none does. */
function headAt(bytes: Buffer, at: number): { readonly text: string; readonly isOpen: boolean } {
  const start = bytes.toString('latin1', at, at + STATUS_LINE_CHARACTERS);
  if (start.length < STATUS_LINE_CHARACTERS) return { text: '', isOpen: true };
  if (!STATUS_LINE.test(start)) return { text: '', isOpen: false };
  const end = bytes.indexOf(HEAD_END, at, 'latin1');
  const isOpen = end < 0 && bytes.length - at < MAX_HEAD_BYTES;
  return { text: bytes.toString('latin1', at, end < 0 ? at + MAX_HEAD_BYTES : end), isOpen };
}

/** Returns the length of the longest end of the bytes that is the beginning of a status line. */
function partialPrefixLength(bytes: Buffer): number {
  const end = bytes.toString('latin1', Math.max(0, bytes.length - VERSION_PREFIX.length + 1));
  for (let length = end.length; length > 0; length -= 1)
    if (VERSION_PREFIX.startsWith(end.slice(-length))) return length;
  return 0;
}
