/**
 * A daemon that was started anew granted its back end keys which the process before it had released, and which another
 * back end held. The replica that it followed had a disk that held it up and counted as current for 1.2 s more, so its table
 * was of before the move; the lease came from the leader, by way of the same replica, and was good for the session that
 * both processes shared. Nothing told the daemon that the one was older than the other.
 *
 * What settled it, in all seeds, with grants by calls and in heartbeats:
 *   registered: session 8, table of index 12; the move is complete since index 13
 *   keyed-0 takes 0-16383@11 after keyed-1 held 0-16383@13
 */
import test from 'ava';
import { HEARTBEAT_MS, type FleetMachine } from '../../lab/sim/fleet/fleet-machine.js';
import type { FleetSpec } from '../../lab/sim/fleet/fleet-spec.js';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';
import type { SimReplica } from '../../lab/sim/sim-directory.js';
import type { GrantMode, KeyRange } from '../../src/directory/directory-state.js';
import { incarnationName } from '../../src/model/backend-incarnation.js';
import { bucketOf } from '../../src/model/text-hash.js';

const SERVICE = 'keyed';
const SEEDS = [1, 2, 3, 4, 5, 6];

/** Time for which every back end is granted its keys and nothing moves, in ms. */
const CALM_MS = 1_000;

/** Time for which the disk of a follower stalls; it counts as current for 1,200 ms after it was, in ms. */
const STALL_MS = 1_500;

/** Time after which a daemon that was killed is back, and until nothing that it granted is held any more, in ms. */
const DOWN_MS = 150;
const UNTIL_HELD_NO_MORE_MS = 8_000;

/** How long before a heartbeat a move begins, in ms: it must be known to the daemon, and not to the follower. */
const BEFORE_HEARTBEAT_MS = 40;

/** Pause between looks at what has been done, in ms. */
const LOOK_MS = 0.2;

interface Move {
  readonly machine: FleetMachine;
  readonly replica: SimReplica;
  readonly range: KeyRange;
  readonly target: string;
}

function specOf(grantMode: GrantMode): FleetSpec {
  const services = [{ name: SERVICE, keyed: true, backends: 4, grantMode }];
  return { services, traffic: [], restartDelayMs: 1_500, slots: 6, spontaneousEndIntervalMs: null };
}

function lifeAt({ backend }: FleetMachine): string {
  if (backend === null) throw new Error('invariant broken: no back end');
  return incarnationName(backend);
}

function rangesOf(world: FleetWorld): readonly KeyRange[] {
  return world.directory.leader()?.state.ranges.get(SERVICE) ?? [];
}

/** A machine whose daemon follows a replica that does not lead when it is started anew, and a move away from there. */
function findMove(world: FleetWorld): Move {
  const { replicas } = world.directory;
  for (const machine of world.machines) {
    const replica = replicas[bucketOf(machine.name, replicas.length)];
    const range = rangesOf(world).find(({ owner }) => owner === lifeAt(machine));
    const other = world.machines.find((known) => known !== machine);
    if (replica === undefined || replica.node?.leading === true) continue;
    if (range === undefined || other === undefined) continue;
    return { machine, replica, range, target: lifeAt(other) };
  }
  throw new Error('invariant broken: all daemons follow the leader');
}

async function runUntilSeen(world: FleetWorld, seen: () => boolean): Promise<void> {
  while (!seen()) await world.runUntil(world.queue.nowMs + LOOK_MS);
}

/** A move that begins now is done in the shortest time, also where keys are let go in heartbeats. */
async function runUntilBeforeHeartbeat(world: FleetWorld, { backend }: FleetMachine): Promise<void> {
  const sequence = backend?.sequence;
  await runUntilSeen(world, () => backend?.sequence !== sequence);
  await world.runUntil(world.queue.nowMs + HEARTBEAT_MS - BEFORE_HEARTBEAT_MS);
}

for (const grantMode of ['invoke', 'heartbeat'] as const) {
  test(`a daemon that is back grants nothing by a table older than its lease: ${grantMode}`, async (t) => {
    for (const seed of SEEDS) {
      const world = new FleetWorld(seed, specOf(grantMode));
      await world.start();
      await world.runUntil(FLEET_READY_MS + CALM_MS);
      const { machine, replica, range, target } = findMove(world);
      await runUntilBeforeHeartbeat(world, machine);
      replica.disk.stallNextSync(STALL_MS);
      world.beginMove(SERVICE, range.from, range.to, target);
      await runUntilSeen(world, () =>
        rangesOf(world).some(({ owner, from }) => from === range.from && owner === target),
      );
      machine.crash();
      await world.runUntil(world.queue.nowMs + DOWN_MS);
      await machine.start();
      await world.runUntil(world.queue.nowMs + UNTIL_HELD_NO_MORE_MS);
      t.deepEqual(world.violations, [], `seed ${seed}`);
    }
  });
}
