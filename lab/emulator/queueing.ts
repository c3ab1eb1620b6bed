/**
 * Answer times of back ends with a few slots each: Poisson arrivals, exponential work, a queue in front (Erlang C,
 * as in Kleinrock, "Queueing Systems", vol. 1).
 */
import { EMULATED } from './workloads.js';

/** Load of one back end in one second. */
export interface ServedLoad {
  /** Requests a second. */
  readonly requests: number;
}

/** Longest time that a request is given, in ms. */
const DEADLINE_MS = 2_000;

const SEARCH_STEPS = 40;
const MS_PER_SECOND = 1_000;

/** Time within which a share of all requests are answered, in ms. */
export function answerTimeMs(loads: readonly ServedLoad[], share: number): number {
  const total = loads.reduce((sum, { requests }) => sum + requests, 0);
  let low = 0;
  let high = DEADLINE_MS;
  for (let step = 0; step < SEARCH_STEPS; step += 1) {
    const middle = (low + high) / 2;
    const late = loads.reduce((sum, { requests }) => sum + requests * shareAbove(requests, middle), 0);
    if (late / total > 1 - share) low = middle;
    else high = middle;
  }
  return high;
}

/** Share of the requests of a back end that take longer than `ms`, waiting and work together. */
function shareAbove(requests: number, ms: number): number {
  const { slots, workMs } = EMULATED;
  const rate = 1 / workMs;
  const arrivals = requests / MS_PER_SECOND;
  const spare = slots * rate - arrivals;
  if (spare <= 0) return 1;
  const waiting = erlangC(slots, arrivals / rate);
  const work = Math.exp(-rate * ms);
  if (Math.abs(spare - rate) < 1e-9) return work * (1 + waiting * rate * ms);
  return work + (waiting * rate * (Math.exp(-rate * ms) - Math.exp(-spare * ms))) / (spare - rate);
}

/** Probability that a request has to wait. */
function erlangC(slots: number, offered: number): number {
  let blocking = 1;
  for (let slot = 1; slot <= slots; slot += 1) blocking = (offered * blocking) / (slot + offered * blocking);
  const utilisation = offered / slots;
  return blocking / (1 - utilisation * (1 - blocking));
}
