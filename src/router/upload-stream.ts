/**
 * The body of a caller's request on its way to a back end. What has arrived and was not passed on is stored in one buffer, so that a
 * body in small chunks takes no more memory than another one, and is accounted for with the bytes of all callers.
 */
import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import { processTimers } from '../runtime/clock.js';
import type { ClientMemory, MemoryShare } from '../runtime/client-memory.js';
import { costlyInput, type InputMeter } from '../runtime/costly-input.js';
import { GrowingBuffer } from '../runtime/growing-buffer.js';

/** Bytes that wait for the back end from which on no more are read. */
const MAX_WAITING_BYTES = 64 * 1024;

/**
 * The same for chunks smaller than `SMALL_CHUNK_BYTES`: Node stores each chunk that arrives in a pause as an object, which takes far
 * more memory than a small one has bytes.
 */
const MAX_WAITING_SMALL_BYTES = 1024 * 1024;
const SMALL_CHUNK_BYTES = 512;

/** Bounds of what callers may have under way at one router. */
export interface UploadLimits {
  readonly memory: ClientMemory;
  /** Time in ms without a byte of a body that the router is ready to read, after which the caller's connection ends. */
  readonly stallMs: number;
}

/**
 * Calls back if a request stalls while it is not held back here; returns the function to call with each sign of progress, and the one
 * that stops the watch.
 */
export function watchProgress(
  stallMs: number,
  onStalled: () => void,
  isHeldBack: () => boolean = () => false,
): { readonly progress: () => void; readonly stop: () => void } {
  let progressMs = performance.now();
  let cancel = (): void => undefined;
  const check = (): void => {
    if (isHeldBack()) progressMs = performance.now();
    const leftMs = stallMs - (performance.now() - progressMs);
    if (leftMs <= 0) onStalled();
    else cancel = processTimers.after(leftMs, check);
  };
  cancel = processTimers.after(stallMs, check);
  const progress = (): void => {
    progressMs = performance.now();
  };
  const stop = (): void => {
    cancel();
  };
  return { progress, stop };
}

/**
 * Stream of a request's body. It may be destroyed before the body has arrived, since `undici` does that when an answer comes early;
 * the rest of the body is then read and discarded. Ends with an error if the body breaks off, and ends the caller's connection if the
 * body stalls or there is no memory for it.
 */
export class UploadStream extends Readable {
  private waiting = new GrowingBuffer();
  private passedBytes = 0;
  private isWanted = false;
  private isScheduled = false;
  private isWhole = false;
  private readonly share: MemoryShare;
  private readonly meter: InputMeter;
  private readonly watch: ReturnType<typeof watchProgress>;

  constructor(
    private readonly request: IncomingMessage,
    { memory, stallMs }: UploadLimits,
  ) {
    super();
    this.share = memory.open(() => {
      this.abandon();
    });
    const onStalled = (): void => {
      this.abandon();
    };
    this.watch = watchProgress(stallMs, onStalled, () => request.isPaused());
    this.on('error', () => undefined);
    this.meter = costlyInput.meter(request.socket);
    request.on('data', this.takeChunk);
    request.once('end', () => {
      this.isWhole = true;
      this.watch.stop();
      this.pass();
    });
    request.once('close', () => {
      if (!request.complete) this.destroy(new Error('the body broke off'));
    });
  }

  /** See `Readable`. */
  override _read(): void {
    this.isWanted = true;
    this.passedBytes = 0;
    this.pass();
    this.request.resume();
  }

  /** See `Readable`. */
  override _destroy(error: Error | null, callback: (error: Error | null) => void): void {
    this.watch.stop();
    this.share.release();
    this.waiting.clear();
    this.request.resume();
    callback(error);
  }

  private readonly takeChunk = (chunk: Buffer): void => {
    this.meter.add(chunk.length);
    if (this.destroyed) return;
    const bytes = this.waiting.length + chunk.length;
    if (!this.share.resize(this.passedBytes + this.waiting.capacityFor(bytes))) {
      this.abandon();
      return;
    }
    this.watch.progress();
    this.waiting.append(chunk);
    this.passTogether();
    const maxBytes = chunk.length < SMALL_CHUNK_BYTES ? MAX_WAITING_SMALL_BYTES : MAX_WAITING_BYTES;
    if (this.waiting.length >= maxBytes) this.request.pause();
  };

  /** Passes on what arrives in one turn of the event loop together: each part of its own costs a write to the back end. */
  private passTogether(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      this.pass();
    });
  }

  /** Passes on what waits, if it is wanted, and the end behind it. */
  private pass(): void {
    if (!this.isWanted || this.destroyed) return;
    if (this.waiting.length > 0) {
      this.isWanted = false;
      this.passedBytes = this.waiting.length;
      const passed = this.waiting.view();
      this.waiting = new GrowingBuffer();
      this.push(passed);
    } else if (this.isWhole) {
      this.isWanted = false;
      this.push(null);
    }
  }

  private abandon(): void {
    this.destroy(new Error('the body was given up'));
    this.request.destroy();
  }
}
