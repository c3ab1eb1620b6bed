/** `aldertide explain`: from a request's id to its cause, by the daemons' logs alone. */
import { readFileSync } from 'node:fs';
import { explainRequest, readEvents, type LoggedEvent } from '../telemetry/explain.js';
import { usageError } from './command-line.js';
import { EXIT_CODE } from './exit-code.js';

/** Prints what the logs in `files` say about a request; returns the exit code. */
export function explainCommand(requestId: string, files: readonly string[], asJson: boolean): number {
  if (files.length === 0) return usageError('aldertide explain: give the files that hold the logs');
  let events: LoggedEvent[];
  try {
    events = files.flatMap((file) => readEvents(readFileSync(file, 'utf8')));
  } catch (error) {
    return usageError(error instanceof Error ? error.message : String(error));
  }
  const explanation = explainRequest(requestId, events);
  if (asJson) {
    process.stdout.write(`${JSON.stringify(explanation)}\n`);
  } else {
    const lines = [...explanation.beliefs, ...explanation.path].sort((left, right) =>
      left.time < right.time ? -1 : 1,
    );
    for (const line of lines) process.stdout.write(`${formatEvent(line)}\n`);
    process.stdout.write(`cause: ${explanation.cause ?? 'no event of this request is in these logs'}\n`);
  }
  return explanation.cause === null ? EXIT_CODE.refused : EXIT_CODE.done;
}

function formatEvent({ time, daemon, event, ...fields }: LoggedEvent): string {
  return `${time} ${daemon} ${event} ${JSON.stringify(fields)}`;
}
