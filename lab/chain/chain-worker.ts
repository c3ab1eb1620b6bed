/** Simulates one chain in its own thread, so that mechanisms of `src/policy-switches.ts` can be disabled for it alone. */
import { parentPort, workerData } from 'node:worker_threads';
import type { ChainSpec } from './chain-spec.js';

/** Input of a worker. */
export interface ChainTask {
  readonly spec: ChainSpec;
  readonly seed: number;
  /** Mechanisms to disable, separated by commas. */
  readonly without: string;
}

/** Figures of one simulation. */
export interface ChainFigures {
  readonly seed: number;
  /** Share of the callers' requests answered in time, in the whole simulation and in its last third. */
  readonly inTime: number;
  readonly inTimeAtEnd: number;
  /** Share of the runs that failed. */
  readonly badRuns: number;
  /** Messages and refusals between daemons per request. */
  readonly messages: number;
  readonly refusals: number;
}

/** Result of a worker. */
export interface ChainResult {
  readonly figures: ChainFigures;
  /** The complete report as lines of text. */
  readonly lines: readonly string[];
}

const { spec, seed, without } = workerData as ChainTask;

// Replaces the build-time constant of a trial bundle; set before the modules that read it are loaded.
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
