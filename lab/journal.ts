/**
 * Journals: one JSON line for each thing that happened, written before it is answered, so that they survive
 * a kill. Times are ms of the machine's monotonic clock, which all processes on it share.
 */
import { closeSync, openSync, readFileSync, writeSync } from 'node:fs';

/** A back end ran a request. */
export interface ExecutionRecord {
  readonly kind: 'execution';
  readonly atMs: number;
  readonly backend: string;
  readonly service: string;
  /** Shard and epoch of the grant; null in a service without owners. */
  readonly shard: number | null;
  readonly epoch: number | null;
  readonly key: string;
  /** Id of one sending by a caller. */
  readonly sendingId: string;
  readonly idempotencyKey: string | null;
  readonly repeatable: boolean;
}

/** What kind of request a caller made. */
export type Operation = 'lookup' | 'confirmation' | 'download';

/** What a caller was told, or how its request ended otherwise. */
export type CallerOutcome =
  | 'answered'
  /** A refusal that says the request was not run. */
  | 'refused'
  /** A refusal that says it is unknown, or a connection that broke. */
  | 'unknown'
  /** A whole-looking answer that is not the answer to this request. */
  | 'wrong-answer';

/** A caller sent a request and it ended. */
export interface SendingRecord {
  readonly kind: 'sending';
  readonly sentMs: number;
  readonly endedMs: number;
  readonly service: string;
  readonly shard: number | null;
  readonly key: string;
  readonly operation: Operation;
  readonly sendingId: string;
  readonly idempotencyKey: string | null;
  readonly status: number;
  readonly outcome: CallerOutcome;
  /** Code of the refusal, or what broke. */
  readonly detail: string;
  readonly retryAfterMs: number | null;
  readonly router: string;
}

/** Records that a journal may hold. */
export type JournalRecord = ExecutionRecord | SendingRecord;

/** An open journal. */
export class JournalWriter {
  private readonly descriptor: number;

  constructor(path: string) {
    this.descriptor = openSync(path, 'a');
  }

  /** Writes one record; it is in the kernel's hands when this returns. */
  write(record: JournalRecord): void {
    writeSync(this.descriptor, `${JSON.stringify(record)}\n`);
  }

  /** Closes the file. */
  close(): void {
    closeSync(this.descriptor);
  }
}

/** Reads all whole lines of a journal; a last line that a kill cut short is left out. */
export function readJournal(path: string): JournalRecord[] {
  const text = readFileSync(path, 'utf8');
  const whole = text.slice(0, text.lastIndexOf('\n') + 1);
  return whole
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as JournalRecord);
}
