/**
 * How long work takes at one back end at this moment, against the usual. Back ends share their machines with others, so
 * this changes many times a second; what was told a while ago says less than the mean of the past.
 */
import { policyIsOn } from '../policy-switches.js';

/** Weight of the newest figure in the mean, once there are many. */
const NEWEST_WEIGHT = 0.05;

/** Time in ms after which a figure that was told counts for about a third; slow spells last some 100 ms. */
const FADE_MS = 250;

/** Bounds of a figure that is believed: a tenth of the usual time, and twenty times as long. */
const LEAST_PACE = 0.1;
const LARGEST_PACE = 20;

/** The pace at a moment, 1 being the usual, and its mean. */
export interface Pace {
  readonly now: number;
  readonly mean: number;
}

const USUAL_PACE: Pace = { now: 1, mean: 1 };

/** A figure within the bounds of what is believed; null for what is no number. */
export function believedPace(told: number): number | null {
  if (!Number.isFinite(told)) return null;
  return Math.min(LARGEST_PACE, Math.max(LEAST_PACE, told));
}

/** The pace that is to be expected some time after it was told. */
export function fadedPace({ now, mean }: Pace, ageMs: number): number {
  return mean + (now - mean) * Math.exp(-Math.max(0, ageMs) / FADE_MS);
}

/** The pace of one back end as its answers tell it. */
export class BackendPace {
  private told: Pace | null = null;
  private toldMs = 0;
  private count = 0;

  /** An answer told how long work takes, as a factor on the usual. */
  note(pace: number, nowMs: number): void {
    if (!policyIsOn('told-pace')) return;
    // The usual pace counts as one figure, so that a slow spell at the start is not taken for the mean.
    this.count += 1;
    const mean = this.told?.mean ?? USUAL_PACE.mean;
    const weight = Math.max(NEWEST_WEIGHT, 1 / (this.count + 1));
    this.told = { now: pace, mean: mean + (pace - mean) * weight };
    this.toldMs = nowMs;
  }

  /** Another life of the back end has begun. */
  forget(): void {
    this.told = null;
    this.count = 0;
  }

  /** The pace to be expected now; the usual one where nothing was told. */
  at(nowMs: number): Pace {
    if (this.told === null) return USUAL_PACE;
    return { now: fadedPace(this.told, nowMs - this.toldMs), mean: this.told.mean };
  }
}
