/**
 * Bytes of one answer are not read as another one, nor another one as its body, where the length of an answer is unclear.
 */
import { createServer } from 'node:net';
import test from 'ava';
import { BackendPool } from '../../src/sidecar/backend-pool.js';

const HOST = '127.0.0.1';
const OWN = 'HTTP/1.1 200 OK\r\nid: ID\r\ncontent-length: 4\r\n\r\ngood';
const SMUGGLED = 'HTTP/1.1 200 OK\r\nid: ID\r\ncontent-length: 3\r\n\r\nbad';

interface Case {
  readonly name: string;
  readonly method?: string;
  /** What the back end sends; `ID` stands for the id of the request. */
  readonly sent: string;
  /** Whether the connection ends after that. */
  readonly ends?: boolean;
  /** Status and body, or why the request has no answer. */
  readonly expected: string;
}

const answerOf = (status: string, headers: string, body = ''): string =>
  `HTTP/1.1 ${status}\r\nid: ID\r\n${headers}\r\n\r\n${body}`;

const CASES: readonly Case[] = [
  {
    name: 'an interim answer that states a length',
    sent: `HTTP/1.1 103 Early\r\ncontent-length: 9\r\n\r\n${OWN}`,
    expected: '200 good',
  },
  {
    name: 'a 304 that states the length of what it leaves out',
    sent: answerOf('304 Not Modified', 'content-length: 9'),
    expected: '304 ',
  },
  {
    name: 'a 204 that states a length',
    sent: answerOf('204 No Content', 'content-length: 9'),
    expected: '204 ',
  },
  {
    name: 'a switch of the protocol',
    sent: `HTTP/1.1 101 Switching\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n${OWN}`,
    expected: 'garbled',
  },
  {
    name: 'a transfer coding other than chunked',
    sent: answerOf('200 OK', 'transfer-encoding: gzip', 'part'),
    ends: true,
    expected: 'garbled',
  },
  {
    name: 'two transfer codings',
    sent: answerOf('200 OK', 'transfer-encoding: gzip\r\ntransfer-encoding: chunked', '0\r\n\r\n'),
    expected: 'garbled',
  },
  {
    name: 'a length and chunks',
    sent: answerOf('200 OK', 'content-length: 4\r\ntransfer-encoding: chunked', '0\r\n\r\n'),
    expected: 'garbled',
  },
  {
    name: 'a chunk size without an end',
    sent: answerOf('200 OK', 'transfer-encoding: chunked', `4;${'x'.repeat(200_000)}`),
    expected: 'garbled',
  },
  {
    name: 'trailers without an end',
    sent: answerOf('200 OK', 'transfer-encoding: chunked', `0\r\n${'a: b\r\n'.repeat(1_000)}`),
    expected: 'garbled',
  },
  {
    name: 'a surplus answer with a body in place of the answer to HEAD',
    method: 'HEAD',
    sent: `HTTP/1.1 200 OK\r\nid: other\r\ncontent-length: ${SMUGGLED.length}\r\n\r\n${SMUGGLED}`,
    expected: 'garbled',
  },
  {
    name: 'an answer to HEAD that states a length',
    method: 'HEAD',
    sent: answerOf('200 OK', 'content-length: 9'),
    expected: '200 ',
  },
];

for (const { name, method = 'GET', sent, ends, expected } of CASES) {
  test(name, async (t) => {
    let count = 0;
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('data', (chunk: Buffer) => {
        const id = /^id: (\S+)/im.exec(chunk.toString())?.[1] ?? '';
        count += 1;
        socket.write((count === 1 ? sent : OWN).replaceAll('ID', id));
        if (ends === true) socket.end();
      });
    });
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
    const { port } = server.address() as { port: number };
    const pool = new BackendPool(
      { host: HOST, port },
      { requestId: 'id' },
      () => performance.now(),
      () => undefined,
    );
    const run = async (requestId: string, usedMethod: string): Promise<string> =>
      await new Promise((resolve) => {
        let answer = '';
        pool.run(
          {
            method: usedMethod,
            path: '/',
            headers: ['id', requestId],
            body: Buffer.alloc(0),
            requestId,
            repeatable: true,
          },
          {
            onAnswer: ({ statusCode }) => (answer = `${statusCode} `),
            onBody: (chunk) => (answer += chunk.toString()),
            onEnd: () => {
              resolve(answer);
            },
            onBroken: resolve,
          },
        );
      });
    t.is(await run('first', method), expected);
    t.is(await run('second', 'GET'), '200 good', 'the next request has its own answer');
    pool.destroy();
    server.close();
  });
}
