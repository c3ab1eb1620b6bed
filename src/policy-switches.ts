/**
 * The mechanisms that decide, each behind a switch. A trial bundle may be built without some of them, to measure what
 * each is worth (`deploy/build.mjs --without NAME,...`); a bundle that is shipped has all of them.
 */

/** The switches, by mechanism. */
export type PolicySwitch =
  /** Requests that will be late wait up to their deadline while such waiting brings answers. */
  | 'late-waiting'
  /** Requests that will be late start only while some places stay free for those that can be in time. */
  | 'late-reserve'
  /** A caller that came back waits up to its deadline for keys that are on their way. */
  | 'key-patience'
  /** Refusals tell when to come back by what is in the way. */
  | 'retry-hints'
  /** A back end of the same zone is preferred while it has room. */
  | 'zone-preference'
  /** Load of keys counts when it is asked for, not when it has been served. */
  | 'offered-load'
  /** Load is reported and planned sooner while requests wait. */
  | 'quick-balance'
  /** Keys that were moved for balance stay where they are for some time. */
  | 'move-rest'
  /** Short work gets the next place, whatever its rank. */
  | 'short-work-first'
  /** Answers of a few KB wait for a slow network link in turn, as large ones do. */
  | 'small-answers-paced'
  /** A few back ends are asked how busy they are before one is chosen; without it only answers tell. */
  | 'probed-choice'
  /** What answers have told lately is used before anyone is asked, and a request waits for probes once at most. */
  | 'known-first'
  /** A request that several daemons refused as busy is not taken to further ones. */
  | 'bounded-refusals'
  /** Long work leaves some places free for short work. */
  | 'short-work-reserve'
  /** A replica that has heard no leader since its start stands for election after a heartbeat, not a whole timeout. */
  | 'early-election'
  /** Everything that a daemon sends over a slow network link counts against the link, with what the network adds. */
  | 'link-accounting'
  /** What back ends tell of how long work takes there at this moment, and the time that each route takes, are used. */
  | 'told-pace'
  /** A large answer is accepted only if it would be in time also behind a longer queue for the link than is foretold. */
  | 'link-margin'
  /** Large frames share a slow network link slice by slice, the one with least left first. */
  | 'link-slices'
  /** Large answers that are still being worked on count as waiting for a slow network link. */
  | 'expected-answers';

/** Names of the mechanisms that this bundle was built without, separated by commas; set by the bundler. */
declare const ALDERTIDE_WITHOUT: string | undefined;

const left = new Set(typeof ALDERTIDE_WITHOUT === 'string' ? ALDERTIDE_WITHOUT.split(',') : []);

/** Whether a mechanism takes part in decisions. */
export function policyIsOn(name: PolicySwitch): boolean {
  return !left.has(name);
}
