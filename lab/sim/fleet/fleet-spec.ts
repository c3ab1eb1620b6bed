/** Specification of a simulated fleet and its traffic. Times are in ms. */
import type { GrantMode } from '../../../src/directory/directory-state.js';

/** A service of the fleet. */
export interface FleetService {
  readonly name: string;
  readonly keyed: boolean;
  readonly backends: number;
  /** Mode in which its keys are granted. */
  readonly grantMode: GrantMode;
  /** Path at which its back ends can be probed; null for none, `/health` if missing. */
  readonly healthPath?: string | null;
}

/** Traffic of one kind of request. */
export interface FleetTraffic {
  readonly name: string;
  readonly service: string;
  readonly method: 'GET' | 'POST';
  /** Path of the request with the given number; a constant path models a repeated request. */
  readonly path: (number: number) => string;
  /** Key of the request with the given number; null if the service is not keyed. */
  readonly key: (number: number) => number | null;
  /** Mean interval between requests. */
  readonly meanIntervalMs: number;
  /** Time of the first request. */
  readonly startMs: number;
  readonly deadlineMs: number;
  /** Mean processing time at the back end. */
  readonly workMs: number;
  /** Whether a back end ends after processing such a request, or the back-end versions that do. */
  readonly endsBackend: boolean | readonly string[];
  /** Maximum number of retries by the caller, each as soon as the answer allows. */
  readonly maxRetries: number;
}

/** A fleet and its traffic. */
export interface FleetSpec {
  readonly services: readonly FleetService[];
  readonly traffic: readonly FleetTraffic[];
  /** Time after which an ended back end restarts. */
  readonly restartDelayMs: number;
  /** Slots of a back end. */
  readonly slots: number;
  /** Interval between spontaneous ends of back ends; null for none. */
  readonly spontaneousEndIntervalMs: number | null;
}
