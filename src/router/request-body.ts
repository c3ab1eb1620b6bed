/** Request bodies: small ones are buffered so that they can be sent again, larger ones are streamed once. */
import type { IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';
import { costlyInput } from '../runtime/costly-input.js';
import { IncomingBody } from '../runtime/incoming-body.js';
import { UploadStream, watchProgress, type UploadLimits } from './upload-stream.js';

/** Largest body that is buffered, in bytes. */
export const MAX_BUFFERED_BODY_BYTES = 16 * 1024;

/** Body of a request, either buffered or streamed. */
export interface RequestBody {
  /** Content for the next attempt; null if there is no body. */
  readonly content: Buffer | Readable | null;
  /** Whether the body can be sent more than once. */
  readonly repeatable: boolean;
}

const NO_BODY: RequestBody = { content: null, repeatable: true };

/** Reads the body of a request; null if a small body was not complete when its connection ended. */
export async function readRequestBody(
  request: IncomingMessage,
  limits: UploadLimits,
): Promise<RequestBody | null> {
  const { 'content-length': lengthText, 'transfer-encoding': encoding } = request.headers;
  if (lengthText === undefined && encoding === undefined) return NO_BODY;
  const length = Number(lengthText ?? Infinity);
  if (length === 0) return NO_BODY;
  if (length > MAX_BUFFERED_BODY_BYTES)
    return { content: new UploadStream(request, limits), repeatable: false };
  const content = await readAll(request, limits);
  return content === null ? null : { content, repeatable: true };
}

/** Reads a body to its end; null if it breaks off, stalls, or is longer than any that is buffered. */
async function readAll(request: IncomingMessage, { memory, stallMs }: UploadLimits): Promise<Buffer | null> {
  return await new Promise((resolve) => {
    const giveUp = (): void => {
      request.destroy();
    };
    const stored = new IncomingBody(memory, MAX_BUFFERED_BODY_BYTES, null, giveUp);
    const watch = watchProgress(stallMs, giveUp);
    const meter = costlyInput.meter(request.socket);
    request.on('data', (chunk: Buffer) => {
      meter.add(chunk.length);
      watch.progress();
      if (stored.add(chunk) !== null) giveUp();
    });
    request.once('end', () => {
      resolve(stored.end());
    });
    request.once('close', () => {
      watch.stop();
      stored.release();
      resolve(null);
    });
  });
}
