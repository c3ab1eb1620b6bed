/** Input and result of a plan of key ranges, and the back ends that it plans with. */
import type { KeySpan } from './directory-commands.js';
import type { BackendInstance, KeyRange } from './directory-state.js';
import type { SpanTarget } from './first-assignment.js';
import type { KeyLoad } from './key-load.js';

/** The input of a plan for one service. */
export interface RangeView {
  readonly ranges: readonly KeyRange[];
  readonly instances: readonly BackendInstance[];
  /** Slots that can be used at back ends that accept only a limited request rate, by id. */
  readonly usableSlots: ReadonlyMap<string, number>;
  readonly load: KeyLoad;
  /** Whether keys may be moved for balance now. */
  readonly mayBalance: boolean;
  /** Whether keys are unavailable for a relevant time while they move. */
  readonly movesAreCostly: boolean;
  /** Load in slots whose keys one plan may move for balance if moves are costly; its last move may exceed it. */
  readonly movableLoad: number;
  /** Zones whose back ends must not own keys. */
  readonly evacuatedZones: ReadonlySet<string>;
  /** Whether a bucket of keys must not be moved for balance yet. */
  readonly isCoolingDown: (bucket: number) => boolean;
}

/** Why a plan contains no further moves for balance: too many moves, or too much load on moving keys. */
export type BalanceLimit = 'moves' | 'moved-load';

/** A move for balance with the figures that led to it. */
export interface BalanceMove extends SpanTarget {
  readonly source: string;
  /** Load in slots of the moved keys. */
  readonly load: number;
  /** Shares of used slots before the move. */
  readonly sourceUtilization: number;
  readonly receiverUtilization: number;
}

/** Planned changes of ownership for one service. */
export interface RangePlan {
  /** Assignments of unowned keys. */
  readonly assignments: readonly SpanTarget[];
  /** Moves of keys between owners; those for balance carry their figures. */
  readonly moves: readonly (SpanTarget | BalanceMove)[];
  /** Whether the moves are for balance and not because an owner leaves. */
  readonly forBalance: boolean;
  /** The limit that the moves for balance reached; missing if none. */
  readonly limitedBy?: BalanceLimit;
}

/** A back end that may receive keys, with its planned load in slots and its planned number of keys. */
export interface Candidate {
  readonly id: string;
  /** Slots that can be used. */
  readonly slots: number;
  /** Share of the back end's slots that can be used. */
  readonly usableShare: number;
  busy: number;
  keys: number;
}

/**
 * Returns the load of a span at a back end. The assumed load is a share of the capacity, so that unused keys do not
 * overload a back end with little of it.
 */
export function loadAt({ usableShare }: Candidate, { from, to }: KeySpan, load: KeyLoad): number {
  return load.ofSpan(from, to) - load.assumedOfSpan(from, to) * (1 - usableShare);
}

/** Returns the back end with the smallest share of used slots, the one with fewer keys of two alike; null without any. */
export function leastUtilized(candidates: readonly Candidate[]): Candidate | null {
  let best: Candidate | null = null;
  for (const candidate of candidates) {
    if (best === null || isLessUtilized(candidate, best)) best = candidate;
  }
  return best;
}

function isLessUtilized(left: Candidate, right: Candidate): boolean {
  const difference = left.busy / left.slots - right.busy / right.slots;
  if (Math.abs(difference) > 0.01) return difference < 0;
  return left.keys < right.keys;
}
