/** Request bodies: small ones are buffered so that they can be sent again, larger ones are streamed once. */
import type { IncomingMessage } from 'node:http';
import { PassThrough, type Readable } from 'node:stream';
import { GrowingBuffer } from '../runtime/growing-buffer.js';

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

/** Reads the body of a request; null if the caller disconnected before a small body was complete. */
export async function readRequestBody(request: IncomingMessage): Promise<RequestBody | null> {
  const { 'content-length': lengthText, 'transfer-encoding': encoding } = request.headers;
  if (lengthText === undefined && encoding === undefined) return NO_BODY;
  const length = Number(lengthText ?? Infinity);
  if (length === 0) return NO_BODY;
  if (length > MAX_BUFFERED_BODY_BYTES) return { content: streamOf(request), repeatable: false };
  const content = await readAll(request);
  return content === null ? null : { content, repeatable: true };
}

/**
 * Returns a stream of the body that may be destroyed: `undici` does that when an answer comes before the end of a body, and Node
 * ends the connection of a request that is destroyed.
 */
function streamOf(request: IncomingMessage): Readable {
  const stream = new PassThrough();
  stream.on('error', () => undefined);
  stream.once('close', () => {
    request.unpipe(stream);
    request.resume();
  });
  request.once('close', () => {
    if (!request.complete) stream.destroy(new Error('the body broke off'));
  });
  return request.pipe(stream);
}

async function readAll(request: IncomingMessage): Promise<Buffer | null> {
  const stored = new GrowingBuffer(MAX_BUFFERED_BODY_BYTES);
  try {
    for await (const chunk of request) stored.append(chunk as Buffer);
  } catch {
    return null;
  }
  return stored.view();
}
