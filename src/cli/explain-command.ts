/** `aldertide explain`: determines the cause of a request's outcome from the daemons' logs. */
import { readFileSync } from 'node:fs';
import { explainRequest, readEvents, type LoggedEvent } from '../telemetry/explain.js';
import { usageError } from './command-line.js';
import { EXIT_CODE } from './exit-code.js';

/** Prints the events and the cause of a request from the logs in `files`; returns the exit code. */
export function explainCommand(requestId: string, files: readonly string[], asJson: boolean): number {
  if (files.length === 0) return usageError('aldertide explain: no log files given');
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
