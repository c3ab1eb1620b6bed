/** One TCP connection that carries link frames both ways and notices when its peer falls silent. */
import type { Socket } from 'node:net';
import { SilenceWatch, type SilenceTiming } from '../transport/silence-watch.js';
import type { LinkPacer } from './link-pacer.js';
import { PacedFrames } from './paced-frames.js';
import {
  encodeFrameStart,
  FRAME_KIND,
  LinkFrameDecoder,
  type FrameKind,
  type LinkFrame,
} from './link-frame.js';

/** While an answer is awaited: silence of 0.8 s costs a request most of its time, and stalls of a busy daemon are shorter. */
const AWAITING: SilenceTiming = { probeIntervalMs: 250, maxSilenceMs: 800 };

/** While nothing is awaited: the connection must be known to work, or be gone, within 4 s. */
const IDLE: SilenceTiming = { probeIntervalMs: 2_000, maxSilenceMs: 1_900 };

const NO_BODY = Buffer.alloc(0);

/** What the owner of a connection is told. */
export interface LinkConnectionHandlers {
  onFrame(frame: LinkFrame): void;
  /** Called once. */
  onClose(reason: string): void;
}

/** A connection between two daemons. */
export class LinkConnection {
  private readonly decoder = new LinkFrameDecoder();
  private closed = false;
  private drainWaiters: (() => void)[] = [];
  /** The peer has said that it ran nothing of what it has not answered. */
  private peerLeft = false;
  private readonly silence: SilenceWatch;
  private readonly paced: PacedFrames | null;

  constructor(
    private readonly socket: Socket,
    nowMs: () => number,
    private readonly handlers: LinkConnectionHandlers,
    /** Paces large frames over a slow network link; null where there is none between the two daemons. */
    private readonly pacer: LinkPacer | null = null,
  ) {
    this.silence = new SilenceWatch({
      nowMs,
      sendProbe: () => {
        this.send(FRAME_KIND.ping, 0, undefined);
      },
      onSilence: () => {
        this.close('peer is silent');
      },
    });
    const write = (bytes: Buffer): void => {
      socket.write(bytes);
    };
    this.paced = pacer === null ? null : new PacedFrames(pacer, write);
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

  /** Whether the peer has run nothing of what it has not answered, and never will. */
  get peerSaidGoodbye(): boolean {
    return this.peerLeft;
  }

  /** Whether frames can still be sent. */
  get open(): boolean {
    return !this.closed;
  }

  /** Bytes that wait to be sent. */
  get waitingBytes(): number {
    return this.socket.writableLength;
  }

  /** Queues one frame; dropped when the connection is closed. */
  send(kind: FrameKind, stream: number, head: unknown, body: Buffer = NO_BODY): void {
    if (this.closed) return;
    const start = encodeFrameStart(kind, stream, head, body.length);
    if (this.paced !== null) {
      this.paced.send(stream, start, body);
      return;
    }
    if (body.length === 0) {
      this.socket.write(start);
      return;
    }
    this.socket.cork();
    this.socket.write(start);
    this.socket.write(body);
    this.socket.uncork();
  }

  /** What waits to be sent for a stream is not wanted any more. */
  dropStream(stream: number): void {
    this.paced?.drop(stream);
  }

  /** Calls back when everything that was queued has been handed to the system. */
  onDrain(callback: () => void): void {
    this.drainWaiters.push(callback);
    if (this.drainWaiters.length > 1) return;
    this.socket.once('drain', () => {
      for (const waiter of this.drainWaiters.splice(0)) waiter();
    });
  }

  /** Watches for silence, closely while something is awaited from the peer. */
  watchSilence(awaiting: boolean): void {
    if (!this.closed) this.silence.watch(awaiting ? AWAITING : IDLE);
  }

  /** Sends what is queued and a last frame, takes nothing more, and ends the connection. */
  sayGoodbye(): void {
    if (this.closed) return;
    this.paced?.flush();
    this.socket.write(encodeFrameStart(FRAME_KIND.goodbye, 0, undefined, 0));
    this.closed = true;
    this.silence.stop();
    this.socket.end();
    this.handlers.onClose('goodbye');
  }

  /** Closes at once and reports `reason`; later calls do nothing. */
  close(reason: string): void {
    if (this.closed) return;
    this.closed = true;
    this.silence.stop();
    this.paced?.dropAll();
    this.socket.destroy();
    this.handlers.onClose(reason);
  }

  private receive(chunk: Buffer): void {
    if (this.closed) return;
    this.silence.recordReceived();
    this.pacer?.noteReceived(chunk.length);
    const frames = this.decoder.push(chunk);
    if (frames.err) {
      this.close(frames.val);
      return;
    }
    for (const frame of frames.val) this.take(frame);
  }

  private take(frame: LinkFrame): void {
    if (frame.kind === FRAME_KIND.goodbye) this.peerLeft = true;
    else if (frame.kind === FRAME_KIND.ping) this.send(FRAME_KIND.pong, 0, undefined);
    else if (frame.kind !== FRAME_KIND.pong) this.handlers.onFrame(frame);
  }
}
