/**
 * Switches for the routing and placement policies. A trial bundle can be built without some of them to measure the
 * effect of each (`deploy/build.mjs --without NAME,...`); shipped bundles contain all of them.
 */

/** Names of the policies that can be disabled. */
export type PolicySwitch =
  /** Requests expected to miss their target latency wait up to their deadline, while such waits lead to answers. */
  | 'late-waiting'
  /** Requests expected to miss their target latency start only while slots stay free for those that can meet it. */
  | 'late-reserve'
  /** A retried request waits up to its deadline for keys that are being moved. */
  | 'key-patience'
  /** Refusals carry a retry delay that depends on their cause. */
  | 'retry-hints'
  /** Back ends of the same zone are preferred while they have capacity. */
  | 'zone-preference'
  /** The load of keys is counted when requests arrive, not when they have been served. */
  | 'offered-load'
  /** Load is reported and planned at shorter intervals while requests wait. */
  | 'quick-balance'
  /** Keys moved for balance are not moved for balance again for some time. */
  | 'move-rest'
  /** Short requests get the next free slot, regardless of priority. */
  | 'short-work-first'
  /** Answers of a few KB are queued for a slow network link, like large ones. */
  | 'small-answers-paced'
  /** A few back ends are probed for their load before one is chosen; without it, load is known only from answers. */
  | 'probed-choice'
  /** Recent load figures from answers are used before back ends are probed, and a request waits for probes at most once. */
  | 'known-first'
  /** A request that several daemons refused as overloaded is not sent to further ones. */
  | 'bounded-refusals'
  /** Long requests leave some slots free for short ones. */
  | 'short-work-reserve'
  /** A replica without contact to a leader since its start becomes a candidate after one heartbeat, not a full timeout. */
  | 'early-election'
  /** All bytes that a daemon sends over a slow network link count against its bandwidth, including network overhead. */
  | 'link-accounting'
  /** Service time estimates use the current pace reported by back ends and the time taken by each route. */
  | 'told-pace'
  /** A large answer is accepted only if it would be in time even if the link's queue were longer than forecast. */
  | 'link-margin'
  /** Large frames share a slow network link in slices, the one with the fewest bytes left first. */
  | 'link-slices'
  /** Large answers that are still being computed count as queued for a slow network link. */
  | 'expected-answers';

/** Comma-separated names of the policies that this bundle was built without; set by the bundler. */
declare const ALDERTIDE_WITHOUT: string | undefined;

const excluded = new Set(typeof ALDERTIDE_WITHOUT === 'string' ? ALDERTIDE_WITHOUT.split(',') : []);

/** Whether a policy is part of this build. */
export function policyIsOn(name: PolicySwitch): boolean {
  return !excluded.has(name);
}
