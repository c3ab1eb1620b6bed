/**
 * Guards against requests that reach a back end later than the bound of 2,000 ms after its leave was acknowledged. A daemon
 * kept acknowledgements in process memory only, and acknowledged a leave whatever it had made of the call. After a restart
 * it counted the time from the next heartbeat it received, or did not know of the leave at all, and other daemons kept
 * sending. One request arrived 2,410 ms after the acknowledgement. With the real daemon killed 300 ms after the
 * acknowledgement (heartbeats 500 ms apart), 26 requests were beyond the bound, the last one at 2,493 ms:
 *   24.959 s  i-c0abdcb95e (...) is leaving: acked by sidecar-kacyiru-3
 *   27.369 s  reaches server i-c0abdcb95e (...) from sidecar-kacyiru-3
 *
 * Also guards against a back end that restarts under the same id and is never served, although each of its heartbeats is
 * acknowledged: its sequence numbers began again, so the daemon took them for delayed heartbeats.
 */
import test from 'ava';
import { Random } from '../../lab/random.js';
import type { FleetMachine } from '../../lab/sim/fleet/fleet-machine.js';
import type { FleetSpec } from '../../lab/sim/fleet/fleet-spec.js';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';

const SEEDS = [1, 2, 3];
const TRAFFIC_MS = 12_000;
const END_MS = FLEET_READY_MS + TRAFFIC_MS;

/** The leaving back end is the only one of its service, so that no daemon can choose another. */
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

/** A sequence of steps, at times in ms after the start of traffic. */
interface Scenario {
  readonly name: string;
  readonly sameId?: boolean;
  readonly steps: readonly (readonly [number, Step])[];
  /** Whether an incarnation of the back end must receive requests at the end. */
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
const restartBackend: Step = (machine) => {
  machine.restartBackend();
};
const cutFromDirectory: Step = (machine, world) => {
  world.cutFromDirectory(machine);
};
const heal: Step = (_, world) => {
  world.heal();
};

/** Delays the next heartbeat by `ms`. */
function delayHeartbeat(ms: number): Step {
  return (machine) => {
    machine.delayNextHeartbeat(ms);
  };
}

/** Sends the goodbye of the current incarnation `ms` late. */
function delayGoodbye(ms: number): Step {
  return (machine, { queue }) => {
    const { backend } = machine;
    if (backend === null) return;
    queue.at(queue.nowMs + ms, () => {
      machine.sendLeaveOf(backend);
    });
  };
}

const SCENARIOS: readonly Scenario[] = [
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
    name: 'a leave that cannot be reported to the directory, and its daemon is killed',
    steps: [
      [1_900, cutFromDirectory],
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
    name: 'a goodbye, its daemon is killed, and an earlier heartbeat arrives late',
    steps: [
      [1_400, delayHeartbeat(1_800)],
      [2_000, goodbye],
      [2_300, killDaemon],
      [2_310, startDaemon],
    ],
    servedAtEnd: false,
  },
  {
    name: 'a goodbye that cannot be reported to the directory, its daemon is killed, and an earlier heartbeat arrives late',
    steps: [
      [1_400, delayHeartbeat(1_800)],
      [1_900, cutFromDirectory],
      [2_000, goodbye],
      [2_300, killDaemon],
      [2_310, startDaemon],
      [2_500, heal],
    ],
    servedAtEnd: false,
  },
  {
    name: 'a goodbye to a daemon that does not know the incarnation yet, and an earlier heartbeat arrives late',
    steps: [
      [1_900, killDaemon],
      [1_910, delayHeartbeat(1_000)],
      [2_380, startDaemon],
      [2_400, goodbye],
    ],
    servedAtEnd: false,
  },
  {
    name: 'a leave, its daemon is killed, and an earlier heartbeat arrives first',
    steps: [
      [1_400, delayHeartbeat(1_150)],
      [2_000, leave],
      [2_300, killDaemon],
      [2_310, startDaemon],
    ],
    servedAtEnd: false,
  },
  {
    name: 'a daemon that is killed and restarted beside a running back end serves it again',
    steps: [
      [2_000, killDaemon],
      [2_100, startDaemon],
    ],
    servedAtEnd: true,
  },
  {
    name: 'a back end that ended and restarted under its id is served again',
    sameId: true,
    steps: [[2_000, endBackend]],
    servedAtEnd: true,
  },
  {
    name: 'a back end that restarts immediately under its id is served again',
    sameId: true,
    steps: [[2_000, restartBackend]],
    servedAtEnd: true,
  },
  {
    name: 'a back end that announced its leave is served again after a restart under its id',
    sameId: true,
    steps: [
      [2_000, leave],
      [4_500, endBackend],
    ],
    servedAtEnd: true,
  },
  {
    name: 'a back end that said goodbye is served again after a restart under its id',
    sameId: true,
    steps: [
      [2_000, goodbye],
      [4_500, endBackend],
    ],
    servedAtEnd: true,
  },
  {
    name: 'a late leave of an earlier incarnation is not applied to the one under the same id',
    sameId: true,
    steps: [
      [2_000, delayHeartbeat(3_000)],
      [2_001, leave],
      [2_300, restartBackend],
    ],
    servedAtEnd: true,
  },
  {
    name: 'a late goodbye of an earlier incarnation does not affect the one under the same id',
    sameId: true,
    steps: [
      [2_000, delayGoodbye(3_000)],
      [2_300, restartBackend],
    ],
    servedAtEnd: true,
  },
  {
    name: 'a late ready heartbeat arrives from an earlier incarnation that the daemon never knew',
    sameId: true,
    steps: [
      [1_900, killDaemon],
      [1_910, delayHeartbeat(2_500)],
      [2_300, restartBackend],
      [2_400, startDaemon],
    ],
    servedAtEnd: true,
  },
];

/** Number of random sequences, and steps of each; at the end the daemon is up and reaches the directory. */
const RANDOM_SCENARIOS = 60;
const STEPS_PER_RANDOM_SCENARIO = 6;

/** Times of the random steps, in ms, and of the final recovery step. */
const FIRST_STEP_MS = 1_000;
const STEPS_SPAN_MS = 4_500;
const RECOVERY_MS = 6_500;

/** Steps that may follow each other in any order; the final recovery step heals cuts and restarts the daemon. */
const RANDOM_STEPS: readonly Step[] = [
  leave,
  goodbye,
  restartBackend,
  cutFromDirectory,
  heal,
  delayHeartbeat(700),
  delayHeartbeat(1_600),
  delayGoodbye(900),
  killDaemon,
  endBackend,
  async (machine) => {
    machine.crash();
    await machine.start();
  },
];

const recover: Step = async (machine, world) => {
  world.heal();
  if (!machine.process.alive) await machine.start();
};

function randomScenario(seed: number): Scenario {
  const random = new Random(seed);
  const times = Array.from(
    { length: STEPS_PER_RANDOM_SCENARIO },
    () => FIRST_STEP_MS + random.below(STEPS_SPAN_MS),
  );
  times.sort((left, right) => left - right);
  const steps = times.map((atMs): readonly [number, Step] => [atMs, random.pick(RANDOM_STEPS)]);
  const name = `random ${seed}`;
  return {
    name,
    sameId: random.below(2) === 0,
    steps: [...steps, [RECOVERY_MS, recover]],
    servedAtEnd: false,
  };
}

/** Whether the incarnation at the end has announced neither a leave nor a goodbye. */
function remainsInService({ backend }: FleetMachine): boolean {
  return backend !== null && !backend.draining && !backend.hasAnnouncedLeave;
}

async function runScenario(seed: number, { sameId, steps }: Scenario): Promise<FleetWorld> {
  const world = new FleetWorld(seed, SPEC);
  const [machine] = world.machines;
  if (machine === undefined) throw new Error('invariant broken: no machine');
  machine.reusesId = sameId === true;
  await world.start();
  world.startTraffic(END_MS);
  for (const [afterMs, step] of steps) {
    await world.runUntil(FLEET_READY_MS + afterMs);
    await step(machine, world);
  }
  await world.runUntil(END_MS);
  return world;
}

for (const scenario of SCENARIOS) {
  test(`acknowledged leaves: ${scenario.name}`, async (t) => {
    for (const seed of SEEDS) {
      const world = await runScenario(seed, scenario);
      const violations = world.violations.map(({ promise, detail }) => `${promise}: ${detail}`);
      t.deepEqual(violations.slice(-1), [], `seed ${seed}: ${violations.length} violations`);
      if (!scenario.servedAtEnd) continue;
      const share = world.servedShare('reads', END_MS - 3_000, END_MS - 500);
      t.true(share > 0.95, `seed ${seed}: ${share} served at the end`);
    }
  });
}

for (let seed = 1; seed <= RANDOM_SCENARIOS; seed += 1) {
  test(`acknowledged leaves: steps in any order, ${seed}`, async (t) => {
    const world = await runScenario(seed, randomScenario(seed));
    const violations = world.violations.map(({ promise, detail }) => `${promise}: ${detail}`);
    t.deepEqual(violations.slice(-1), [], `${violations.length} violations`);
    const [machine] = world.machines;
    if (machine === undefined || !remainsInService(machine)) return;
    const share = world.servedShare('reads', END_MS - 2_500, END_MS - 500);
    t.true(share > 0.95, `${share} served at the end`);
  });
}

/** After a power loss back ends restart slightly before their daemons; times in ms after the start of traffic. */
const POWER_LOSS_MS = 2_000;
const DAEMON_RESTART_MS = 3_100;
const FIRST_HEARTBEAT_MS = 3_500;
const SECOND_HEARTBEAT_MS = 4_000;

test('an incarnation whose first heartbeats found no daemon is served from the first one that arrives', async (t) => {
  for (const seed of SEEDS) {
    const world = new FleetWorld(seed, SPEC);
    const [machine] = world.machines;
    if (machine === undefined) throw new Error('invariant broken: no machine');
    await world.start();
    world.startTraffic(END_MS);
    await world.runUntil(FLEET_READY_MS + POWER_LOSS_MS);
    machine.crash();
    machine.restartBackend();
    await world.runUntil(FLEET_READY_MS + DAEMON_RESTART_MS);
    await machine.start();
    await world.runUntil(FLEET_READY_MS + SECOND_HEARTBEAT_MS);
    const runs = world.runsSince('reads', FLEET_READY_MS + FIRST_HEARTBEAT_MS);
    t.true(runs.length > 0, `seed ${seed}: no request ran before the second heartbeat`);
  }
});
