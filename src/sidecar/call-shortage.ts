/**
 * Refuses new work early while the calls that it needs cannot be answered. The load pattern is a shortage of a called
 * service: requests that start nevertheless hold their slots until their calls fail, and are then lost, also those that
 * must run at most once. Pure code; state per route and called service, which are few, with an upper bound.
 */
import type { EndedCall } from './nested-calls.js';

/** Weight of the newest call in the share of calls that fail. */
const EWMA_WEIGHT = 0.1;

/**
 * Time in ms within which an observation loses most of its weight when no further calls end. The shortages are peaks of
 * demand, after which callers expect service again within a second.
 */
const FADE_MS = 1_000;

/** Weight of a late call relative to one that fails: its parent may still be in time. */
const LATE_WEIGHT = 0.5;

/** Share of failing calls from which on work of the least and of the most urgent routes is refused. */
const MIN_FAILING_SHARE = 0.2;
const MIN_FAILING_SHARE_MOST_URGENT = 0.5;

/** Largest share of the work that is refused. The rest detects the end of the shortage. */
const MAX_REFUSED_SHARE = 0.9;
const MAX_REFUSED_SHARE_MOST_URGENT = 0.5;

/** Maximum number of pairs of route and called service; the one whose calls ended longest ago is evicted first. */
const MAX_PAIRS = 256;

/** Bounds in ms of the time after which a refused caller is asked to return. */
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 1_500;

/** Recent calls of one route to one service. */
interface CalledService {
  readonly route: string;
  readonly service: string;
  failingShare: number;
  updatedMs: number;
}

/** Early refusal of a request. */
export interface EarlyRefusal {
  /** Service whose calls fail. */
  readonly calledService: string;
  /** Time in ms after which calls may be answered again. */
  readonly retryAfterMs: number;
}

/** Shortages of the services that the local back end calls. */
export class CallShortages {
  /** Number of requests that were refused early. */
  refused = 0;
  private readonly pairs = new Map<string, CalledService>();
  /** Sum by route of the shares to refuse, less the requests that were refused for it. */
  private readonly dueRefusals = new Map<string, number>();

  /** Records the end of a call. */
  recordEnded({ parent, service, answered, elapsedMs, targetMs }: EndedCall, nowMs: number): void {
    const { route } = parent.request;
    const key = `${route}\n${service}`;
    const pair = this.pairs.get(key) ?? { route, service, failingShare: 0, updatedMs: nowMs };
    const failed = answered ? (elapsedMs > targetMs ? LATE_WEIGHT : 0) : 1;
    const share = fadedShare(pair, nowMs);
    pair.failingShare = share + (failed - share) * EWMA_WEIGHT;
    pair.updatedMs = nowMs;
    this.pairs.delete(key);
    this.pairs.set(key, pair);
    if (this.pairs.size > MAX_PAIRS) this.evictOldest();
  }

  /**
   * Decides whether new work of a route is refused; null if it is admitted. Refusals are spread evenly over the requests
   * of the route.
   */
  decide(route: string, priority: number, nowMs: number): EarlyRefusal | null {
    const worst = this.worstOf(route, nowMs);
    if (worst === null) return null;
    const failingShare = fadedShare(worst, nowMs);
    const due = (this.dueRefusals.get(route) ?? 0) + refusedShare(failingShare, priority);
    this.dueRefusals.set(route, due < 1 ? due : due - 1);
    if (due < 1) return null;
    this.refused += 1;
    return { calledService: worst.service, retryAfterMs: retryAfterMs(failingShare, priority) };
  }

  private worstOf(route: string, nowMs: number): CalledService | null {
    let worst: CalledService | null = null;
    for (const pair of this.pairs.values()) {
      if (pair.route !== route) continue;
      if (worst === null || fadedShare(pair, nowMs) > fadedShare(worst, nowMs)) worst = pair;
    }
    return worst;
  }

  private evictOldest(): void {
    const [oldest] = this.pairs;
    if (oldest === undefined) return;
    this.pairs.delete(oldest[0]);
    this.dueRefusals.delete(oldest[1].route);
  }
}

function fadedShare({ failingShare, updatedMs }: CalledService, nowMs: number): number {
  return failingShare * Math.exp((updatedMs - nowMs) / FADE_MS);
}

/** Returns the urgency of a priority: 1 for the most urgent, halved by each step. */
function urgencyOf(priority: number): number {
  return 0.5 ** priority;
}

function interpolate(least: number, most: number, urgency: number): number {
  return least + (most - least) * urgency;
}

function minFailingShare(priority: number): number {
  return interpolate(MIN_FAILING_SHARE, MIN_FAILING_SHARE_MOST_URGENT, urgencyOf(priority));
}

/** Returns the share of the work to refuse: in proportion to the failing calls beyond those that are tolerated. */
function refusedShare(failingShare: number, priority: number): number {
  const toleratedShare = minFailingShare(priority);
  const maxShare = interpolate(MAX_REFUSED_SHARE, MAX_REFUSED_SHARE_MOST_URGENT, urgencyOf(priority));
  return Math.min(maxShare, Math.max(0, (failingShare - toleratedShare) / (1 - toleratedShare)));
}

/** Returns the time in ms in which the failing share fades to the tolerated one if no further call fails. */
function retryAfterMs(failingShare: number, priority: number): number {
  const fadedMs = FADE_MS * Math.log(failingShare / minFailingShare(priority));
  return Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, fadedMs)));
}
