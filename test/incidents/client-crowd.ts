/** Clients that send large bodies and do not end them, and what a daemon holds for them. */
import { fork, type ChildProcess } from 'node:child_process';
import { readdirSync, readFileSync } from 'node:fs';
import { request, type RequestOptions } from 'node:http';
import { connect, type Socket } from 'node:net';
import type { ExecutionContext } from 'ava';
import { HOST } from '../fuzz/loopback-daemons.js';

const PAGE_BYTES = 4 * 1024;
const MS_PER_TURN = 20;
const MIB = 1024 * 1024;

/** Turns without growth after the crowd has sent everything, until which what it sent has been read. */
const SETTLE_TURNS = 50;

/** Memory of the smallest machine that a daemon runs on, in bytes. */
const MACHINE_BYTES = 250 * MIB;

/** Descriptors of a daemon besides those of the crowd. */
const OTHER_DESCRIPTORS = 80;

/** Options under which the daemons are deployed. */
const NODE_OPTIONS = ['--max-old-space-size=160', '--max-semi-space-size=2'];

/** What each client of a crowd sends behind its head. */
export interface CrowdBody {
  readonly name: string;
  readonly clients: number;
  /** Header that delimits the body; null if the head does not end. */
  readonly header: string | null;
  /** Parts that are written one after the other. */
  readonly parts: readonly Buffer[];
  /** Whether the clients read what they are answered. */
  readonly reads: boolean;
}

function inPieces(all: Buffer, pieceBytes: number): Buffer[] {
  return Array.from({ length: Math.ceil(all.length / pieceBytes) }, (_, number) =>
    all.subarray(number * pieceBytes, (number + 1) * pieceBytes),
  );
}

/** A body of a stated length, of which the last byte is not sent, in pieces. */
export function unfinishedLength(clients: number, bytes: number, pieceBytes: number): CrowdBody {
  const parts = inPieces(Buffer.alloc(bytes - 1, 'b'), pieceBytes);
  const name = `${clients} bodies of ${bytes} bytes in pieces of ${pieceBytes}, one byte short`;
  return { name, clients, header: `Content-Length: ${bytes}`, parts, reads: true };
}

/** A body of a stated length beyond any limit, of which a part is sent. */
export function announcedBeyondLimit(clients: number, sentBytes: number): CrowdBody {
  const name = `${clients} bodies that state 64 GB`;
  const parts = [Buffer.alloc(sentBytes, 'b')];
  return { name, clients, header: `Content-Length: ${64 * 1024 ** 3}`, parts, reads: true };
}

/** A body in chunks, with or without the last one. */
export function chunkedBody(clients: number, bytes: number, chunkBytes: number, ended: boolean): CrowdBody {
  const chunk = Buffer.from(`${chunkBytes.toString(16)}\r\n${'b'.repeat(chunkBytes)}\r\n`);
  const perPart = Math.max(1, Math.floor((64 * 1024) / chunk.length));
  const part = Buffer.concat(Array.from({ length: perPart }, () => chunk));
  const parts = Array.from({ length: Math.ceil(bytes / (perPart * chunkBytes)) }, () => part);
  const name = `${clients} bodies of ${bytes} bytes in chunks of ${chunkBytes}, ${ended ? 'ended' : 'without an end'}`;
  const last = ended ? [Buffer.from('0\r\n\r\n')] : [];
  return { name, clients, header: 'Transfer-Encoding: chunked', parts: [...parts, ...last], reads: true };
}

/** Requests whose heads do not end, in pieces. */
export function unfinishedHead(clients: number, bytes: number, pieceBytes: number): CrowdBody {
  const lines = Array.from(
    { length: Math.ceil(bytes / 100) },
    (_, number) => `X-${number}: ${'h'.repeat(90)}\r\n`,
  );
  const parts = inPieces(Buffer.from(lines.join('').slice(0, bytes)), pieceBytes);
  const name = `${clients} heads of ${bytes} bytes in pieces of ${pieceBytes}, without an end`;
  return { name, clients, header: null, parts, reads: true };
}

/** Requests that follow each other on each connection without waiting for their answers, which are never read. */
export function unreadAnswers(clients: number, requests: number, request: string): CrowdBody {
  const parts = [Buffer.from(request.repeat(requests))];
  const name = `${clients} callers with ${requests} requests each that never read`;
  return { name, clients, header: 'Content-Length: 0', parts, reads: false };
}

/** Connects the clients of a crowd and lets them send; they stay open. Returns their sockets. */
export function startCrowd(port: number, head: string, body: CrowdBody): Socket[] {
  return Array.from({ length: body.clients }, (_, number) => {
    const socket = connect({ host: HOST, port, allowHalfOpen: true });
    socket.on('error', () => undefined);
    if (body.reads) socket.resume();
    const end = body.header === null ? '' : `${body.header}\r\n\r\n`;
    socket.write(`${head}Request-Id: crowd-${number}\r\n${end}`);
    let next = 0;
    const send = (): void => {
      while (next < body.parts.length && !socket.destroyed) {
        const part = body.parts[next] ?? Buffer.alloc(0);
        next += 1;
        if (!socket.write(part)) return;
      }
    };
    socket.on('drain', send);
    send();
    return socket;
  });
}

/** Whether everything that the clients of a crowd can write has left them. */
function isSent(sockets: readonly Socket[]): boolean {
  return sockets.every((socket) => socket.destroyed || socket.writableLength === 0);
}

/** Resident memory in bytes and number of open descriptors of a process; null if it has ended. */
function usageOf({ pid }: ChildProcess): { memoryBytes: number; descriptors: number } | null {
  try {
    const pages = Number(readFileSync(`/proc/${pid}/statm`, 'latin1').split(' ')[1]);
    return { memoryBytes: pages * PAGE_BYTES, descriptors: readdirSync(`/proc/${pid}/fd`).length };
  } catch {
    return null;
  }
}

/** The most that a process has held while a crowd was connected to it. */
interface CrowdUsage {
  readonly memoryBytes: number;
  readonly descriptors: number;
}

/** Waits until a crowd has sent everything and the process has read it; returns the most that it has held. */
async function settleCrowd(
  sockets: readonly Socket[],
  daemon: ChildProcess,
  ended: () => boolean,
): Promise<CrowdUsage> {
  const most = { memoryBytes: 0, descriptors: 0 };
  let quietTurns = 0;
  while (quietTurns < SETTLE_TURNS && !ended()) {
    await turn();
    const { memoryBytes, descriptors } = usageOf(daemon) ?? most;
    const isQuiet =
      isSent(sockets) && memoryBytes <= most.memoryBytes + MIB && descriptors <= most.descriptors;
    quietTurns = isQuiet ? quietTurns + 1 : 0;
    most.memoryBytes = Math.max(most.memoryBytes, memoryBytes);
    most.descriptors = Math.max(most.descriptors, descriptors);
  }
  return most;
}

async function turn(): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, MS_PER_TURN));
}

/** Makes one call over a connection of its own; returns its status, or 0 without a whole answer. */
export async function statusOf(options: RequestOptions, body?: Buffer): Promise<number> {
  return await new Promise((resolve) => {
    const sent = request({ ...options, host: HOST, agent: false }, (answer) => {
      answer.resume();
      answer.on('close', () => {
        resolve(answer.complete ? (answer.statusCode ?? 0) : 0);
      });
    });
    sent.on('error', () => {
      resolve(0);
    });
    sent.end(body);
  });
}

/** Asks until the answer is a success or a daemon has ended; returns the last status. */
export async function untilAnswered(ask: () => Promise<number>, ended: () => boolean): Promise<number> {
  for (;;) {
    const status = await ask();
    if (status === 200 || ended()) return status;
    await turn();
  }
}

/** A daemon that a crowd connects to. */
export interface CrowdTarget {
  readonly port: number;
  readonly daemon: ChildProcess;
  /** Whether a daemon of the test has ended. */
  readonly ended: () => boolean;
  /** Makes an ordinary request; returns its status. */
  readonly ask: () => Promise<number>;
}

/** Connects a crowd, and checks that no daemon ends or outgrows its machine and that an ordinary request is answered. */
export async function checkCrowd(
  t: ExecutionContext,
  head: string,
  crowd: CrowdBody,
  { port, daemon, ended, ask }: CrowdTarget,
): Promise<void> {
  const sockets = startCrowd(port, head, crowd);
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
  });
  const { memoryBytes, descriptors } = await settleCrowd(sockets, daemon, ended);
  t.log(`${Math.round(memoryBytes / MIB)} MB, ${descriptors} descriptors`);
  t.false(ended(), 'a daemon has ended');
  t.true(memoryBytes <= MACHINE_BYTES, `${memoryBytes} bytes`);
  t.true(descriptors <= crowd.clients + OTHER_DESCRIPTORS, `${descriptors} descriptors`);
  t.is(await untilAnswered(ask, ended), 200);
}

/** Starts a daemon of a test as a process of its own, and waits until it reports that it listens, or ends. */
export async function startProcess(script: string, argument: readonly string[]): Promise<ChildProcess> {
  const child = fork(new URL(script, import.meta.url), [...argument], { execArgv: NODE_OPTIONS });
  await new Promise((resolve) => {
    child.once('message', resolve);
    child.once('exit', resolve);
  });
  return child;
}
