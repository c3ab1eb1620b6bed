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
  'request-unanswered': 'its connection was closed without a whole answer',
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
  return `${outcome}${reason}${describeAtBackend(atBackend)}${describeAnswer(path)}${describeCall(path)}`;
}

/** What marks the end of an answer, by the name under which the daemon beside the back end logs it. */
const DELIMITERS: Readonly<Record<string, string>> = {
  head: 'its head alone',
  length: 'a stated length',
  chunks: 'chunks',
  'connection-end': 'nothing but the end of its connection',
};

/** Describes how the answer was delimited at the back end, and what else came on its connection. */
function describeAnswer(path: readonly LoggedEvent[]): string {
  const received = path.findLast(({ event }) => event === 'answer-received');
  const surplus = path.findLast(({ event }) => event === 'surplus-bytes');
  const fault = path.findLast(({ event }) => event === 'answer-not-delivered');
  const parts: string[] = [];
  if (received !== undefined) parts.push(describeReceived(received));
  if (surplus !== undefined) {
    const kind = surplus['isAnswer'] === true ? ', which begin like another answer,' : '';
    parts.push(`${String(surplus['bytes'])} bytes${kind} came on its connection afterwards`);
  }
  if (fault !== undefined) {
    const passed = `${String(fault['passedBytes'])} bytes of its body`;
    parts.push(`${fault.daemon} did not deliver it whole (${String(fault['fault'])}, after ${passed})`);
  }
  return parts.map((part) => `; ${part}`).join('');
}

function describeReceived(event: LoggedEvent): string {
  const delimiter = DELIMITERS[String(event['delimitedBy'])] ?? 'nothing, since its head did not come';
  const others = Number(event['otherAnswers'] ?? 0);
  const surplus = Number(event['surplusBytes'] ?? 0);
  const besides = [
    ...(others > 0 ? [`${others} answers to other requests`] : []),
    ...(surplus > 0 ? [`${surplus} surplus bytes`] : []),
  ];
  const beside = besides.length === 0 ? '' : `, beside ${besides.join(' and ')}`;
  const size = `${String(event['bodyBytes'])} bytes`;
  return `its answer of ${size} was delimited by ${delimiter}, and its connection was ${String(event['connection'])}${beside}`;
}

/** Describes the relation of a call to the request that waited for it, and why it waited or was refused. */
function describeCall(path: readonly LoggedEvent[]): string {
  const event = path.findLast(({ inheritedPriority }) => typeof inheritedPriority === 'number');
  if (event === undefined) return '';
  const caller = path.findLast(({ parent }) => typeof parent === 'string');
  const parent = caller === undefined ? 'another request' : `request ${String(caller['parent'])}`;
  const criterion = caller?.['parentBy'] === 'deadline' ? ', as its deadline shows' : '';
  const priority = String(event['inheritedPriority']);
  return `; it was a call of ${parent}${criterion}, and inherited priority ${priority}${describeCallWait(path)}`;
}

/** Reason why a call was refused, by the cause that the daemon beside the back end logs. */
const CALL_REFUSALS: Readonly<Record<string, string>> = {
  'queue-too-long': 'the calls before it needed longer than its parent had',
  'parent-time-up': 'no place became free while its parent had time',
  'link-too-slow': 'its answer would have passed the network link too late',
};

function describeCallWait(path: readonly LoggedEvent[]): string {
  const refusal = path.findLast(({ cause }) => typeof cause === 'string');
  const refused = CALL_REFUSALS[String(refusal?.['cause'])];
  if (refused !== undefined) return `; ${refused}`;
  const waitedMs = path.findLast(({ event }) => event === 'request-answered')?.['waitedMs'];
  if (typeof waitedMs !== 'number' || waitedMs <= 0) return '';
  return `; it waited ${waitedMs} ms for a place, behind running work and calls of more urgent requests`;
}

function describeAtBackend(event: LoggedEvent | undefined): string {
  if (event === undefined) return '';
  if (event.event === 'request-refused') {
    const { running, waiting, slots } = event;
    const slotCounts =
      slots === undefined
        ? ''
        : ` (${String(running)} ran, ${String(waiting)} waited, ${String(slots)} places)`;
    const cause = `${describeLimit(event)}${describeLink(event)}${describeShortage(event)}`;
    return `; ${event.daemon} refused it as ${String(event['reason'])}${slotCounts}${cause}`;
  }
  const { trace, ...outcome } = (event['outcome'] ?? {}) as { trace?: LoggedEvent };
  const answer = trace === undefined ? '' : `; ${describeReceived(trace)}`;
  return `; at its back end, beside ${event.daemon}, the run ended as ${JSON.stringify(outcome)}${answer}`;
}

/** Describes why new work was refused although its back end had room for it. */
function describeShortage({ cause, calledService }: LoggedEvent): string {
  if (cause !== 'calls-failing') return '';
  return `; it needs calls to ${String(calledService)}, which fail or come late there`;
}

function describeLink({ linkFreeInMs }: LoggedEvent): string {
  if (typeof linkFreeInMs !== 'number') return '';
  return `; its network link had no room for the answer, and expected to have it ${linkFreeInMs} ms later`;
}

function describeLimit({ reason, limitPerSecond }: LoggedEvent): string {
  const isTrial = reason === 'busy' && limitPerSecond === null;
  if (reason !== 'rate-limited' && !isTrial) return '';
  if (typeof limitPerSecond !== 'number') return '; whether its back end names a limit was not known yet';
  return `; its back end names a limit of ${limitPerSecond} requests a second`;
}
