/** A request's body: small ones are held, so that they can be sent again; larger ones are streamed once. */
import type { IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';

/** Largest body that is held, in bytes. */
export const MAX_HELD_BODY_BYTES = 16 * 1024;

/** A body that can be sent once or again. */
export interface RequestBody {
  /** What to send next. */
  readonly content: Buffer | Readable | null;
  /** Whether it can be sent again. */
  readonly repeatable: boolean;
}

const NO_BODY: RequestBody = { content: null, repeatable: true };

/** Takes the body of a request; null when the caller broke off before a small body was complete. */
export async function takeBody(request: IncomingMessage): Promise<RequestBody | null> {
  const { 'content-length': lengthText, 'transfer-encoding': encoding } = request.headers;
  if (lengthText === undefined && encoding === undefined) return NO_BODY;
  const length = Number(lengthText ?? Infinity);
  if (length === 0) return NO_BODY;
  if (length > MAX_HELD_BODY_BYTES) return { content: request, repeatable: false };
  const content = await readAll(request);
  return content === null ? null : { content, repeatable: true };
}

async function readAll(request: IncomingMessage): Promise<Buffer | null> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer);
  } catch {
    return null;
  }
  return Buffer.concat(chunks);
}
