/** Bodies on their way to a back end: what is passed on, and which callers are given up. */
import type { IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';
import test from 'ava';
import { Random } from '../../lab/random.js';
import { UploadStream } from '../../src/router/upload-stream.js';
import { ClientMemory } from '../../src/runtime/client-memory.js';

const SEED = 79;
const STALL_MS = 100;
const LIMIT = 4 * 1024 * 1024;

/** A request whose body the test writes, and the stream of it. */
function startUpload(memory = new ClientMemory(LIMIT)): { source: PassThrough; upload: UploadStream } {
  const socket = { destroyed: false, pause: () => socket, resume: () => socket, isPaused: () => false };
  const source = Object.assign(new PassThrough(), { complete: true, socket });
  source.on('error', () => undefined);
  const upload = new UploadStream(source as unknown as IncomingMessage, { memory, stallMs: STALL_MS });
  return { source, upload };
}

async function pauseFor(ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms));
}

async function readAll(upload: UploadStream, pauseMs: number): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of upload) {
    parts.push(part as Buffer);
    await pauseFor(pauseMs);
  }
  return Buffer.concat(parts);
}

test('a body in pieces of any size arrives unchanged, also at a back end that reads later than a caller may stall', async (t) => {
  const random = new Random(SEED);
  for (const largest of [1, 300, 5_000, 200_000]) {
    const memory = new ClientMemory(LIMIT);
    const { source, upload } = startUpload(memory);
    const body = Buffer.from(Array.from({ length: 300_000 }, () => random.below(256)));
    let at = 0;
    while (at < body.length) {
      const end = at + 1 + random.below(largest);
      source.write(body.subarray(at, end));
      at = end;
    }
    source.end();
    await pauseFor(3 * STALL_MS);
    t.deepEqual(
      await readAll(upload, largest > 1_000 ? STALL_MS / 4 : 0),
      body,
      `pieces of up to ${largest}`,
    );
    t.is(memory.usedBytes, 0);
  }
});

test('a caller that sends nothing more is given up', async (t) => {
  const { source, upload } = startUpload();
  source.write('part');
  await t.throwsAsync(readAll(upload, 0), { message: 'the body was given up' });
  t.true(source.destroyed);
});

test('a caller whose body has no room is given up, and its bytes are', async (t) => {
  const memory = new ClientMemory(LIMIT);
  const other = memory.open(() => undefined);
  t.true(other.resize(LIMIT));
  const { source, upload } = startUpload(memory);
  source.write('part');
  await t.throwsAsync(readAll(upload, 0), { message: 'the body was given up' });
  t.true(source.destroyed);
  t.is(memory.usedBytes, LIMIT);
});
