/** Guards against requests to a back end beyond the limit that it names in its answers. */
import test from 'ava';
import { Random } from '../../lab/random.js';
import type { FleetMachine } from '../../lab/sim/fleet/fleet-machine.js';
import type { FleetService, FleetSpec } from '../../lab/sim/fleet/fleet-spec.js';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';
import type { GrantMode } from '../../src/directory/directory-state.js';

const SEEDS = [1, 2, 3];
const TRAFFIC_MS = 18_000;
const END_MS = FLEET_READY_MS + TRAFFIC_MS;
const LAST_KEY = 65_535;
const MS_PER_SECOND = 1_000;

/** Time in ms after the start of traffic at which back ends name a limit, and from which it must be used. */
const NAMED_MS = 2_000;
const SETTLED_MS = 6_000;

/** Multiplier that spreads consecutive request numbers over the keys. */
const KEY_STEP = 7_919;

function specOf(service: FleetService, meanIntervalMs: number): FleetSpec {
  return {
    services: [service],
    traffic: [
      {
        name: 'reads',
        service: service.name,
        method: 'GET',
        path: (number) => `/reads/${number}`,
        key: (number) => (service.keyed ? (number * KEY_STEP) % (LAST_KEY + 1) : null),
        meanIntervalMs,
        startMs: FLEET_READY_MS,
        deadlineMs: 1_500,
        workMs: 40,
        endsBackend: false,
        maxRetries: 1,
      },
    ],
    restartDelayMs: 500,
    slots: 6,
    spontaneousEndIntervalMs: null,
  };
}

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
  readonly meanIntervalMs?: number;
  readonly steps: readonly (readonly [number, Step])[];
  /** Share of the requests of the last 4 s that must be served. */
  readonly servedShare: number;
  /** Share of the limit that must be used from `SETTLED_MS` to the end; null if it does not hold for all of that time. */
  readonly used: { readonly perSecond: number; readonly share: number } | null;
}

function limit(text: string | null): Step {
  return ({ backend }) => backend?.stateLimit(text);
}
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
const cutFromMachines: Step = (machine, world) => {
  world.cutFromMachines(machine);
};
const cutFromDirectory: Step = (machine, world) => {
  world.cutFromDirectory(machine);
};
const heal: Step = (_, world) => {
  world.heal();
};
const restartBackend: Step = (machine) => {
  machine.restartBackend();
};

/** Kills and restarts the daemon beside the back end several times. */
function restarts(count: number, firstMs: number, everyMs: number, downMs: number): [number, Step][] {
  return Array.from({ length: count }, (_, at): [number, Step][] => [
    [firstMs + at * everyMs, killDaemon],
    [firstMs + at * everyMs + downMs, startDaemon],
  ]).flat();
}

/** Kills the daemons of all other machines in turn, and restarts each. */
const restartOthers: Step = async (machine, world) => {
  for (const other of world.machines) {
    if (other === machine || !other.process.alive) continue;
    other.crash();
    await other.start();
  }
};

const SCENARIOS: readonly Scenario[] = [
  {
    name: 'one of three back ends',
    service: THREE,
    steps: [[NAMED_MS, limit('4')]],
    servedShare: 0.97,
    used: null,
  },
  {
    name: 'the only back end',
    service: ONE,
    steps: [[NAMED_MS, limit('4')]],
    servedShare: 0.02,
    used: { perSecond: 4, share: 0.85 },
  },
  ...['2.5', '0.5', '0.25'].map((text) => ({
    name: `the only back end, ${text} a second`,
    service: ONE,
    steps: [[NAMED_MS, limit(text)]] as const,
    servedShare: 0,
    used: { perSecond: Number(text), share: 0.75 },
  })),
  {
    name: 'no requests at all, and then as many as before',
    service: ONE,
    steps: [
      [NAMED_MS, limit('0')],
      [NAMED_MS + 5_000, limit(null)],
    ],
    servedShare: 0.97,
    used: null,
  },
  {
    name: 'a limit that is lowered, raised and lifted',
    service: ONE,
    steps: [
      [NAMED_MS, limit('12')],
      [NAMED_MS + 3_000, limit('2')],
      [NAMED_MS + 6_000, limit('6.5')],
      [NAMED_MS + 8_500, limit(null)],
    ],
    servedShare: 0.97,
    used: null,
  },
  {
    name: 'statements that cannot be read do not lift a limit',
    service: ONE,
    steps: [
      [NAMED_MS, limit('4')],
      [NAMED_MS + 3_000, limit('many')],
      [NAMED_MS + 6_000, limit('')],
      [NAMED_MS + 9_000, limit('-1')],
    ],
    servedShare: 0,
    used: { perSecond: 4, share: 0.85 },
  },
  {
    name: 'the limit of an incarnation does not apply to the next one at its address',
    service: ONE,
    steps: [
      [NAMED_MS, limit('0.5')],
      [NAMED_MS + 4_000, restartBackend],
    ],
    servedShare: 0.97,
    used: null,
  },
  {
    name: 'the daemon beside the only back end is killed and restarted again and again',
    service: ONE,
    steps: [[NAMED_MS, limit('4')], ...restarts(8, NAMED_MS + 800, 1_100, 100)],
    servedShare: 0,
    used: null,
  },
  {
    name: 'the daemon beside a back end that has just started is killed and restarted again and again',
    service: ONE,
    steps: [
      [NAMED_MS, restartBackend],
      [NAMED_MS + 100, limit('0.5')],
      ...restarts(5, NAMED_MS + 900, 700, 100),
    ],
    servedShare: 0,
    used: null,
  },
  {
    name: 'the daemon beside a back end that accepts nothing is killed and restarted again and again',
    service: ONE,
    steps: [[NAMED_MS, limit('0')], ...restarts(8, NAMED_MS + 800, 1_100, 100)],
    servedShare: 0,
    used: null,
  },
  {
    name: 'the daemon beside one of three back ends is killed, and the other daemons after it',
    service: THREE,
    steps: [
      [NAMED_MS, limit('4')],
      ...restarts(3, NAMED_MS + 1_000, 3_000, 300),
      [NAMED_MS + 2_000, restartOthers],
      [NAMED_MS + 5_500, restartOthers],
    ],
    servedShare: 0.95,
    used: null,
  },
  {
    name: 'the daemon beside the back end is frozen',
    service: THREE,
    steps: [
      [NAMED_MS, limit('4')],
      [NAMED_MS + 1_500, freezeDaemon],
      [NAMED_MS + 3_500, thawDaemon],
      [NAMED_MS + 6_000, freezeDaemon],
      [NAMED_MS + 6_400, thawDaemon],
    ],
    servedShare: 0.95,
    used: null,
  },
  {
    name: 'the daemon beside the back end is cut off, from the others and from the directory',
    service: THREE,
    steps: [
      [NAMED_MS, limit('4')],
      [NAMED_MS + 1_500, cutFromMachines],
      [NAMED_MS + 3_500, heal],
      [NAMED_MS + 5_000, cutFromDirectory],
      [NAMED_MS + 5_500, killDaemon],
      [NAMED_MS + 5_800, startDaemon],
      [NAMED_MS + 9_000, heal],
    ],
    servedShare: 0.95,
    used: null,
  },
  ...(['heartbeat', 'invoke'] as const).flatMap((grantMode): Scenario[] => [
    {
      name: `one of three owners of keys, ${grantMode}`,
      service: owners(grantMode),
      meanIntervalMs: 30,
      steps: [[NAMED_MS, limit('4')]],
      servedShare: 0.9,
      used: null,
    },
    {
      name: `one of three owners of keys whose daemon is killed and restarted, ${grantMode}`,
      service: owners(grantMode),
      meanIntervalMs: 30,
      steps: [[NAMED_MS, limit('4')], ...restarts(4, NAMED_MS + 1_200, 1_700, 200)],
      servedShare: 0.8,
      used: null,
    },
  ]),
];

async function runScenario(seed: number, scenario: Scenario): Promise<FleetWorld> {
  const world = new FleetWorld(seed, specOf(scenario.service, scenario.meanIntervalMs ?? 15));
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

for (const scenario of SCENARIOS) {
  test(`requests over a named limit: ${scenario.name}`, async (t) => {
    for (const seed of SEEDS) {
      const world = await runScenario(seed, scenario);
      const violations = world.violations.map(({ promise, detail }) => `${promise}: ${detail}`);
      t.deepEqual(violations.slice(-1), [], `seed ${seed}: ${violations.length} violations`);
      const share = world.servedShare('reads', END_MS - 4_000, END_MS - 500);
      t.true(share >= scenario.servedShare, `seed ${seed}: ${share} served at the end`);
      if (scenario.used === null) continue;
      const { perSecond, share: usedShare } = scenario.used;
      const runs = world.runsSince('reads', FLEET_READY_MS + SETTLED_MS).length;
      // One interval less, because the turns need not fall on the ends of the span.
      const allowed = (perSecond * (TRAFFIC_MS - SETTLED_MS)) / MS_PER_SECOND - 1;
      t.true(runs >= allowed * usedShare, `seed ${seed}: ${runs} runs, ${allowed} allowed`);
    }
  });
}

/** Random sequences: their number, the steps of each, and the times in ms between which they take place. */
const RANDOM_SCENARIOS = 40;
const STEPS_PER_RANDOM_SCENARIO = 9;
const FIRST_STEP_MS = 500;
const LAST_STEP_MS = 10_500;
const RECOVERY_MS = 11_000;

const RANDOM_STEPS: readonly Step[] = [
  ...['4', '4', '0.5', '0', '2.5', '9', 'many', '-3'].map(limit),
  limit(null),
  killDaemon,
  startDaemon,
  async (machine, world) => {
    await killDaemon(machine, world);
    await startDaemon(machine, world);
  },
  freezeDaemon,
  thawDaemon,
  cutFromMachines,
  cutFromDirectory,
  heal,
  restartBackend,
  restartOthers,
];

const recover: Step = async (machine, world) => {
  world.heal();
  machine.thaw();
  await startDaemon(machine, world);
  await limit(null)(machine, world);
};

function randomScenario(seed: number): Scenario {
  const random = new Random(seed);
  const service = random.pick([ONE, THREE, owners('heartbeat'), owners('invoke')]);
  const steps = Array.from({ length: STEPS_PER_RANDOM_SCENARIO }, (): [number, Step] => [
    FIRST_STEP_MS + random.below(LAST_STEP_MS - FIRST_STEP_MS),
    random.pick(RANDOM_STEPS),
  ]);
  const meanIntervalMs = service.keyed ? 30 : 15;
  return {
    name: `${service.name}, steps in any order, ${seed}`,
    service,
    meanIntervalMs,
    steps: [[FIRST_STEP_MS, limit('4')], ...steps, [RECOVERY_MS, recover]],
    servedShare: 0.95,
    used: null,
  };
}

for (let seed = 1; seed <= RANDOM_SCENARIOS; seed += 1) {
  const scenario = randomScenario(seed);
  test(`requests over a named limit: ${scenario.name}`, async (t) => {
    const world = await runScenario(seed, scenario);
    const violations = world.violations.map(({ promise, detail }) => `${promise}: ${detail}`);
    t.deepEqual(violations.slice(-1), [], `${violations.length} violations`);
    const share = world.servedShare('reads', END_MS - 3_000, END_MS - 500);
    t.true(share >= scenario.servedShare, `${share} served at the end`);
  });
}
