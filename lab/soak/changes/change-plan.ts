/** Plan of a soak of configuration changes: machines, changes of each operator, and series of troubles. Deterministic. */
import { Random } from '../../random.js';
import { layOutMachines, type SoakPlan } from '../soak-plan.js';
import { INVALID_KINDS, type InvalidKind } from './change-content.js';

/** Kinds of trouble that count as the loss of one directory for as long as they last. */
export const DIRECTORY_TROUBLES = [
  'stop',
  'kill',
  'lose-disk',
  'cut',
  'cut-outgoing',
  'cut-incoming',
] as const;

/** Kinds that disturb no directory for long, and that may happen beside the others. */
export const PASSING_TROUBLES = ['slow-link', 'reset-connections', 'kill-all'] as const;

/** A kind of trouble. */
export type ChangeTroubleKind = (typeof DIRECTORY_TROUBLES)[number] | (typeof PASSING_TROUBLES)[number];

/** What most changes of a seed are. */
export const CHANGE_PROFILES = ['small', 'usual', 'large', 'mixed', 'stale', 'race'] as const;

/** What most changes of a seed are. */
export type ChangeProfile = (typeof CHANGE_PROFILES)[number];

/** A change of a plan; its base and its version depend on what is in force when it is sent. */
export interface PlannedChange {
  readonly method: 'PUT' | 'PATCH';
  readonly routes: number;
  readonly seed: number;
  /** Whether it is based on a version that is known to be replaced. */
  readonly isStale: boolean;
  readonly invalid: InvalidKind | null;
}

/**
 * A trouble of a plan. It begins and ends after numbers of answered changes, so that what a directory misses does not depend
 * on the speed of the machine.
 */
export interface PlannedTrouble {
  readonly kind: ChangeTroubleKind;
  readonly fromChange: number;
  readonly changes: number;
  /** Selects the directory among those without a trouble; null for the leader. */
  readonly choice: number | null;
}

/** Plan of one seed. */
export interface ChangeSoakPlan {
  readonly seed: number;
  readonly profile: ChangeProfile;
  readonly fleet: SoakPlan;
  /** Changes of each operator; operators race. */
  readonly operators: readonly (readonly PlannedChange[])[];
  /** Series of troubles that overlap; within one, the next begins after the end of the one before. */
  readonly series: readonly (readonly PlannedTrouble[])[];
}

/** Size of a fleet; null for one drawn from the seed. */
export interface ChangeSoakSize {
  readonly directories: number | null;
  readonly sidecars: number;
}

const MIN_DIRECTORIES = 3;
const MAX_DIRECTORIES = 7;
const SLOTS = 6;

/** First number of the loopback networks, apart from those of other soaks. */
const NETWORK_GROUP = 24;

/** Changes of a seed by its profile. A tenth of the number differs between seeds. */
const CHANGES: Readonly<Record<ChangeProfile, number>> = {
  small: 600,
  usual: 300,
  large: 60,
  mixed: 260,
  stale: 300,
  race: 280,
};

/** Routes of a usual change of 160 KB and of a large one of 1 MB. */
const USUAL_ROUTES = 350;
const LARGE_ROUTES = 2_250;
const MAX_SMALL_ROUTES = 3;

/** Shares of changes that are invalid, and of those on a stale base. */
const INVALID_SHARE = 0.04;
const STALE_SHARE = 0.05;
const STALE_SHARE_OF_STALE = 0.6;

/** Bounds of the part of all changes during which a trouble lasts, and of that between two of a series. */
const MIN_TROUBLE_SHARE = 0.05;
const MAX_TROUBLE_SHARE = 0.45;
const MAX_GAP_SHARE = 0.12;

const LOSS_SERIES = 2;
const LEADER_SHARE = 0.4;

/** Offset of the seeds of the contents. */
const CONTENT_SEED_OFFSET = 1_000_003;

/** Returns the plan of a seed. */
export function planChangeSoak(seed: number, size: ChangeSoakSize): ChangeSoakPlan {
  const random = new Random(seed);
  const profile = CHANGE_PROFILES[seed % CHANGE_PROFILES.length] ?? 'mixed';
  const drawn = MIN_DIRECTORIES + random.below(MAX_DIRECTORIES - MIN_DIRECTORIES + 1);
  const directories = size.directories ?? drawn;
  const toleratedLosses = 1 + random.below(Math.floor((directories - 1) / 2));
  const operators = profile === 'race' ? 2 : 1;
  const count = Math.round(CHANGES[profile] * (0.9 + random.fraction() * 0.2));
  const changes = Array.from({ length: operators }, () =>
    Array.from({ length: Math.ceil(count / operators) }, () => drawChange(random, profile)),
  );
  const losses = Array.from({ length: LOSS_SERIES }, () => drawSeries(random, count, DIRECTORY_TROUBLES));
  return {
    seed,
    profile,
    fleet: planFleet(seed, directories, toleratedLosses, size.sidecars),
    operators: changes,
    series: [...losses, drawSeries(random, count, PASSING_TROUBLES)],
  };
}

function planFleet(seed: number, directories: number, toleratedLosses: number, sidecars: number): SoakPlan {
  const { sidecars: laidOut, services } = layOutMachines(sidecars);
  const zones = [...new Set(laidOut.map(({ zone }) => zone))];
  return {
    seed,
    grantMode: 'heartbeat',
    toleratedLosses,
    services: services.filter(({ keyed }) => !keyed),
    sidecars: laidOut
      .filter(({ service }) => service === 'plain')
      .map((machine, at) => ({ ...machine, number: 10 + at })),
    directories: Array.from({ length: directories }, (_, at) => ({
      name: `directory-${at}`,
      zone: zones[at % zones.length] ?? '',
      number: 1 + at,
    })),
    slots: SLOTS,
    isRelayed: true,
    networkGroup: NETWORK_GROUP,
    memoryMb: 346,
    hasMetrics: true,
    troubles: [],
    troubledMs: 0,
  };
}

function drawChange(random: Random, profile: ChangeProfile): PlannedChange {
  const size =
    profile === 'mixed' ? random.pick(['small', 'small', 'usual', 'usual', 'large'] as const) : profile;
  const staleShare = profile === 'stale' ? STALE_SHARE_OF_STALE : STALE_SHARE;
  const isInvalid = random.fraction() < INVALID_SHARE;
  const isStale = !isInvalid && random.fraction() < staleShare;
  const invalid = isInvalid ? random.pick(INVALID_KINDS) : null;
  const seed = CONTENT_SEED_OFFSET + random.below(1_000_000);
  if (size === 'small')
    return { method: 'PATCH', routes: 1 + random.below(MAX_SMALL_ROUTES), seed, isStale, invalid };
  const most = size === 'large' ? LARGE_ROUTES : USUAL_ROUTES;
  const routes = Math.round(most * (0.6 + random.fraction() * 0.5));
  return { method: 'PUT', routes, seed, isStale, invalid };
}

function drawSeries(random: Random, changes: number, kinds: readonly ChangeTroubleKind[]): PlannedTrouble[] {
  const series: PlannedTrouble[] = [];
  let fromChange = 1 + random.below(Math.ceil(changes * MAX_GAP_SHARE));
  while (fromChange < changes) {
    const share = MIN_TROUBLE_SHARE + random.fraction() * (MAX_TROUBLE_SHARE - MIN_TROUBLE_SHARE);
    const isLeader = random.fraction() < LEADER_SHARE;
    const choice = random.below(1_000);
    const lasts = Math.ceil(changes * share);
    series.push({ kind: random.pick(kinds), fromChange, changes: lasts, choice: isLeader ? null : choice });
    fromChange += lasts + random.below(Math.ceil(changes * MAX_GAP_SHARE));
  }
  return series;
}
