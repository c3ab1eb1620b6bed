/** Plays one chain in a thread of its own, so that it can leave out mechanisms of `src/policy-switches.ts`. */
import { parentPort, workerData } from 'node:worker_threads';
import type { ChainSpec } from './chain-spec.js';

/** What a worker is given. */
export interface ChainTask {
  readonly spec: ChainSpec;
  readonly seed: number;
  /** Mechanisms that are left out, separated by commas. */
  readonly without: string;
}

/** Figures of one play. */
export interface ChainFigures {
  readonly seed: number;
  /** Share of the callers' requests that were answered in time, in the whole play and in its last third. */
  readonly inTime: number;
  readonly inTimeAtEnd: number;
  /** Share of the runs that ended badly. */
  readonly badRuns: number;
  /** Messages and refusals between daemons, for each request. */
  readonly messages: number;
  readonly refusals: number;
}

/** What a worker gives back. */
export interface ChainResult {
  readonly figures: ChainFigures;
  /** The whole report, for a reader. */
  readonly lines: readonly string[];
}

const { spec, seed, without } = workerData as ChainTask;

// Stands for the constant of a trial bundle; the modules that read it are loaded after this.
(globalThis as { ALDERTIDE_WITHOUT?: string }).ALDERTIDE_WITHOUT = without;
const { playChain } = await import('./chain-world.js');

const report = playChain(spec, seed);
const runs = report.goodRuns + report.badRuns;
const figures: ChainFigures = {
  seed,
  inTime: report.shareInTime(0, spec.lengthMs),
  inTimeAtEnd: report.shareInTime((spec.lengthMs * 2) / 3, spec.lengthMs),
  badRuns: report.badRuns / Math.max(1, runs),
  messages: report.messages / report.requests,
  refusals: report.refusals / report.requests,
};
const result: ChainResult = { figures, lines: report.lines() };
parentPort?.postMessage(result);
