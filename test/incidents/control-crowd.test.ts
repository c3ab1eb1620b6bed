/**
 * Crowds of clients that do not behave, at the operators' interface of control, with its token and without: the replica does not end or
 * outgrow its machine, and answers an operator.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test, { type ExecutionContext } from 'ava';
import { freePort } from '../loopback.js';
import {
  checkCrowd,
  chunkedBody,
  startProcess,
  statusOf,
  unfinishedLength,
  untilAnswered,
  type CrowdBody,
  type CrowdTarget,
} from './client-crowd.js';

const MIB = 1024 * 1024;
const TOKEN = 'token-of-the-control-tests';

async function startWorld(t: ExecutionContext): Promise<CrowdTarget> {
  const folder = mkdtempSync(join(tmpdir(), 'aldertide-crowd-'));
  const ports = { listen: await freePort(), operator: await freePort() };
  const control = await startProcess('./control-process.js', [
    JSON.stringify(ports),
    join(folder, 'data'),
    TOKEN,
  ]);
  let hasEnded = false;
  control.once('exit', () => (hasEnded = true));
  t.teardown(() => {
    control.kill('SIGKILL');
    rmSync(folder, { recursive: true, force: true });
  });
  const ended = (): boolean => hasEnded;
  const options = {
    port: ports.operator,
    path: '/v1/configuration',
    headers: { authorization: `Bearer ${TOKEN}` },
  };
  const ask = async (): Promise<number> => await statusOf(options);
  await untilAnswered(ask, ended);
  return { port: ports.operator, daemon: control, ended, ask };
}

const HEAD = 'PUT /v1/configuration HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n';
const HEADS = [
  ['operators of control', `${HEAD}Authorization: Bearer ${TOKEN}\r\n`],
  ['clients of control without its token', HEAD],
] as const;
const CROWDS: readonly CrowdBody[] = [
  unfinishedLength(240, MIB, 16 * 1024),
  chunkedBody(60, 64 * 1024, 1, false),
  chunkedBody(40, 8 * MIB, 64 * 1024, false),
];

for (const [clients, head] of HEADS) {
  for (const crowd of CROWDS) {
    test.serial(`${clients}: ${crowd.name}`, async (t) => {
      await checkCrowd(t, head, crowd, await startWorld(t));
    });
  }
}
