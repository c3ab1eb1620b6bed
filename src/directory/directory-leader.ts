/** The leader's part of a directory: registers back ends, renews their leases and ends those that ran out. */
import { answerRunRequest, type RunRequestPorts } from '../quarantine/crash-messages.js';
import type { Proposals } from '../control/proposals.js';
import type { LeaseTable } from '../control/lease-table.js';
import type { DirectoryDuties } from './directory-duties.js';
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

/** Time in ms after which a daemon that asked for a lease asks again anyway. */
const CONFIRMATION_LIMIT_MS = 5_000;

/** Sends an answer to the daemon that asked. */
export type Answer = (notice: DirectoryNotice) => void;

/** What the leader needs of its replica. */
export interface DirectoryLeaderPorts {
  readonly state: () => DirectoryState;
  /** Index of the newest change in `state`. */
  readonly newestIndex: () => number;
  readonly nowMs: () => number;
  /** Time that certainly has passed, in ms: leases of others end by it. */
  readonly steadyMs: () => number;
  /** Whether acknowledged entries survive the losses that are tolerated. */
  readonly durable: () => boolean;
  readonly onExpired: (sessions: readonly InstanceSession[]) => void;
}

/** Registrations and leases of one leader. */
export class DirectoryLeader {
  private readonly closing = new Set<number>();
  private readonly runRequests: RunRequestPorts = {
    records: () => this.ports.state().crashRecords,
    propose: async (command) => {
      const result = await this.proposals.propose(command);
      return result.ok && result.val.kind === 'done';
    },
  };

  constructor(
    /** Time in ms for which a renewal is good at the holder. */
    private readonly termMs: number,
    /** Leases as the leader counts them: from receipt, and longer than the holder's. */
    private readonly leases: LeaseTable,
    private readonly ports: DirectoryLeaderPorts,
    private readonly proposals: Proposals<DirectoryCommand, DirectoryOutcome>,
    private readonly confirmations: LeadershipConfirmations,
    private readonly duties: DirectoryDuties,
  ) {}

  /** This replica has become leader and its state is current: every lease is good for one whole term. */
  startLeading(): void {
    this.closing.clear();
    const sessions = [...this.ports.state().instances.values()].map(({ session }) => session);
    this.leases.restart(sessions, this.ports.steadyMs());
  }

  /** Takes a request of a daemon. */
  async receive(request: LeaderRequest, answer: Answer): Promise<void> {
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

  /** Ends registrations whose lease has run out. */
  expire(): void {
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

  private async register(request: RegisterRequest, answer: Answer): Promise<void> {
    const { instance, replaces, sentMs } = request;
    const receivedMs = this.ports.steadyMs();
    const known = this.ports.state().instances.get(instance.id);
    const index = known === undefined ? 0 : this.ports.newestIndex();
    if (known !== undefined && this.closing.has(known.session)) return;
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

  private async renew(request: RenewRequest, answer: Answer): Promise<void> {
    const { id, session, sentMs, load } = request;
    const receivedMs = this.ports.steadyMs();
    const known = this.ports.state().instances.get(id);
    const index = this.ports.newestIndex();
    if (known?.session === session) this.duties.reportLoad(known.service, load, this.ports.nowMs());
    const lease = { kind: 'renewed', id, session, sentMs, termMs: this.termMs, index } as const;
    await this.grant(lease, receivedMs, answer);
  }

  /** A newer leader was elected after this confirmation, so the whole term that it waits covers the lease. */
  private async grant(lease: LeaseNotice, receivedMs: number, answer: Answer): Promise<void> {
    const { id, session } = lease;
    if (!(await this.confirmations.confirm(CONFIRMATION_LIMIT_MS))) return;
    const stands = this.ports.state().instances.get(id)?.session === session;
    if (!stands || this.closing.has(session)) {
      answer({ kind: 'session-ended', id, session });
      return;
    }
    this.leases.renew(session, receivedMs);
    answer(lease);
  }

  /** Once this is proposed the sessions must never be renewed again, whatever becomes of the proposal. */
  private end(sessions: readonly InstanceSession[]): void {
    for (const { session } of sessions) this.closing.add(session);
    void this.proposals.propose({ kind: 'unregister', sessions });
  }
}

function isSameRegistration(known: BackendInstance, asked: RegisterRequest['instance']): boolean {
  const sameCondition = known.condition === asked.condition || known.condition === 'draining';
  const sameSoftware = known.slots === asked.slots && known.version === asked.version;
  return sameCondition && sameSoftware && known.daemonAddress === asked.daemonAddress;
}
