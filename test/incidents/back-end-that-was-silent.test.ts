/**
 * Guards against a back end that is never served again because its heartbeats did not arrive for a while. The daemon gave its
 * registration up, which is sound once its keys have run out, and then ignored all heartbeats of that incarnation for as long as
 * the daemon ran, although the back end was up.
 */
import test from 'ava';
import type { FleetSpec } from '../../lab/sim/fleet/fleet-spec.js';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';
import { Random } from '../../lab/random.js';
import { keyedReads } from '../keyed-reads.js';
import type { GrantMode } from '../../src/directory/directory-state.js';
import { incarnationName } from '../../src/model/backend-incarnation.js';

const SERVICE = 'keyed';
const BACKENDS = 4;
const SEEDS = 4;

/** Duration of a cut in ms, at least and at most; the daemon gives the back end up after 6.4 s. */
const CUT_MS = { min: 5_000, max: 10_000 };

/** Time in ms after the last cut until all is served again, and for which that is observed. */
const RECOVERY_MS = 6_000;
const MEASURED_MS = 3_000;
const MIN_SERVED_SHARE = 0.95;

function specOf(grantMode: GrantMode, healthPath: string | null): FleetSpec {
  return {
    services: [{ name: SERVICE, keyed: true, backends: BACKENDS, grantMode, healthPath }],
    traffic: [keyedReads(SERVICE, { meanIntervalMs: 25, workMs: 20 })],
    restartDelayMs: 1_500,
    slots: 6,
    spontaneousEndIntervalMs: null,
  };
}

for (const grantMode of ['heartbeat', 'invoke'] as const) {
  for (const healthPath of ['/health', null]) {
    test(`a back end whose heartbeats arrive again is served again: ${grantMode}, health path ${healthPath}`, async (t) => {
      for (let seed = 1; seed <= SEEDS; seed += 1) {
        const random = new Random(seed);
        const world = new FleetWorld(seed, specOf(grantMode, healthPath));
        await world.start();
        const lastsMs = world.machines.map(() => CUT_MS.min + random.below(CUT_MS.max - CUT_MS.min));
        const cutsEndMs = FLEET_READY_MS + lastsMs.reduce((sum, ms) => sum + ms, 0);
        const endMs = cutsEndMs + RECOVERY_MS + MEASURED_MS;
        world.startTraffic(endMs);
        for (const [at, machine] of world.machines.entries()) {
          machine.holdHeartbeats();
          await world.runUntil(world.queue.nowMs + (lastsMs[at] ?? 0));
          machine.deliverHeldHeartbeats();
        }
        await world.runUntil(endMs);
        t.deepEqual(world.violations, [], `seed ${seed}`);
        const instances = world.directory.leader()?.state.instances;
        for (const { backend } of world.machines)
          t.true(backend !== null && instances?.has(incarnationName(backend)), `seed ${seed}: registered`);
        const share = world.servedShare('reads', cutsEndMs + RECOVERY_MS, endMs - 500);
        t.true(share > MIN_SERVED_SHARE, `seed ${seed}: ${share} served after the cuts`);
      }
    });
  }
}
