/** A configured time-out beyond any timer leaves connections in use: it ended every daemon with its next answer. */
import { Agent, request } from 'node:http';
import test from 'ava';
import { readCommand } from '../../platform/operator-calls.js';
import { CallerServer } from '../../src/sidecar/caller-server.js';
import { freePort } from '../loopback.js';

const HOST = '127.0.0.1';

test('a time-out beyond any timer leaves connections in use', async (t) => {
  const body = JSON.stringify({
    upsert: {
      limits: {
        version: 1,
        max_header_bytes: 10_000,
        max_body_bytes: 10_000,
        header_timeout_s: 1e306,
        idle_timeout_s: 1e306,
      },
    },
  });
  const command = (await readCommand({ method: 'PATCH', path: '/config', headers: {}, body })).unwrap();
  const item = command.kind === 'configure-items' ? command.items[0] : undefined;
  if (item?.kind !== 'limits' || item.definition === null) {
    t.fail('no limits');
    return;
  }
  const { definition } = item;
  const server = new CallerServer({
    limits: () => definition,
    closing: () => false,
    handle: () => ({ statusCode: 404, reason: 'none', retryAfterMs: null }),
  });
  const port = await freePort();
  (await server.listen({ host: HOST, port })).unwrap();
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  for (let count = 0; count < 2; count += 1) {
    const status = await new Promise((resolve, reject) => {
      request({ host: HOST, port, agent }, (answer) => {
        answer.resume().on('end', () => {
          resolve(answer.statusCode);
        });
      })
        .on('error', reject)
        .end();
    });
    t.is(status, 404);
  }
  agent.destroy();
  server.close();
});
