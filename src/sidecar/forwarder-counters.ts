/** Counters of the requests that one daemon has taken from callers. */

/** Names of the classes by which ended requests are counted: how many daemons refused them, from 0 up. */
const REFUSAL_CLASSES = ['0', '1', '2-3', '4-7', '8+'] as const;

/** Least number of refusals of each class after the first. */
const CLASS_STARTS = [1, 2, 4, 8] as const;

/** A class of ended requests. */
export type RefusalClass = (typeof REFUSAL_CLASSES)[number];

/** Counters of all requests of a daemon. */
export interface ForwarderCounters {
  attempts: number;
  repeats: number;
  answered: number;
  notRun: number;
  unknown: number;
  cancelled: number;
  /** Requests that were refused for good, since back ends ended under them. */
  quarantined: number;
  /** Ended requests whose caller had been refused before. */
  returned: number;
  /** Of these, requests that were answered. */
  returnedAnswered: number;
  /** Ended requests, by how many daemons had refused them. */
  readonly byRefusals: Record<RefusalClass, number>;
}

/** New counters. */
export function forwarderCounters(): ForwarderCounters {
  return {
    attempts: 0,
    repeats: 0,
    answered: 0,
    notRun: 0,
    unknown: 0,
    cancelled: 0,
    quarantined: 0,
    returned: 0,
    returnedAnswered: 0,
    byRefusals: { '0': 0, '1': 0, '2-3': 0, '4-7': 0, '8+': 0 },
  };
}

/** A request has ended that so many daemons had refused. */
export function noteRefusals(counters: ForwarderCounters, refusals: number): void {
  const at = CLASS_STARTS.filter((start) => refusals >= start).length;
  counters.byRefusals[REFUSAL_CLASSES[at] ?? '8+'] += 1;
}
