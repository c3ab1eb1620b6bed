/** Interface for recording the durations of request stages; implemented by the metrics, if they are enabled. */

/** Stages of a request, and of a change of the configuration. */
export type LatencyStage =
  /** From the arrival of a caller's request at this daemon to its answer. */
  | 'request'
  /** From the arrival of a caller's request to its last attempt: back-end selection, probes, and earlier refusals. */
  | 'choice'
  /** Waiting for a slot or for ownership of keys, in the back end's sidecar. */
  | 'waiting'
  /** Processing by the back end. */
  | 'backend'
  /** Configuration change at a directory replica: parsing, waiting for the previous batch, local disk sync, quorum. */
  | 'change-read'
  | 'change-queue'
  | 'change-sync'
  | 'change-quorum';

/** Records durations in ms. */
export interface Latencies {
  observe(stage: LatencyStage, service: string, ms: number): void;
}

/** Discards all durations. */
export const NO_LATENCIES: Latencies = { observe: () => undefined };
