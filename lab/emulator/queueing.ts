/**
 * Response times of back ends as M/M/c queues: Poisson arrivals, exponential service times, one queue in front of the
 * slots (Erlang C, as in Kleinrock, "Queueing Systems", vol. 1).
 */
import { EMULATED_SERVICE } from './workloads.js';

/** Load of one back end in one second. */
export interface ServedLoad {
  /** Requests per second. */
  readonly requests: number;
}

/** Upper bound of the response times considered, in ms: the deadline of a request. */
const MAX_ANSWER_TIME_MS = 2_000;

const SEARCH_STEPS = 40;
const MS_PER_SECOND = 1_000;

/** Returns the time in ms within which `share` of all requests are answered. */
export function answerTimePercentileMs(loads: readonly ServedLoad[], share: number): number {
  const total = loads.reduce((sum, { requests }) => sum + requests, 0);
  let low = 0;
  let high = MAX_ANSWER_TIME_MS;
  for (let step = 0; step < SEARCH_STEPS; step += 1) {
    const midpoint = (low + high) / 2;
    const slowRequests = loads.reduce(
      (sum, { requests }) => sum + requests * shareSlowerThan(requests, midpoint),
      0,
    );
    if (slowRequests / total > 1 - share) low = midpoint;
    else high = midpoint;
  }
  return high;
}

/** Returns the share of a back end's requests whose waiting and service time together exceed `ms`. */
function shareSlowerThan(requests: number, ms: number): number {
  const { slots, workMs } = EMULATED_SERVICE;
  const rate = 1 / workMs;
  const arrivals = requests / MS_PER_SECOND;
  const spare = slots * rate - arrivals;
  if (spare <= 0) return 1;
  const waitProbability = erlangC(slots, arrivals / rate);
  const work = Math.exp(-rate * ms);
  if (Math.abs(spare - rate) < 1e-9) return work * (1 + waitProbability * rate * ms);
  return work + (waitProbability * rate * (Math.exp(-rate * ms) - Math.exp(-spare * ms))) / (spare - rate);
}

/** Returns the probability that a request has to wait for a slot. */
function erlangC(slots: number, offered: number): number {
  let blocking = 1;
  for (let slot = 1; slot <= slots; slot += 1) blocking = (offered * blocking) / (slot + offered * blocking);
  const utilisation = offered / slots;
  return blocking / (1 - utilisation * (1 - blocking));
}
