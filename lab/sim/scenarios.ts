/** Scenarios of the simulator: each has the requirement that it tests and a schedule of faults. */
import type { Random } from '../random.js';
import type { ControlTarget, SimFault } from './sim-faults.js';

/** Number of control replicas, machines with a back end, and routers in every simulation. */
export const SIM_SIZE = { control: 3, machines: 3, routers: 2 } as const;

/** Earliest start of a fault; the deployment is ready by then. */
const FIRST_FAULT_MS = 4_000;
const FAULT_START_RANGE_MS = 3_000;
const MIN_FAULT_MS = 500;
const MAX_FAULT_MS = 5_000;

/** A named scenario. */
export interface Scenario {
  readonly name: string;
  /** Requirement or circumstance that the scenario tests, as printed in listings. */
  readonly brief: string;
  /** Largest deviation of a clock's rate from true time, as a fraction. */
  readonly maxClockDrift: number;
  /** Whether back ends must keep all their shards, since faults hit only control replicas or routers. */
  readonly keepsOwners: boolean;
  readonly faults: (random: Random) => SimFault[];
}

/** Largest clock drift for which the guarantees hold; each of two clocks may use half of the lease's margin. */
const MAX_TOLERATED_DRIFT = 0.009;

function drawTiming(random: Random): { atMs: number; lastsMs: number } {
  return {
    atMs: Math.round(FIRST_FAULT_MS + random.fraction() * FAULT_START_RANGE_MS),
    lastsMs: Math.round(MIN_FAULT_MS + random.fraction() * (MAX_FAULT_MS - MIN_FAULT_MS)),
  };
}

function drawMachine(random: Random): number {
  return random.below(SIM_SIZE.machines);
}

function drawControlTarget(random: Random): ControlTarget {
  return random.fraction() < 0.5 ? 'leader' : random.below(SIM_SIZE.control);
}

const CUT_DIRECTIONS = ['both', 'outgoing', 'incoming'] as const;

type FaultFactory = (random: Random) => SimFault;

const FAULT_FACTORIES = {
  crashControl: (random) => ({
    kind: 'crash-control',
    target: drawControlTarget(random),
    loseDisk: false,
    ...drawTiming(random),
  }),
  loseDisk: (random) => ({
    kind: 'crash-control',
    target: drawControlTarget(random),
    loseDisk: true,
    ...drawTiming(random),
  }),
  freezeControl: (random) => ({
    kind: 'freeze-control',
    target: drawControlTarget(random),
    ...drawTiming(random),
  }),
  cutControl: (random) => ({
    kind: 'cut-control',
    target: drawControlTarget(random),
    directions: random.pick(CUT_DIRECTIONS),
    ...drawTiming(random),
  }),
  crashMachine: (random) => ({ kind: 'crash-machine', target: drawMachine(random), ...drawTiming(random) }),
  freezeMachine: (random) => ({ kind: 'freeze-machine', target: drawMachine(random), ...drawTiming(random) }),
  freezeBackend: (random) => ({ kind: 'freeze-backend', target: drawMachine(random), ...drawTiming(random) }),
  freezeAgent: (random) => ({ kind: 'freeze-agent', target: drawMachine(random), ...drawTiming(random) }),
  crashAgent: (random) => ({ kind: 'crash-agent', target: drawMachine(random), ...drawTiming(random) }),
  crashBackend: (random) => ({ kind: 'crash-backend', target: drawMachine(random), ...drawTiming(random) }),
  cutMachine: (random) => ({
    kind: 'cut-machine',
    target: drawMachine(random),
    from: random.pick(['control', 'everyone'] as const),
    ...drawTiming(random),
  }),
  crashRouter: (random) => ({
    kind: 'crash-router',
    target: random.below(SIM_SIZE.routers),
    ...drawTiming(random),
  }),
  freezeRouter: (random) => ({
    kind: 'freeze-router',
    target: random.below(SIM_SIZE.routers),
    ...drawTiming(random),
  }),
  cutRouter: (random) => ({
    kind: 'cut-router',
    target: random.below(SIM_SIZE.routers),
    ...drawTiming(random),
  }),
  drain: (random) => ({ kind: 'drain', target: drawMachine(random), ...drawTiming(random) }),
  race: (random) => ({ kind: 'operators-race', ...drawTiming(random) }),
  manyChanges: (random) => ({ kind: 'many-changes', count: 60, ...drawTiming(random) }),
} satisfies Record<string, FaultFactory>;

const ALL_FAULT_FACTORIES: readonly FaultFactory[] = Object.values(FAULT_FACTORIES);

function drawFaults(random: Random, count: number): SimFault[] {
  return Array.from({ length: count }, () => random.pick(ALL_FAULT_FACTORIES)(random));
}

/** A second replica crashes shortly after the first, which lost its disk, has restarted. */
function secondFailure(random: Random): SimFault[] {
  const first = random.below(SIM_SIZE.control);
  const second = (first + 1 + random.below(SIM_SIZE.control - 1)) % SIM_SIZE.control;
  const atMs = FIRST_FAULT_MS;
  const lastsMs = 800;
  const delayMs = random.below(2_500);
  return [
    { kind: 'crash-control', target: first, loseDisk: true, atMs, lastsMs },
    {
      kind: 'crash-control',
      target: second,
      loseDisk: random.fraction() < 0.3,
      atMs: atMs + lastsMs + delayMs,
      lastsMs: 2_500,
    },
  ];
}

/** A replica misses many changes and must catch up from a snapshot. */
function longAbsence(random: Random): SimFault[] {
  const target = random.below(SIM_SIZE.control);
  const absent = { atMs: FIRST_FAULT_MS, lastsMs: 4_500 };
  const absence: SimFault =
    random.fraction() < 0.5
      ? { kind: 'crash-control', target, loseDisk: false, ...absent }
      : { kind: 'cut-control', target, directions: 'both', ...absent };
  return [absence, { kind: 'many-changes', count: 80, atMs: FIRST_FAULT_MS + 300, lastsMs: 0 }];
}

function zoneLoss(random: Random): SimFault[] {
  const at = random.below(SIM_SIZE.machines);
  const when = drawTiming(random);
  return [
    { kind: 'crash-machine', target: at, ...when },
    { kind: 'crash-control', target: at, loseDisk: false, ...when },
    { kind: 'crash-router', target: at % SIM_SIZE.routers, ...when },
  ];
}

function defineScenario(
  name: string,
  brief: string,
  faults: Scenario['faults'],
  overrides: Partial<Scenario> = {},
): Scenario {
  return { name, brief, maxClockDrift: 0, keepsOwners: false, faults, ...overrides };
}

function singleFault(factory: FaultFactory): Scenario['faults'] {
  return (random) => [factory(random)];
}

/** All scenarios. */
export const SCENARIOS: readonly Scenario[] = [
  defineScenario('calm', 'a key has at most one owner', () => [], { keepsOwners: true }),
  defineScenario('owner-lost', 'servers leave without warning', singleFault(FAULT_FACTORIES.crashMachine)),
  defineScenario(
    'owner-frozen',
    'servers freeze and come back as if nothing happened',
    singleFault(FAULT_FACTORIES.freezeMachine),
  ),
  defineScenario(
    'backend-frozen',
    'servers freeze, their agents do not',
    singleFault(FAULT_FACTORIES.freezeBackend),
  ),
  defineScenario(
    'agent-frozen',
    "the system's own processes get paused",
    singleFault(FAULT_FACTORIES.freezeAgent),
  ),
  defineScenario('agent-lost', "the system's own processes crash", singleFault(FAULT_FACTORIES.crashAgent)),
  defineScenario(
    'backend-lost',
    'a server is restarted beside its agent',
    singleFault(FAULT_FACTORIES.crashBackend),
  ),
  defineScenario('machine-cut', 'processes get partitioned', singleFault(FAULT_FACTORIES.cutMachine)),
  defineScenario('leader-lost', 'a control machine crashes', singleFault(FAULT_FACTORIES.crashControl), {
    keepsOwners: true,
  }),
  defineScenario('leader-frozen', 'a control machine is paused', singleFault(FAULT_FACTORIES.freezeControl), {
    keepsOwners: true,
  }),
  defineScenario(
    'leader-cut',
    'a control machine is cut off silently',
    singleFault(FAULT_FACTORIES.cutControl),
    {
      keepsOwners: true,
    },
  ),
  defineScenario('disk-lost', 'processes lose their disks', singleFault(FAULT_FACTORIES.loseDisk), {
    keepsOwners: true,
  }),
  defineScenario('second-failure', 'a second machine fails right after a repair of the first', secondFailure),
  defineScenario(
    'long-absence',
    'processes restart after hundreds of changes have passed them by',
    longAbsence,
  ),
  defineScenario(
    'router-lost',
    "the system's own processes crash",
    singleFault(FAULT_FACTORIES.crashRouter),
    { keepsOwners: true },
  ),
  defineScenario(
    'router-frozen',
    "the system's own processes get paused",
    singleFault(FAULT_FACTORIES.freezeRouter),
    {
      keepsOwners: true,
    },
  ),
  defineScenario('router-cut', 'a router works from an old table', (random) => [
    FAULT_FACTORIES.cutRouter(random),
    FAULT_FACTORIES.crashMachine(random),
  ]),
  defineScenario(
    'drain',
    'a planned stop cuts off no request; a leaving back end gets no new work',
    singleFault(FAULT_FACTORIES.drain),
  ),
  defineScenario(
    'operators-race',
    'operators race with equal numbers and resend after lost answers',
    (random) => [
      FAULT_FACTORIES.race(random),
      FAULT_FACTORIES.race(random),
      FAULT_FACTORIES.crashControl(random),
    ],
  ),
  defineScenario('zone-lost', 'a zone goes once or twice a year', zoneLoss),
  defineScenario('clocks-drift', 'clocks run at different rates', (random) => drawFaults(random, 2), {
    maxClockDrift: MAX_TOLERATED_DRIFT,
  }),
  defineScenario('move-and-loss', 'a server fails while its keys are moving', (random) => [
    FAULT_FACTORIES.drain(random),
    FAULT_FACTORIES.crashMachine(random),
  ]),
  defineScenario(
    'everything',
    'any of these at any moment, together or twice',
    (random) => drawFaults(random, 5),
    {
      maxClockDrift: MAX_TOLERATED_DRIFT,
    },
  ),
];

/** Returns the scenario with the given name. */
export function findScenario(name: string): Scenario | undefined {
  return SCENARIOS.find((candidate) => candidate.name === name);
}
