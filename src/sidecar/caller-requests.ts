/** The callers' requests that are in flight at one sidecar. */
import {
  QUARANTINE_REASON,
  type CallerRequest,
  type CallerSink,
  type RequestHandle,
} from './caller-request.js';
import type { IncomingRequest } from './caller-server.js';
import type { DirectoryTable } from './directory-table.js';
import type { ForwarderCounters } from './forwarder-counters.js';
import { ForwardedRequest, type ForwarderPorts } from './request-forwarder.js';
import { headerValue } from './header-dialect.js';
import { localAnswer, LOCAL_STATUS, type LocalAnswer } from './local-answer.js';
import type { RequestIntake } from './request-intake.js';
import { RetryAllowance, type RetryBudget } from './retry-allowance.js';

/** Dependencies that the sidecar provides. */
export interface CallerRequestPorts {
  readonly intake: RequestIntake;
  readonly table: DirectoryTable;
  readonly forwarding: Omit<ForwarderPorts, 'takeRepeat' | 'mayRepeat'>;
  readonly retryBudget: RetryBudget;
  /** Number of sidecars that share the retry budget. */
  readonly daemons: () => number;
  /** Time in ms until requests in flight are ended because the daemon stops; infinite while it does not. */
  readonly stopsInMs: () => number;
}

/** Retry delay in ms given to callers while the daemon is stopping. */
const STOPPING_RETRY_AFTER_MS = 500;

/** Time that a repeatable request must have until the daemon stops, as a factor on what its work usually takes. */
const MIN_WORK_MARGIN = 2;

/** Answer to requests that this daemon cannot finish. */
export const STOPPING_ANSWER: LocalAnswer = {
  statusCode: LOCAL_STATUS.notRun,
  reason: 'stopping',
  retryAfterMs: STOPPING_RETRY_AFTER_MS,
};

/** Starts callers' requests, tracks those in flight and keeps the retry allowance of each service. */
export class CallerRequests {
  private readonly requestsInFlight = new Set<ForwardedRequest>();
  private readonly allowances = new Map<string, RetryAllowance>();
  private readonly forwarderPorts: ForwarderPorts;

  constructor(
    private readonly ports: CallerRequestPorts,
    private readonly counters: ForwarderCounters,
  ) {
    const { forwarding, daemons } = ports;
    this.forwarderPorts = {
      ...forwarding,
      mayRepeat: (request) => this.quarantinedFingerprint(request) === null,
      takeRepeat: (service) => this.allowanceOf(service).takeRepeat(forwarding.runtime.steadyMs(), daemons()),
    };
  }

  /** Returns the handle of a request that is to be forwarded, or an immediate answer. */
  handle(incoming: IncomingRequest, sink: CallerSink): RequestHandle | LocalAnswer {
    const read = this.ports.intake.prepare(incoming);
    if ('statusCode' in read) return read;
    const prepared = this.withinStop(read);
    if (prepared === null) return STOPPING_ANSWER;
    const refused = this.quarantineAnswer(prepared);
    if (refused !== null) return refused;
    this.allowanceOf(prepared.service).recordRequest(this.ports.forwarding.runtime.steadyMs());
    const forwarded = new ForwardedRequest(
      prepared,
      sinkWithCompletion(sink, () => this.requestsInFlight.delete(forwarded)),
      this.forwarderPorts,
      this.counters,
    );
    this.requestsInFlight.add(forwarded);
    return {
      start: () => {
        // It may have been held since before the stop was announced.
        if (this.withinStop({ ...prepared, deadlineMs: forwarded.leftMs }) === null) forwarded.endAtStop();
        else forwarded.start();
      },
      leftMs: () => forwarded.leftMs,
      cancel: () => {
        this.requestsInFlight.delete(forwarded);
        forwarded.cancel();
      },
    };
  }

  /**
   * Returns a request whose deadline lies before the end of the requests in flight; null if it could not end by then. A
   * request that must not run twice has to have all of its time, since its caller could not learn whether it has run.
   */
  private withinStop(request: CallerRequest): CallerRequest | null {
    const leftMs = this.ports.stopsInMs();
    if (request.deadlineMs <= leftMs) return request;
    const { route } = request;
    const isRepeatable = route.definition.kind !== 'non-idempotent';
    if (!isRepeatable || (route.workMs ?? 0) * MIN_WORK_MARGIN >= leftMs) return null;
    return { ...request, deadlineMs: leftMs };
  }

  /** Ends all requests in flight with an answer, because the daemon stops. */
  endAll(): void {
    for (const request of [...this.requestsInFlight]) request.endAtStop();
  }

  /** Returns the final answer to a quarantined request before any work is spent on it; null if it may run. */
  private quarantineAnswer(request: CallerRequest): LocalAnswer | null {
    const { forwarding } = this.ports;
    const fingerprint = this.quarantinedFingerprint(request);
    if (fingerprint === null) return null;
    this.counters.quarantined += 1;
    const { requestId, route, service } = request;
    forwarding.log.event('request-quarantined', { requestId, route: route.name, service, fingerprint });
    return localAnswer(LOCAL_STATUS.quarantined, QUARANTINE_REASON);
  }

  /** Returns the fingerprint of a request that no back end of its service may run; null if one may. */
  private quarantinedFingerprint(request: CallerRequest): string | null {
    const { table } = this.ports;
    const identified = { ...request, host: headerValue(request.headers, 'host') };
    return table.quarantine.fingerprintIfQuarantined(identified, () => table.versionsOf(request.service));
  }

  /** Notifies the requests in flight, which may be waiting for a change of the table. */
  tableChanged(): void {
    for (const request of [...this.requestsInFlight]) request.tableChanged();
  }

  private allowanceOf(service: string): RetryAllowance {
    const existing = this.allowances.get(service);
    if (existing !== undefined) return existing;
    const allowance = new RetryAllowance(this.ports.retryBudget);
    this.allowances.set(service, allowance);
    return allowance;
  }
}

/** Wraps a sink so that `onComplete` is called before its final call. */
function sinkWithCompletion(sink: CallerSink, onComplete: () => void): CallerSink {
  return {
    answer: (head, body, onTaken) => {
      if (!head.moreFollows) onComplete();
      sink.answer(head, body, onTaken);
    },
    body: (chunk, onTaken) => {
      sink.body(chunk, onTaken);
    },
    end: () => {
      onComplete();
      sink.end();
    },
    hasRequestsBehind: () => sink.hasRequestsBehind(),
    overdue: (onExpendable) => {
      sink.overdue(onExpendable);
    },
    abort: () => {
      onComplete();
      sink.abort();
    },
    fail: (outcome) => {
      onComplete();
      sink.fail(outcome);
    },
  };
}
