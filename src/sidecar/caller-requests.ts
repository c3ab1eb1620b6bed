/** The requests of callers that are under way at one daemon. */
import { QUARANTINE_REASON, type CallerRequest, type CallerSink } from './caller-request.js';
import {
  ownAnswer,
  OWN_STATUS,
  type IncomingRequest,
  type OwnAnswer,
  type TakenRequest,
} from './caller-server.js';
import type { DirectoryTable } from './directory-table.js';
import type { ForwarderCounters } from './forwarder-counters.js';
import { ForwardedRequest, type ForwarderPorts } from './request-forwarder.js';
import { headerValue } from './header-dialect.js';
import type { RequestIntake } from './request-intake.js';
import { RetryAllowance, type RetryBudget } from './retry-allowance.js';

/** What the requests need of their daemon. */
export interface CallerRequestsPorts {
  readonly intake: RequestIntake;
  readonly table: DirectoryTable;
  readonly forwarding: Omit<ForwarderPorts, 'takeRepeat' | 'mayRepeat'>;
  readonly retryBudget: RetryBudget;
  /** Daemons that share the retry budget. */
  readonly daemons: () => number;
}

/** All of them. */
export class CallerRequests {
  private readonly underWay = new Set<ForwardedRequest>();
  private readonly allowances = new Map<string, RetryAllowance>();
  private readonly forwarderPorts: ForwarderPorts;

  constructor(
    private readonly ports: CallerRequestsPorts,
    private readonly counters: ForwarderCounters,
  ) {
    const { forwarding, daemons } = ports;
    this.forwarderPorts = {
      ...forwarding,
      mayRepeat: (request) => this.quarantineOf(request) === null,
      takeRepeat: (service) => this.allowanceOf(service).takeRepeat(forwarding.runtime.steadyMs(), daemons()),
    };
  }

  /** Takes a request, or answers it at once. */
  take(incoming: IncomingRequest, sink: CallerSink): TakenRequest | OwnAnswer {
    const prepared = this.ports.intake.prepare(incoming);
    if ('statusCode' in prepared) return prepared;
    const refused = this.refusedForGood(prepared);
    if (refused !== null) return refused;
    this.allowanceOf(prepared.service).noteRequest(this.ports.forwarding.runtime.steadyMs());
    const forwarded = new ForwardedRequest(
      prepared,
      forgettingSink(sink, () => this.underWay.delete(forwarded)),
      this.forwarderPorts,
      this.counters,
    );
    this.underWay.add(forwarded);
    forwarded.start();
    return {
      cancel: () => {
        this.underWay.delete(forwarded);
        forwarded.cancel();
      },
    };
  }

  /** A request that ended every back end which ran it gets its final answer before it costs anybody anything. */
  private refusedForGood(request: CallerRequest): OwnAnswer | null {
    const { forwarding } = this.ports;
    const fingerprint = this.quarantineOf(request);
    if (fingerprint === null) return null;
    this.counters.quarantined += 1;
    const { requestId, route, service } = request;
    forwarding.log.event('request-quarantined', { requestId, route: route.name, service, fingerprint });
    return ownAnswer(OWN_STATUS.quarantined, QUARANTINE_REASON);
  }

  /** The fingerprint of a request that no back end of its service may run; null where one may. */
  private quarantineOf(request: CallerRequest): string | null {
    const { table } = this.ports;
    const identified = { ...request, host: headerValue(request.headers, 'host') };
    return table.quarantine.fingerprintIfQuarantined(identified, () => table.versionsOf(request.service));
  }

  /** The table has changed; requests may wait for that. */
  tableChanged(): void {
    for (const request of [...this.underWay]) request.tableChanged();
  }

  private allowanceOf(service: string): RetryAllowance {
    const known = this.allowances.get(service);
    if (known !== undefined) return known;
    const allowance = new RetryAllowance(this.ports.retryBudget);
    this.allowances.set(service, allowance);
    return allowance;
  }
}

/** A sink that also tells that a request has ended. */
function forgettingSink(sink: CallerSink, forget: () => void): CallerSink {
  return {
    answer: (head, body) => {
      if (!head.moreFollows) forget();
      sink.answer(head, body);
    },
    body: (chunk) => {
      sink.body(chunk);
    },
    end: () => {
      forget();
      sink.end();
    },
    breakOff: () => {
      forget();
      sink.breakOff();
    },
    giveUp: (outcome) => {
      forget();
      sink.giveUp(outcome);
    },
  };
}
