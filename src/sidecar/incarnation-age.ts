/**
 * Decides whether an incarnation that a registration has made known for the first time is so young that no previous
 * process of this daemon can have served it. Callers send requests only to registered incarnations, and a registration
 * lasts for at least one lease term, so an incarnation younger than the term whose registration started the session was
 * never registered before. Pure.
 */

/**
 * Maximum age in ms, also under a longer lease: a previous process may have ended a registration before its term, when
 * the back end refused connections, and the shorter the span, the less room it leaves for that.
 */
const MAX_NEW_AGE_MS = 4_000;

/**
 * Sequence of a heartbeat up to which its sender counts as new if it states no start time. A back end that repeats
 * unacknowledged heartbeats at short intervals exceeds it while it is new.
 */
const MAX_NEW_SEQUENCE = 4;

/** What is known of an incarnation whose registration has just started its session. Times are in ms. */
export interface NewIncarnationEvidence {
  /** Sequence of its newest heartbeat. */
  readonly sequence: number;
  /** Its start time by the wall clock of the machine; null if not reported. */
  readonly bornMs: number | null;
  /** Present time of the same clock. */
  readonly wallMs: number;
  readonly leaseTermMs: number;
  /**
   * Whether another incarnation was registered at this daemon until then, and this process knew no other one before: the
   * one that began later is registered now.
   */
  readonly replacesAnother: boolean;
  /** Remaining cold time in the newest heartbeat; null if not reported. */
  readonly coldLeftMs: number | null;
  /** Time for which an incarnation of the service is cold after its start; null if it does not start cold. */
  readonly coldDurationMs: number | null;
}

/** Whether the incarnation certainly began when no previous process of this daemon could have served it. */
export function isCertainlyNew(evidence: NewIncarnationEvidence): boolean {
  const { bornMs, wallMs, sequence } = evidence;
  const ageMs = bornMs === null ? NaN : wallMs - bornMs;
  if (ageMs >= 0) return ageMs < maxAgeMs(evidence) && !isOlderByColdTime(evidence, ageMs);
  return sequence <= MAX_NEW_SEQUENCE || isNewByColdTime(evidence);
}

function maxAgeMs({ leaseTermMs }: NewIncarnationEvidence): number {
  return Math.min(leaseTermMs, MAX_NEW_AGE_MS);
}

/** Whether the back end is warm earlier than its age allows, which means that the clock was set back. */
function isOlderByColdTime({ coldLeftMs, coldDurationMs }: NewIncarnationEvidence, ageMs: number): boolean {
  return coldLeftMs === 0 && coldDurationMs !== null && ageMs < coldDurationMs;
}

/**
 * Whether the back end is cold as after its start. That alone is no evidence, because an old one may become cold again,
 * for example during an evacuation; an old one would not follow another registered incarnation, however.
 */
function isNewByColdTime(evidence: NewIncarnationEvidence): boolean {
  const { replacesAnother, coldLeftMs, coldDurationMs } = evidence;
  if (!replacesAnother || coldLeftMs === null || coldLeftMs <= 0) return false;
  return coldDurationMs === null || coldDurationMs - coldLeftMs < maxAgeMs(evidence);
}
