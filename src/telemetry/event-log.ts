/**
 * Structured events on standard output, one JSON object per line. The volume is limited, and a reader that stops reading
 * never blocks the process: lines that exceed a limit are dropped and counted.
 */
import { TokenBucket } from '../control/token-bucket.js';
import type { LineWriter } from './line-writer.js';

/** Burst of lines, and lines per second after it, for decisions and changes of state. */
const EVENT_BURST = 400;
const EVENTS_PER_SECOND = 100;

/** The same limits for requests that failed or were late. */
const FAILURE_BURST = 400;
const FAILURES_PER_SECOND = 100;

/** The same limits for successful requests. */
const ROUTINE_BURST = 20;
const ROUTINE_PER_SECOND = 2;

/** Minimum interval between reports of dropped lines, in ms. */
const DROP_REPORT_MS = 5_000;

/** Fields of an event. */
export type EventFields = Readonly<Record<string, unknown>>;

/** Destination of a daemon's events. */
export interface EventLog {
  /** Logs a decision or a change of state; written at once, so that not even a kill loses it. */
  event(name: string, fields: EventFields): void;
  /** Logs a request that failed or was late; these have their own limit, so that many do not displace other events. */
  failure(name: string, fields: EventFields): void;
  /** Logs a successful request; only a sample is written, so the fields are built only for that. */
  routine(name: string, fields: () => EventFields): void;
}

/** Clocks for the timestamps and the limits of lines. */
export interface EventClock {
  nowMs(): number;
  wallMs(): number;
}

/** Writes the events of one daemon as JSON lines. */
export class JsonEventLog implements EventLog {
  /** Number of lines dropped because of the limits or because the reader fell behind. */
  dropped = 0;
  private readonly eventBudget: TokenBucket;
  private readonly failureBudget: TokenBucket;
  private readonly routineBudget: TokenBucket;
  private reportedDropped = 0;
  private nextReportMs: number;

  constructor(
    private readonly daemon: string,
    private readonly clock: EventClock,
    private readonly writer: LineWriter,
  ) {
    this.eventBudget = new TokenBucket(EVENT_BURST, EVENTS_PER_SECOND, clock.nowMs());
    this.failureBudget = new TokenBucket(FAILURE_BURST, FAILURES_PER_SECOND, clock.nowMs());
    this.routineBudget = new TokenBucket(ROUTINE_BURST, ROUTINE_PER_SECOND, clock.nowMs());
    this.nextReportMs = clock.nowMs() + DROP_REPORT_MS;
  }

  /** See `EventLog`. */
  event(name: string, fields: EventFields): void {
    this.writeWithin(this.eventBudget, name, fields);
    this.writer.flush();
  }

  /** See `EventLog`. */
  failure(name: string, fields: EventFields): void {
    this.writeWithin(this.failureBudget, name, fields);
  }

  /** See `EventLog`. */
  routine(name: string, fields: () => EventFields): void {
    if (this.routineBudget.take(1, this.clock.nowMs()) === 1) this.write(name, fields());
  }

  private writeWithin(budget: TokenBucket, name: string, fields: EventFields): void {
    this.reportDropped();
    if (budget.take(1, this.clock.nowMs()) === 1) this.write(name, fields);
    else this.dropped += 1;
  }

  private reportDropped(): void {
    const nowMs = this.clock.nowMs();
    if (this.dropped === this.reportedDropped || nowMs < this.nextReportMs) return;
    this.nextReportMs = nowMs + DROP_REPORT_MS;
    const lines = this.dropped - this.reportedDropped;
    this.reportedDropped = this.dropped;
    this.write('lines-dropped', { lines });
  }

  private write(name: string, fields: EventFields): void {
    const time = new Date(this.clock.wallMs()).toISOString();
    const start = JSON.stringify({ time, daemon: this.daemon, event: name });
    if (!this.writer.write(joinObjects(start, JSON.stringify(fields)))) this.dropped += 1;
  }
}

/** Joins the texts of two JSON objects, which takes a fifth of the time that a copy of more than 20 fields does. */
function joinObjects(first: string, second: string): string {
  return second === '{}' ? first : `${first.slice(0, -1)},${second.slice(1)}`;
}

/** Discards all events; for tests and tools. */
export const SILENT_EVENT_LOG: EventLog = {
  event: () => undefined,
  failure: () => undefined,
  routine: () => undefined,
};
