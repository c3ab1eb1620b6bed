/** Where the stages of requests report how long they took; the metrics collect it, or nobody does. */

/** Stages of a request, and of a change of the configuration. */
export type LatencyStage =
  /** From a caller's request to the answer, as this daemon saw it. */
  | 'request'
  /** From a caller's request to its last attempt at a back end: choosing, probes, and refusals before it. */
  | 'choice'
  /** Waiting for a place or for keys, beside the back end. */
  | 'waiting'
  /** At the back end. */
  | 'backend'
  /** A change of the configuration at a directory: until it is read, waiting for the batch before, its own disk, a quorum. */
  | 'change-read'
  | 'change-queue'
  | 'change-sync'
  | 'change-quorum';

/** Takes times in ms. */
export interface Latencies {
  observe(stage: LatencyStage, service: string, ms: number): void;
}

/** Collects nothing. */
export const NO_LATENCIES: Latencies = { observe: () => undefined };
