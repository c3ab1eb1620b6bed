/**
 * Guards against callers whose bodies come in chunks of one byte and take all of a daemon's processor time: ordinary requests are
 * answered beside them, and once they have left.
 */
import test from 'ava';
import { chunkedBody, startCrowd } from './client-crowd.js';
import { CALLERS, SIDECAR_CALLS, askOrdinary, startCrowdWorld, type Port } from './crowd-world.js';

const CLIENTS = 80;
const BODY_BYTES = 900_000;
const ORDINARY_REQUESTS = 8;
const OK = 200;

const PORTS: readonly Port[] = [CALLERS, SIDECAR_CALLS];

const CROWD = chunkedBody(CLIENTS, BODY_BYTES, 1, false);

for (const port of PORTS) {
  test.serial(`${port.name}: ${CROWD.name}, beside ordinary requests`, async (t) => {
    const world = await startCrowdWorld(t);
    const sockets = startCrowd(port.portOf(world), port.head, CROWD);
    const beside: number[] = [];
    for (let at = 0; at < ORDINARY_REQUESTS; at += 1) beside.push(await askOrdinary(world));
    for (const socket of sockets) socket.destroy();
    const after: number[] = [];
    for (let at = 0; at < ORDINARY_REQUESTS; at += 1) after.push(await askOrdinary(world));
    t.false(world.ended(), 'a daemon has ended');
    t.deepEqual([beside, after], [Array(ORDINARY_REQUESTS).fill(OK), Array(ORDINARY_REQUESTS).fill(OK)]);
  });
}
