/**
 * Keys were released for a move, the move was called off since its target was registered no more, and the back end was
 * granted them again. The word that they had been released came after they had begun to move once more, and was taken for
 * a word on that move: two back ends held them. The word names the keys, their owner and their fence, and all three were the
 * same in both moves.
 *
 * What settled it, in all seeds, with grants by calls and in heartbeats:
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
const CALM_MS = 1_000;

/** Time in ms for which a daemon sends to the replicas and hears nothing of them. */
const DEAF_MS = 800;

/** Time in which keys are released, or granted again, in heartbeats, and until nothing that was granted is held any more, in ms. */
const RELEASE_MS = 1_200;
const UNTIL_HELD_NO_MORE_MS = 8_000;

function specOf(grantMode: GrantMode): FleetSpec {
  const services = [{ name: SERVICE, keyed: true, backends: 4, grantMode }];
  return { services, traffic: [], restartDelayMs: 20_000, slots: 6, spontaneousEndIntervalMs: null };
}

function lifeAt({ backend }: FleetMachine): string {
  if (backend === null) throw new Error('invariant broken: no back end');
  return incarnationName(backend);
}

function rangesOf(world: FleetWorld): readonly KeyRange[] {
  return world.directory.leader()?.state.ranges.get(SERVICE) ?? [];
}

/** The first half of what a back end owns. */
function halfOf(world: FleetWorld, machine: FleetMachine): { from: number; to: number } {
  const range = rangesOf(world).find(({ owner }) => owner === lifeAt(machine));
  if (range === undefined) throw new Error('invariant broken: it owns nothing');
  return { from: range.from, to: Math.floor((range.from + range.to) / 2) };
}

for (const grantMode of ['invoke', 'heartbeat'] as const) {
  test(`a release of a move that was called off ends no later move of the same keys: ${grantMode}`, async (t) => {
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
      await wait(CALM_MS);
      const { from, to } = halfOf(world, holder);
      world.blockSendingToDirectory(holder);
      world.beginMove(SERVICE, from, to, lifeAt(first));
      await wait(RELEASE_MS);
      t.false(holder.backend?.keys.holds(from), `seed ${seed}: it has released the keys`);
      const target = lifeAt(first);
      first.endBackend();
      world.endRegistration(target);
      await wait(RELEASE_MS);
      t.true(holder.backend?.keys.holds(from), `seed ${seed}: it holds them again`);
      world.beginMove(SERVICE, from, to, lifeAt(second));
      world.blockReceivingFromDirectory(holder);
      await wait(DEAF_MS);
      world.heal();
      await wait(UNTIL_HELD_NO_MORE_MS);
      t.deepEqual(world.violations, [], `seed ${seed}`);
      const moved = rangesOf(world).some((range) => range.from === from && range.owner === lifeAt(second));
      t.true(moved, `seed ${seed}: the keys have moved`);
    }
  });
}
