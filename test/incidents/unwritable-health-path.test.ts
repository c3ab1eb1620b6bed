/** A health path that no request line can hold is sent encoded: it ended the daemon beside each back end at every heartbeat. */
import test from 'ava';
import { backendCalls } from '../../platform/heartbeat-calls.js';
import { sendAnswer, startScriptedBackend } from './scripted-backend.js';

const HOST = '127.0.0.1';

const HEALTH_PATHS = ['/a b', '/\u{d800}', '/\u{dfff}x', '/é', '/\r\nx: y', '/\u{1f600}'];

for (const path of HEALTH_PATHS) {
  test(`a health path that no request line can hold: ${JSON.stringify(path)}`, async (t) => {
    const lines: string[] = [];
    const { server, port } = await startScriptedBackend((received) => {
      lines.push(received.line);
      sendAnswer(received, '200 OK', 'Instance-Id: i\r\nConnection: close\r\n');
    });
    t.is((await backendCalls({ host: HOST, port }).identify(path, 'one'))?.id, 'i');
    t.regex(lines[0] ?? '', /^GET [\x21-\x7e]+$/);
    server.close();
  });
}
