/**
 * Keys move while processes, replicas or all of them restart or reconnect with outdated knowledge of the owners, in random
 * order: no two back ends hold the same keys, and fences rise with every change of owner.
 */
import test from 'ava';
import type { FleetSpec } from '../../lab/sim/fleet/fleet-spec.js';
import { HEARTBEAT_MS } from '../../lab/sim/fleet/fleet-machine.js';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';
import { KeyFaults } from '../../lab/sim/fleet/key-troubles.js';
import { Random } from '../../lab/random.js';
import { keyedReads } from '../keyed-reads.js';
import type { GrantMode } from '../../src/directory/directory-state.js';

const SERVICE = 'keyed';
const SEEDS = 30;

/** Duration of the faults, time until all earlier grants have expired, and length of the measured period at the end, in ms. */
const FAULTS_MS = 10_000;
const EXPIRY_MS = 20_000;
const MEASURED_MS = 3_000;

const MIN_SERVED_SHARE = 0.9;

/** Longer interval between heartbeats, in every other seed: what is sent between two of them may be outdated. */
const LONG_HEARTBEAT_MS = 1_500;

function specOf(grantMode: GrantMode): FleetSpec {
  return {
    services: [{ name: SERVICE, keyed: true, backends: 4, grantMode }],
    traffic: [keyedReads(SERVICE, { meanIntervalMs: 20, workMs: 40 })],
    restartDelayMs: 1_500,
    slots: 6,
    spontaneousEndIntervalMs: null,
  };
}

for (const grantMode of ['invoke', 'heartbeat'] as const) {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    test(`keys have one owner despite participants with outdated knowledge: ${grantMode}, seed ${seed}`, async (t) => {
      const world = new FleetWorld(seed, specOf(grantMode));
      for (const machine of world.machines)
        machine.heartbeatMs = seed % 2 === 0 ? HEARTBEAT_MS : LONG_HEARTBEAT_MS;
      await world.start();
      const endMs = FLEET_READY_MS + FAULTS_MS + EXPIRY_MS;
      world.startTraffic(endMs);
      const faults = new KeyFaults(world, SERVICE, new Random(seed));
      faults.start(FLEET_READY_MS + FAULTS_MS);
      await world.runUntil(endMs);
      const { injected } = faults;
      t.deepEqual(world.violations, [], injected.join(', '));
      const share = world.servedShare('reads', endMs - MEASURED_MS, endMs - MEASURED_MS / 2);
      t.true(share > MIN_SERVED_SHARE, `${share} served after the faults; ${injected.join(', ')}`);
    });
  }
}
