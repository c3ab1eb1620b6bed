/**
 * Sessions on the leader: opens them, renews their leases and closes those whose lease expired.
 *
 * A renewal is answered only after a quorum has confirmed that this replica was still the leader when the
 * renewal arrived. Any newer leader was therefore elected later, and the full lease term that it waits covers
 * the renewed lease.
 */
import type { Connection } from '../runtime/runtime.js';
import type { LeaseTable } from './lease-table.js';
import type { LoadTable } from './load-table.js';
import type { OpenSessionRequest, RenewSessionRequest, ControlNotice } from './daemon-messages.js';
import { sessionOfBackend, type ControlState } from './control-state.js';
import type { Proposals } from './proposals.js';
import { TokenBucket } from './token-bucket.js';

/**
 * Maximum number of sessions that one run of the leader's duties expires. When many leases expire together, the cause
 * is mostly a delay of the leader or the network, and every closed session causes work on all daemons; a renewal that
 * arrives before the next run still counts.
 */
const MAX_EXPIRIES_PER_RUN = 8;

/** Maximum burst of session expiries: more than the number of back ends in a zone at the designed scale. */
const MAX_EXPIRY_BURST = 64;

/**
 * Maximum number of session expiries per second beyond the burst. Each expiry causes work on every router, which may
 * delay further renewals; this limit breaks that feedback loop.
 */
const MAX_EXPIRIES_PER_SECOND = 12;

interface PendingRenewal {
  readonly request: RenewSessionRequest;
  readonly receivedMs: number;
  readonly connection: Connection;
}

/** Dependencies of the service on its replica. */
export interface SessionPorts {
  readonly state: () => ControlState;
  readonly confirmLeadership: (requestId: number) => void;
  /** Clock in ms that never runs ahead of the time that has passed; leases of other processes expire by it. */
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
  private readonly closingSessions = new Set<number>();
  private batches = new Map<number, PendingRenewal[]>();
  private openBatchId: number | null = null;
  private nextRequestId = 1;
  private readonly expiryBudget: TokenBucket;

  constructor(
    private readonly termMs: number,
    private readonly leases: LeaseTable,
    private readonly ports: SessionPorts,
    private readonly proposals: Proposals,
    private readonly loads: LoadTable,
  ) {
    this.expiryBudget = new TokenBucket(MAX_EXPIRY_BURST, MAX_EXPIRIES_PER_SECOND, ports.steadyMs());
  }

  /** Resets the service when this replica has become the leader and its state is current. */
  startLeading(): void {
    this.closingSessions.clear();
    this.batches.clear();
    this.openBatchId = null;
    this.leases.restart(this.ports.state().sessions.keys(), this.ports.steadyMs());
  }

  /** Opens a session. */
  async open(request: OpenSessionRequest, connection: Connection): Promise<void> {
    const { openId, service, backend, agentAddress } = request;
    const configured = this.ports.state().configuration.document.services[service]?.backends[backend];
    if (configured === undefined) {
      // Refused without a log entry, since agents of back ends that are not configured yet repeat the request every second.
      const detail = `no back end ${backend} in service ${service}`;
      notify(connection, { kind: 'session-refused', openId, detail });
      return;
    }
    const existing = sessionOfBackend(this.ports.state(), backend);
    if (existing?.openId === openId && !this.closingSessions.has(existing.id)) {
      // Repeated request after a delayed answer. The lease counts from the first request, so it is not renewed.
      notify(connection, { kind: 'session-opened', openId, session: existing.id, termMs: this.termMs });
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
    if (this.closingSessions.has(session)) {
      notify(connection, { kind: 'session-refused', openId, detail: 'the session is being ended' });
      return;
    }
    this.leases.renew(session, receivedMs);
    this.counters.opened += 1;
    notify(connection, { kind: 'session-opened', openId, session, termMs: this.termMs });
  }

  /** Accepts a renewal; it is answered once leadership has been confirmed. */
  renew(request: RenewSessionRequest, connection: Connection): void {
    const { session } = request;
    if (!this.ports.state().sessions.has(session) || this.closingSessions.has(session)) {
      notify(connection, { kind: 'session-ended', session });
      return;
    }
    this.recordLoad(request);
    this.currentBatch().push({ request, receivedMs: this.ports.steadyMs(), connection });
  }

  /** Grants the renewals of one batch after a quorum has confirmed leadership. */
  confirmed(requestId: number): void {
    const batch = this.batches.get(requestId) ?? [];
    this.batches.delete(requestId);
    if (this.openBatchId === requestId) this.openBatchId = null;
    for (const renewal of batch) this.grantRenewal(renewal);
  }

  /** Closes a session that its agent gave up; its back end holds no grants any more. */
  close(session: number): void {
    if (this.ports.state().sessions.has(session)) this.propose([session]);
  }

  /** Closes sessions whose lease has expired, longest overdue first. */
  expire(): void {
    const isOpen = (session: number): boolean => this.ports.state().sessions.has(session);
    const expired = this.leases.expired(this.ports.steadyMs());
    for (const session of expired) if (!isOpen(session)) this.leases.forget(session);
    const open = expired.filter(isOpen).slice(0, MAX_EXPIRIES_PER_RUN);
    const toClose = open.slice(0, this.expiryBudget.take(open.length, this.ports.steadyMs()));
    if (toClose.length === 0) return;
    for (const session of toClose) this.leases.forget(session);
    this.counters.expired += toClose.length;
    this.propose(toClose);
  }

  /** Proposes to close sessions. From then on they must never be renewed, regardless of the proposal's outcome. */
  private propose(sessions: readonly number[]): void {
    for (const session of sessions) this.closingSessions.add(session);
    void this.proposals.propose({ kind: 'close-sessions', sessions, wallMs: this.ports.wallMs() });
  }

  /** Returns the batch of the next heartbeat round; requests a leadership confirmation for a new batch. */
  private currentBatch(): PendingRenewal[] {
    const requestId = this.openBatchId ?? this.nextRequestId;
    const existing = this.batches.get(requestId);
    if (existing !== undefined) return existing;
    this.nextRequestId = requestId + 1;
    this.openBatchId = requestId;
    const batch: PendingRenewal[] = [];
    this.batches.set(requestId, batch);
    this.ports.confirmLeadership(requestId);
    return batch;
  }

  private grantRenewal({ request, receivedMs, connection }: PendingRenewal): void {
    const { session, sentMs } = request;
    if (!this.ports.state().sessions.has(session) || this.closingSessions.has(session)) {
      notify(connection, { kind: 'session-ended', session });
      return;
    }
    this.leases.renew(session, receivedMs);
    this.counters.renewals += 1;
    notify(connection, { kind: 'session-renewed', session, sentMs, termMs: this.termMs });
  }

  private recordLoad(request: RenewSessionRequest): void {
    const session = this.ports.state().sessions.get(request.session);
    if (session === undefined) return;
    if (request.load.length > 0) this.loads.report(session.service, request.load);
    this.loads.reportLimit(session.backend, request.requestLimit ?? null, this.ports.steadyMs());
  }
}

function notify(connection: Connection, notice: ControlNotice): void {
  connection.send(notice);
}
