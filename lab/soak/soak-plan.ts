/** Plan of the soak of one seed: its machines, its mode of granting keys, and its troubles. Deterministic. */
import type { GrantMode } from '../../src/directory/directory-state.js';
import { Random } from '../random.js';

/** Kinds of trouble; each is injected from outside the processes. */
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

/** Kinds drawn separately, in addition to the others, so that the earlier draws of a seed stay the same. */
export const ADDITIONAL_SOAK_TROUBLES = ['silence-connections', 'evacuate-zone'] as const;

/** Process kinds, drawn separately for the same reason. */
export const PROCESS_SOAK_TROUBLES = ['ending-request', 'suspend-sidecar', 'suspend-directory'] as const;

/** Leaves of back ends whose daemon ends just after the acknowledgement; drawn separately as well. */
export const LEAVE_SOAK_TROUBLES = ['leave-then-kill', 'goodbye-then-kill', 'leave-then-stop'] as const;

/**
 * Kinds that bring back outdated ownership of keys: all daemons and directories lose power while back ends keep running,
 * and grants take effect late; drawn separately as well.
 */
export const KEY_SOAK_TROUBLES = ['lose-all-power', 'hold-up-grants'] as const;

/** Long changes of the configuration, which a directory must accept alongside its other work; drawn separately as well. */
export const CHANGE_SOAK_TROUBLES = ['long-change'] as const;

/** Back ends that name a request limit in their answers; drawn separately as well. */
export const LIMIT_SOAK_TROUBLES = ['name-limit', 'limit-in-series'] as const;

/** Back ends that state their leave in their answers; drawn separately as well. */
export const TOLD_LEAVE_SOAK_TROUBLES = ['told-leave', 'told-leave-in-series'] as const;

/**
 * Messages that arrive after their sender has ended: heartbeats of an incarnation that was replaced, and commands of a sidecar that
 * a paused directory forwards; drawn separately as well.
 */
export const LATE_MESSAGE_SOAK_TROUBLES = ['late-heartbeats', 'late-reports'] as const;

/** A kind of trouble in which a back end states something in its answers. */
export type SignalTroubleKind =
  (typeof LIMIT_SOAK_TROUBLES)[number] | (typeof TOLD_LEAVE_SOAK_TROUBLES)[number];

/** All kinds, in the order in which they were added. */
export const ALL_SOAK_TROUBLES = [
  ...SOAK_TROUBLES,
  ...ADDITIONAL_SOAK_TROUBLES,
  ...PROCESS_SOAK_TROUBLES,
  ...LEAVE_SOAK_TROUBLES,
  ...KEY_SOAK_TROUBLES,
  ...CHANGE_SOAK_TROUBLES,
  ...LIMIT_SOAK_TROUBLES,
  ...TOLD_LEAVE_SOAK_TROUBLES,
  ...LATE_MESSAGE_SOAK_TROUBLES,
] as const;

/** A kind of trouble. */
export type SoakTroubleKind = (typeof ALL_SOAK_TROUBLES)[number];

/** Offsets from the seed to the seeds of the separate draws. */
const ADDITIONAL_SEED_OFFSET = 7_000_003;
const PROCESS_SEED_OFFSET = 13_000_027;
const LEAVE_SEED_OFFSET = 19_000_013;
const KEY_SEED_OFFSET = 23_000_009;
const CHANGE_SEED_OFFSET = 29_000_029;
const SIGNAL_SEED_OFFSET = 31_000_003;
const LATE_MESSAGE_SEED_OFFSET = 37_000_003;

/** A trouble of a plan. */
export interface SoakTrouble {
  readonly kind: SoakTroubleKind;
  /** Time in ms after the start of traffic. */
  readonly atMs: number;
  readonly durationMs: number;
  /** Selects the machine: its index among the eligible ones, modulo their number. */
  readonly choice: number;
}

/** A machine with a back end and its sidecar. */
export interface SidecarMachine {
  readonly name: string;
  readonly service: string;
  readonly zone: string;
  readonly number: number;
}

/** A machine with a directory replica, which has a disk. */
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

/** Plan of one soak. */
export interface SoakPlan {
  readonly seed: number;
  readonly grantMode: GrantMode;
  readonly toleratedLosses: number;
  readonly services: readonly SoakService[];
  readonly sidecars: readonly SidecarMachine[];
  readonly directories: readonly DirectoryMachine[];
  /** Requests that a back end runs concurrently. */
  readonly slots: number;
  /** Whether the links between the machines run through relays of the soak's process, which can disturb them. */
  readonly isRelayed: boolean;
  /** Bandwidth of the network links of the machines with back ends in Mbit/s; missing if it is not limited. */
  readonly linkMbps?: number;
  /** Memory of the machines with directories in MB, as their settings state it; missing if it is not stated. */
  readonly memoryMb?: number;
  /** Whether directories serve metrics. */
  readonly hasMetrics?: boolean;
  /** Second number of the machines' loopback addresses, so that soaks of different kinds run side by side. */
  readonly networkGroup?: number;
  readonly troubles: readonly SoakTrouble[];
  /** Length of the phase with troubles, in ms. */
  readonly troubledMs: number;
}

/** Number of back ends of each service, and requests that one runs concurrently. */
const BACKENDS_PER_SERVICE = 3;
const SLOTS = 6;

const ZONES = ['zone-1', 'zone-2', 'zone-3'] as const;

const TROUBLED_MS = 16_000;
const MIN_TROUBLES = 3;
const MAX_TROUBLES = 7;
const MIN_DURATION_MS = 600;
const MAX_DURATION_MS = 5_000;

/** Returns the plan of a seed; `only` limits it to one kind of trouble. */
export function planSoak(seed: number, only: SoakTroubleKind | null = null): SoakPlan {
  const random = new Random(seed);
  const count = MIN_TROUBLES + random.below(MAX_TROUBLES - MIN_TROUBLES + 1);
  const grantMode = random.below(2) === 0 ? 'heartbeat' : 'invoke';
  const kinds = only === null ? SOAK_TROUBLES : [only];
  const troubles = Array.from({ length: count }, () => drawTrouble(random, kinds));
  if (only === null) {
    const additionalRandom = new Random(seed + ADDITIONAL_SEED_OFFSET);
    troubles.push(drawTrouble(additionalRandom, ADDITIONAL_SOAK_TROUBLES));
    troubles.push(drawTrouble(new Random(seed + PROCESS_SEED_OFFSET), PROCESS_SOAK_TROUBLES));
    troubles.push(drawTrouble(new Random(seed + LEAVE_SEED_OFFSET), LEAVE_SOAK_TROUBLES));
    const keyRandom = new Random(seed + KEY_SEED_OFFSET);
    for (const kind of KEY_SOAK_TROUBLES) troubles.push(drawTrouble(keyRandom, [kind]));
    troubles.push(drawTrouble(new Random(seed + CHANGE_SEED_OFFSET), CHANGE_SOAK_TROUBLES));
    const signalRandom = new Random(seed + SIGNAL_SEED_OFFSET);
    troubles.push(drawTrouble(signalRandom, LIMIT_SOAK_TROUBLES));
    troubles.push(drawTrouble(signalRandom, TOLD_LEAVE_SOAK_TROUBLES));
    const lateRandom = new Random(seed + LATE_MESSAGE_SEED_OFFSET);
    for (const kind of LATE_MESSAGE_SOAK_TROUBLES) troubles.push(drawTrouble(lateRandom, [kind]));
  }
  troubles.sort((left, right) => left.atMs - right.atMs);
  return {
    seed,
    grantMode,
    ...layOutMachines(BACKENDS_PER_SERVICE),
    slots: SLOTS,
    isRelayed: true,
    troubles,
    troubledMs: TROUBLED_MS,
  };
}

/** Returns a keyed and an unkeyed service with their machines, and three directories. */
export function layOutMachines(
  backendsPerService: number,
): Pick<SoakPlan, 'toleratedLosses' | 'services' | 'sidecars' | 'directories'> {
  const services = [
    { name: 'keyed', keyed: true },
    { name: 'plain', keyed: false },
  ];
  const sidecars = services.flatMap(({ name }, at) =>
    Array.from({ length: backendsPerService }, (_, copy) => ({
      name: `${name}-${copy}`,
      service: name,
      zone: ZONES[copy % ZONES.length] ?? ZONES[0],
      number: 10 + at * backendsPerService + copy,
    })),
  );
  const toleratedLosses = 1;
  const directories = Array.from({ length: 2 * toleratedLosses + 1 }, (_, copy) => ({
    name: `directory-${copy}`,
    zone: ZONES[copy % ZONES.length] ?? ZONES[0],
    number: 1 + copy,
  }));
  return { toleratedLosses, services, sidecars, directories };
}

function drawTrouble(random: Random, kinds: readonly SoakTroubleKind[]): SoakTrouble {
  // A single kind consumes no random number, as when it is requested with `only`.
  const kind = kinds.length === 1 && kinds[0] !== undefined ? kinds[0] : random.pick(kinds);
  return {
    kind,
    atMs: 500 + random.below(TROUBLED_MS - 2_000),
    durationMs: MIN_DURATION_MS + random.below(MAX_DURATION_MS - MIN_DURATION_MS),
    choice: random.below(1_000),
  };
}
