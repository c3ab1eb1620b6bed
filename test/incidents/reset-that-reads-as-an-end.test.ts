/**
 * A reset behind bytes that were not read yet is reported by Node as the end of the connection: answers without a length that
 * were cut off by one looked whole.
 */
import { fork } from 'node:child_process';
import test from 'ava';
import { BackendConnection } from '../../src/sidecar/backend-connection.js';
import { headerValue } from '../../src/sidecar/header-dialect.js';
import { freePort } from '../loopback.js';

const HOST = '127.0.0.1';
const SEED = 70;
const REQUESTS = 400;
const nowMs = (): number => performance.now();

/** `whole`, or why there is no answer. */
async function ask(port: number, path: string, requestId: string): Promise<string> {
  return await new Promise((resolve) => {
    const names = { requestId: 'id' };
    const connection = new BackendConnection({ host: HOST, port }, names, nowMs, () => undefined);
    let missing = 0;
    const request = { method: 'GET', path, headers: ['id', requestId], body: Buffer.alloc(0) };
    connection.run(
      { ...request, requestId, repeatable: true },
      {
        onAnswer: ({ headers }) => (missing = Number(headerValue(headers, 'x-bytes'))),
        onBody: (chunk) => (missing -= chunk.length),
        onEnd: () => {
          connection.destroy();
          resolve(missing === 0 ? 'whole' : `ended with ${missing} bytes missing`);
        },
        onBroken: (reason) => {
          resolve(reason);
        },
      },
    );
  });
}

test('no reset is taken for the end of an answer, and every end is', async (t) => {
  const port = await freePort();
  const child = fork(new URL('./resetting-backend.js', import.meta.url), [String(port), String(SEED)]);
  await new Promise((resolve) => child.once('message', resolve));
  t.teardown(() => child.kill('SIGKILL'));
  for (let count = 0; count < REQUESTS; count += 1) {
    t.is(await ask(port, '/reset', `reset-${count}`), 'broken', `request ${count}`);
    t.is(await ask(port, '/end', `end-${count}`), 'whole', `request ${count}`);
  }
});
