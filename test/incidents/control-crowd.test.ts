/**
 * Crowds of clients that do not behave, at the operators' interface of control, with its token and without: the replica does not end or
 * outgrow its machine, and answers an operator.
 */
import type { ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test, { type ExecutionContext } from 'ava';
import { HOST } from '../fuzz/loopback-daemons.js';
import { freePort } from '../loopback.js';
import {
  chunkedBody,
  MACHINE_BYTES,
  OTHER_DESCRIPTORS,
  settleCrowd,
  startCrowd,
  startProcess,
  turn,
  unfinishedLength,
  type CrowdBody,
} from './client-crowd.js';

const MIB = 1024 * 1024;
const TOKEN = 'token-of-the-control-tests';

interface World {
  readonly port: number;
  readonly control: ChildProcess;
  readonly ended: () => boolean;
}

async function startWorld(t: ExecutionContext): Promise<World> {
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
  const world = { port: ports.operator, control, ended: () => hasEnded };
  await untilAnswered(world);
  return world;
}

async function ask(port: number): Promise<number> {
  const headers = { authorization: `Bearer ${TOKEN}` };
  return await new Promise((resolve) => {
    const sent = request({ host: HOST, port, path: '/v1/configuration', headers, agent: false }, (answer) => {
      answer.resume();
      answer.on('close', () => {
        resolve(answer.complete ? (answer.statusCode ?? 0) : 0);
      });
    });
    sent.on('error', () => {
      resolve(0);
    });
    sent.end();
  });
}

async function untilAnswered({ port, ended }: World): Promise<number> {
  for (;;) {
    const status = await ask(port);
    if (status === 200 || ended()) return status;
    await turn();
  }
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
      const world = await startWorld(t);
      const sockets = startCrowd(world.port, head, crowd);
      t.teardown(() => {
        for (const socket of sockets) socket.destroy();
      });
      const { memoryBytes, descriptors } = await settleCrowd(sockets, world.control, world.ended);
      t.log(`${Math.round(memoryBytes / MIB)} MB, ${descriptors} descriptors`);
      t.false(world.ended(), 'the replica has ended');
      t.true(memoryBytes <= MACHINE_BYTES, `${memoryBytes} bytes`);
      t.true(descriptors <= crowd.clients + OTHER_DESCRIPTORS, `${descriptors} descriptors`);
      t.is(await untilAnswered(world), 200);
    });
  }
}
