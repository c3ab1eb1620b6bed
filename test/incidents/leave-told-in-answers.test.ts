/** Guards against requests to a back end that has stated its leave in its answers, and not in its heartbeats. */
import test from 'ava';
import { Random } from '../../lab/random.js';
import type { FleetMachine } from '../../lab/sim/fleet/fleet-machine.js';
import type { FleetService, FleetSpec } from '../../lab/sim/fleet/fleet-spec.js';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';
import type { GrantMode } from '../../src/directory/directory-state.js';

const SEEDS = [1, 2, 3];
const TRAFFIC_MS = 10_000;
const END_MS = FLEET_READY_MS + TRAFFIC_MS;
const LAST_KEY = 65_535;

/** Multiplier that spreads consecutive request numbers over the keys. */
const KEY_STEP = 7_919;

/** Time in ms after the start of traffic from which answers state the leave, and time allowed for requests after it. */
const LEAVE_MS = 2_000;
const DRAIN_MS = 2_000;

function specOf(service: FleetService): FleetSpec {
  return {
    services: [service],
    traffic: [
      {
        name: 'reads',
        service: service.name,
        method: 'GET',
        path: (number) => `/reads/${number}`,
        key: (number) => (service.keyed ? (number * KEY_STEP) % (LAST_KEY + 1) : null),
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
}

/** Without another back end, no daemon can choose one. */
const ONE: FleetService = { name: 'plain', keyed: false, backends: 1, grantMode: 'heartbeat' };
const THREE: FleetService = { ...ONE, backends: 3 };

function owners(grantMode: GrantMode): FleetService {
  return { name: 'keyed', keyed: true, backends: 3, grantMode };
}

type Step = (machine: FleetMachine, world: FleetWorld) => void | Promise<void>;

/** Steps at the first back end, at times in ms after the start of traffic. */
interface Scenario {
  readonly name: string;
  readonly service: FleetService;
  readonly steps: readonly (readonly [number, Step])[];
  /** Share of the requests of the last 3 s that must be served. */
  readonly servedShare: number;
  /** Requests that may reach the leaving back end later than the drain time; null for any number. */
  readonly maxLateRuns: number | null;
}

const stateLeave: Step = ({ backend }) => {
  if (backend !== null) backend.statesLeave = true;
};
const killDaemon: Step = (machine) => {
  if (machine.process.alive) machine.crash();
};
const startDaemon: Step = async (machine) => {
  if (!machine.process.alive) await machine.start();
};
const freezeDaemon: Step = (machine) => {
  machine.freeze();
};
const thawDaemon: Step = (machine) => {
  machine.thaw();
};
const cutFromDirectory: Step = (machine, world) => {
  world.cutFromDirectory(machine);
};
const cutAllFromDirectory: Step = (_, world) => {
  for (const machine of world.machines) world.cutFromDirectory(machine);
};
const cutFromMachines: Step = (machine, world) => {
  world.cutFromMachines(machine);
};
const heal: Step = (_, world) => {
  world.heal();
};
const restartBackend: Step = (machine) => {
  machine.restartBackend();
};

const SCENARIOS: readonly Scenario[] = [
  {
    name: 'the only back end',
    service: ONE,
    steps: [[LEAVE_MS, stateLeave]],
    servedShare: 0,
    maxLateRuns: 0,
  },
  {
    name: 'one of three back ends',
    service: THREE,
    steps: [[LEAVE_MS, stateLeave]],
    servedShare: 0.97,
    maxLateRuns: 0,
  },
  {
    name: 'the daemon beside the back end is killed 300 ms later',
    service: ONE,
    steps: [
      [LEAVE_MS, stateLeave],
      [LEAVE_MS + 300, killDaemon],
      [LEAVE_MS + 400, startDaemon],
    ],
    servedShare: 0,
    maxLateRuns: 0,
  },
  {
    name: 'the daemon beside the back end cannot report it, and is killed',
    service: ONE,
    steps: [
      [LEAVE_MS - 100, cutFromDirectory],
      [LEAVE_MS, stateLeave],
      [LEAVE_MS + 300, killDaemon],
      [LEAVE_MS + 400, startDaemon],
    ],
    servedShare: 0,
    maxLateRuns: 1,
  },
  {
    name: 'no daemon reaches the directory, and the one beside the back end is killed again and again',
    service: THREE,
    steps: [
      [LEAVE_MS - 100, cutAllFromDirectory],
      [LEAVE_MS, stateLeave],
      [LEAVE_MS + 700, killDaemon],
      [LEAVE_MS + 900, startDaemon],
      [LEAVE_MS + 2_700, killDaemon],
      [LEAVE_MS + 2_900, startDaemon],
      [LEAVE_MS + 3_500, heal],
    ],
    servedShare: 0.97,
    maxLateRuns: 2,
  },
  {
    name: 'the daemon beside the back end is frozen and cut off',
    service: THREE,
    steps: [
      [LEAVE_MS, stateLeave],
      [LEAVE_MS + 400, freezeDaemon],
      [LEAVE_MS + 1_600, thawDaemon],
      [LEAVE_MS + 2_500, cutFromMachines],
      [LEAVE_MS + 3_500, heal],
    ],
    servedShare: 0.97,
    maxLateRuns: 0,
  },
  {
    name: 'the next incarnation at its address is served',
    service: ONE,
    steps: [
      [LEAVE_MS, stateLeave],
      [LEAVE_MS + 3_500, restartBackend],
    ],
    servedShare: 0.97,
    maxLateRuns: null,
  },
  ...(['heartbeat', 'invoke'] as const).map((grantMode) => ({
    name: `an owner of keys hands them over, ${grantMode}`,
    service: owners(grantMode),
    steps: [[LEAVE_MS, stateLeave]] as const,
    servedShare: 0.97,
    maxLateRuns: 0,
  })),
];

async function runScenario(seed: number, scenario: Scenario): Promise<FleetWorld> {
  const world = new FleetWorld(seed, specOf(scenario.service));
  const [machine] = world.machines;
  if (machine === undefined) throw new Error('invariant broken: no machine');
  await world.start();
  world.startTraffic(END_MS);
  const steps = [...scenario.steps].sort(([left], [right]) => left - right);
  for (const [afterMs, step] of steps) {
    await world.runUntil(FLEET_READY_MS + afterMs);
    await step(machine, world);
  }
  await world.runUntil(END_MS);
  return world;
}

/** Runs at the first back end that began later than the drain time after it had stated its leave. */
function lateRuns(world: FleetWorld): number {
  const [machine] = world.machines;
  const life = machine?.backend?.life;
  const sinceMs = FLEET_READY_MS + LEAVE_MS + DRAIN_MS;
  return world.runsSince('reads', sinceMs).filter(({ instance }) => instance === life).length;
}

for (const scenario of SCENARIOS) {
  test(`a leave told in answers: ${scenario.name}`, async (t) => {
    for (const seed of SEEDS) {
      const world = await runScenario(seed, scenario);
      const violations = world.violations.map(({ promise, detail }) => `${promise}: ${detail}`);
      t.deepEqual(violations.slice(-1), [], `seed ${seed}: ${violations.length} violations`);
      if (scenario.maxLateRuns !== null) {
        const late = lateRuns(world);
        t.true(late <= scenario.maxLateRuns, `seed ${seed}: ${late} late runs`);
      }
      const share = world.servedShare('reads', END_MS - 3_000, END_MS - 500);
      t.true(share >= scenario.servedShare, `seed ${seed}: ${share} served at the end`);
    }
  });
}

/** Random sequences: their number, the steps of each, and the times in ms between which they take place. */
const RANDOM_SCENARIOS = 30;
const STEPS_PER_RANDOM_SCENARIO = 5;
const FIRST_STEP_MS = 1_000;
const LAST_STEP_MS = 6_000;
const RECOVERY_MS = 6_500;

const RANDOM_STEPS: readonly Step[] = [
  killDaemon,
  startDaemon,
  async (machine, world) => {
    await killDaemon(machine, world);
    await startDaemon(machine, world);
  },
  freezeDaemon,
  thawDaemon,
  cutFromDirectory,
  cutAllFromDirectory,
  cutFromMachines,
  heal,
  restartBackend,
];

const recover: Step = async (machine, world) => {
  world.heal();
  machine.thaw();
  await startDaemon(machine, world);
};

function randomScenario(seed: number): Scenario {
  const random = new Random(seed);
  const service = random.pick([ONE, THREE, owners('heartbeat'), owners('invoke')]);
  const steps = Array.from({ length: STEPS_PER_RANDOM_SCENARIO }, (): [number, Step] => [
    FIRST_STEP_MS + random.below(LAST_STEP_MS - FIRST_STEP_MS),
    random.pick(RANDOM_STEPS),
  ]);
  return {
    name: `${service.name}, steps in any order, ${seed}`,
    service,
    steps: [[LEAVE_MS, stateLeave], ...steps, [RECOVERY_MS, recover]],
    servedShare: service.backends === 1 ? 0 : 0.95,
    maxLateRuns: null,
  };
}

for (let seed = 1; seed <= RANDOM_SCENARIOS; seed += 1) {
  const scenario = randomScenario(seed);
  test(`a leave told in answers: ${scenario.name}`, async (t) => {
    const world = await runScenario(seed, scenario);
    const violations = world.violations.map(({ promise, detail }) => `${promise}: ${detail}`);
    t.deepEqual(violations.slice(-1), [], `${violations.length} violations`);
    const share = world.servedShare('reads', END_MS - 2_000, END_MS - 500);
    t.true(share >= scenario.servedShare, `${share} served at the end`);
  });
}
