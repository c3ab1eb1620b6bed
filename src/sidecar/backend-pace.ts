/**
 * Pace of one back end: its current processing time as a factor of the usual one. Back ends share their machines with
 * other processes, so the pace changes many times a second; an older report predicts it less well than the mean.
 */
import { policyIsOn } from '../policy-switches.js';

/** Weight of the newest report in the mean, once there are enough reports. */
const MIN_EWMA_WEIGHT = 0.05;

/** Time in ms after which the weight of a report has decayed to 1/e (about a third); slow phases last some 100 ms. */
const DECAY_TIME_MS = 250;

/** Range to which reported paces are clamped: a tenth of the usual processing time to twenty times as long. */
const MIN_PACE = 0.1;
const MAX_PACE = 20;

/** Current pace and its mean; 1 is the usual pace. */
export interface Pace {
  readonly now: number;
  readonly mean: number;
}

const NOMINAL_PACE: Pace = { now: 1, mean: 1 };

/** Clamps a reported pace to the accepted range; returns null if it is not a finite number. */
export function clampPace(reported: number): number | null {
  if (!Number.isFinite(reported)) return null;
  return Math.min(MAX_PACE, Math.max(MIN_PACE, reported));
}

/** Returns the expected pace `ageMs` after it was reported; it decays towards the mean. */
export function decayedPace({ now, mean }: Pace, ageMs: number): number {
  return mean + (now - mean) * Math.exp(-Math.max(0, ageMs) / DECAY_TIME_MS);
}

/** Estimates the pace of one back end from the reports in its answers. */
export class BackendPace {
  private latest: Pace | null = null;
  private latestMs = 0;
  private count = 0;

  /** Records the pace that an answer reported. */
  record(pace: number, nowMs: number): void {
    if (!policyIsOn('told-pace')) return;
    // The nominal pace counts as one report, so that a slow phase at the start does not become the mean.
    this.count += 1;
    const mean = this.latest?.mean ?? NOMINAL_PACE.mean;
    const weight = Math.max(MIN_EWMA_WEIGHT, 1 / (this.count + 1));
    this.latest = { now: pace, mean: mean + (pace - mean) * weight };
    this.latestMs = nowMs;
  }

  /** Discards all reports, for a new incarnation of the back end. */
  forget(): void {
    this.latest = null;
    this.count = 0;
  }

  /** Returns the expected pace; the nominal one if nothing was reported. */
  at(nowMs: number): Pace {
    if (this.latest === null) return NOMINAL_PACE;
    return { now: decayedPace(this.latest, nowMs - this.latestMs), mean: this.latest.mean };
  }
}
