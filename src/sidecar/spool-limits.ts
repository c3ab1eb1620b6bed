/**
 * Bound on the bytes of answers that a daemon holds, over all answers together. Handles callers that read more slowly than
 * back ends send. While there is room, answers are held so that back ends finish; a long answer may hold a share of the
 * room that is left, so that one does not take it from the others (dynamic thresholds). A source that has been paused for
 * a while is read a little further, because back ends abort answers that are left unread for some seconds. At the bound,
 * the answer that would occupy its bytes for the longest time is cut.
 */
import type { HeldBytes, HeldBytesHandlers, OpenHeldBytes } from '../link/answer-stream.js';

/** Bytes of answers that a daemon holds at most: a machine of 250 MB has room for this beside an idle daemon, twice. */
export const MAX_HELD_BYTES = 32 * 1024 * 1024;

/** Share of the bound that answers fill before their sources are paused; the rest is for sources that must be read on. */
const FILLED_SHARE = 0.25;

/** Share of the room left that one answer may hold. */
const ROOM_SHARE = 0.5;

/** Bytes that each answer may hold however little room is left; one read of a socket, of up to 64 KiB, may exceed it. */
const MIN_STREAM_BYTES = 32 * 1024;

/** Share of the bound from which on windows are reduced, and long answers are passed on before they are complete. */
const CROWDED_SHARE = 0.125;

/** Time in ms after which a paused source is read on; back ends abort answers that are left unread for about 5 s. */
const MAX_PAUSE_MS = 1_500;

/**
 * Minimum and maximum bytes that are read on from a paused source. The operating system lets a back end write again only
 * when a third of its send buffer, which may hold 4 MiB, has been read.
 */
const MIN_READ_ON_BYTES = 64 * 1024;
const MAX_READ_ON_BYTES = 2 * 1024 * 1024;

/** Share of the room left that sources which are read on may fill at once. */
const READ_ON_SHARE = 0.5;

/** Rate in bytes per ms at which an answer is assumed to be passed on until its rate is measured. */
const INITIAL_RATE = 1_000;

/** Weight of the last interval in the moving average of the rate at which an answer is passed on. */
const RATE_WEIGHT = 0.3;

/** An answer of which bytes are held. */
export interface HeldAnswer {
  readonly heldBytes: number;
  /** Recent rate at which the answer is passed on, in bytes per ms. */
  readonly bytesPerMs: number;
  /** Priority of the request; 0 is the most urgent. */
  readonly priority: number;
}

/** Returns the bytes that one answer may hold before its source is paused, if all answers hold `totalBytes`. */
export function maxStreamBytes(totalBytes: number, boundBytes: number): number {
  const roomBytes = boundBytes * FILLED_SHARE - totalBytes;
  return Math.max(MIN_STREAM_BYTES, roomBytes * ROOM_SHARE);
}

/**
 * Returns the answer to cut: the one that would take longest to be passed on, and of those within a factor of 2 the least
 * urgent, then the one that holds most. Null if none holds anything.
 */
export function chooseAnswerToCut<Answer extends HeldAnswer>(answers: Iterable<Answer>): Answer | null {
  let chosen: Answer | null = null;
  for (const answer of answers) {
    if (answer.heldBytes > 0 && (chosen === null || isCutBefore(answer, chosen))) chosen = answer;
  }
  return chosen;
}

function isCutBefore(answer: HeldAnswer, other: HeldAnswer): boolean {
  const byTime = durationClass(answer) - durationClass(other);
  if (byTime !== 0) return byTime > 0;
  if (answer.priority !== other.priority) return answer.priority > other.priority;
  return answer.heldBytes > other.heldBytes;
}

/** Minimum rate in bytes per ms that is distinguished from standstill. */
const MIN_RATE = 1;

/** Class of the time that an answer will occupy its bytes; each class spans a factor of 2. */
function durationClass({ heldBytes, bytesPerMs }: HeldAnswer): number {
  return Math.floor(Math.log2(heldBytes / Math.max(MIN_RATE, bytesPerMs)));
}

/** An answer that was cut. */
export interface CutAnswer extends HeldAnswer {
  /** Bytes that all answers held. */
  readonly totalBytes: number;
}

/** Dependencies of the limits. */
export interface SpoolLimitsPorts {
  readonly boundBytes: number;
  /** Runs a callback after the present one, since cutting an answer may end the connection that is being read. */
  readonly defer: (callback: () => void) => void;
  readonly onCut: (answer: CutAnswer) => void;
}

/** State of one answer. */
class CountedAnswer implements HeldAnswer {
  heldBytes = 0;
  bytesPerMs = INITIAL_RATE;
  passedOnBytes = 0;
  pausedSinceMs: number | null = null;

  constructor(
    readonly priority: number,
    readonly handlers: HeldBytesHandlers,
  ) {}
}

/** Bytes of answers that one daemon holds, and the decisions about them. */
export class SpoolLimits {
  private readonly answers = new Set<CountedAnswer>();
  private countedBytes = 0;
  private queuedBytes = 0;
  private cutIsDue = false;
  private lastUpdateMs: number | null = null;
  private cutCount = 0;

  constructor(private readonly ports: SpoolLimitsPorts) {}

  /** Bytes held by all answers, and those that were passed to connections and not sent. */
  get totalBytes(): number {
    return this.countedBytes + this.queuedBytes;
  }

  /** Number of answers that were cut. */
  get cuts(): number {
    return this.cutCount;
  }

  /** Whether so much is held that answers should hold less each. */
  get crowded(): boolean {
    return this.totalBytes > this.ports.boundBytes * CROWDED_SHARE;
  }

  /** Begins to count the bytes of an answer. */
  readonly open: OpenHeldBytes = (priority, handlers) => {
    const answer = new CountedAnswer(priority, handlers);
    this.answers.add(answer);
    return this.accountOf(answer);
  };

  /** Updates rates and lets sources be read on; to be called regularly, with the bytes queued at connections. */
  update(nowMs: number, queuedBytes: number): void {
    const elapsedMs = nowMs - (this.lastUpdateMs ?? nowMs);
    this.lastUpdateMs = nowMs;
    this.queuedBytes = queuedBytes;
    if (elapsedMs > 0) for (const answer of this.answers) updateRate(answer, elapsedMs);
    this.readOn(nowMs);
    this.scheduleCut();
  }

  private accountOf(answer: CountedAnswer): HeldBytes {
    const mayHoldMore = (): boolean => {
      const maxBytes = maxStreamBytes(this.totalBytes, this.ports.boundBytes);
      const mayHold = answer.heldBytes < maxBytes;
      if (mayHold) answer.pausedSinceMs = null;
      else answer.pausedSinceMs ??= this.lastUpdateMs ?? 0;
      return mayHold;
    };
    const isCrowded = (): boolean => this.crowded;
    return {
      get mayHoldMore() {
        return mayHoldMore();
      },
      get crowded() {
        return isCrowded();
      },
      add: (bytes) => {
        if (!this.answers.has(answer)) return;
        answer.heldBytes += bytes;
        this.countedBytes += bytes;
        this.scheduleCut();
      },
      remove: (bytes) => {
        if (!this.answers.has(answer)) return;
        answer.heldBytes -= bytes;
        answer.passedOnBytes += bytes;
        this.countedBytes -= bytes;
      },
      close: () => {
        this.countedBytes -= answer.heldBytes;
        answer.heldBytes = 0;
        this.answers.delete(answer);
      },
    };
  }

  /** Reads on from the sources that have been paused for longest, as the room allows, and from at least one. */
  private readOn(nowMs: number): void {
    const due = [...this.answers].filter(
      ({ pausedSinceMs }) => pausedSinceMs !== null && nowMs - pausedSinceMs >= MAX_PAUSE_MS,
    );
    due.sort((one, other) => (one.pausedSinceMs ?? 0) - (other.pausedSinceMs ?? 0));
    const budgetBytes = Math.max(0, this.ports.boundBytes - this.totalBytes) * READ_ON_SHARE;
    const shareBytes = Math.floor(budgetBytes / Math.max(1, due.length));
    const bytes = Math.min(MAX_READ_ON_BYTES, Math.max(MIN_READ_ON_BYTES, shareBytes));
    const count = Math.max(1, Math.floor(budgetBytes / bytes));
    for (const answer of due.slice(0, count)) {
      answer.pausedSinceMs = nowMs;
      answer.handlers.readOn(bytes);
    }
  }

  private scheduleCut(): void {
    if (this.cutIsDue || this.totalBytes <= this.ports.boundBytes) return;
    this.cutIsDue = true;
    this.ports.defer(() => {
      this.cutIsDue = false;
      this.cutDownToBound();
    });
  }

  private cutDownToBound(): void {
    while (this.totalBytes > this.ports.boundBytes) {
      const answer = chooseAnswerToCut(this.answers);
      if (answer === null) return;
      const { heldBytes, bytesPerMs, priority } = answer;
      const { totalBytes } = this;
      this.cutCount += 1;
      this.countedBytes -= heldBytes;
      answer.heldBytes = 0;
      this.answers.delete(answer);
      answer.handlers.cut();
      this.ports.onCut({ heldBytes, bytesPerMs, priority, totalBytes });
    }
  }
}

function updateRate(answer: CountedAnswer, elapsedMs: number): void {
  const rate = answer.passedOnBytes / elapsedMs;
  answer.bytesPerMs += (rate - answer.bytesPerMs) * RATE_WEIGHT;
  answer.passedOnBytes = 0;
}
