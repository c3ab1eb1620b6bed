/** What a soak of one seed does: its machines, its ways of granting keys, and its troubles. Pure. */
import type { GrantMode } from '../../src/directory/directory-state.js';
import { Random } from '../random.js';

/** Kinds of trouble; each is brought about from outside the processes. */
export const SOAK_TROUBLES = [
  'kill-sidecar',
  'kill-directory',
  'kill-leader',
  'kill-all-directories',
  'pause-sidecar',
  'pause-directory',
  'pause-leader',
  'stop-sidecar',
  'stop-directory',
  'wipe-directory',
  'tear-log',
  'cut-sidecar',
  'cut-directory',
  'cut-one-way',
  'slow-link',
  'reset-connections',
  'crash-back-end',
  'leave-back-end',
  'lose-answers',
  'spoil-answers',
  'lose-acknowledgements',
] as const;

/** Kinds that come beside the others, drawn by themselves, so that the plan of a seed stays what it was. */
export const FURTHER_SOAK_TROUBLES = ['silence-connections', 'evacuate-zone'] as const;

/** Kinds that come beside all others, drawn by themselves for the same reason. */
export const BESIDE_SOAK_TROUBLES = ['ending-request', 'suspend-sidecar', 'suspend-directory'] as const;

/** Leaves of back ends, and what strikes their daemons a moment after the acknowledgement; drawn by themselves as well. */
export const LEAVE_SOAK_TROUBLES = ['leave-then-kill', 'goodbye-then-kill', 'leave-then-stop'] as const;

/**
 * What brings older knowledge of who owns keys back: all daemons and directories lose power while back ends live on, and
 * grants are carried out late; drawn by themselves as well.
 */
export const KEY_SOAK_TROUBLES = ['lose-all-power', 'hold-up-grants'] as const;

/** Long changes of the configuration, drawn by themselves as well; a directory must take them beside its other work. */
export const CHANGE_SOAK_TROUBLES = ['long-change'] as const;

/** All kinds, in the order in which they were added. */
export const ALL_SOAK_TROUBLES = [
  ...SOAK_TROUBLES,
  ...FURTHER_SOAK_TROUBLES,
  ...BESIDE_SOAK_TROUBLES,
  ...LEAVE_SOAK_TROUBLES,
  ...KEY_SOAK_TROUBLES,
  ...CHANGE_SOAK_TROUBLES,
] as const;

/** A kind of trouble. */
export type SoakTroubleKind = (typeof ALL_SOAK_TROUBLES)[number];

/** What sets the draws of further troubles apart from those of the seed itself. */
const FURTHER_SEED_OFFSET = 7_000_003;
const BESIDE_SEED_OFFSET = 13_000_027;
const LEAVE_SEED_OFFSET = 19_000_013;
const KEY_SEED_OFFSET = 23_000_009;
const CHANGE_SEED_OFFSET = 29_000_029;

/** One trouble. */
export interface SoakTrouble {
  readonly kind: SoakTroubleKind;
  /** From when traffic starts, in ms. */
  readonly atMs: number;
  readonly forMs: number;
  /** Picks the machine: its number among those that fit. */
  readonly choice: number;
}

/** A machine beside a back end. */
export interface SidecarMachine {
  readonly name: string;
  readonly service: string;
  readonly zone: string;
  readonly number: number;
}

/** A machine with a disk. */
export interface DirectoryMachine {
  readonly name: string;
  readonly zone: string;
  readonly number: number;
}

/** A service of a soak. */
export interface SoakService {
  readonly name: string;
  readonly keyed: boolean;
}

/** A whole plan. */
export interface SoakPlan {
  readonly seed: number;
  readonly grantMode: GrantMode;
  readonly toleratedLosses: number;
  readonly services: readonly SoakService[];
  readonly sidecars: readonly SidecarMachine[];
  readonly directories: readonly DirectoryMachine[];
  readonly troubles: readonly SoakTrouble[];
  /** Time with troubles, in ms. */
  readonly troubledMs: number;
}

/** Back ends of each service. */
const BACK_ENDS = 3;

const ZONES = ['zone-1', 'zone-2', 'zone-3'] as const;

const TROUBLED_MS = 16_000;
const FEWEST_TROUBLES = 3;
const MOST_TROUBLES = 7;
const SHORTEST_MS = 600;
const LONGEST_MS = 5_000;

/** The plan of a seed. */
export function planSoak(seed: number, only: SoakTroubleKind | null = null): SoakPlan {
  const random = new Random(seed);
  const services = [
    { name: 'keyed', keyed: true },
    { name: 'plain', keyed: false },
  ];
  const sidecars = services.flatMap(({ name }, at) =>
    Array.from({ length: BACK_ENDS }, (_, copy) => ({
      name: `${name}-${copy}`,
      service: name,
      zone: ZONES[copy % ZONES.length] ?? ZONES[0],
      number: 10 + at * BACK_ENDS + copy,
    })),
  );
  const toleratedLosses = 1;
  const directories = Array.from({ length: 2 * toleratedLosses + 1 }, (_, copy) => ({
    name: `directory-${copy}`,
    zone: ZONES[copy % ZONES.length] ?? ZONES[0],
    number: 1 + copy,
  }));
  const count = FEWEST_TROUBLES + random.below(MOST_TROUBLES - FEWEST_TROUBLES + 1);
  const grantMode = random.below(2) === 0 ? 'heartbeat' : 'invoke';
  const kinds = only === null ? SOAK_TROUBLES : [only];
  const troubles = Array.from({ length: count }, () => drawTrouble(random, kinds));
  if (only === null) {
    const further = new Random(seed + FURTHER_SEED_OFFSET);
    troubles.push(drawTrouble(further, FURTHER_SOAK_TROUBLES));
    troubles.push(drawTrouble(new Random(seed + BESIDE_SEED_OFFSET), BESIDE_SOAK_TROUBLES));
    troubles.push(drawTrouble(new Random(seed + LEAVE_SEED_OFFSET), LEAVE_SOAK_TROUBLES));
    const beside = new Random(seed + KEY_SEED_OFFSET);
    for (const kind of KEY_SOAK_TROUBLES) troubles.push(drawTrouble(beside, [kind]));
    troubles.push(drawTrouble(new Random(seed + CHANGE_SEED_OFFSET), CHANGE_SOAK_TROUBLES));
  }
  troubles.sort((left, right) => left.atMs - right.atMs);
  return {
    seed,
    grantMode,
    toleratedLosses,
    services,
    sidecars,
    directories,
    troubles,
    troubledMs: TROUBLED_MS,
  };
}

function drawTrouble(random: Random, kinds: readonly SoakTroubleKind[]): SoakTrouble {
  // A single kind needs no draw, as when it is asked for by itself.
  const kind = kinds.length === 1 && kinds[0] !== undefined ? kinds[0] : random.pick(kinds);
  return {
    kind,
    atMs: 500 + random.below(TROUBLED_MS - 2_000),
    forMs: SHORTEST_MS + random.below(LONGEST_MS - SHORTEST_MS),
    choice: random.below(1_000),
  };
}
