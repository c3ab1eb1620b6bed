/**
 * Journals: one JSON line for each event, written before the request is answered, so that records survive a kill. Times are
 * in ms of the monotonic clock, which all processes of the machine share.
 */
import { closeSync, openSync, readFileSync, writeSync } from 'node:fs';

/** Record of a request that a back end ran. */
export interface ExecutionRecord {
  readonly kind: 'execution';
  readonly atMs: number;
  readonly backend: string;
  readonly service: string;
  /** Shard and epoch of the grant; null in a service without key ownership. */
  readonly shard: number | null;
  readonly epoch: number | null;
  readonly key: string;
  /** Id of one attempt of a caller. */
  readonly sendingId: string;
  readonly idempotencyKey: string | null;
  readonly repeatable: boolean;
}

/** Kind of a caller's request. */
export type Operation = 'lookup' | 'confirmation' | 'download';

/** Outcome of a caller's request. */
export type CallerOutcome =
  | 'answered'
  /** A refusal that states that the request was not run. */
  | 'refused'
  /** A refusal that leaves open whether the request was run, or a broken connection. */
  | 'unknown'
  /** An apparently complete answer that is not the answer to this request. */
  | 'wrong-answer';

/** Record of a request that a caller sent, written when it has ended. */
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
  /** Code of the refusal, or cause of the failure. */
  readonly detail: string;
  readonly retryAfterMs: number | null;
  readonly router: string;
}

/** Record of a journal. */
export type JournalRecord = ExecutionRecord | SendingRecord;

/** Appends records to a journal file. */
export class JournalWriter {
  private readonly descriptor: number;

  constructor(path: string) {
    this.descriptor = openSync(path, 'a');
  }

  /** Writes one record synchronously; when this returns, the kernel has it. */
  write(record: JournalRecord): void {
    writeSync(this.descriptor, `${JSON.stringify(record)}\n`);
  }

  /** Closes the file. */
  close(): void {
    closeSync(this.descriptor);
  }
}

/** Reads all complete lines of a journal; an incomplete last line, left by a kill, is ignored. */
export function readJournal(path: string): JournalRecord[] {
  const text = readFileSync(path, 'utf8');
  const completeLines = text.slice(0, text.lastIndexOf('\n') + 1);
  return completeLines
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as JournalRecord);
}
