/**
 * Guards against a release report that outlives the process that sent it. A daemon reported a release through a replica
 * that was suspended, and was killed. Its successor adopted the registration and granted the same keys under the same fence.
 * The replica resumed and forwarded the report, which named the owner and the fence of the present grant, so the keys went
 * to another back end while the first one held them.
 */
import test from 'ava';
import type { FleetMachine } from '../../lab/sim/fleet/fleet-machine.js';
import type { FleetSpec } from '../../lab/sim/fleet/fleet-spec.js';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';
import { Random } from '../../lab/random.js';
import type { GrantMode, KeyRange } from '../../src/directory/directory-state.js';
import { incarnationName } from '../../src/model/backend-incarnation.js';
import { DirectoryEvents } from './followed-replica.js';

const SERVICE = 'keyed';
const BACKENDS = 6;
const SEEDS = 6;
const HEARTBEAT_MS = 1_500;

/** Longest time in ms until a release is reported, and until every grant has expired. */
const MAX_RELEASE_MS = 3_000;
const GRANT_EXPIRY_MS = 8_000;
const STEP_MS = 0.5;

/** Time in ms for which a killed daemon is down, and after its successor's grant until the replica resumes. */
const DOWNTIME_MS = { min: 30, max: 900 };
const RESUME_DELAY_MS = { min: 0, max: 600 };

/** Longest time in ms for which the replica is suspended after the daemon has started again. */
const MAX_SUSPENSION_MS = 4_000;

function specOf(grantMode: GrantMode): FleetSpec {
  const services = [{ name: SERVICE, keyed: true, backends: BACKENDS, grantMode }];
  return { services, traffic: [], restartDelayMs: 20_000, slots: 6, spontaneousEndIntervalMs: null };
}

function incarnationAt({ backend }: FleetMachine): string {
  if (backend === null) throw new Error('invariant broken: no back end');
  return incarnationName(backend);
}

function rangeOwnedBy(world: FleetWorld, owner: string): KeyRange {
  const ranges = world.directory.leader()?.state.ranges.get(SERVICE) ?? [];
  const range = ranges.find((known) => known.owner === owner);
  if (range === undefined) throw new Error('invariant broken: the back end owns no keys');
  return range;
}

async function runUntilTrue(
  world: FleetWorld,
  condition: () => boolean,
  maxMs = MAX_RELEASE_MS,
): Promise<boolean> {
  const endMs = world.queue.nowMs + maxMs;
  while (!condition() && world.queue.nowMs < endMs) await world.runUntil(world.queue.nowMs + STEP_MS);
  return condition();
}

for (const grantMode of ['heartbeat', 'invoke'] as const) {
  for (const reported of ['one release', 'repeated releases'] as const) {
    test(`a release that an earlier process reported completes no move: ${grantMode}, ${reported}`, async (t) => {
      for (let seed = 1; seed <= SEEDS; seed += 1) {
        const random = new Random(seed);
        const events = new DirectoryEvents();
        const world = new FleetWorld(seed, specOf(grantMode), events);
        const draw = ({ min, max }: { min: number; max: number }): number => min + random.below(max - min);
        for (const machine of world.machines) machine.heartbeatMs = HEARTBEAT_MS;
        await world.start();
        await world.runUntil(FLEET_READY_MS + 1_000);
        const { process } = await events.findFollower(world);
        const holder = random.pick(world.machines);
        const target = random.pick(world.machines.filter((machine) => machine !== holder));
        const { from, to } = rangeOwnedBy(world, incarnationAt(holder));
        const before = events.releases;
        world.beginMove(SERVICE, from, to, incarnationAt(target));
        t.true(await runUntilTrue(world, () => holder.backend?.keys.holds(from) === false), `seed ${seed}`);
        process.suspend();
        t.true(await runUntilTrue(world, () => events.releases > before), `seed ${seed}: reported`);
        // Reports are repeated after 250 ms.
        await world.runUntil(world.queue.nowMs + (reported === 'one release' ? 20 : 600));
        holder.crash();
        await world.runUntil(world.queue.nowMs + draw(DOWNTIME_MS));
        await holder.start();
        await runUntilTrue(world, () => holder.backend?.keys.holds(from) === true, MAX_SUSPENSION_MS);
        await world.runUntil(world.queue.nowMs + draw(RESUME_DELAY_MS));
        process.thaw();
        await world.runUntil(world.queue.nowMs + GRANT_EXPIRY_MS);
        t.deepEqual(world.violations, [], `seed ${seed}`);
        t.is(
          rangeOwnedBy(world, incarnationAt(target)).movingTo,
          null,
          `seed ${seed}: the move is completed`,
        );
      }
    });
  }
}
