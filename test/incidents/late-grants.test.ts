/**
 * A back end took a grant of keys that had gone to another one 5 s before, under the fence of before the move. Both held
 * them. The daemon beside it had renewed a range by a call that got no answer, while a part of the range was to move: it
 * kept what it knew of the call under the name of the whole range, the move took that name away, and the part was given
 * away as if nothing of it could come back.
 *
 * What the record of the incident says fits that in each figure; the lines of these seconds were not kept:
 *   28.171 s to 35.506 s  one back end holds 26288 to 26383 (fence 82)
 *   33.215 s to 39.317 s  another one holds 26288 to 26559 (fence 25)
 * And what settled the cause here, in all seeds, with a call that is carried out 5 s late:
 *   keyed-0 takes 0-16383@11 after keyed-1 held 0-8191@13
 */
import test from 'ava';
import type { FleetMachine } from '../../lab/sim/fleet/fleet-machine.js';
import type { FleetSpec } from '../../lab/sim/fleet/fleet-spec.js';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';
import type { KeyRange } from '../../src/directory/directory-state.js';
import { incarnationName } from '../../src/model/backend-incarnation.js';

const SERVICE = 'keyed';
const SEEDS = [1, 2, 3, 4, 5, 6];

/** Time for which every back end is granted its keys and nothing moves, in ms. */
const CALM_MS = 1_000;

/** Longest time in ms after which a call is carried out, and until nothing of it can be held any more. */
const LATEST_MS = 12_000;
const HOLD_MS = 6_500;

/** When all lose power after a move has begun, and for how long, in ms. */
const POWER_LOST_AFTER_MS = 4_000;
const SHORTEST_DOWN_MS = 300;
const DOWN_SPREAD_MS = 400;

/** Pause between looks at whether a renewal is under way, in ms. */
const LOOK_MS = 5;

const SPEC: FleetSpec = {
  services: [{ name: SERVICE, keyed: true, backends: 4, grantMode: 'invoke' }],
  traffic: [],
  restartDelayMs: 1_500,
  slots: 6,
  spontaneousEndIntervalMs: null,
};

interface Holder {
  readonly machine: FleetMachine;
  readonly range: KeyRange;
  readonly other: string;
}

/** A back end that owns keys, what it owns, and one that does not own them. */
function holderOf(world: FleetWorld): Holder {
  const [machine, another] = world.machines;
  if (machine?.backend == null || another?.backend == null) throw new Error('invariant broken: no back ends');
  const owner = incarnationName(machine.backend);
  const ranges = world.directory.leader()?.state.ranges.get(SERVICE);
  const range = ranges?.find((known) => known.owner === owner);
  if (range === undefined) throw new Error('invariant broken: nobody owns keys');
  return { machine, range, other: incarnationName(another.backend) };
}

/** Holds up the next call to a back end, and lets time pass until it is under way. */
async function holdUpNextCall(world: FleetWorld, machine: FleetMachine, heldUpMs: number): Promise<void> {
  const before = machine.delayedCalls;
  machine.callDelayMs = () => heldUpMs;
  while (machine.delayedCalls === before) await world.runUntil(world.queue.nowMs + LOOK_MS);
  machine.callDelayMs = () => null;
}

for (const heldUpMs of [100, 1_000, 5_000, LATEST_MS]) {
  test(`a part of a range leaves while a renewal of the whole is carried out ${heldUpMs} ms late`, async (t) => {
    for (const seed of SEEDS) {
      const world = new FleetWorld(seed, SPEC);
      await world.start();
      await world.runUntil(FLEET_READY_MS + CALM_MS);
      const { machine, range, other } = holderOf(world);
      await holdUpNextCall(world, machine, heldUpMs);
      world.beginMove(SERVICE, range.from, Math.floor((range.from + range.to) / 2), other);
      await world.runUntil(world.queue.nowMs + heldUpMs + HOLD_MS);
      t.deepEqual(world.violations, [], `seed ${seed}`);
      const [moved] = world.directory.leader()?.state.ranges.get(SERVICE) ?? [];
      t.is(moved?.owner, other, `seed ${seed}: the keys have moved`);
    }
  });
}

test('a part of a range leaves while a renewal is carried out 5,000 ms late, and all lose power meanwhile', async (t) => {
  for (const seed of SEEDS) {
    const world = new FleetWorld(seed, SPEC);
    await world.start();
    await world.runUntil(FLEET_READY_MS + CALM_MS);
    const { machine, range, other } = holderOf(world);
    await holdUpNextCall(world, machine, 5_000);
    world.beginMove(SERVICE, range.from, Math.floor((range.from + range.to) / 2), other);
    await world.runUntil(world.queue.nowMs + POWER_LOST_AFTER_MS);
    world.losePower(() => SHORTEST_DOWN_MS + world.random.below(DOWN_SPREAD_MS));
    await world.runUntil(world.queue.nowMs + 5_000 + HOLD_MS);
    t.deepEqual(world.violations, [], `seed ${seed}`);
  }
});
