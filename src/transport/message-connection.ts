/**
 * One TCP connection of the internal protocol: whole messages out, whole messages in.
 * Nothing here retries; a broken connection reports `close` once and is then finished.
 */
import { clockMs } from '../runtime/clock.js';
import type { Socket } from 'node:net';
import type { Connection } from '../runtime/runtime.js';
import { SilenceWatch, type SilenceTiming } from './silence-watch.js';
import { encodeFrame, FrameDecoder } from './frame-codec.js';

/** Bytes that may wait in the send queue before the peer counts as stuck and is disconnected. */
const MAX_QUEUED_BYTES = 64 * 1024 * 1024;

/** Asks for a sign of life, and is one. */
const PING = { kind: 'transport-ping' } as const;
const PONG = { kind: 'transport-pong' } as const;

/** The other side of a connection must be known to read and to write within 2.5 s. */
const LIVENESS: SilenceTiming = { askEveryMs: 500, limitMs: 2_000 };

/** What the owner of a connection is told. */
export interface ConnectionHandlers {
  onMessage(message: unknown): void;
  /** Called once. `reason` is for logs and counters. */
  onClose(reason: string): void;
}

/** A connection that carries framed messages both ways. */
export class MessageConnection implements Connection {
  /** Bytes received since the connection was opened. */
  bytesReceived = 0;
  /** Bytes handed to the socket since the connection was opened. */
  bytesSent = 0;
  private readonly decoder = new FrameDecoder();
  private closed = false;
  private readonly silence = new SilenceWatch({
    nowMs: clockMs,
    ask: () => {
      this.send(PING);
    },
    onSilence: () => {
      this.close('peer is silent');
    },
  });

  constructor(
    private readonly socket: Socket,
    private readonly handlers: ConnectionHandlers,
  ) {
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => {
      this.receive(chunk);
    });
    socket.on('error', (error) => {
      this.close(error.message);
    });
    socket.on('close', () => {
      this.close('closed by peer');
    });
  }

  /** Whether messages can still be sent. */
  get open(): boolean {
    return !this.closed;
  }

  /** Closes the connection when the peer falls silent, in either direction, although it is not reset. */
  watchSilence(): void {
    if (!this.closed) this.silence.watch(LIVENESS);
  }

  /** Queues one message; dropped without a word when the connection is already closed. */
  send(message: unknown): void {
    if (this.closed) return;
    this.sendEncoded(encodeFrame(message));
  }

  /** Queues a frame that was encoded once for many receivers. */
  sendEncoded(frame: Buffer): void {
    if (this.closed) return;
    if (this.socket.writableLength > MAX_QUEUED_BYTES) {
      this.close('send queue is full');
      return;
    }
    this.bytesSent += frame.length;
    this.socket.write(frame);
  }

  /** Closes at once and reports `reason`; later calls do nothing. */
  close(reason: string): void {
    if (this.closed) return;
    this.closed = true;
    this.silence.stop();
    this.socket.destroy();
    this.handlers.onClose(reason);
  }

  private receive(chunk: Buffer): void {
    if (this.closed) return;
    this.bytesReceived += chunk.length;
    this.silence.heard();
    const decoded = this.decoder.push(chunk);
    if (decoded.err) {
      this.close(`${decoded.val.kind}: ${decoded.val.detail}`);
      return;
    }
    for (const message of decoded.val) this.take(message);
  }

  private take(message: unknown): void {
    if (isKind(message, PING.kind)) this.send(PONG);
    else if (!isKind(message, PONG.kind)) this.handlers.onMessage(message);
  }
}

function isKind(message: unknown, kind: string): boolean {
  return typeof message === 'object' && message !== null && 'kind' in message && message.kind === kind;
}
