/** Clients that send large bodies and do not end them, and what a daemon holds for them. */
import type { ChildProcess } from 'node:child_process';
import { readdirSync, readFileSync } from 'node:fs';
import { connect, type Socket } from 'node:net';
import { HOST } from '../fuzz/loopback-daemons.js';

const PAGE_BYTES = 4 * 1024;
const MS_PER_TURN = 20;

/** What each client of a crowd sends behind its head. */
export interface CrowdBody {
  readonly name: string;
  readonly clients: number;
  /** Header that delimits the body. */
  readonly header: string;
  /** Parts that are written one after the other. */
  readonly parts: readonly Buffer[];
  /** Whether the last byte or chunk is sent as well. */
  readonly ended: boolean;
}

/** A body of a stated length, of which the last byte is not sent, in pieces. */
export function unfinishedLength(clients: number, bytes: number, pieceBytes: number): CrowdBody {
  const all = Buffer.alloc(bytes - 1, 'b');
  const parts: Buffer[] = [];
  for (let at = 0; at < all.length; at += pieceBytes) parts.push(all.subarray(at, at + pieceBytes));
  const name = `${clients} bodies of ${bytes} bytes in pieces of ${pieceBytes}, one byte short`;
  return { name, clients, header: `Content-Length: ${bytes}`, parts, ended: false };
}

/** A body of a stated length beyond any limit, of which a part is sent. */
export function announcedBeyondLimit(clients: number, sentBytes: number): CrowdBody {
  const name = `${clients} bodies that state 64 GB`;
  const parts = [Buffer.alloc(sentBytes, 'b')];
  return { name, clients, header: `Content-Length: ${64 * 1024 ** 3}`, parts, ended: false };
}

/** A body in chunks, with or without the last one. */
export function chunkedBody(clients: number, bytes: number, chunkBytes: number, ended: boolean): CrowdBody {
  const chunk = Buffer.from(`${chunkBytes.toString(16)}\r\n${'b'.repeat(chunkBytes)}\r\n`);
  const perPart = Math.max(1, Math.floor((64 * 1024) / chunk.length));
  const part = Buffer.concat(Array.from({ length: perPart }, () => chunk));
  const parts = Array.from({ length: Math.ceil(bytes / (perPart * chunkBytes)) }, () => part);
  const name = `${clients} bodies of ${bytes} bytes in chunks of ${chunkBytes}, ${ended ? 'ended' : 'without an end'}`;
  const last = ended ? [Buffer.from('0\r\n\r\n')] : [];
  return { name, clients, header: 'Transfer-Encoding: chunked', parts: [...parts, ...last], ended };
}

/** Connects the clients of a crowd and lets them send; they stay open. Returns their sockets. */
export function startCrowd(port: number, head: string, body: CrowdBody): Socket[] {
  return Array.from({ length: body.clients }, (_, number) => {
    const socket = connect({ host: HOST, port, allowHalfOpen: true });
    socket.on('error', () => undefined);
    socket.resume();
    socket.write(`${head}Request-Id: crowd-${number}\r\n${body.header}\r\n\r\n`);
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
export function isSent(sockets: readonly Socket[]): boolean {
  return sockets.every((socket) => socket.destroyed || socket.writableLength === 0);
}

/** Resident memory in bytes and number of open descriptors of a process; null if it has ended. */
export function usageOf({ pid }: ChildProcess): { memoryBytes: number; descriptors: number } | null {
  try {
    const pages = Number(readFileSync(`/proc/${pid}/statm`, 'latin1').split(' ')[1]);
    return { memoryBytes: pages * PAGE_BYTES, descriptors: readdirSync(`/proc/${pid}/fd`).length };
  } catch {
    return null;
  }
}

/** Waits for a turn of the test. */
export async function turn(): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, MS_PER_TURN));
}
