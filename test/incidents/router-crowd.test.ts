/** Crowds of clients that do not behave, at a router: it does not end or outgrow its machine, and answers an ordinary request. */
import test, { type ExecutionContext } from 'ava';
import { freePort } from '../loopback.js';
import { pathOf } from '../router/raw-caller.js';
import { startControl, startScriptedBackend, TOKEN, type Script } from '../router/router-world.js';
import {
  checkCrowd,
  chunkedBody,
  startProcess,
  statusOf,
  unfinishedHead,
  unfinishedLength,
  unreadAnswers,
  untilAnswered,
  type CrowdBody,
  type CrowdTarget,
} from './client-crowd.js';

const MIB = 1024 * 1024;
const SLOTS = 16;

/** Requests of one caller that never reads, and the size of each answer in bytes. */
const UNREAD_REQUESTS = 30;
const UNREAD_BYTES = 256 * 1024;
const UNREAD_PATH = pathOf('unread');

async function startWorld(t: ExecutionContext): Promise<CrowdTarget> {
  const scripts = new Map<string, Script[]>([
    [UNREAD_PATH, [{ bytes: UNREAD_BYTES, stated: true, end: 'nothing' }]],
  ]);
  const backend = await startScriptedBackend(scripts, [], { allowed: false });
  const control = await startControl(backend.port, SLOTS);
  const port = await freePort();
  const router = await startProcess('./router-process.js', [String(port), String(control.port), TOKEN]);
  let hasEnded = false;
  router.once('exit', () => (hasEnded = true));
  t.teardown(() => {
    router.kill('SIGKILL');
    control.close();
    backend.close();
  });
  const ended = (): boolean => hasEnded;
  const ask = async (): Promise<number> => await statusOf({ port, path: pathOf('one') });
  await untilAnswered(ask, ended);
  return { port, daemon: router, ended, ask };
}

const HEAD = `POST ${pathOf('crowd')} HTTP/1.1\r\nHost: h\r\n`;
const UNREAD = `GET ${UNREAD_PATH} HTTP/1.1\r\nHost: h\r\n`;

const CROWDS: readonly CrowdBody[] = [
  unfinishedLength(240, MIB, 16 * 1024),
  chunkedBody(240, MIB - 64 * 1024, 64 * 1024, false),
  chunkedBody(60, 64 * 1024, 1, false),
  chunkedBody(60, 64 * 1024, 1, true),
  chunkedBody(60, 4 * MIB, 64 * 1024, false),
  unfinishedHead(240, 15_000, 100),
  unreadAnswers(60, UNREAD_REQUESTS, `${UNREAD}\r\n`),
];

for (const crowd of CROWDS) {
  test.serial(`callers of a router: ${crowd.name}`, async (t) => {
    await checkCrowd(t, HEAD, crowd, await startWorld(t));
  });
}
