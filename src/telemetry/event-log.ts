/**
 * Structured events on standard output: one JSON object a line. The volume is bounded, and a reader that stops
 * reading never holds the process up: lines that find no room are dropped and counted.
 */
import { TokenBucket } from '../control/token-bucket.js';
import type { LineWriter } from './line-writer.js';

/** Lines that may be written at once, and lines a second after that, for decisions and changed beliefs. */
const NOTABLE_BURST = 400;
const NOTABLE_PER_SECOND = 100;

/** The same for requests that failed or came late. */
const FAILURE_BURST = 400;
const FAILURE_PER_SECOND = 100;

/** The same for requests that went as planned. */
const ROUTINE_BURST = 20;
const ROUTINE_PER_SECOND = 2;

/** Pause between reports of dropped lines, in ms. */
const DROP_REPORT_MS = 5_000;

/** Fields of an event. */
export type EventFields = Readonly<Record<string, unknown>>;

/** What a daemon writes its events to. */
export interface EventLog {
  /** A decision or a changed belief. */
  event(name: string, fields: EventFields): void;
  /** A request that failed or came late: many at once leave the lines on decisions and beliefs their room. */
  failure(name: string, fields: EventFields): void;
  /** A request that went as planned; only a sample is written. */
  routine(name: string, fields: EventFields): void;
}

/** Where the time of a line comes from. */
export interface EventClock {
  nowMs(): number;
  wallMs(): number;
}

/** Events of one daemon as JSON lines. */
export class JsonEventLog implements EventLog {
  /** Lines that were left out because of their number or because nobody read them. */
  dropped = 0;
  private readonly notable: TokenBucket;
  private readonly failures: TokenBucket;
  private readonly ordinary: TokenBucket;
  private droppedReported = 0;
  private reportDueMs: number;

  constructor(
    private readonly daemon: string,
    private readonly clock: EventClock,
    private readonly writer: LineWriter,
  ) {
    this.notable = new TokenBucket(NOTABLE_BURST, NOTABLE_PER_SECOND, clock.nowMs());
    this.failures = new TokenBucket(FAILURE_BURST, FAILURE_PER_SECOND, clock.nowMs());
    this.ordinary = new TokenBucket(ROUTINE_BURST, ROUTINE_PER_SECOND, clock.nowMs());
    this.reportDueMs = clock.nowMs() + DROP_REPORT_MS;
  }

  /** See `EventLog`. */
  event(name: string, fields: EventFields): void {
    this.writeWithin(this.notable, name, fields);
  }

  /** See `EventLog`. */
  failure(name: string, fields: EventFields): void {
    this.writeWithin(this.failures, name, fields);
  }

  /** See `EventLog`. */
  routine(name: string, fields: EventFields): void {
    if (this.ordinary.take(1, this.clock.nowMs()) === 1) this.write(name, fields);
  }

  private writeWithin(budget: TokenBucket, name: string, fields: EventFields): void {
    this.reportDropped();
    if (budget.take(1, this.clock.nowMs()) === 1) this.write(name, fields);
    else this.dropped += 1;
  }

  private reportDropped(): void {
    const nowMs = this.clock.nowMs();
    if (this.dropped === this.droppedReported || nowMs < this.reportDueMs) return;
    this.reportDueMs = nowMs + DROP_REPORT_MS;
    const lines = this.dropped - this.droppedReported;
    this.droppedReported = this.dropped;
    this.write('lines-dropped', { lines });
  }

  private write(name: string, fields: EventFields): void {
    const time = new Date(this.clock.wallMs()).toISOString();
    const line = JSON.stringify({ time, daemon: this.daemon, event: name, ...fields });
    if (!this.writer.write(line)) this.dropped += 1;
  }
}

/** Writes nothing; for tests and tools. */
export const SILENT_EVENT_LOG: EventLog = {
  event: () => undefined,
  failure: () => undefined,
  routine: () => undefined,
};
