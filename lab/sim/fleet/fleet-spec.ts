/** What a simulated fleet consists of, and what its callers ask for. Times are in ms. */
import type { GrantMode } from '../../../src/directory/directory-state.js';

/** A service of the fleet. */
export interface FleetService {
  readonly name: string;
  readonly keyed: boolean;
  readonly backends: number;
  /** How its keys are granted. */
  readonly grantMode: GrantMode;
}

/** Requests of one kind. */
export interface FleetTraffic {
  readonly name: string;
  readonly service: string;
  readonly method: 'GET' | 'POST';
  /** Path of the next request; the same each time for requests that come again. */
  readonly path: (number: number) => string;
  /** Key of the next request; null where its service is not divided by key. */
  readonly key: (number: number) => number | null;
  /** Mean pause between two of them. */
  readonly everyMs: number;
  /** From when on they come. */
  readonly fromMs: number;
  readonly deadlineMs: number;
  /** Mean time at the back end. */
  readonly workMs: number;
  /** Whether each back end that begins one ends when its work is done; or only those of some versions. */
  readonly endsBackend: boolean | readonly string[];
  /** How often its caller tries again, at once. */
  readonly retries: number;
}

/** A fleet and its traffic. */
export interface FleetSpec {
  readonly services: readonly FleetService[];
  readonly traffic: readonly FleetTraffic[];
  /** Time after which a back end that has ended is back. */
  readonly backAfterMs: number;
  /** Places at a back end. */
  readonly slots: number;
  /** Mean pause between ends of back ends that nothing caused; null for none. */
  readonly endsByItselfEveryMs: number | null;
}
