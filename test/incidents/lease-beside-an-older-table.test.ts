/**
 * Guards against a restarted daemon that grants keys from a table older than its lease. The process before it had released
 * these keys, and another back end held them. The replica that the daemon followed had a stalled disk and counted as
 * current for 1.2 s more, so its table dated from before the move. The lease came from the leader through the same replica
 * and was valid for the session that both processes shared; nothing showed the daemon that the table was older.
 *
 * Reproduced in all seeds, with grants by calls and in heartbeats:
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

/** Time in ms in which every back end is granted its keys and no keys move. */
const SETTLE_MS = 1_000;

/** Time in ms for which a follower's disk stalls; the follower counts as current for 1,200 ms after it last was. */
const STALL_MS = 1_500;

/** Time in ms until a killed daemon restarts, and until every grant that it made has expired. */
const OUTAGE_MS = 150;
const GRANT_EXPIRY_MS = 8_000;

/** Time in ms from the start of a move to the next heartbeat: the daemon must know of the move, the follower must not. */
const HEARTBEAT_MARGIN_MS = 40;

/** Interval in ms between checks of a condition. */
const CHECK_INTERVAL_MS = 0.2;

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

function incarnationAt({ backend }: FleetMachine): string {
  if (backend === null) throw new Error('invariant broken: no back end');
  return incarnationName(backend);
}

function rangesOf(world: FleetWorld): readonly KeyRange[] {
  return world.directory.leader()?.state.ranges.get(SERVICE) ?? [];
}

/** Finds a machine whose daemon follows a replica other than the leader after a restart, and a move away from it. */
function findMove(world: FleetWorld): Move {
  const { replicas } = world.directory;
  for (const machine of world.machines) {
    const replica = replicas[bucketOf(machine.name, replicas.length)];
    const range = rangesOf(world).find(({ owner }) => owner === incarnationAt(machine));
    const other = world.machines.find((known) => known !== machine);
    if (replica === undefined || replica.node?.leading === true) continue;
    if (range === undefined || other === undefined) continue;
    return { machine, replica, range, target: incarnationAt(other) };
  }
  throw new Error('invariant broken: all daemons follow the leader');
}

async function runUntilTrue(world: FleetWorld, condition: () => boolean): Promise<void> {
  while (!condition()) await world.runUntil(world.queue.nowMs + CHECK_INTERVAL_MS);
}

/** Waits until shortly before a heartbeat, so that a move completes soon also where heartbeats release the keys. */
async function runUntilBeforeHeartbeat(world: FleetWorld, { backend }: FleetMachine): Promise<void> {
  const sequence = backend?.sequence;
  await runUntilTrue(world, () => backend?.sequence !== sequence);
  await world.runUntil(world.queue.nowMs + HEARTBEAT_MS - HEARTBEAT_MARGIN_MS);
}

for (const grantMode of ['invoke', 'heartbeat'] as const) {
  test(`a restarted daemon grants no keys from a table older than its lease: ${grantMode}`, async (t) => {
    for (const seed of SEEDS) {
      const world = new FleetWorld(seed, specOf(grantMode));
      await world.start();
      await world.runUntil(FLEET_READY_MS + SETTLE_MS);
      const { machine, replica, range, target } = findMove(world);
      await runUntilBeforeHeartbeat(world, machine);
      replica.disk.stallNextSync(STALL_MS);
      world.beginMove(SERVICE, range.from, range.to, target);
      await runUntilTrue(world, () =>
        rangesOf(world).some(({ owner, from }) => from === range.from && owner === target),
      );
      machine.crash();
      await world.runUntil(world.queue.nowMs + OUTAGE_MS);
      await machine.start();
      await world.runUntil(world.queue.nowMs + GRANT_EXPIRY_MS);
      t.deepEqual(world.violations, [], `seed ${seed}`);
    }
  });
}
