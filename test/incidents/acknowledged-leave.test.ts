/**
 * A back end said that it leaves, the daemon beside it acknowledged that, and 2,410 ms later the same daemon sent it a
 * request (bound: 2,000 ms). What a daemon acknowledges was kept in the memory of its process only, and an acknowledgement
 * was given whatever had been made of the call. So a daemon that was started anew counted its time from the next heartbeat
 * that it heard, or knew nothing of the leave at all, and the daemons elsewhere went on sending.
 *
 * What settled it: the time of the last request in the record, and beside the real daemon when it is killed 300 ms after
 * the acknowledgement (pauses of heartbeats of 500 ms in the second):
 *   24.959 s  i-c0abdcb95e (...) is leaving: acked by sidecar-kacyiru-3
 *   27.369 s  reaches server i-c0abdcb95e (...) from sidecar-kacyiru-3
 *   26 requests beyond the bound, the last one 2,493 ms after the acknowledgement
 * A back end that started again under the name that it had was never served again, while each of its heartbeats was
 * acknowledged: its counts began anew and were taken for late ones.
 */
import test from 'ava';
import { Random } from '../../lab/random.js';
import type { FleetMachine } from '../../lab/sim/fleet/fleet-machine.js';
import type { FleetSpec } from '../../lab/sim/fleet/fleet-spec.js';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';

const SEEDS = [1, 2, 3];
const PLAYED_MS = 12_000;
const UNTIL_MS = FLEET_READY_MS + PLAYED_MS;

/** Nobody can choose another back end than the one that leaves. */
const SPEC: FleetSpec = {
  services: [
    { name: 'plain', keyed: false, backends: 1, grantMode: 'heartbeat' },
    { name: 'keyed', keyed: true, backends: 2, grantMode: 'heartbeat' },
  ],
  traffic: [
    {
      name: 'reads',
      service: 'plain',
      method: 'GET',
      path: (number) => `/reads/${number}`,
      key: () => null,
      meanIntervalMs: 15,
      startMs: FLEET_READY_MS,
      deadlineMs: 1_500,
      workMs: 20,
      endsBackend: false,
      maxRetries: 1,
    },
  ],
  restartDelayMs: 500,
  slots: 6,
  spontaneousEndIntervalMs: null,
};

type Step = (machine: FleetMachine, world: FleetWorld) => void | Promise<void>;

/** What happens, at times in ms after traffic has begun. */
interface Order {
  readonly name: string;
  readonly sameId?: boolean;
  readonly steps: readonly (readonly [number, Step])[];
  /** Whether a life of the back end must be served at the end. */
  readonly servedAtEnd: boolean;
}

const leave: Step = (machine) => {
  machine.startDraining();
};
const goodbye: Step = (machine) => {
  machine.sendLeave();
};
const killDaemon: Step = (machine) => {
  if (machine.process.alive) machine.crash();
};
const startDaemon: Step = async (machine) => {
  await machine.start();
};
const endBackend: Step = (machine) => {
  machine.endBackend();
};
const reborn: Step = (machine) => {
  machine.restartBackend();
};
const cutOff: Step = (machine, world) => {
  world.cutFromDirectory(machine);
};
const heal: Step = (_, world) => {
  world.heal();
};

/** The next heartbeat comes so many ms after it was sent. */
function late(ms: number): Step {
  return (machine) => {
    machine.delayNextHeartbeat(ms);
  };
}

/** The goodbye of the present life comes so many ms late. */
function lateGoodbye(ms: number): Step {
  return (machine, { queue }) => {
    const { backend } = machine;
    if (backend === null) return;
    queue.at(queue.nowMs + ms, () => {
      machine.sendLeaveOf(backend);
    });
  };
}

const ORDERS: readonly Order[] = [
  { name: 'a leave alone', steps: [[2_000, leave]], servedAtEnd: false },
  { name: 'a goodbye alone', steps: [[2_000, goodbye]], servedAtEnd: false },
  {
    name: 'a leave, and its daemon is killed 300 ms later and started at once',
    steps: [
      [2_000, leave],
      [2_300, killDaemon],
      [2_310, startDaemon],
    ],
    servedAtEnd: false,
  },
  {
    name: 'a leave, and its daemon is killed at once, and again 900 ms later',
    steps: [
      [2_000, leave],
      [2_020, killDaemon],
      [2_100, startDaemon],
      [2_900, killDaemon],
      [3_000, startDaemon],
    ],
    servedAtEnd: false,
  },
  {
    name: 'a leave that the directory cannot be told, and its daemon is killed',
    steps: [
      [1_900, cutOff],
      [2_000, leave],
      [2_300, killDaemon],
      [2_310, startDaemon],
      [2_900, heal],
    ],
    servedAtEnd: false,
  },
  {
    name: 'a goodbye, and its daemon is killed 300 ms later',
    steps: [
      [2_000, goodbye],
      [2_300, killDaemon],
      [2_310, startDaemon],
    ],
    servedAtEnd: false,
  },
  {
    name: 'a goodbye, its daemon is killed, and a heartbeat from before comes late',
    steps: [
      [1_400, late(1_800)],
      [2_000, goodbye],
      [2_300, killDaemon],
      [2_310, startDaemon],
    ],
    servedAtEnd: false,
  },
  {
    name: 'a goodbye that the directory cannot be told, its daemon is killed, and a heartbeat from before comes late',
    steps: [
      [1_400, late(1_800)],
      [1_900, cutOff],
      [2_000, goodbye],
      [2_300, killDaemon],
      [2_310, startDaemon],
      [2_500, heal],
    ],
    servedAtEnd: false,
  },
  {
    name: 'a goodbye to a daemon that has not heard of the life yet, and a heartbeat from before comes late',
    steps: [
      [1_900, killDaemon],
      [1_910, late(1_000)],
      [2_380, startDaemon],
      [2_400, goodbye],
    ],
    servedAtEnd: false,
  },
  {
    name: 'a leave, its daemon is killed, and a heartbeat from before comes first',
    steps: [
      [1_400, late(1_150)],
      [2_000, leave],
      [2_300, killDaemon],
      [2_310, startDaemon],
    ],
    servedAtEnd: false,
  },
  {
    name: 'a daemon that is killed while its back end stays serves it again',
    steps: [
      [2_000, killDaemon],
      [2_100, startDaemon],
    ],
    servedAtEnd: true,
  },
  {
    name: 'a back end that ended and is back under its id is served again',
    sameId: true,
    steps: [[2_000, endBackend]],
    servedAtEnd: true,
  },
  {
    name: 'a back end that starts again at once under its id is served again',
    sameId: true,
    steps: [[2_000, reborn]],
    servedAtEnd: true,
  },
  {
    name: 'a back end that said that it leaves is served again when it is back under its id',
    sameId: true,
    steps: [
      [2_000, leave],
      [4_500, endBackend],
    ],
    servedAtEnd: true,
  },
  {
    name: 'a back end that said goodbye is served again when it is back under its id',
    sameId: true,
    steps: [
      [2_000, goodbye],
      [4_500, endBackend],
    ],
    servedAtEnd: true,
  },
  {
    name: 'the leave of an earlier life that comes late is not taken for one of the life under the same id',
    sameId: true,
    steps: [
      [2_000, late(3_000)],
      [2_001, leave],
      [2_300, reborn],
    ],
    servedAtEnd: true,
  },
  {
    name: 'the goodbye of an earlier life that comes late changes nothing for the life under the same id',
    sameId: true,
    steps: [
      [2_000, lateGoodbye(3_000)],
      [2_300, reborn],
    ],
    servedAtEnd: true,
  },
  {
    name: 'an earlier life that its daemon never heard of says late that it is ready',
    sameId: true,
    steps: [
      [1_900, killDaemon],
      [1_910, late(2_500)],
      [2_300, reborn],
      [2_400, startDaemon],
    ],
    servedAtEnd: true,
  },
];

/** Number of orders drawn at random, and steps of each; the daemon is up and reaches the directory at the end. */
const DRAWN_ORDERS = 60;
const DRAWN_STEPS = 6;

/** When drawn steps come, in ms, and when the end is made good. */
const FIRST_STEP_MS = 1_000;
const STEPS_FOR_MS = 4_500;
const MADE_GOOD_MS = 6_500;

/** Steps that may follow each other in any order; whatever they leave undone is made good at the end. */
const DRAWN: readonly Step[] = [
  leave,
  goodbye,
  reborn,
  cutOff,
  heal,
  late(700),
  late(1_600),
  lateGoodbye(900),
  killDaemon,
  endBackend,
  async (machine) => {
    machine.crash();
    await machine.start();
  },
];

const makeGood: Step = async (machine, world) => {
  world.heal();
  if (!machine.process.alive) await machine.start();
};

function drawOrder(seed: number): Order {
  const random = new Random(seed);
  const times = Array.from({ length: DRAWN_STEPS }, () => FIRST_STEP_MS + random.below(STEPS_FOR_MS));
  times.sort((left, right) => left - right);
  const steps = times.map((atMs): readonly [number, Step] => [atMs, random.pick(DRAWN)]);
  const name = `drawn ${seed}`;
  return {
    name,
    sameId: random.below(2) === 0,
    steps: [...steps, [MADE_GOOD_MS, makeGood]],
    servedAtEnd: false,
  };
}

/** Whether the life that is there at the end has said nothing of a leave. */
function stays({ backend }: FleetMachine): boolean {
  return backend !== null && !backend.draining && !backend.hasAnnouncedLeave;
}

async function play(seed: number, { sameId, steps }: Order): Promise<FleetWorld> {
  const world = new FleetWorld(seed, SPEC);
  const [machine] = world.machines;
  if (machine === undefined) throw new Error('invariant broken: no machine');
  machine.reusesId = sameId === true;
  await world.start();
  world.startTraffic(UNTIL_MS);
  for (const [afterMs, step] of steps) {
    await world.runUntil(FLEET_READY_MS + afterMs);
    await step(machine, world);
  }
  await world.runUntil(UNTIL_MS);
  return world;
}

for (const order of ORDERS) {
  test(`acknowledged leaves: ${order.name}`, async (t) => {
    for (const seed of SEEDS) {
      const world = await play(seed, order);
      const broken = world.violations.map(({ promise, detail }) => `${promise}: ${detail}`);
      t.deepEqual(broken.slice(-1), [], `seed ${seed}: ${broken.length} broken`);
      if (!order.servedAtEnd) continue;
      const share = world.servedShare('reads', UNTIL_MS - 3_000, UNTIL_MS - 500);
      t.true(share > 0.95, `seed ${seed}: ${share} served at the end`);
    }
  });
}

for (let seed = 1; seed <= DRAWN_ORDERS; seed += 1) {
  test(`acknowledged leaves: steps in any order, ${seed}`, async (t) => {
    const world = await play(seed, drawOrder(seed));
    const broken = world.violations.map(({ promise, detail }) => `${promise}: ${detail}`);
    t.deepEqual(broken.slice(-1), [], `${broken.length} broken`);
    const [machine] = world.machines;
    if (machine === undefined || !stays(machine)) return;
    const share = world.servedShare('reads', UNTIL_MS - 2_500, UNTIL_MS - 500);
    t.true(share > 0.95, `${share} served at the end`);
  });
}

/** After a loss of power back ends are back a little before their daemons; times in ms after traffic has begun. */
const POWER_LOST_MS = 2_000;
const DAEMON_BACK_MS = 3_100;
const FIRST_WORD_MS = 3_500;
const SECOND_WORD_MS = 4_000;

test('a life that told a daemon that was away is served on the first heartbeat that arrives', async (t) => {
  for (const seed of SEEDS) {
    const world = new FleetWorld(seed, SPEC);
    const [machine] = world.machines;
    if (machine === undefined) throw new Error('invariant broken: no machine');
    await world.start();
    world.startTraffic(UNTIL_MS);
    await world.runUntil(FLEET_READY_MS + POWER_LOST_MS);
    machine.crash();
    machine.restartBackend();
    await world.runUntil(FLEET_READY_MS + DAEMON_BACK_MS);
    await machine.start();
    await world.runUntil(FLEET_READY_MS + SECOND_WORD_MS);
    const runs = world.runsSince('reads', FLEET_READY_MS + FIRST_WORD_MS);
    t.true(runs.length > 0, `seed ${seed}: nothing ran before the second heartbeat`);
  }
});
