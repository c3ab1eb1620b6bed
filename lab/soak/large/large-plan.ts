/**
 * Plan of a large soak: machines in the numbers of a deployment, its traffic, and a series of troubles that ends with the
 * loss of all daemons. Deterministic.
 */
import type { GrantMode } from '../../../src/directory/directory-state.js';
import { Random } from '../../random.js';
import type { DirectoryMachine, SidecarMachine, SoakService } from '../soak-plan.js';

/** Kinds of trouble; several run at the same time. */
export const LARGE_TROUBLES = [
  'pause-sidecars',
  'kill-sidecars',
  'stop-sidecars',
  'pause-directory',
  'kill-leader',
  'slow-back-ends',
  'narrow-traffic',
] as const;

/** A kind of trouble. */
export type LargeTroubleKind = (typeof LARGE_TROUBLES)[number];

/** A trouble of a plan. */
export interface LargeTrouble {
  readonly kind: LargeTroubleKind;
  /** Time in ms after the start of the troubles. */
  readonly atMs: number;
  readonly durationMs: number;
  /** Share of the machines that are affected. */
  readonly share: number;
}

/** How all daemons are lost: their processes are killed, or the back ends end with them. */
export type LossKind = 'all-killed' | 'all-lose-power';

/** Sizes of a large soak. */
export interface LargeSoakSize {
  readonly sidecars: number;
  readonly directories: number;
  readonly requestsPerSecond: number;
  /** Requests that a back end runs concurrently. */
  readonly slots: number;
  /** Processes that compete with the daemons for the processor. */
  readonly busyProcesses: number;
}

/** Plan of one seed. */
export interface LargeSoakPlan extends LargeSoakSize {
  readonly seed: number;
  readonly grantMode: GrantMode;
  readonly services: readonly SoakService[];
  readonly sidecarMachines: readonly SidecarMachine[];
  readonly directoryMachines: readonly DirectoryMachine[];
  readonly troubles: readonly LargeTrouble[];
  readonly calmMs: number;
  readonly troubledMs: number;
  readonly loss: LossKind;
  /** Time in ms within which the lost daemons are started again. */
  readonly downMs: number;
}

/** Services and their shares of the back ends. */
const SERVICES = [
  { name: 'keyed', keyed: true, share: 0.48 },
  { name: 'plain', keyed: false, share: 0.4 },
  { name: 'small', keyed: false, share: 0.12 },
] as const;

const ZONES = ['zone-1', 'zone-2', 'zone-3'] as const;

const CALM_MS = 6_000;
const TROUBLED_MS = 14_000;
const MIN_TROUBLES = 3;
const MAX_TROUBLES = 6;
const MIN_DURATION_MS = 800;
const MAX_DURATION_MS = 3_000;
const MIN_SHARE = 0.05;
const MAX_SHARE = 0.25;
const MIN_DOWN_MS = 300;
const MAX_DOWN_MS = 1_200;

/** Number of the first machine with a back end; the numbers below are those of directories. */
const FIRST_SIDECAR_NUMBER = 20;

/** Returns the plan of a seed. */
export function planLargeSoak(seed: number, size: LargeSoakSize): LargeSoakPlan {
  const random = new Random(seed);
  const sidecarMachines = backEndCounts(size.sidecars).flatMap(({ name, count }) =>
    Array.from({ length: count }, (_, copy) => ({
      name: `${name}-${copy}`,
      service: name,
      zone: zoneOf(copy),
    })),
  );
  const count = MIN_TROUBLES + random.below(MAX_TROUBLES - MIN_TROUBLES + 1);
  const troubles = Array.from({ length: count }, () => drawTrouble(random));
  return {
    ...size,
    seed,
    grantMode: random.below(2) === 0 ? 'heartbeat' : 'invoke',
    services: SERVICES.map(({ name, keyed }) => ({ name, keyed })),
    sidecarMachines: sidecarMachines.map((machine, at) => ({
      ...machine,
      number: FIRST_SIDECAR_NUMBER + at,
    })),
    directoryMachines: Array.from({ length: size.directories }, (_, copy) => ({
      name: `directory-${copy}`,
      zone: zoneOf(copy),
      number: 1 + copy,
    })),
    troubles: troubles.sort((left, right) => left.atMs - right.atMs),
    calmMs: CALM_MS,
    troubledMs: TROUBLED_MS,
    loss: random.below(2) === 0 ? 'all-killed' : 'all-lose-power',
    downMs: MIN_DOWN_MS + random.below(MAX_DOWN_MS - MIN_DOWN_MS),
  };
}

function backEndCounts(sidecars: number): { readonly name: string; readonly count: number }[] {
  const counts = SERVICES.map(({ name, share }) => ({
    name,
    count: Math.max(2, Math.round(share * sidecars)),
  }));
  const excess = counts.reduce((sum, { count }) => sum + count, 0) - sidecars;
  return counts.map(({ name, count }, at) => ({
    name,
    count: at === 0 ? Math.max(2, count - excess) : count,
  }));
}

function zoneOf(copy: number): string {
  return ZONES[copy % ZONES.length] ?? ZONES[0];
}

function drawTrouble(random: Random): LargeTrouble {
  return {
    kind: random.pick(LARGE_TROUBLES),
    atMs: random.below(TROUBLED_MS - MAX_DURATION_MS),
    durationMs: MIN_DURATION_MS + random.below(MAX_DURATION_MS - MIN_DURATION_MS),
    share: MIN_SHARE + random.fraction() * (MAX_SHARE - MIN_SHARE),
  };
}
