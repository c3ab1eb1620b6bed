/**
 * Crowds of clients that do not behave: large bodies at once, in small chunks, without an end. No daemon ends or outgrows its machine,
 * and an ordinary request is answered while they are connected.
 */
import test from 'ava';
import {
  announcedBeyondLimit,
  checkCrowd,
  chunkedBody,
  startCrowd,
  unfinishedHead,
  unfinishedLength,
  type CrowdBody,
} from './client-crowd.js';
import {
  askOrdinary,
  call,
  CALLERS,
  MAX_BODY_BYTES,
  OPERATORS,
  SIDECAR_CALLS,
  startCrowdWorld,
  type Port,
} from './crowd-world.js';

const MIB = 1024 * 1024;

const CALLER_CROWDS: readonly CrowdBody[] = [
  unfinishedLength(240, MAX_BODY_BYTES, MAX_BODY_BYTES),
  unfinishedLength(240, MAX_BODY_BYTES, 16 * 1024),
  chunkedBody(240, MAX_BODY_BYTES - 64 * 1024, 64 * 1024, false),
  chunkedBody(240, MAX_BODY_BYTES - 64 * 1024, 64 * 1024, true),
  chunkedBody(60, 128 * 1024, 1, false),
  chunkedBody(60, 128 * 1024, 1, true),
  announcedBeyondLimit(60, 4 * MIB),
  chunkedBody(60, 4 * MIB, 64 * 1024, false),
  unfinishedHead(240, 15_000, 100),
];
const OPERATOR_CROWDS: readonly CrowdBody[] = [
  unfinishedLength(240, MIB, MIB),
  chunkedBody(60, 128 * 1024, 1, false),
  chunkedBody(40, 8 * MIB, 64 * 1024, false),
  unfinishedHead(240, 15_000, 100),
];

const CASES: readonly (readonly [Port, CrowdBody])[] = [
  ...CALLER_CROWDS.map((crowd) => [CALLERS, crowd] as const),
  ...OPERATOR_CROWDS.map((crowd) => [SIDECAR_CALLS, crowd] as const),
  ...OPERATOR_CROWDS.map((crowd) => [OPERATORS, crowd] as const),
];

for (const [port, crowd] of CASES) {
  test.serial(`${port.name}: ${crowd.name}`, async (t) => {
    const world = await startCrowdWorld(t);
    await checkCrowd(t, port.head, crowd, {
      port: port.portOf(world),
      daemon: port.daemonOf(world),
      ended: world.ended,
      ask: async () => await askOrdinary(world),
    });
  });
}

test.serial(
  'a single body of the largest size is served in calm, whole and in chunks of one byte',
  async (t) => {
    const world = await startCrowdWorld(t);
    const body = Buffer.alloc(MAX_BODY_BYTES, 'b');
    t.is(await call(world.callers, 'POST', '/orders/large', body), 200);
    const [socket] = startCrowd(world.callers, CALLERS.head, chunkedBody(1, MAX_BODY_BYTES / 8, 1, true));
    const status = await new Promise<string>((resolve) => {
      socket?.once('data', (chunk: Buffer) => {
        resolve(chunk.toString('latin1', 9, 12));
      });
    });
    t.is(status, '200');
    socket?.destroy();
  },
);
