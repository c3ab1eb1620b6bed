/** An error in handling one call fails that call: it ended the daemon, with all it was doing. */
import { request } from 'node:http';
import test from 'ava';
import { JsonServer, type Call } from '../../platform/json-server.js';
import { freePort } from '../loopback.js';

const HOST = '127.0.0.1';

test('an error in handling one call is answered, and the next call is served', async (t) => {
  const failures: unknown[] = [];
  const port = await freePort();
  const handle = ({ path }: Call): { status: number; headers?: Record<string, string> } => {
    if (path === '/throws') throw new Error('odd');
    return path === '/unwritable' ? { status: 307, headers: { location: 'a\r\nb' } } : { status: 200 };
  };
  const server = (
    await JsonServer.start({ host: HOST, port }, handle, (error) => {
      failures.push(error);
    })
  ).unwrap();
  const statusOf = async (path: string): Promise<number | undefined> =>
    await new Promise((resolve, reject) => {
      request({ host: HOST, port, path, agent: false }, (answer) => {
        answer.resume();
        resolve(answer.statusCode);
      })
        .on('error', reject)
        .end();
    });
  t.is(await statusOf('/throws'), 500);
  t.is(await statusOf('/unwritable'), 500);
  t.is(await statusOf('/sound'), 200);
  t.is(failures.length, 2);
  server.close();
});
