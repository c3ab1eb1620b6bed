/** A surplus answer of a back end to a key call does not count as the answer to the next one. */
import test from 'ava';
import { backendCalls } from '../../platform/heartbeat-calls.js';
import { sendAnswer, startScriptedBackend } from './scripted-backend.js';

const RANGE = { from: 0, to: 9, fence: 7, handover: '' };
const HOST = '127.0.0.1';

/** Time in ms after which a back end sends a surplus answer, and in which the true answer is late. */
const SURPLUS_MS = 20;
const WORK_MS = 250;

for (const returnsIds of [true, false]) {
  const name = returnsIds ? 'with ids' : 'without ids';
  test(`a surplus answer to a grant does not end a release that waits for work (${name})`, async (t) => {
    const { server, port } = await startScriptedBackend((received) => {
      const answered = returnsIds ? received : { ...received, requestId: null };
      if (received.line.endsWith('/grant')) {
        sendAnswer(answered, '200 OK');
        setTimeout(() => {
          sendAnswer(answered, '200 OK');
        }, SURPLUS_MS);
        return;
      }
      setTimeout(() => {
        sendAnswer(answered, '200 OK', 'Handover: after-the-work\r\n');
      }, WORK_MS);
    });
    const calls = backendCalls({ host: HOST, port });
    t.is(await calls.grant('i-1', RANGE, 5_000), 'granted');
    t.is(await calls.release('i-1', RANGE), 'after-the-work');
    server.close();
  });
}
