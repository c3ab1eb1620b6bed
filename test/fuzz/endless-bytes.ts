/** Bytes without end that a back end sends in place of an answer or behind one, until the connection is closed. */
import type { Socket } from 'node:net';
import type { Random } from '../../lab/random.js';

/** Minimum size of what is written at once while the connection takes it, in bytes. */
const WRITE_BYTES = 64 * 1024;

/** Interval in ms between the units of a slow stream. */
const SLOW_INTERVAL_MS = 10;

const LONG = 'a'.repeat(512);
const SEALED = 'Server-Seal: s\r\n';

/** One kind of endless bytes: what comes once, and the unit that is repeated after it. */
export interface EndlessKind {
  readonly name: string;
  readonly start: (id: string) => string;
  readonly unit: (id: string) => string;
  /** Whether a whole answer stands before the bytes. */
  readonly followsAnswer?: true;
  /** Whether this is an answer that may be passed on before its end. */
  readonly isAnswer?: true;
}

function head(id: string, status: string, headers: string): string {
  return `HTTP/1.1 ${status}\r\nRequest-Id: ${id}\r\n${headers}\r\n`;
}

const CHUNK = `${LONG.length.toString(16)}\r\n${LONG}\r\n`;
const NO_LENGTH = 'Connection: close\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n';

/** All kinds of endless bytes. */
export const ENDLESS_KINDS: readonly EndlessKind[] = [
  { name: 'a status line', start: () => 'HTTP/1.1 200 ', unit: () => LONG },
  { name: 'empty lines', start: () => '', unit: () => '\r\n' },
  { name: 'bytes without lines', start: () => '', unit: () => '\x00\xff' },
  { name: 'headers', start: (id) => head(id, '200 OK', SEALED).slice(0, -2), unit: () => 'X-A: b\r\n' },
  { name: 'one header', start: (id) => `${head(id, '200 OK', SEALED).slice(0, -2)}X-A: `, unit: () => LONG },
  { name: 'interim answers', start: () => '', unit: () => 'HTTP/1.1 103 Early\r\n\r\n' },
  {
    name: 'answers to another request',
    start: () => '',
    unit: () => head('x', '200 OK', 'Content-Length: 0\r\n'),
  },
  { name: 'a chunk extension', start: (id) => `${head(id, '200 OK', SEALED + CHUNKED)}5;`, unit: () => LONG },
  { name: 'a chunk size', start: (id) => head(id, '200 OK', SEALED + CHUNKED), unit: () => '0' },
  {
    name: 'trailers',
    start: (id) => `${head(id, '200 OK', SEALED + CHUNKED)}0\r\n`,
    unit: () => 'X-A: b\r\n',
  },
  { name: 'chunks', start: (id) => head(id, '200 OK', SEALED + CHUNKED), unit: () => CHUNK, isAnswer: true },
  {
    name: 'a body without a length',
    start: (id) => head(id, '200 OK', SEALED + NO_LENGTH),
    unit: () => LONG,
    isAnswer: true,
  },
  {
    name: 'a huge length',
    start: (id) => head(id, '200 OK', `${SEALED}Content-Length: 900000000000\r\n`),
    unit: () => LONG,
    isAnswer: true,
  },
  { name: 'a success without a seal', start: (id) => head(id, '200 OK', CHUNKED), unit: () => CHUNK },
  {
    name: 'an encoded body',
    start: (id) => head(id, '200 OK', `${SEALED}Content-Encoding: x\r\n${CHUNKED}`),
    unit: () => CHUNK,
  },
  { name: 'a failure', start: (id) => head(id, '500 Failed', CHUNKED), unit: () => CHUNK, isAnswer: true },
  {
    name: 'a rejection',
    start: (id) => head(id, '503 Full', `Not-Executed: 1\r\n${CHUNKED}`),
    unit: () => CHUNK,
  },
  { name: 'a misdirection', start: (id) => head(id, '421 Other', CHUNKED), unit: () => CHUNK },
  {
    name: 'surplus bytes',
    start: (id) => `${head(id, '200 OK', `${SEALED}Content-Length: 2\r\n`)}ok`,
    unit: () => LONG,
    followsAnswer: true,
  },
  {
    name: 'surplus answers',
    start: (id) => `${head(id, '200 OK', `${SEALED}Content-Length: 2\r\n`)}ok`,
    unit: (id) => head(id, '200 OK', `${SEALED}Content-Length: 0\r\n`),
    followsAnswer: true,
  },
];

/** Sends endless bytes until the socket is closed; fast, or one unit at a time. */
export function sendWithoutEnd(socket: Socket, kind: EndlessKind, id: string, random: Random): void {
  const unit = Buffer.from(kind.unit(id), 'latin1');
  socket.write(Buffer.from(kind.start(id), 'latin1'));
  if (random.below(3) === 0) {
    const timer = setInterval(() => socket.write(unit), SLOW_INTERVAL_MS);
    socket.once('close', () => {
      clearInterval(timer);
    });
    return;
  }
  const many = Buffer.concat(Array.from({ length: Math.ceil(WRITE_BYTES / unit.length) }, () => unit));
  const pour = (): void => {
    if (!socket.destroyed && socket.write(many)) setImmediate(pour);
  };
  socket.on('drain', pour);
  if (random.below(2) === 0) pour();
  else setTimeout(pour, 1 + random.below(8));
}
