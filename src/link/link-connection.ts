/** A TCP connection that carries link frames in both directions and is closed when its peer stops responding. */
import type { Socket } from 'node:net';
import { SilenceWatch, type SilenceTiming } from '../transport/silence-watch.js';
import type { ByteMeter } from './link-bytes.js';
import type { LinkPacer } from './link-pacer.js';
import { PacedFrames } from './paced-frames.js';
import { TurnWriter, type AtTurnEnd } from './turn-writer.js';
import {
  carriesStatus,
  mayCarryStatus,
  StatusReceiver,
  StatusSender,
  type StatusCarrier,
} from './shared-status.js';
import { HeadDecoder, HeadEncoder } from './head-codec.js';
import {
  encodeFrameStart,
  encodeShortFrameStart,
  encodeTextFrameStart,
  FRAME_KIND,
  FRAME_OVERHEAD_BYTES,
  LinkFrameDecoder,
  type FrameKind,
  type LinkFrame,
} from './link-frame.js';

/** Liveness timing of a connection, and the reason for which it is closed. */
interface LinkTiming extends SilenceTiming {
  readonly closeReason: string;
}

/** Reason for closing a connection that was not used; it says nothing about the peer. */
export const IDLE_REASON = 'idle';

const SILENT_REASON = 'peer is silent';

/** Liveness timings of both sides of a link, while requests are in flight and while none is. */
export const LINK_TIMINGS = {
  /** 0.8 s of silence uses up most of the time of a request, and stalls of a busy daemon are shorter. */
  clientActive: { probeIntervalMs: 250, maxSilenceMs: 800, closeReason: SILENT_REASON },
  /** An unused connection, live or dead, is closed within 4 s. */
  clientIdle: { probeIntervalMs: 2_000, maxSilenceMs: 1_900, closeReason: IDLE_REASON },
  /**
   * Work that runs for a peer that may only be slow goes on for longer than the peer waits for a dead connection; work
   * that has not begun does not.
   */
  serverActive: {
    probeIntervalMs: 250,
    maxSilenceMs: 2_000,
    suspectedAfterMs: 500,
    closeReason: SILENT_REASON,
  },
  /** Longer than the client keeps an unused connection, so that only dead ones are closed. */
  serverIdle: { probeIntervalMs: 10_000, maxSilenceMs: 9_900, closeReason: IDLE_REASON },
} as const satisfies Record<string, LinkTiming>;

const EMPTY_BODY = Buffer.alloc(0);

/** Callbacks for events of a connection. */
export interface LinkConnectionHandlers {
  onFrame(frame: LinkFrame): void;
  /** Called once. */
  onClose(reason: string): void;
  /** Called when the peer is silent for so long that the connection may be dead. */
  onSuspicion?(): void;
}

/** A connection between two daemons, used by both sides. */
export class LinkConnection {
  private readonly headDecoder = new HeadDecoder();
  private readonly decoder = new LinkFrameDecoder((kind, short) => this.headDecoder.decode(kind, short));
  /** Encodes heads in short form; null while the peer is not known to read it. */
  private headEncoder: HeadEncoder | null = null;
  private readonly statusSender = new StatusSender();
  private readonly statusReceiver = new StatusReceiver();
  private closed = false;
  private drainCallbacks: (() => void)[] = [];
  /** Streams whose frames waited for the network link when the connection closed. */
  private discardedStreams: ReadonlySet<number> = new Set();
  /** Whether a goodbye frame was received. */
  private goodbyeReceived = false;
  private closeReason = SILENT_REASON;
  private readonly silence: SilenceWatch;
  private readonly pacedFrames: PacedFrames | null;
  private readonly writer: TurnWriter;

  constructor(
    private readonly socket: Socket,
    nowMs: () => number,
    private readonly handlers: LinkConnectionHandlers,
    /** Paces large frames on a slow network link; null if there is none between the two daemons. */
    private readonly pacer: LinkPacer | null = null,
    /** Counts sent frames; null if they are not counted. */
    private readonly meter: ByteMeter | null = null,
    /** Whether bytes are scarcer than processor time, so that heads are sent in short form where the peer reads it. */
    private readonly savesBytes: () => boolean = () => true,
    /** Calls back at the end of a turn, when the frames of the turn are written. */
    atTurnEnd: AtTurnEnd = process.nextTick,
  ) {
    this.silence = new SilenceWatch({
      nowMs,
      sendProbe: () => {
        this.send(FRAME_KIND.ping, 0, undefined);
      },
      onSilence: () => {
        this.close(this.closeReason);
      },
      onSuspicion: () => {
        this.handlers.onSuspicion?.();
      },
    });
    this.writer = new TurnWriter(socket, atTurnEnd);
    const write = (bytes: Buffer): void => {
      this.writer.write(bytes);
    };
    this.pacedFrames = pacer === null ? null : new PacedFrames(pacer, write);
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

  /** Whether the peer sent a goodbye: it has not executed, and never will, any request whose answer has not begun. */
  get receivedGoodbye(): boolean {
    return this.goodbyeReceived;
  }

  /** Whether frames can still be sent. */
  get open(): boolean {
    return !this.closed;
  }

  /** Sends heads in short form from now on, since the peer reads it. */
  enableShortHeads(): void {
    this.headEncoder ??= new HeadEncoder();
  }

  /** Whether the peer reads heads in short form. */
  get sendsShortHeads(): boolean {
    return this.headEncoder !== null;
  }

  /** Bytes that wait in this process, without those that the pacer holds back. */
  get bufferedBytes(): number {
    return this.writer.waitingBytes;
  }

  /** Queues one frame, which is written at the end of the turn; dropped when the connection is closed. */
  send(kind: FrameKind, stream: number, head: unknown, body: Buffer = EMPTY_BODY): void {
    if (this.closed) return;
    const start = this.encodeStart(kind, stream, head, body.length);
    this.meter?.recordSent(kind, start.length, body.length);
    if (this.pacedFrames !== null) {
      this.pacedFrames.send(stream, start, body);
      return;
    }
    this.writer.write(start);
    this.writer.write(body);
  }

  private encodeStart(kind: FrameKind, stream: number, head: unknown, bodyBytes: number): Buffer {
    if (this.headEncoder === null || head === undefined)
      return encodeFrameStart(kind, stream, head, bodyBytes);
    if (!this.savesBytes()) return encodeFrameStart(kind, stream, withOwnStatus(head), bodyBytes);
    const minOvertakenBytes = this.pacedFrames?.minOvertakenBytes(stream) ?? Infinity;
    const keepsOrder = (text: Buffer): boolean =>
      FRAME_OVERHEAD_BYTES + text.length + bodyBytes < minOvertakenBytes;
    const sentHead = carriesStatus(head)
      ? this.statusSender.reduce(head, () => keepsOrder(jsonOf(head)))
      : head;
    const text = jsonOf(sentHead);
    const short = this.headEncoder.encode(kind, text, keepsOrder(text));
    if (short === null) return encodeTextFrameStart(kind, stream, text.toString(), bodyBytes);
    return encodeShortFrameStart(kind, stream, short, bodyBytes);
  }

  /**
   * Discards the frames of a stream that wait for the network link, except one that is being written. Returns whether there were
   * any, and none of them was being written.
   */
  dropStream(stream: number): boolean {
    return this.pacedFrames?.drop(stream) ?? false;
  }

  /** Whether frames of a stream waited for the network link when the connection closed, and none was being written. */
  hasDiscarded(stream: number): boolean {
    return this.discardedStreams.has(stream);
  }

  /** Calls back once, when the socket's buffer has been flushed to the operating system, or the connection closes. */
  onDrain(callback: () => void): void {
    this.drainCallbacks.push(callback);
    if (this.drainCallbacks.length > 1) return;
    this.writer.flush();
    this.socket.once('drain', () => {
      this.notifyDrained();
    });
  }

  private notifyDrained(): void {
    for (const waitingCallback of this.drainCallbacks.splice(0)) waitingCallback();
  }

  /** Monitors the peer's liveness. */
  watchSilence(timing: LinkTiming): void {
    this.closeReason = timing.closeReason;
    if (!this.closed) this.silence.watch(timing);
  }

  /** Sends the queued frames and a goodbye, ignores further input, and ends the connection. */
  closeGracefully(): void {
    if (this.closed) return;
    this.pacedFrames?.flush();
    this.writer.write(encodeFrameStart(FRAME_KIND.goodbye, 0, undefined, 0));
    this.writer.flush();
    this.closed = true;
    this.silence.stop();
    this.socket.end();
    this.handlers.onClose('goodbye');
  }

  /** Closes the connection, after the frames of this turn, and reports `reason`; has no effect if it is closed already. */
  close(reason: string): void {
    if (this.closed) return;
    this.closed = true;
    this.writer.flush();
    this.silence.stop();
    this.discardedStreams = this.pacedFrames?.discardAll() ?? this.discardedStreams;
    this.socket.destroy();
    this.notifyDrained();
    this.handlers.onClose(reason);
  }

  private receive(chunk: Buffer): void {
    if (this.closed) return;
    this.silence.recordReceived();
    this.pacer?.recordReceive(chunk.length);
    const frames = this.decoder.push(chunk);
    if (frames.err) {
      this.close(frames.val);
      return;
    }
    for (const frame of frames.val) if (this.open) this.dispatch(frame);
  }

  private dispatch(frame: LinkFrame): void {
    if (frame.kind === FRAME_KIND.goodbye) this.goodbyeReceived = true;
    else if (frame.kind === FRAME_KIND.ping) this.send(FRAME_KIND.pong, 0, undefined);
    else if (frame.kind !== FRAME_KIND.pong) this.handlers.onFrame(this.withStatus(frame));
  }

  private withStatus(frame: LinkFrame): LinkFrame {
    if (!mayCarryStatus(frame.kind) || !isObject(frame.head)) return frame;
    return { ...frame, head: this.statusReceiver.restore(frame.head) };
  }
}

function isObject(head: unknown): head is StatusCarrier {
  return typeof head === 'object' && head !== null;
}

/** Returns the head with its status marked as not shared, since short heads leave out only what other short heads sent. */
function withOwnStatus(head: unknown): unknown {
  return carriesStatus(head) && isObject(head.status) ? { ...head, overtaken: true } : head;
}

function jsonOf(head: unknown): Buffer {
  return Buffer.from(JSON.stringify(head));
}
