/**
 * Finds the path of one request in the events of any number of daemons, with what they came to believe shortly
 * before, and names the cause of its end.
 */

/** Time before a request's first event from which changed beliefs are shown, in ms. */
const BELIEFS_BEFORE_MS = 10_000;

/** Events that change what a daemon believes about others. */
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
  'lease-expired',
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

/** What an event that ends a request says about it. */
const CAUSES: Readonly<Record<string, string>> = {
  'request-answered': 'it was answered',
  'request-not-run': 'it was refused, and was not run',
  'request-quarantined': 'it was refused for good: back ends had ended under it',
  'request-unknown': 'it may have run, and there is no answer',
  'answer-broken-off': 'its answer broke off after it had begun',
  'caller-gone': 'its caller left',
};

/** One line of a log. */
export interface LoggedEvent {
  readonly time: string;
  readonly daemon: string;
  readonly event: string;
  readonly [field: string]: unknown;
}

/** What is known of a request. */
export interface Explanation {
  readonly requestId: string;
  /** Its own events, in the order of time. */
  readonly path: readonly LoggedEvent[];
  /** What daemons on its path came to believe shortly before it and during it. */
  readonly beliefs: readonly LoggedEvent[];
  /** One sentence; null when no event of the request is in the logs. */
  readonly cause: string | null;
}

/** Reads the events of a log; whatever stands before the object on a line is passed over, as is any other line. */
export function readEvents(text: string): LoggedEvent[] {
  return text.split('\n').flatMap((line) => {
    const start = line.indexOf('{');
    if (start < 0) return [];
    try {
      const value = JSON.parse(line.slice(start)) as Partial<LoggedEvent>;
      const whole = [value.time, value.daemon, value.event].every((field) => typeof field === 'string');
      return whole ? [value as LoggedEvent] : [];
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
  const fromMs = Date.parse(first.time) - BELIEFS_BEFORE_MS;
  const untilMs = Date.parse(last.time);
  const beliefs = sorted.filter((event) => {
    const atMs = Date.parse(event.time);
    const concerns = daemons.has(event.daemon) || event.event === 'ranges-planned';
    return BELIEF_EVENTS.has(event.event) && concerns && atMs >= fromMs && atMs <= untilMs;
  });
  return { requestId, path, beliefs, cause: causeOf(path) };
}

/** The outcome comes from the daemon that took the request; what happened beside the back end says why. */
function causeOf(path: readonly LoggedEvent[]): string {
  const end = path.findLast(({ event }) => CAUSES[event] !== undefined);
  const beside = path.findLast(({ event }) => event === 'run-ended' || event === 'request-refused');
  const outcome = end === undefined ? 'its end is not in these logs' : (CAUSES[end.event] ?? '');
  const reason = typeof end?.['reason'] === 'string' ? `: ${end['reason']}` : '';
  return `${outcome}${reason}${describeBeside(beside)}`;
}

function describeBeside(event: LoggedEvent | undefined): string {
  if (event === undefined) return '';
  if (event.event === 'request-refused') {
    const { running, waiting, slots } = event;
    const places =
      slots === undefined
        ? ''
        : ` (${String(running)} ran, ${String(waiting)} waited, ${String(slots)} places)`;
    return `; ${event.daemon} refused it as ${String(event['reason'])}${places}`;
  }
  return `; at its back end, beside ${event.daemon}, the run ended as ${JSON.stringify(event['outcome'])}`;
}
