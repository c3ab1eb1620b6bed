/**
 * Reconstructs the path of one request from the logged events of any number of daemons, with the state changes ("beliefs")
 * of these daemons shortly before it, and determines the cause of its outcome.
 */

/** Period before a request's first event for which state changes are included, in ms. */
const BELIEF_PERIOD_MS = 10_000;

/** Events that record a change in a daemon's view of other processes. */
const BELIEF_EVENTS: ReadonlySet<string> = new Set([
  'backend-ended',
  'backend-gone',
  'backend-known',
  'directory-connected',
  'directory-lost',
  'evacuation',
  'fence-raised',
  'formed',
  'grant-failed',
  'heartbeat-ignored',
  'heartbeat-of-past-life',
  'leave-acknowledged',
  'leave-stated',
  'lease-expired',
  'limit-changed',
  'limit-forgotten',
  'limit-lifted',
  'limit-named',
  'link-lost',
  'membership-proposed',
  'range-released',
  'request-held',
  'ranges-planned',
  'registered',
  'registration-ended',
  'registration-given-up',
  'role-changed',
  'settings-read',
  'started',
  'stopping',
]);

/** Description of a request's outcome, by the event that ends it. */
const OUTCOMES: Readonly<Record<string, string>> = {
  'request-answered': 'it was answered',
  'request-not-run': 'it was refused, and was not run',
  'request-quarantined': 'it was refused for good: back ends had ended under it',
  'request-unknown': 'it may have run, and there is no answer',
  'answer-broken-off': 'its answer broke off after it had begun',
  'caller-gone': 'its caller left',
};

/** One event read from a log. */
export interface LoggedEvent {
  readonly time: string;
  readonly daemon: string;
  readonly event: string;
  readonly [field: string]: unknown;
}

/** Findings about one request. */
export interface Explanation {
  readonly requestId: string;
  /** Events of the request, ordered by time. */
  readonly path: readonly LoggedEvent[];
  /** State changes of the daemons on its path, shortly before and during the request. */
  readonly beliefs: readonly LoggedEvent[];
  /** Cause in one sentence; null if the logs contain no event of the request. */
  readonly cause: string | null;
}

/** Reads the events of a log. Text before the JSON object on a line is skipped, and so are lines without an event. */
export function readEvents(text: string): LoggedEvent[] {
  return text.split('\n').flatMap((line) => {
    const start = line.indexOf('{');
    if (start < 0) return [];
    try {
      const value = JSON.parse(line.slice(start)) as Partial<LoggedEvent>;
      const isEvent = [value.time, value.daemon, value.event].every((field) => typeof field === 'string');
      return isEvent ? [value as LoggedEvent] : [];
    } catch {
      return [];
    }
  });
}

/** Explains one request. */
export function explainRequest(requestId: string, events: readonly LoggedEvent[]): Explanation {
  const sorted = [...events].sort((left, right) => Date.parse(left.time) - Date.parse(right.time));
  const path = sorted.filter((event) => event['requestId'] === requestId);
  const first = path[0];
  const last = path.at(-1);
  if (first === undefined || last === undefined) return { requestId, path, beliefs: [], cause: null };
  const daemons = new Set(path.map(({ daemon }) => daemon));
  const fromMs = Date.parse(first.time) - BELIEF_PERIOD_MS;
  const untilMs = Date.parse(last.time);
  const beliefs = sorted.filter((event) => {
    const atMs = Date.parse(event.time);
    const isRelevant = daemons.has(event.daemon) || event.event === 'ranges-planned';
    return BELIEF_EVENTS.has(event.event) && isRelevant && atMs >= fromMs && atMs <= untilMs;
  });
  return { requestId, path, beliefs, cause: describeCause(path) };
}

/** Takes the outcome from the daemon that accepted the request, and the reason from the sidecar of the back end. */
function describeCause(path: readonly LoggedEvent[]): string {
  const end = path.findLast(({ event }) => OUTCOMES[event] !== undefined);
  const atBackend = path.findLast(({ event }) => event === 'run-ended' || event === 'request-refused');
  const outcome = end === undefined ? 'its end is not in these logs' : (OUTCOMES[end.event] ?? '');
  const reason = typeof end?.['reason'] === 'string' ? `: ${end['reason']}` : '';
  return `${outcome}${reason}${describeAtBackend(atBackend)}`;
}

function describeAtBackend(event: LoggedEvent | undefined): string {
  if (event === undefined) return '';
  if (event.event === 'request-refused') {
    const { running, waiting, slots } = event;
    const slotCounts =
      slots === undefined
        ? ''
        : ` (${String(running)} ran, ${String(waiting)} waited, ${String(slots)} places)`;
    const cause = `${describeLimit(event)}${describeLink(event)}${describeReturn(event)}`;
    return `; ${event.daemon} refused it as ${String(event['reason'])}${slotCounts}${cause}`;
  }
  return `; at its back end, beside ${event.daemon}, the run ended as ${JSON.stringify(event['outcome'])}`;
}

function describeLink({ linkFreeInMs }: LoggedEvent): string {
  if (typeof linkFreeInMs !== 'number') return '';
  return `; its network link had no room for the answer, and expected to have it ${linkFreeInMs} ms later`;
}

function describeReturn({ returnInMs }: LoggedEvent): string {
  return typeof returnInMs === 'number' ? `; it reserved room for a return ${returnInMs} ms later` : '';
}

function describeLimit({ reason, limitPerSecond }: LoggedEvent): string {
  if (reason !== 'rate-limited') return '';
  if (typeof limitPerSecond !== 'number') return '; whether its back end names a limit was not known yet';
  return `; its back end names a limit of ${limitPerSecond} requests a second`;
}
