/**
 * Guards against a late heartbeat that ends the incarnation which is up. A cut held the heartbeats of an incarnation up until it
 * had crashed and another one had registered at its address. The daemon got no answer to its probe, since the back end was busy
 * or could not be probed, or had been restarted itself, and took the sender for the successor: the directory gave the keys of
 * the present incarnation away while it held them, and the daemon ignored its heartbeats from then on.
 */
import test from 'ava';
import type { FleetMachine } from '../../lab/sim/fleet/fleet-machine.js';
import type { FleetSpec } from '../../lab/sim/fleet/fleet-spec.js';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';
import { Random } from '../../lab/random.js';
import { keyedReads } from '../keyed-reads.js';
import type { GrantMode } from '../../src/directory/directory-state.js';
import { incarnationName } from '../../src/model/backend-incarnation.js';

const SERVICE = 'keyed';
const BACKENDS = 4;
const SEEDS = 4;
const TRAFFIC_MS = 60_000;

/** Intervals between heartbeats of the incarnation that ends, and of the present one, in ms. */
const EARLIER_HEARTBEAT_MS = 150;
const HEARTBEAT_MS = 1_500;

const MAX_ASSIGNMENT_MS = 20_000;
const OBSERVED_MS = 9_000;

/** Times in ms to draw from: life of the earlier incarnation, and what passes before its heartbeats arrive. */
const EARLIER_LIFE_MS = { min: 30, max: 600 };
const DELAY_MS = { min: 2_000, max: 6_000 };
const DOWNTIME_MS = { min: 30, max: 1_400 };
const LATENESS_MS = { min: 0, max: 1_400 };

interface Variant {
  readonly name: string;
  readonly probes: FleetMachine['probes'];
  readonly healthPath: string | null;
  readonly restartsDaemon: boolean;
  /** Whether all incarnations have one id and differ only by their start times, which probes do not report. */
  readonly reusesId?: boolean;
}

const PROBES: readonly Omit<Variant, 'restartsDaemon'>[] = [
  { name: 'busy', probes: 'busy', healthPath: '/health' },
  { name: 'probes without an answer', probes: 'unanswered', healthPath: '/health' },
  { name: 'no health path', probes: 'answered', healthPath: null },
  { name: 'the same id', probes: 'answered', healthPath: '/health', reusesId: true },
];

const VARIANTS: readonly Variant[] = PROBES.flatMap((probes) => [
  { ...probes, restartsDaemon: false },
  { ...probes, name: `${probes.name}, restarted daemon`, restartsDaemon: true },
]);

function specOf(grantMode: GrantMode, healthPath: string | null): FleetSpec {
  const services = [{ name: SERVICE, keyed: true, backends: BACKENDS, grantMode, healthPath }];
  const reads = keyedReads(SERVICE, { meanIntervalMs: 100, workMs: 20 });
  return { services, traffic: [reads], restartDelayMs: 60_000, slots: 6, spontaneousEndIntervalMs: null };
}

/** Whether the back end of a machine is registered, owns keys and holds them. */
function isServing(world: FleetWorld, { backend }: FleetMachine): boolean {
  const state = world.directory.leader()?.state;
  if (backend === null || state === undefined) return false;
  const name = incarnationName(backend);
  const owned = state.ranges.get(SERVICE)?.find(({ owner }) => owner === name);
  return state.instances.has(name) && owned !== undefined && backend.keys.holds(owned.from);
}

async function runUntilTrue(world: FleetWorld, condition: () => boolean): Promise<boolean> {
  const endMs = world.queue.nowMs + MAX_ASSIGNMENT_MS;
  while (!condition() && world.queue.nowMs < endMs) await world.runUntil(world.queue.nowMs + 50);
  return condition();
}

/** Moves keys to the back end of a machine once it is registered, and waits until it holds them. */
async function assignKeys(world: FleetWorld, machine: FleetMachine): Promise<boolean> {
  const { backend } = machine;
  if (backend === null) return false;
  const name = incarnationName(backend);
  const leader = world.directory.leader();
  if (!(await runUntilTrue(world, () => leader?.state.instances.has(name) === true))) return false;
  if (isServing(world, machine)) return true;
  const range = leader?.state.ranges.get(SERVICE)?.find(({ owner }) => owner !== null);
  if (range === undefined) return false;
  world.beginMove(SERVICE, range.from, range.to, name);
  return await runUntilTrue(world, () => isServing(world, machine));
}

for (const grantMode of ['heartbeat', 'invoke'] as const) {
  for (const { name, probes, healthPath, restartsDaemon, reusesId } of VARIANTS) {
    test(`late heartbeats of an earlier incarnation end none that is up: ${grantMode}, ${name}`, async (t) => {
      for (let seed = 1; seed <= SEEDS; seed += 1) {
        const random = new Random(seed);
        const draw = ({ min, max }: { min: number; max: number }): number => min + random.below(max - min);
        const world = new FleetWorld(seed, specOf(grantMode, healthPath));
        const wait = async (ms: number): Promise<void> => {
          await world.runUntil(world.queue.nowMs + ms);
        };
        await world.start();
        world.startTraffic(FLEET_READY_MS + TRAFFIC_MS);
        const machine = random.pick(world.machines);
        machine.endBackend();
        machine.reusesId = reusesId === true;
        await world.runUntil(FLEET_READY_MS + 500);
        machine.heartbeatMs = EARLIER_HEARTBEAT_MS;
        machine.startBackend({ holdsHeartbeats: true });
        await wait(draw(EARLIER_LIFE_MS));
        machine.endBackend();
        machine.heartbeatMs = HEARTBEAT_MS;
        machine.startBackend();
        t.true(await assignKeys(world, machine), `seed ${seed}: keys are assigned`);
        await wait(draw(DELAY_MS));
        machine.probes = probes;
        machine.delayNextHeartbeat(draw(LATENESS_MS));
        await wait(draw(LATENESS_MS));
        if (restartsDaemon) {
          machine.crash();
          await wait(draw(DOWNTIME_MS));
          await machine.start();
          await wait(draw(LATENESS_MS));
        }
        t.true(machine.deliverHeldHeartbeats() > 0, `seed ${seed}`);
        await wait(OBSERVED_MS);
        t.deepEqual(world.violations, [], `seed ${seed}`);
        t.true(isServing(world, machine), `seed ${seed}: the present incarnation goes on`);
      }
    });
  }
}
