/**
 * Guards against a late release report that completes the wrong move. Keys were released for a move, the move was cancelled
 * because its target was no longer registered, and the previous owner was granted the keys again. The report of the release
 * arrived after a second move of the keys had begun and was taken for a report on that move, so two back ends held them. A
 * report names the keys, their owner and their fence, and all three were the same in both moves.
 *
 * Reproduced in all seeds, with grants by calls and in heartbeats:
 *   keyed-0|keyed-2 hold the same keys for more than 500 ms
 */
import test from 'ava';
import type { FleetMachine } from '../../lab/sim/fleet/fleet-machine.js';
import type { FleetSpec } from '../../lab/sim/fleet/fleet-spec.js';
import { FleetWorld } from '../../lab/sim/fleet/fleet-world.js';
import type { GrantMode, KeyRange } from '../../src/directory/directory-state.js';
import { incarnationName } from '../../src/model/backend-incarnation.js';

const SERVICE = 'keyed';
const SEEDS = [1, 2, 3, 4, 5, 6];
const SETTLE_MS = 1_000;

/** Time in ms for which a daemon sends to the replicas but receives nothing from them. */
const RECEIVE_CUT_MS = 800;

/** Time in ms in which heartbeats release keys or grant them again, and until every grant has expired. */
const TRANSFER_MS = 1_200;
const GRANT_EXPIRY_MS = 8_000;

function specOf(grantMode: GrantMode): FleetSpec {
  const services = [{ name: SERVICE, keyed: true, backends: 4, grantMode }];
  return { services, traffic: [], restartDelayMs: 20_000, slots: 6, spontaneousEndIntervalMs: null };
}

function incarnationAt({ backend }: FleetMachine): string {
  if (backend === null) throw new Error('invariant broken: no back end');
  return incarnationName(backend);
}

function rangesOf(world: FleetWorld): readonly KeyRange[] {
  return world.directory.leader()?.state.ranges.get(SERVICE) ?? [];
}

/** Returns the first half of the range that a back end owns. */
function firstHalfOf(world: FleetWorld, machine: FleetMachine): { from: number; to: number } {
  const range = rangesOf(world).find(({ owner }) => owner === incarnationAt(machine));
  if (range === undefined) throw new Error('invariant broken: the back end owns no keys');
  return { from: range.from, to: Math.floor((range.from + range.to) / 2) };
}

for (const grantMode of ['invoke', 'heartbeat'] as const) {
  test(`a release for a cancelled move does not complete a later move of the same keys: ${grantMode}`, async (t) => {
    for (const seed of SEEDS) {
      const world = new FleetWorld(seed, specOf(grantMode));
      const [holder, first, second] = world.machines;
      if (holder === undefined || first === undefined || second === undefined) {
        throw new Error('invariant broken: no machines');
      }
      const wait = async (ms: number): Promise<void> => {
        await world.runUntil(world.queue.nowMs + ms);
      };
      await world.start();
      await wait(SETTLE_MS);
      const { from, to } = firstHalfOf(world, holder);
      world.blockSendingToDirectory(holder);
      world.beginMove(SERVICE, from, to, incarnationAt(first));
      await wait(TRANSFER_MS);
      t.false(holder.backend?.keys.holds(from), `seed ${seed}: the keys are released`);
      const target = incarnationAt(first);
      first.endBackend();
      world.endRegistration(target);
      await wait(TRANSFER_MS);
      t.true(holder.backend?.keys.holds(from), `seed ${seed}: the keys are held again`);
      world.beginMove(SERVICE, from, to, incarnationAt(second));
      world.blockReceivingFromDirectory(holder);
      await wait(RECEIVE_CUT_MS);
      world.heal();
      await wait(GRANT_EXPIRY_MS);
      t.deepEqual(world.violations, [], `seed ${seed}`);
      const moved = rangesOf(world).some(
        (range) => range.from === from && range.owner === incarnationAt(second),
      );
      t.true(moved, `seed ${seed}: the keys have moved`);
    }
  });
}
