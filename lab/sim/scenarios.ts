/** Scenarios of the simulator: for each, the line of the brief that it provokes and its schedule of faults. */
import type { Random } from '../random.js';
import type { ControlTarget, SimFault } from './sim-faults.js';

/** Control replicas, machines with a back end, and routers of every simulation. */
export const SIM_SIZE = { control: 3, machines: 3, routers: 2 } as const;

/** When faults may begin: the deployment is up by then. */
const FIRST_FAULT_MS = 4_000;
const FAULT_SPAN_MS = 3_000;
const SHORTEST_FAULT_MS = 500;
const LONGEST_FAULT_MS = 5_000;

/** A scenario. */
export interface Scenario {
  readonly name: string;
  /** Line of the brief. */
  readonly brief: string;
  /** Largest deviation of a clock's rate from true time. */
  readonly driftShare: number;
  /** Whether no back end may lose a shard: only control or routers are hit. */
  readonly keepsOwners: boolean;
  readonly faults: (random: Random) => SimFault[];
}

/** Largest deviation of a clock's rate that the promises are made for; half of the lease's margin a clock. */
const PROMISED_DRIFT = 0.009;

function timing(random: Random): { atMs: number; lastsMs: number } {
  return {
    atMs: Math.round(FIRST_FAULT_MS + random.fraction() * FAULT_SPAN_MS),
    lastsMs: Math.round(SHORTEST_FAULT_MS + random.fraction() * (LONGEST_FAULT_MS - SHORTEST_FAULT_MS)),
  };
}

function machine(random: Random): number {
  return random.below(SIM_SIZE.machines);
}

function replica(random: Random): ControlTarget {
  return random.fraction() < 0.5 ? 'leader' : random.below(SIM_SIZE.control);
}

const CUT_DIRECTIONS = ['both', 'outgoing', 'incoming'] as const;

type FaultMaker = (random: Random) => SimFault;

const MAKERS = {
  crashControl: (random) => ({
    kind: 'crash-control',
    target: replica(random),
    loseDisk: false,
    ...timing(random),
  }),
  loseDisk: (random) => ({
    kind: 'crash-control',
    target: replica(random),
    loseDisk: true,
    ...timing(random),
  }),
  freezeControl: (random) => ({ kind: 'freeze-control', target: replica(random), ...timing(random) }),
  cutControl: (random) => ({
    kind: 'cut-control',
    target: replica(random),
    directions: random.pick(CUT_DIRECTIONS),
    ...timing(random),
  }),
  crashMachine: (random) => ({ kind: 'crash-machine', target: machine(random), ...timing(random) }),
  freezeMachine: (random) => ({ kind: 'freeze-machine', target: machine(random), ...timing(random) }),
  freezeBackend: (random) => ({ kind: 'freeze-backend', target: machine(random), ...timing(random) }),
  freezeAgent: (random) => ({ kind: 'freeze-agent', target: machine(random), ...timing(random) }),
  crashAgent: (random) => ({ kind: 'crash-agent', target: machine(random), ...timing(random) }),
  crashBackend: (random) => ({ kind: 'crash-backend', target: machine(random), ...timing(random) }),
  cutMachine: (random) => ({
    kind: 'cut-machine',
    target: machine(random),
    from: random.pick(['control', 'everyone'] as const),
    ...timing(random),
  }),
  crashRouter: (random) => ({
    kind: 'crash-router',
    target: random.below(SIM_SIZE.routers),
    ...timing(random),
  }),
  freezeRouter: (random) => ({
    kind: 'freeze-router',
    target: random.below(SIM_SIZE.routers),
    ...timing(random),
  }),
  cutRouter: (random) => ({ kind: 'cut-router', target: random.below(SIM_SIZE.routers), ...timing(random) }),
  drain: (random) => ({ kind: 'drain', target: machine(random), ...timing(random) }),
  race: (random) => ({ kind: 'operators-race', ...timing(random) }),
  manyChanges: (random) => ({ kind: 'many-changes', count: 60, ...timing(random) }),
} satisfies Record<string, FaultMaker>;

const ALL_MAKERS: readonly FaultMaker[] = Object.values(MAKERS);

function mixture(random: Random, count: number): SimFault[] {
  return Array.from({ length: count }, () => random.pick(ALL_MAKERS)(random));
}

/** The second replica is hit as soon as the first, which lost its disk, is back. */
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

/** A replica misses many changes and must be brought up by a snapshot. */
function longAbsence(random: Random): SimFault[] {
  const target = random.below(SIM_SIZE.control);
  const absent = { atMs: FIRST_FAULT_MS, lastsMs: 4_500 };
  const away: SimFault =
    random.fraction() < 0.5
      ? { kind: 'crash-control', target, loseDisk: false, ...absent }
      : { kind: 'cut-control', target, directions: 'both', ...absent };
  return [away, { kind: 'many-changes', count: 80, atMs: FIRST_FAULT_MS + 300, lastsMs: 0 }];
}

function zoneLoss(random: Random): SimFault[] {
  const at = random.below(SIM_SIZE.machines);
  const when = timing(random);
  return [
    { kind: 'crash-machine', target: at, ...when },
    { kind: 'crash-control', target: at, loseDisk: false, ...when },
    { kind: 'crash-router', target: at % SIM_SIZE.routers, ...when },
  ];
}

function scenario(
  name: string,
  brief: string,
  faults: Scenario['faults'],
  given: Partial<Scenario> = {},
): Scenario {
  return { name, brief, driftShare: 0, keepsOwners: false, faults, ...given };
}

function one(maker: FaultMaker): Scenario['faults'] {
  return (random) => [maker(random)];
}

/** All scenarios. */
export const SCENARIOS: readonly Scenario[] = [
  scenario('calm', 'a key has at most one owner', () => [], { keepsOwners: true }),
  scenario('owner-lost', 'servers leave without warning', one(MAKERS.crashMachine)),
  scenario('owner-frozen', 'servers freeze and come back as if nothing happened', one(MAKERS.freezeMachine)),
  scenario('backend-frozen', 'servers freeze, their agents do not', one(MAKERS.freezeBackend)),
  scenario('agent-frozen', "the system's own processes get paused", one(MAKERS.freezeAgent)),
  scenario('agent-lost', "the system's own processes crash", one(MAKERS.crashAgent)),
  scenario('backend-lost', 'a server is restarted beside its agent', one(MAKERS.crashBackend)),
  scenario('machine-cut', 'processes get partitioned', one(MAKERS.cutMachine)),
  scenario('leader-lost', 'a control machine crashes', one(MAKERS.crashControl), { keepsOwners: true }),
  scenario('leader-frozen', 'a control machine is paused', one(MAKERS.freezeControl), { keepsOwners: true }),
  scenario('leader-cut', 'a control machine is cut off silently', one(MAKERS.cutControl), {
    keepsOwners: true,
  }),
  scenario('disk-lost', 'processes lose their disks', one(MAKERS.loseDisk), { keepsOwners: true }),
  scenario('second-failure', 'a second machine fails right after a repair of the first', secondFailure),
  scenario('long-absence', 'processes restart after hundreds of changes have passed them by', longAbsence),
  scenario('router-lost', "the system's own processes crash", one(MAKERS.crashRouter), { keepsOwners: true }),
  scenario('router-frozen', "the system's own processes get paused", one(MAKERS.freezeRouter), {
    keepsOwners: true,
  }),
  scenario('router-cut', 'a router works from an old table', (random) => [
    MAKERS.cutRouter(random),
    MAKERS.crashMachine(random),
  ]),
  scenario(
    'drain',
    'a planned stop cuts off no request; a leaving back end gets no new work',
    one(MAKERS.drain),
  ),
  scenario('operators-race', 'operators race with equal numbers and resend after lost answers', (random) => [
    MAKERS.race(random),
    MAKERS.race(random),
    MAKERS.crashControl(random),
  ]),
  scenario('zone-lost', 'a zone goes once or twice a year', zoneLoss),
  scenario('clocks-drift', 'clocks run at different rates', (random) => mixture(random, 2), {
    driftShare: PROMISED_DRIFT,
  }),
  scenario('move-and-loss', 'a server fails while its keys are moving', (random) => [
    MAKERS.drain(random),
    MAKERS.crashMachine(random),
  ]),
  scenario('everything', 'any of these at any moment, together or twice', (random) => mixture(random, 5), {
    driftShare: PROMISED_DRIFT,
  }),
];

/** A scenario by name. */
export function findScenario(name: string): Scenario | undefined {
  return SCENARIOS.find((candidate) => candidate.name === name);
}
