/** Streams an answer of stated length over a stated time, as slowly as its reader takes it, or breaks it off midway. */
import type { ServerResponse } from 'node:http';
import { pause } from '../pause.js';
import type { StatedStream, StreamContent } from './stated-work.js';

/** Interval in ms between the parts of a stream. */
const PART_INTERVAL_MS = 20;

/** Writes the content and ends the answer or breaks it off; resolves when all is written, or when the connection is closed. */
export async function streamContent(
  response: ServerResponse,
  content: StreamContent,
  { durationMs, cutAtBytes }: Pick<StatedStream, 'durationMs' | 'cutAtBytes'>,
): Promise<void> {
  const startedMs = performance.now();
  const closed = nextEvent(response, 'close');
  const writtenBytes = Math.min(cutAtBytes ?? content.length, content.length);
  let offset = 0;
  while (offset < writtenBytes && !response.destroyed) {
    const share = durationMs === 0 ? 1 : Math.min(1, (performance.now() - startedMs) / durationMs);
    const dueBytes = Math.min(writtenBytes, Math.ceil(content.length * share));
    while (offset < dueBytes && !response.destroyed) {
      const part = content.slice(offset, dueBytes - offset);
      offset += part.length;
      if (!response.write(part)) await Promise.race([nextEvent(response, 'drain'), closed]);
    }
    if (offset < writtenBytes) await pause(PART_INTERVAL_MS);
  }
  if (response.destroyed) return;
  if (cutAtBytes !== undefined) {
    response.destroy();
    return;
  }
  response.end();
  await closed;
}

async function nextEvent(response: ServerResponse, event: 'close' | 'drain'): Promise<void> {
  await new Promise<void>((resolve) => {
    response.once(event, () => {
      resolve();
    });
  });
}
