/**
 * The leader's side of sessions: opens them, renews their leases and ends those that ran out.
 *
 * A renewal is answered only after a quorum has confirmed that this replica was still leader when the
 * renewal arrived. A newer leader was therefore elected later, and the term that it waits covers the
 * renewed lease.
 */
import type { Connection } from '../runtime/runtime.js';
import type { LeaseTable } from './lease-table.js';
import type { LoadTable } from './load-table.js';
import type { OpenSessionRequest, RenewSessionRequest, ControlNotice } from './daemon-messages.js';
import { sessionOfBackend, type ControlState } from './control-state.js';
import type { Proposals } from './proposals.js';
import { TokenBucket } from './token-bucket.js';

/**
 * Sessions that one run of the leader's duties ends. Many that run out together mostly mean that the leader or the
 * network was late, and every lost session costs work everywhere; a renewal that comes meanwhile still counts.
 */
const SESSIONS_ENDED_IN_A_RUN = 8;

/** Sessions that may end by time one after the other: more than the back ends of a zone at the size designed for. */
const EXPIRY_BURST = 64;

/**
 * Sessions a second that may end by time beyond the burst. Each one costs work at every router, and when that makes
 * the next renewals late this is what ends the circle.
 */
const EXPIRIES_PER_SECOND = 12;

interface PendingRenewal {
  readonly request: RenewSessionRequest;
  readonly receivedMs: number;
  readonly connection: Connection;
}

/** What the service needs of its replica. */
export interface SessionPorts {
  readonly state: () => ControlState;
  readonly confirmLeadership: (requestId: number) => void;
  /** Time that certainly has passed, in ms: leases of others end by it. */
  readonly steadyMs: () => number;
  readonly wallMs: () => number;
}

/** Counters of the service. */
export interface SessionCounters {
  renewals: number;
  opened: number;
  expired: number;
}

/** Sessions of one leader. */
export class SessionService {
  readonly counters: SessionCounters = { renewals: 0, opened: 0, expired: 0 };
  private readonly closing = new Set<number>();
  private batches = new Map<number, PendingRenewal[]>();
  private openBatch: number | null = null;
  private nextRequestId = 1;
  private readonly expiries: TokenBucket;

  constructor(
    private readonly termMs: number,
    private readonly leases: LeaseTable,
    private readonly ports: SessionPorts,
    private readonly proposals: Proposals,
    private readonly loads: LoadTable,
  ) {
    this.expiries = new TokenBucket(EXPIRY_BURST, EXPIRIES_PER_SECOND, ports.steadyMs());
  }

  /** This replica has become leader and its state is current. */
  startLeading(): void {
    this.closing.clear();
    this.batches.clear();
    this.openBatch = null;
    this.leases.restart(this.ports.state().sessions.keys(), this.ports.steadyMs());
  }

  /** Opens a session. */
  async open(request: OpenSessionRequest, connection: Connection): Promise<void> {
    const { openId, service, backend, agentAddress } = request;
    const configured = this.ports.state().configuration.document.services[service]?.backends[backend];
    if (configured === undefined) {
      // Said without an entry of the log: agents of back ends that are not configured yet ask every second.
      const detail = `no back end ${backend} in service ${service}`;
      notify(connection, { kind: 'session-refused', openId, detail });
      return;
    }
    const known = sessionOfBackend(this.ports.state(), backend);
    if (known?.openId === openId && !this.closing.has(known.id)) {
      // Asked again because the answer was late. The lease counts from the first request, so it is not renewed.
      notify(connection, { kind: 'session-opened', openId, session: known.id, termMs: this.termMs });
      return;
    }
    const receivedMs = this.ports.steadyMs();
    const wallMs = this.ports.wallMs();
    const result = await this.proposals.propose({
      kind: 'open-session',
      service,
      backend,
      openId,
      agentAddress,
      wallMs,
    });
    if (result.err) {
      notify(connection, { kind: 'session-refused', openId, detail: result.val.kind });
      return;
    }
    if (result.val.kind !== 'session-opened') {
      const detail = result.val.kind === 'refused' ? result.val.detail : result.val.kind;
      notify(connection, { kind: 'session-refused', openId, detail });
      return;
    }
    const { session } = result.val;
    if (this.closing.has(session)) {
      notify(connection, { kind: 'session-refused', openId, detail: 'the session is being ended' });
      return;
    }
    this.leases.renew(session, receivedMs);
    this.counters.opened += 1;
    notify(connection, { kind: 'session-opened', openId, session, termMs: this.termMs });
  }

  /** Takes a renewal; it is answered when leadership has been confirmed. */
  renew(request: RenewSessionRequest, connection: Connection): void {
    const { session } = request;
    if (!this.ports.state().sessions.has(session) || this.closing.has(session)) {
      notify(connection, { kind: 'session-ended', session });
      return;
    }
    this.takeLoad(request);
    this.batch().push({ request, receivedMs: this.ports.steadyMs(), connection });
  }

  /** A quorum has confirmed leadership for the renewals of one batch. */
  confirmed(requestId: number): void {
    const batch = this.batches.get(requestId) ?? [];
    this.batches.delete(requestId);
    if (this.openBatch === requestId) this.openBatch = null;
    for (const renewal of batch) this.grant(renewal);
  }

  /** Ends a session that its agent has given up; its back end holds no grant any more. */
  close(session: number): void {
    if (this.ports.state().sessions.has(session)) this.propose([session]);
  }

  /** Ends sessions whose lease has run out, those that are longest overdue first. */
  expire(): void {
    const isOpen = (session: number): boolean => this.ports.state().sessions.has(session);
    const expired = this.leases.expired(this.ports.steadyMs());
    for (const session of expired) if (!isOpen(session)) this.leases.forget(session);
    const open = expired.filter(isOpen).slice(0, SESSIONS_ENDED_IN_A_RUN);
    const ended = open.slice(0, this.expiries.take(open.length, this.ports.steadyMs()));
    if (ended.length === 0) return;
    for (const session of ended) this.leases.forget(session);
    this.counters.expired += ended.length;
    this.propose(ended);
  }

  /** Once this is proposed the sessions must never be renewed again, whatever becomes of the proposal. */
  private propose(sessions: readonly number[]): void {
    for (const session of sessions) this.closing.add(session);
    void this.proposals.propose({ kind: 'close-sessions', sessions, wallMs: this.ports.wallMs() });
  }

  /** The batch that waits for the next heartbeat round; asks for a confirmation when it is new. */
  private batch(): PendingRenewal[] {
    const requestId = this.openBatch ?? this.nextRequestId;
    const known = this.batches.get(requestId);
    if (known !== undefined) return known;
    this.nextRequestId = requestId + 1;
    this.openBatch = requestId;
    const batch: PendingRenewal[] = [];
    this.batches.set(requestId, batch);
    this.ports.confirmLeadership(requestId);
    return batch;
  }

  private grant({ request, receivedMs, connection }: PendingRenewal): void {
    const { session, sentMs } = request;
    if (!this.ports.state().sessions.has(session) || this.closing.has(session)) {
      notify(connection, { kind: 'session-ended', session });
      return;
    }
    this.leases.renew(session, receivedMs);
    this.counters.renewals += 1;
    notify(connection, { kind: 'session-renewed', session, sentMs, termMs: this.termMs });
  }

  private takeLoad(request: RenewSessionRequest): void {
    const service = this.ports.state().sessions.get(request.session)?.service;
    if (service !== undefined && request.load.length > 0) this.loads.report(service, request.load);
  }
}

function notify(connection: Connection, notice: ControlNotice): void {
  connection.send(notice);
}
