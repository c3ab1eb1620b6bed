/** One control replica: storage, consensus, connections, and what a leader does. */
import type { ControlSettings, NamedAddress } from '../config/daemon-settings.js';
import { FormationCore, type FormationOutcome } from '../consensus/formation-core.js';
import { nextMembership } from '../consensus/join-core.js';
import { monotonicMs, Replica, type ReplicaPorts } from '../consensus/replica.js';
import { DEFAULT_RAFT_OPTIONS, replicaName, type RaftRole, type ReplicaId } from '../consensus/raft-types.js';
import { Err, Ok, type Result } from '../result.js';
import { ReplicaStorage } from '../storage/replica-storage.js';
import type { Logger } from '../telemetry/logger.js';
import type { Hello } from '../transport/hello.js';
import type { MessageConnection } from '../transport/message-connection.js';
import { MessageServer, type PeerHandlers } from '../transport/message-server.js';
import type { CommandOutcome, ControlCommand } from './commands.js';
import type { ControlState } from './control-state.js';
import {
  daemonRequestSchema,
  type ControlNotice,
  type DaemonRequest,
  type WatchRequest,
} from './daemon-messages.js';
import { LeaderDuties } from './leader-duties.js';
import { LoadTable } from './load-table.js';
import { readPeerMessage } from './peer-messages.js';
import { PeerNetwork, type PeerMessage } from './peer-network.js';
import { Proposals, type ProposalError } from './proposals.js';
import { ReplicatedState } from './replicated-state.js';
import { SessionService } from './session-service.js';
import { WatchHub } from './watch-hub.js';

/** Pause between questions while the cluster is being formed, in ms. */
const FORMATION_RETRY_MS = 200;

/** Pause between requests to be made a member, in ms. */
const JOIN_RETRY_MS = 500;

/** A follower that heard no leader for this many election timeouts serves no watchers. */
const STALE_ELECTION_TIMEOUTS = 3;

/** Counters of connections. */
export interface ControlCounters {
  refusedConnections: number;
  unreadableMessages: number;
}

/** A running control replica. */
export class ControlNode {
  readonly counters: ControlCounters = { refusedConnections: 0, unreadableMessages: 0 };
  readonly hub = new WatchHub();
  readonly sessions: SessionService;
  readonly id: ReplicaId;
  private readonly replicated: ReplicatedState;
  private readonly proposals: Proposals;
  private readonly loads = new LoadTable();
  private readonly duties: LeaderDuties;
  private readonly server: MessageServer;
  private readonly network: PeerNetwork;
  private readonly formation: FormationCore;
  private readonly timers: NodeJS.Timeout[] = [];
  private replica: Replica | null = null;
  private leadingTerm = 0;
  private candidates = new Map<string, ReplicaId>();

  private constructor(
    private readonly settings: ControlSettings,
    private readonly token: string,
    private readonly storage: ReplicaStorage,
    private readonly logger: Logger,
    private readonly onFatal: (error: unknown) => void,
  ) {
    const { name, zone, members, timing } = settings;
    this.id = `${name}/${storage.owner.identity}`;
    this.proposals = new Proposals((proposalId, command) => {
      this.submitProposal(proposalId, command);
    });
    this.replicated = new ReplicatedState(this.hub, (proposalId, outcome) => {
      this.proposals.applied(proposalId, outcome);
    });
    this.duties = new LeaderDuties(() => this.state, this.proposals, this.loads);
    this.sessions = new SessionService(
      timing.sessionTermMs,
      {
        state: () => this.state,
        confirmLeadership: (requestId) => this.replica?.submit({ kind: 'confirm-leadership', requestId }),
        nowMs: monotonicMs,
        wallMs: Date.now,
      },
      this.proposals,
      this.loads,
    );
    this.formation = new FormationCore(
      name,
      this.id,
      members.map((member) => member.name),
    );
    this.server = new MessageServer(token, {
      onPeer: (hello, connection) => this.acceptPeer(hello, connection),
      onRefused: () => (this.counters.refusedConnections += 1),
    });
    this.network = new PeerNetwork({ role: 'control', name, zone, token: this.token }, members);
  }

  /** Opens the data folder and starts to listen. `onFatal` is called once when the disk fails. */
  static async start(
    settings: ControlSettings,
    token: string,
    logger: Logger,
    onFatal: (error: unknown) => void,
  ): Promise<Result<ControlNode, string>> {
    const storage = await ReplicaStorage.open(settings.dataFolder, settings.name);
    if (storage.err) return Err(describeStorageError(storage.val));
    const node = new ControlNode(settings, token, storage.val, logger, onFatal);
    const listening = await node.server.listen(settings.listen);
    if (listening.err) return listening;
    if (storage.val.formed) node.startReplica();
    else node.startFormation();
    return Ok(node);
  }

  /** The replicated state as far as it is known here. */
  get state(): ControlState {
    return this.replicated.state;
  }

  /** Whether this replica leads and its state is current. */
  get leading(): boolean {
    return this.replica?.core.leaderReady === true;
  }

  /** The consensus replica; null while the cluster is being formed. */
  get consensus(): Replica | null {
    return this.replica;
  }

  /** Whether a leader is known and was heard lately, so that what is read here is not old. */
  get current(): boolean {
    if (this.replica === null) return false;
    const staleMs = STALE_ELECTION_TIMEOUTS * this.settings.timing.electionTimeoutMs;
    return this.replica.core.leader !== null && monotonicMs() - this.replica.core.leaderLastHeardMs < staleMs;
  }

  /** Member that leads, by name, as far as is known here. */
  get leaderName(): string | null {
    const leader = this.replica?.core.leader ?? null;
    return leader === null ? null : replicaName(leader);
  }

  /** Members as this replica knows them. */
  get members(): readonly NamedAddress[] {
    return this.settings.members;
  }

  /** Bytes between control replicas, dialed from here. */
  peerTraffic(): { bytesSent: number; bytesReceived: number } {
    return this.network.traffic();
  }

  /** Bytes sent over the connections that were dialed to here: to agents and routers. */
  get daemonBytesSent(): number {
    return this.server.bytesSent;
  }

  /** Size of the log on disk, in bytes. */
  get logBytes(): number {
    return this.storage.logBytes;
  }

  /** Proposes a command; it is durable on a quorum once an outcome is returned. */
  async propose(command: ControlCommand): Promise<Result<CommandOutcome, ProposalError>> {
    return await this.proposals.propose(command);
  }

  /** Stops everything and closes the data folder. */
  async stop(): Promise<void> {
    for (const timer of this.timers) clearInterval(timer);
    this.server.close();
    this.network.stop();
    this.proposals.abandonAll();
    if (this.replica === null) await this.storage.close();
    else await this.replica.stop();
  }

  private submitProposal(proposalId: string, command: ControlCommand): void {
    if (this.replica === null) this.proposals.dropped(proposalId);
    else this.replica.submit({ kind: 'propose', proposalId, command });
  }

  // ---- formation and joining

  private startFormation(): void {
    this.logger.info('waiting for all members to form the cluster');
    const timer = setInterval(() => {
      if (this.formation.outcome.kind === 'undecided') this.network.broadcast(this.formation.query());
      else void this.finishFormation(timer, this.formation.outcome);
    }, FORMATION_RETRY_MS);
    this.timers.push(timer);
  }

  private async finishFormation(timer: NodeJS.Timeout, outcome: FormationOutcome): Promise<void> {
    clearInterval(timer);
    if (outcome.kind === 'member') await this.storage.form(outcome.membership);
    this.logger.info('cluster formed', { member: outcome.kind === 'member' });
    this.startReplica();
  }

  private startReplica(): void {
    const { timing, snapshotEveryEntries } = this.settings;
    const options = {
      ...DEFAULT_RAFT_OPTIONS,
      heartbeatMs: timing.heartbeatMs,
      electionTimeoutMs: timing.electionTimeoutMs,
      seed: seedFrom(this.id),
      snapshotEveryEntries,
    };
    this.replica = new Replica(this.id, this.storage, this.replicated, this.replicaPorts(), options);
    this.timers.push(
      setInterval(() => {
        this.runDuties();
      }, timing.planIntervalMs),
      setInterval(() => {
        this.requestToJoin();
      }, JOIN_RETRY_MS),
    );
  }

  private replicaPorts(): ReplicaPorts {
    return {
      send: (message) => {
        this.network.send(message);
      },
      onRoleChanged: (role, term, leader) => {
        this.roleChanged(role, term, leader);
      },
      onLeadershipConfirmed: (requestId) => {
        this.sessions.confirmed(requestId);
      },
      onProposalDropped: (proposalId) => {
        this.proposals.dropped(proposalId);
      },
      onFatal: this.onFatal,
    };
  }

  private requestToJoin(): void {
    const membership = this.replica?.core.membership;
    if (membership?.voters.includes(this.id) === true) return;
    this.network.broadcast({ kind: 'join-request', id: this.id });
  }

  private admitCandidates(replica: Replica): void {
    const { core } = replica;
    for (const [name, id] of this.candidates) {
      if (core.membership.voters.includes(id)) this.candidates.delete(name);
      const next = nextMembership(id, {
        membership: core.membership,
        commitIndex: core.commitIndex,
        matchIndexOf: (peer) => core.peerProgress(peer)?.matchIndex ?? null,
        isActive: (peer) => this.isActive(replica, peer),
      });
      if (next === null) continue;
      replica.submit({ kind: 'change-membership', membership: next });
      return;
    }
  }

  private isActive(replica: Replica, peer: ReplicaId): boolean {
    const answeredMs = replica.core.peerProgress(peer)?.lastAnswerMs ?? -Infinity;
    return peer === this.id || monotonicMs() - answeredMs < 2 * this.settings.timing.electionTimeoutMs;
  }

  // ---- leading

  private roleChanged(role: RaftRole, term: number, leader: ReplicaId | null): void {
    this.logger.info('role changed', { role, term, leader: leader === null ? null : replicaName(leader) });
    if (role !== 'leader') this.proposals.abandonAll();
  }

  private runDuties(): void {
    const { replica } = this;
    if (replica === null) return;
    if (!this.current) this.hub.dismissAll('no-leader');
    if (!replica.core.leaderReady) return;
    if (this.leadingTerm !== replica.core.term) {
      this.leadingTerm = replica.core.term;
      this.sessions.startLeading();
      this.duties.startLeading();
    }
    this.sessions.expire();
    this.duties.run(monotonicMs());
    this.admitCandidates(replica);
  }

  // ---- connections

  private acceptPeer(hello: Hello, connection: MessageConnection): PeerHandlers {
    const isControl = hello.role === 'control';
    return {
      onMessage: (message) => {
        if (isControl) this.receiveFromPeer(message, connection);
        else this.receiveFromDaemon(message, hello, connection);
      },
      onClose: () => {
        this.hub.remove(connection);
      },
    };
  }

  private receiveFromPeer(message: unknown, connection: MessageConnection): void {
    const checked = readPeerMessage(message);
    if (checked === null) {
      this.counters.unreadableMessages += 1;
      connection.close('unreadable message');
      return;
    }
    this.handlePeerMessage(checked);
  }

  private handlePeerMessage(message: PeerMessage): void {
    switch (message.kind) {
      case 'formation-query':
        this.network.sendTo(message.name, this.answerFormation(message));
        break;
      case 'formation-answer':
        this.formation.receive(message);
        break;
      case 'join-request':
        this.candidates.set(replicaName(message.id), message.id);
        break;
      default:
        this.replica?.submit({ kind: 'message', message });
    }
  }

  /** A replica that was formed in an earlier life answers with its membership, whoever founded it. */
  private answerFormation(query: Parameters<FormationCore['answer']>[0]): PeerMessage {
    const answer = this.formation.answer(query);
    if (this.replica === null || answer.membership !== null) return answer;
    return { ...answer, membership: this.replica.core.membership };
  }

  private receiveFromDaemon(message: unknown, hello: Hello, connection: MessageConnection): void {
    const parsed = daemonRequestSchema.safeParse(message);
    if (!parsed.success) {
      this.counters.unreadableMessages += 1;
      connection.close('unreadable message');
      return;
    }
    const request = parsed.data;
    if (request.kind === 'watch') {
      this.watch(request, hello, connection);
      return;
    }
    if (request.kind === 'watched') {
      this.hub.acknowledge(connection, request.index, request.revision);
      return;
    }
    this.handleSessionRequest(request, connection);
  }

  private handleSessionRequest(
    request: Exclude<DaemonRequest, { kind: 'watch' | 'watched' }>,
    connection: MessageConnection,
  ): void {
    if (!this.leading || this.leadingTerm !== this.replica?.core.term) {
      const notice: ControlNotice = { kind: 'not-leader', leader: this.leaderName };
      connection.send(notice);
      return;
    }
    switch (request.kind) {
      case 'open-session':
        void this.sessions.open(request, connection);
        break;
      case 'renew-session':
        this.sessions.renew(request, connection);
        break;
      case 'close-session':
        this.sessions.close(request.session);
        break;
      case 'move-released':
        void this.propose({ ...request, kind: 'complete-move', wallMs: Date.now() });
        break;
      case 'move-refused':
        void this.propose({ ...request, kind: 'cancel-move' });
        break;
    }
  }

  private watch(request: WatchRequest, hello: Hello, connection: MessageConnection): void {
    const applied = this.replica?.applied ?? 0;
    const reason = !this.current ? 'no-leader' : request.fromIndex > applied ? 'behind' : null;
    if (reason !== null) {
      const notice: ControlNotice = { kind: 'watch-refused', reason };
      connection.send(notice);
      return;
    }
    const watcher = { hello, connection, scope: request.scope, index: 0, revision: 0 };
    this.hub.add(watcher, request.fromIndex, this.state, applied);
  }
}

function describeStorageError(error: {
  kind: string;
  detail: string;
  file?: string;
  folder?: string;
  offset?: number;
}): string {
  const where = error.file ?? error.folder ?? '';
  const at = error.offset === undefined ? '' : ` at byte ${error.offset}`;
  return `${error.kind}: ${where}${at}: ${error.detail}; move the folder away, so that this replica joins anew`;
}

/** A number from a replica's id, so that replicas draw different election timeouts. */
function seedFrom(id: ReplicaId): number {
  let seed = 0;
  for (const character of id) seed = (Math.imul(seed, 31) + character.charCodeAt(0)) | 0;
  return seed;
}
