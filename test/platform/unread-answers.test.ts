/** Answers to callers that read slowly are bounded in bytes, and readers of one configuration share its text. */
import { connect, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { Random } from '../../lab/random.js';
import { ConfigurationText } from '../../platform/configuration-text.js';
import { JsonServer } from '../../platform/json-server.js';
import { UnreadAnswers } from '../../platform/unread-answers.js';
import { emptyDirectoryState } from '../../src/directory/directory-state.js';
import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import { freePort } from '../loopback.js';

const HOST = '127.0.0.1';
const SEEDS = 10;
const ANSWERS = 300;
const MAX_CONTENT_BYTES = 20_000;
const LIMIT_BYTES = 100_000;

/** An answer to a caller that reads it when the test says so. */
class Answer extends EventEmitter {
  content: Buffer | null = null;
  destroyed = false;

  end(content: Buffer): void {
    this.content = content;
  }

  destroy(): void {
    this.destroyed = true;
    this.content = null;
  }

  read(): void {
    this.content = null;
    this.emit('close');
  }
}

function contentBytes(answers: readonly Answer[]): number {
  const contents = new Set(answers.map(({ content }) => content));
  return [...contents].reduce((bytes, content) => bytes + (content?.length ?? 0), 0);
}

test('answers that are not read stay within the limit, and those of the newest content are never given up', (t) => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const random = new Random(seed);
    const unread = new UnreadAnswers(LIMIT_BYTES);
    const answers: Answer[] = [];
    let content = Buffer.alloc(1);
    for (let at = 0; at < ANSWERS; at += 1) {
      if (random.below(3) === 0) content = Buffer.alloc(1 + random.below(MAX_CONTENT_BYTES));
      const answer = new Answer();
      answers.push(answer);
      unread.send(answer as unknown as ServerResponse, content);
      t.is(unread.bytes, contentBytes(answers), `seed ${seed}`);
      t.true(unread.bytes <= LIMIT_BYTES, `seed ${seed}`);
      t.false(answer.destroyed);
      if (random.below(3) === 0) random.pick(answers).read();
    }
    t.true(answers.some(({ destroyed }) => destroyed));
    for (const answer of answers) answer.read();
    t.is(unread.bytes, 0, `seed ${seed}`);
  }
});

test('a content that is larger than the limit is sent', (t) => {
  const answer = new Answer();
  new UnreadAnswers(LIMIT_BYTES).send(answer as unknown as ServerResponse, Buffer.alloc(2 * LIMIT_BYTES));
  t.false(answer.destroyed);
});

test('the configuration is rendered once for each version of it', (t) => {
  const text = new ConfigurationText();
  const state = emptyDirectoryState();
  const first = text.render(state, 1);
  t.is(text.render(state, 1), first);
  state.revision = 7;
  const second = text.render(state, 2);
  t.is((JSON.parse(second.toString()) as { version: number }).version, 7);
  t.is(text.render(state, 2), second);
});

const LARGE_BYTES = 8_000_000;

async function openReader(t: ExecutionContext, port: number): Promise<Socket> {
  return await new Promise((resolve) => {
    const socket = connect(port, HOST, () => {
      socket.pause();
      socket.write('GET /config HTTP/1.1\r\nHost: h\r\n\r\n');
      resolve(socket);
    });
    socket.on('error', () => undefined);
    t.teardown(() => {
      socket.destroy();
    });
  });
}

test('callers that never read are disconnected when there is newer content, and a caller that reads gets it whole', async (t) => {
  const port = await freePort();
  const served: Buffer[] = [];
  const handle = (): { status: number; content: Buffer } => {
    const content = Buffer.alloc(LARGE_BYTES, served.length % 10);
    served.push(content);
    return { status: 200, content };
  };
  const raise = (error: unknown): never => {
    throw error;
  };
  const limits = { bodyBytes: 1, answerBytes: LARGE_BYTES };
  const server = (await JsonServer.start({ host: HOST, port }, handle, raise, undefined, limits)).unwrap();
  t.teardown(() => {
    server.close();
  });
  const stalled = await openReader(t, port);
  const ended = new Promise((resolve) => stalled.once('close', resolve));
  while (served.length === 0) await new Promise((resolve) => setTimeout(resolve, 5));
  const answer = await fetch(`http://${HOST}:${port}/config`);
  t.is((await answer.arrayBuffer()).byteLength, LARGE_BYTES);
  stalled.resume();
  await ended;
  t.true(stalled.bytesRead < LARGE_BYTES);
});
