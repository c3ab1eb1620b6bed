/**
 * A TCP connection of the internal protocol, which sends and receives complete messages. It does not reconnect: a broken
 * connection calls `onClose` once and is then unusable.
 */
import { clockMs } from '../runtime/clock.js';
import type { Socket } from 'node:net';
import type { Connection } from '../runtime/runtime.js';
import { SilenceWatch, type SilenceTiming } from './silence-watch.js';
import { encodeFrame, FrameDecoder } from './frame-codec.js';

/** Size of the send queue in bytes above which the peer counts as stuck and is disconnected, if its sender has no lower limit. */
const MAX_QUEUED_BYTES = 64 * 1024 * 1024;

/** Heartbeat probe and its answer; either shows that its sender is live. */
const PING = { kind: 'transport-ping' } as const;
const PONG = { kind: 'transport-pong' } as const;

/** A peer that has stopped reading or writing is detected within 2.5 s. */
const SILENCE_TIMING: SilenceTiming = { probeIntervalMs: 500, maxSilenceMs: 2_000 };

/** Callbacks to the owner of a connection. */
export interface ConnectionHandlers {
  onMessage(message: unknown): void;
  /** Called exactly once. `reason` is for logs and counters. */
  onClose(reason: string): void;
}

/** A connection that carries framed messages in both directions. */
export class MessageConnection implements Connection {
  /** Bytes received since the connection opened. */
  bytesReceived = 0;
  /** Bytes written to the socket since the connection opened. */
  bytesSent = 0;
  private readonly decoder = new FrameDecoder();
  private closed = false;
  private readonly silence = new SilenceWatch({
    nowMs: clockMs,
    sendProbe: () => {
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

  /** Whether messages can be sent. */
  get open(): boolean {
    return !this.closed;
  }

  /** Bytes that are queued and that the system has not yet taken. */
  get queuedBytes(): number {
    return this.socket.writableLength;
  }

  /** Starts probing the peer; the connection is closed if no bytes arrive, even if it is not reset. */
  watchSilence(): void {
    if (!this.closed) this.silence.watch(SILENCE_TIMING);
  }

  /** Queues one message; silently dropped if the connection is already closed. */
  send(message: unknown): void {
    if (this.closed) return;
    this.sendEncoded(encodeFrame(message));
  }

  /** Queues an encoded frame, which may be shared by many receivers. */
  sendEncoded(frame: Buffer): void {
    if (this.closed) return;
    if (this.queuedBytes > MAX_QUEUED_BYTES) {
      this.close('send queue is full');
      return;
    }
    this.bytesSent += frame.length;
    this.socket.write(frame);
  }

  /** Closes at once and reports `reason`; further calls have no effect. */
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
    this.silence.recordReceived();
    const decoded = this.decoder.push(chunk);
    if (decoded.err) {
      this.close(`${decoded.val.kind}: ${decoded.val.detail}`);
      return;
    }
    for (const message of decoded.val) this.dispatch(message);
  }

  private dispatch(message: unknown): void {
    if (isKind(message, PING.kind)) this.send(PONG);
    else if (!isKind(message, PONG.kind)) this.handlers.onMessage(message);
  }
}

function isKind(message: unknown, kind: string): boolean {
  return typeof message === 'object' && message !== null && 'kind' in message && message.kind === kind;
}
