/** Leader-only part of a directory: registers back ends, renews their leases and ends expired ones. */
import { answerRunRequest, type RunRequestPorts } from '../quarantine/crash-messages.js';
import type { Proposals } from '../control/proposals.js';
import type { LeaseTable } from '../control/lease-table.js';
import type { RangePlanningLoop } from './range-planning-loop.js';
import type { DirectoryCommand, DirectoryOutcome, InstanceSession } from './directory-commands.js';
import type {
  DirectoryNotice,
  LeaderRequest,
  LeaseNotice,
  RegisterRequest,
  RenewRequest,
} from './directory-messages.js';
import type { BackendInstance, DirectoryState } from './directory-state.js';
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
  private readonly endingSessions = new Set<number>();
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
        this.end([{ id: request.id, session: request.session }]);
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
    this.end(ended);
  }

  private async register(request: RegisterRequest, answer: SendAnswer): Promise<void> {
    const { instance, replaces, sentMs } = request;
    const receivedMs = this.ports.steadyMs();
    const known = this.ports.state().instances.get(instance.id);
    const index = known === undefined ? 0 : this.ports.newestIndex();
    if (known !== undefined && this.endingSessions.has(known.session)) return;
    if (known === undefined || !isSameRegistration(known, instance)) {
      const result = await this.proposals.propose({ kind: 'register', instance, replaces });
      if (result.err || result.val.kind !== 'registered') return;
    }
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
    await this.grant(lease, receivedMs, answer);
  }

  private async renew(request: RenewRequest, answer: SendAnswer): Promise<void> {
    const { id, session, sentMs, load, usableSlots } = request;
    const receivedMs = this.ports.steadyMs();
    const known = this.ports.state().instances.get(id);
    const index = this.ports.newestIndex();
    if (known?.session === session) {
      this.rangePlanning.reportLoad(known.service, load, this.ports.nowMs());
      this.rangePlanning.reportCapacity(known.service, id, usableSlots ?? null, this.ports.nowMs());
    }
    const lease = { kind: 'renewed', id, session, sentMs, termMs: this.termMs, index } as const;
    await this.grant(lease, receivedMs, answer);
  }

  /**
   * Grants a lease once leadership is confirmed. Any newer leader is elected after this confirmation and waits a full
   * term before it expires leases, so the lease stays valid across a change of leader.
   */
  private async grant(lease: LeaseNotice, receivedMs: number, answer: SendAnswer): Promise<void> {
    const { id, session } = lease;
    if (!(await this.confirmations.confirm(CONFIRMATION_TIMEOUT_MS))) return;
    const isCurrent = this.ports.state().instances.get(id)?.session === session;
    if (!isCurrent || this.endingSessions.has(session)) {
      answer({ kind: 'session-ended', id, session });
      return;
    }
    this.leases.renew(session, receivedMs);
    answer(lease);
  }

  /** Proposes the end of sessions. From then on they are never renewed again, whether or not the proposal commits. */
  private end(sessions: readonly InstanceSession[]): void {
    for (const { session } of sessions) this.endingSessions.add(session);
    void this.proposals.propose({ kind: 'unregister', sessions });
  }
}

function isSameRegistration(current: BackendInstance, requested: RegisterRequest['instance']): boolean {
  const sameCondition = current.condition === requested.condition || current.condition === 'draining';
  const sameSoftware = current.slots === requested.slots && current.version === requested.version;
  return sameCondition && sameSoftware && current.daemonAddress === requested.daemonAddress;
}
