/** Plan of the soak of planned work of one seed: its machines, and the planned work that is done while requests run. Deterministic. */
import { Random } from '../random.js';
import type { CallerGroup } from './planned-work-requests.js';
import { layOutMachines, type SoakPlan } from './soak-plan.js';

/** Kinds of planned work. */
export const PLANNED_WORK_KINDS = [
  'stop',
  'stop-in-series',
  'stop-overlapping',
  'reload',
  'reload-in-series',
  'smaller-time-outs',
  'smaller-limits',
  'remove-routes',
  'configuration-storm',
  'stop-during-change',
  'stop-beside-lost-peer',
] as const;

/** A kind of planned work. */
export type PlannedWorkKind = (typeof PLANNED_WORK_KINDS)[number];

/** Planned work of a plan. */
export interface PlannedWork {
  readonly kind: PlannedWorkKind;
  /** Time in ms after the start of traffic. */
  readonly atMs: number;
  readonly durationMs: number;
  /** Selects machines and routes: an index among them, modulo their number. */
  readonly choice: number;
}

/** A time during which the callers of pools pause shortly, in ms after the start of traffic. */
export interface Rush {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Plan of one soak of planned work. */
export interface PlannedWorkPlan {
  readonly fleet: SoakPlan;
  readonly work: readonly PlannedWork[];
  /** Times at which slow network links are full. */
  readonly rushes: readonly Rush[];
  /** Number of callers of each daemon by group. */
  readonly callers: Readonly<Record<CallerGroup, number>>;
}

/** What a plan may be limited to, and its size. */
export interface PlannedWorkChoice {
  readonly seed: number;
  /** Kinds to draw from. */
  readonly kinds: readonly PlannedWorkKind[];
  readonly backendsPerService: number;
}

/** Requests that a back end runs concurrently; long work must not fill the back ends. */
const SLOTS = 40;

/** Length in ms of the phase with planned work. */
const WORK_PHASE_MS = 18_000;

const FIRST_WORK_MS = 1_000;
const LAST_WORK_MS = 12_000;
const MIN_WORKS = 3;
const MAX_WORKS = 6;
const MIN_DURATION_MS = 500;
const MAX_DURATION_MS = 4_000;

/** Bandwidth of a slow network link in Mbit/s, and share of the seeds with such links. */
const SLOW_LINK_MBPS = 8.6;
const SLOW_LINK_SHARE = 0.75;

/** Callers of a daemon. Few usual callers, whose long downloads fill a slow link, leave room for answers that just miss deadlines. */
const CALLERS = { usual: 4, pool: 4, pipelined: 2 } as const;
const CALLERS_ON_SLOW_LINK = { usual: 2, pool: 9, pipelined: 2 } as const;

/** Offset from the seed to that of the links and rushes, so that the other draws of a seed stay the same. */
const LINK_SEED_OFFSET = 37_000_003;

const RUSHES = 3;
const MIN_RUSH_MS = 2_000;
const MAX_RUSH_MS = 6_000;

/** Returns the plan of a seed. */
export function planPlannedWork({ seed, kinds, backendsPerService }: PlannedWorkChoice): PlannedWorkPlan {
  const random = new Random(seed);
  const grantMode = random.below(2) === 0 ? 'heartbeat' : 'invoke';
  const count = MIN_WORKS + random.below(MAX_WORKS - MIN_WORKS + 1);
  const work = Array.from({ length: count }, (): PlannedWork => ({
    kind: random.pick(kinds),
    atMs: FIRST_WORK_MS + random.below(LAST_WORK_MS - FIRST_WORK_MS),
    durationMs: MIN_DURATION_MS + random.below(MAX_DURATION_MS - MIN_DURATION_MS),
    choice: random.below(1_000),
  }));
  work.sort((left, right) => left.atMs - right.atMs);
  const linkRandom = new Random(seed + LINK_SEED_OFFSET);
  const rushes = Array.from({ length: RUSHES }, () => {
    const fromMs = linkRandom.below(WORK_PHASE_MS - MIN_RUSH_MS);
    return { fromMs, toMs: fromMs + MIN_RUSH_MS + linkRandom.below(MAX_RUSH_MS - MIN_RUSH_MS) };
  });
  // Drawn last: the first draws of neighbouring seeds are nearly equal.
  const isSlow = linkRandom.fraction() < SLOW_LINK_SHARE;
  const fleet = {
    seed,
    ...(isSlow ? { linkMbps: SLOW_LINK_MBPS } : {}),
    grantMode,
    ...layOutMachines(backendsPerService),
    slots: SLOTS,
    isRelayed: false,
    troubles: [],
    troubledMs: WORK_PHASE_MS,
  } as const;
  return { fleet, work, rushes, callers: isSlow ? CALLERS_ON_SLOW_LINK : CALLERS };
}
