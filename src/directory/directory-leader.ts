/** Leader-only part of a directory: registers back ends, renews their leases and ends expired ones. */
import { answerRunRequest, type RunRequestPorts } from '../quarantine/crash-messages.js';
import type { Proposals } from '../control/proposals.js';
import type { LeaseTable } from '../control/lease-table.js';
import type { RangePlanningLoop } from './range-planning-loop.js';
import type {
  DirectoryCommand,
  DirectoryOutcome,
  EndedSession,
  InstanceSession,
} from './directory-commands.js';
import type {
  DirectoryNotice,
  LeaderRequest,
  LeaseNotice,
  RegisterRequest,
  RenewRequest,
} from './directory-messages.js';
import { isFromHolder, type BackendInstance, type DirectoryState } from './directory-state.js';
import type { LeadershipConfirmations } from './leadership-confirmations.js';

/** Timeout in ms of the leadership confirmation for a lease; by then the daemon has sent its request again. */
const CONFIRMATION_TIMEOUT_MS = 5_000;

/** Sends an answer to the requesting daemon. */
export type SendAnswer = (notice: DirectoryNotice) => void;

/** Functions of the replica that the leader depends on. */
export interface DirectoryLeaderPorts {
  readonly state: () => DirectoryState;
  /** Index of the newest change in `state`. */
  readonly newestIndex: () => number;
  readonly nowMs: () => number;
  /** Time in ms that has certainly passed (excludes suspensions); leases of back ends expire by it. */
  readonly steadyMs: () => number;
  /** Whether acknowledged entries survive the tolerated number of disk losses. */
  readonly durable: () => boolean;
  readonly onExpired: (sessions: readonly InstanceSession[]) => void;
}

/** Manages registrations and leases on the leader. */
export class DirectoryLeader {
  /** Sessions whose end is proposed, with the number of proposals without an outcome. */
  private readonly endingSessions = new Map<number, number>();
  private readonly runRequests: RunRequestPorts = {
    records: () => this.ports.state().crashRecords,
    propose: async (command) => {
      const result = await this.proposals.propose(command);
      return result.ok && result.val.kind === 'done';
    },
  };

  constructor(
    /** Lease term in ms, as counted by the holder. */
    private readonly termMs: number,
    /** Leases as counted by the leader: from receipt of the request, with a longer term than the holder's. */
    private readonly leases: LeaseTable,
    private readonly ports: DirectoryLeaderPorts,
    private readonly proposals: Proposals<DirectoryCommand, DirectoryOutcome>,
    private readonly confirmations: LeadershipConfirmations,
    private readonly rangePlanning: RangePlanningLoop,
  ) {}

  /** Restarts every lease with a full term, once this replica has become leader and its state is current. */
  startLeading(): void {
    this.endingSessions.clear();
    const sessions = [...this.ports.state().instances.values()].map(({ session }) => session);
    this.leases.restart(sessions, this.ports.steadyMs());
  }

  /** Handles a request from a daemon. */
  async receive(request: LeaderRequest, answer: SendAnswer): Promise<void> {
    if (!this.ports.durable()) return;
    switch (request.kind) {
      case 'register':
        await this.register(request, answer);
        break;
      case 'renew':
        await this.renew(request, answer);
        break;
      case 'condition':
        await this.proposals.propose({ ...request, kind: 'set-condition' });
        break;
      case 'unregister':
        await this.end([{ id: request.id, session: request.session, holder: request.holder }]);
        break;
      case 'released':
        await this.proposals.propose({ ...request, kind: 'complete-range-move' });
        break;
      case 'raise-fence':
        await this.proposals.propose(request);
        break;
      default:
        await answerRunRequest(request, this.runRequests, answer);
    }
  }

  /** Ends registrations whose lease has expired. */
  expireLeases(): void {
    const bySession = new Map(
      [...this.ports.state().instances.values()].map((known) => [known.session, known]),
    );
    const expired = this.leases.expired(this.ports.steadyMs());
    const ended: InstanceSession[] = [];
    for (const session of expired) {
      this.leases.forget(session);
      const instance = bySession.get(session);
      if (instance !== undefined) ended.push({ id: instance.id, session });
    }
    if (ended.length === 0) return;
    this.ports.onExpired(ended);
    void this.end(ended);
  }

  private async register(request: RegisterRequest, answer: SendAnswer): Promise<void> {
    const { instance, replaces, replacesHolder, sentMs } = request;
    const receivedMs = this.ports.steadyMs();
    const known = this.ports.state().instances.get(instance.id);
    if (known !== undefined && this.endingSessions.has(known.session)) return;
    if (known === undefined || !isSameRegistration(known, instance)) {
      const result = await this.proposals.propose({ kind: 'register', instance, replaces, replacesHolder });
      if (result.err || result.val.kind !== 'registered') return;
    }
    // Read once the registration is committed, so that it covers all that an earlier process has still changed.
    const index = known === undefined ? 0 : this.ports.newestIndex();
    const session = this.ports.state().instances.get(instance.id)?.session;
    if (session === undefined) return;
    const lease = {
      kind: 'registered',
      id: instance.id,
      session,
      sentMs,
      termMs: this.termMs,
      index,
    } as const;
    await this.grant(lease, instance.holder, receivedMs, answer);
  }

  private async renew(request: RenewRequest, answer: SendAnswer): Promise<void> {
    const { id, session, holder, sentMs, load, usableSlots } = request;
    const receivedMs = this.ports.steadyMs();
    const known = this.ports.state().instances.get(id);
    const index = this.ports.newestIndex();
    if (known?.session === session && isFromHolder(known, holder)) {
      this.rangePlanning.reportLoad(known.service, load, this.ports.nowMs());
      this.rangePlanning.reportCapacity(known.service, id, usableSlots ?? null, this.ports.nowMs());
    }
    const lease = { kind: 'renewed', id, session, sentMs, termMs: this.termMs, index } as const;
    await this.grant(lease, holder, receivedMs, answer);
  }

  /**
   * Grants a lease once leadership is confirmed. Any newer leader is elected after this confirmation and waits a full
   * term before it expires leases, so the lease stays valid across a change of leader. A process whose registration has
   * been taken over gets none.
   */
  private async grant(
    lease: LeaseNotice,
    holder: string | undefined,
    receivedMs: number,
    answer: SendAnswer,
  ): Promise<void> {
    const { id, session } = lease;
    if (!(await this.confirmations.confirm(CONFIRMATION_TIMEOUT_MS))) return;
    const known = this.ports.state().instances.get(id);
    const isCurrent = known?.session === session && isFromHolder(known, holder);
    if (!isCurrent || this.endingSessions.has(session)) {
      answer({ kind: 'session-ended', id, session });
      return;
    }
    this.leases.renew(session, receivedMs);
    answer(lease);
  }

  /**
   * Proposes the end of sessions. From then on they are not renewed, also if it is unknown whether the proposal commits; only
   * one that was applied and left a session in place, because another process holds it, allows its renewal again.
   */
  private async end(sessions: readonly EndedSession[]): Promise<void> {
    const ending = sessions.filter(({ id, holder }) => {
      return holder === undefined || isFromHolder(this.ports.state().instances.get(id), holder);
    });
    if (ending.length === 0) return;
    for (const { session } of ending) this.countEnd(session, 1);
    const result = await this.proposals.propose({ kind: 'unregister', sessions: ending });
    if (result.err) return;
    for (const { id, session } of ending) {
      if (this.ports.state().instances.get(id)?.session === session) this.countEnd(session, -1);
    }
  }

  private countEnd(session: number, change: 1 | -1): void {
    const proposals = (this.endingSessions.get(session) ?? 0) + change;
    if (proposals > 0) this.endingSessions.set(session, proposals);
    else this.endingSessions.delete(session);
  }
}

function isSameRegistration(current: BackendInstance, requested: RegisterRequest['instance']): boolean {
  const sameCondition = current.condition === requested.condition || current.condition === 'draining';
  const sameSoftware = current.slots === requested.slots && current.version === requested.version;
  const sameDaemon = current.daemonAddress === requested.daemonAddress && current.holder === requested.holder;
  return sameCondition && sameSoftware && sameDaemon;
}
