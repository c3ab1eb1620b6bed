/** A surplus rejection does not answer the same request when it is sent to the back end again. */
import test from 'ava';
import type { BackendRequest } from '../../src/sidecar/backend-connection.js';
import { BackendPool } from '../../src/sidecar/backend-pool.js';
import { sendAnswer, startScriptedBackend } from './scripted-backend.js';

const HOST = '127.0.0.1';

/** Time in ms after which a back end sends a surplus answer, and in which the true answer is late. */
const SURPLUS_MS = 20;
const WORK_MS = 250;

test('a surplus rejection does not answer the same request when it is sent again', async (t) => {
  let sendings = 0;
  const { server, port, connections } = await startScriptedBackend((received) => {
    sendings += 1;
    if (sendings > 1) {
      setTimeout(() => {
        sendAnswer(received, '200 OK');
      }, WORK_MS);
      return;
    }
    const reject = (): void => {
      sendAnswer(received, '503 Service Unavailable', 'Not-Executed: 1\r\n');
    };
    reject();
    setTimeout(reject, 2 * SURPLUS_MS);
  });
  const names = { requestId: 'request-id' };
  const pool = new BackendPool(
    { host: HOST, port },
    names,
    () => performance.now(),
    () => undefined,
  );
  const request: BackendRequest = {
    method: 'POST',
    path: '/',
    headers: ['Request-Id', 'r'],
    body: Buffer.alloc(0),
    requestId: 'r',
    repeatable: false,
  };
  const run = async (): Promise<number> =>
    await new Promise((resolve, reject) => {
      let status = 0;
      pool.run(request, {
        onAnswer: ({ statusCode }) => (status = statusCode),
        onBody: () => undefined,
        onEnd: () => {
          resolve(status);
        },
        onBroken: (_reason, detail) => {
          reject(new Error(detail));
        },
      });
    });
  t.is(await run(), 503);
  t.is(await run(), 200);
  t.is(connections(), 2);
  pool.destroy();
  server.close();
});
