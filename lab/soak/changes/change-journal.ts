/** Journal of a soak of changes: one JSON line for each event, with its time in ms since the start. */
import { appendFileSync } from 'node:fs';

/** Writes events of a soak to a file. */
export class ChangeJournal {
  private readonly startMs = performance.now();

  constructor(private readonly file: string) {}

  /** Appends one event. */
  record(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
    const atMs = Math.round(performance.now() - this.startMs);
    appendFileSync(this.file, `${JSON.stringify({ atMs, event, ...fields })}\n`);
  }
}
