/**
 * Rule on request limits: once callers have received an answer that names a limit, the back end gets no more requests
 * than the limit allows, over all machines together and whatever happens to the daemons. Times are in ms.
 */

/** Length of the sliding window. */
const WINDOW_MS = 4_000;

/** Factor and constant by which the requests in a window may exceed the limit. */
const EXCESS_FACTOR = 1.5;
const EXCESS_REQUESTS = 5;

/** Time from the first answer that names a limit until the limit must be kept. */
const REACTION_MS = 500;

const MS_PER_SECOND = 1_000;

/** Limit that must be kept from a point in time on. */
interface BindingLimit {
  readonly perSecond: number;
  readonly sinceMs: number;
}

/** State of one back end. */
interface LimitedBackend {
  /** Limit that its answers name; null for none. */
  stated: number | null;
  binding: BindingLimit | null;
  readonly arrivals: number[];
}

/** Checks the requests that reach back ends against the limits that these name. */
export class RequestLimitRule {
  private readonly backends = new Map<string, LimitedBackend>();

  constructor(private readonly report: (atMs: number, detail: string) => void) {}

  /** Records the limit that a back end names in its answers from now on; null for none. */
  stated(backend: string, perSecond: number | null, nowMs: number): void {
    const state = this.stateOf(backend);
    if (state.stated === perSecond) return;
    state.stated = perSecond;
    const { binding } = state;
    if (perSecond === null) state.binding = null;
    else if (binding !== null && binding.perSecond < perSecond) state.binding = { perSecond, sinceMs: nowMs };
  }

  /** Records that a caller has received an answer that names a limit. */
  told(backend: string, perSecond: number, nowMs: number): void {
    const state = this.stateOf(backend);
    const isKnown = state.binding?.perSecond === perSecond;
    if (state.stated !== perSecond || isKnown) return;
    state.binding = { perSecond, sinceMs: nowMs + REACTION_MS };
  }

  /** Records that a request reaches a back end. */
  arrived(backend: string, nowMs: number): void {
    const state = this.backends.get(backend);
    if (state === undefined) return;
    state.arrivals.push(nowMs);
    while ((state.arrivals[0] ?? nowMs) < nowMs - WINDOW_MS) state.arrivals.shift();
    const { binding } = state;
    if (binding === null || nowMs < binding.sinceMs) return;
    const count = state.arrivals.filter((atMs) => atMs >= binding.sinceMs).length;
    const allowed = (binding.perSecond * WINDOW_MS * EXCESS_FACTOR) / MS_PER_SECOND + EXCESS_REQUESTS;
    if (count <= allowed) return;
    const detail = `${backend} names a limit of ${binding.perSecond} a second and got ${count} requests in ${WINDOW_MS} ms; allowed ${allowed}`;
    this.report(nowMs, detail);
  }

  private stateOf(backend: string): LimitedBackend {
    const known = this.backends.get(backend);
    if (known !== undefined) return known;
    const state: LimitedBackend = { stated: null, binding: null, arrivals: [] };
    this.backends.set(backend, state);
    return state;
  }
}
