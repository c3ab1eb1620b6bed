/** One control replica: combines storage, consensus, connections and the duties of the leader. */
import type { ControlSettings } from '../config/daemon-settings.js';
import { FormationCore, type FormationOutcome } from '../consensus/formation-core.js';
import { processReplicaLimits, type ReplicaLimits } from '../consensus/replica-limits.js';
import { Replica, type ReplicaPorts } from '../consensus/replica.js';
import {
  DEFAULT_RAFT_OPTIONS,
  replicaName,
  type LogEntry,
  type RaftRole,
  type ReplicaId,
} from '../consensus/raft-types.js';
import { Err, Ok, type Result } from '../result.js';
import { ClockSkips } from '../runtime/clock-skips.js';
import { nodeRuntime } from '../runtime/node-runtime.js';
import type {
  CancelTimer,
  Connection,
  Listener,
  PeerHandlers,
  Runtime,
  Traffic,
} from '../runtime/runtime.js';
import { ReplicaStorage, type StorageError } from '../storage/replica-storage.js';
import type { ReplicaStore } from '../storage/replica-store.js';
import type { Logger } from '../telemetry/logger.js';
import type { Hello } from '../transport/hello.js';
import type { CommandOutcome, ControlCommand } from './commands.js';
import type { ControlState } from './control-state.js';
import { CrashRecordMaintenance } from '../quarantine/crash-record-maintenance.js';
import { DaemonGateway } from './daemon-gateway.js';
import { LeaderDuties } from './leader-duties.js';
import { LeaseTable } from './lease-table.js';
import { LoadTable } from './load-table.js';
import { MembershipAdmission } from './membership-admission.js';
import { parsePeerMessage } from './peer-messages.js';
import { PeerNetwork, type PeerMessage } from './peer-network.js';
import { Proposals, type ProposalError } from './proposals.js';
import { bucketOf, textHash } from '../model/text-hash.js';
import { ReplicatedState } from './replicated-state.js';
import type { ServiceLoads } from './state-snapshot.js';
import { SessionService } from './session-service.js';
import { WatchHub } from './watch-hub.js';

/** Interval between formation queries while the cluster is being formed, in ms. */
const FORMATION_QUERY_INTERVAL_MS = 200;

/** Interval between join requests of a replica that is not a voter, in ms. */
const JOIN_REQUEST_INTERVAL_MS = 500;

/** Interval between heartbeats to watchers, in ms. */
const WATCH_HEARTBEAT_INTERVAL_MS = 1_000;

/** Number of election timeouts without a leader after which a follower stops serving watchers. */
const STALENESS_ELECTION_TIMEOUTS = 3;

/** Number of election timeouts without an answer after which a member counts as inactive. */
const INACTIVITY_ELECTION_TIMEOUTS = 2;

/** Options and dependencies of a control replica. */
export interface ControlNodeOptions {
  readonly settings: ControlSettings;
  readonly token: string;
  readonly runtime: Runtime;
  readonly storage: ReplicaStore;
  readonly logger: Logger;
  /** Called once when the disk fails. */
  readonly onFatal: (error: unknown) => void;
  /** Overrides the leader's lease table. */
  readonly leases?: LeaseTable;
  /** Limits in bytes of the replica; those of a process whose memory is not known when this is left out. */
  readonly limits?: ReplicaLimits;
  /** Called for every committed entry, in log order. */
  readonly onApplied?: (entry: LogEntry) => void;
}

/** A running control replica. */
export class ControlNode {
  readonly hub: WatchHub;
  readonly sessions: SessionService;
  readonly gateway: DaemonGateway;
  readonly id: ReplicaId;
  /** Number of refused connections and of unreadable messages from other replicas. */
  readonly counters = { refusedConnections: 0, unreadablePeerMessages: 0 };
  private readonly settings: ControlSettings;
  private readonly runtime: Runtime;
  private readonly storage: ReplicaStore;
  private readonly logger: Logger;
  private readonly replicated: ReplicatedState;
  private readonly proposals: Proposals;
  private readonly loads = new LoadTable();
  private readonly duties: LeaderDuties;
  private readonly crashRecordMaintenance: CrashRecordMaintenance;
  private readonly admission: MembershipAdmission;
  private readonly clockSkips: ClockSkips;
  private readonly listener: Listener;
  private readonly network: PeerNetwork;
  private readonly formation: FormationCore;
  private readonly timers: CancelTimer[] = [];
  private replica: Replica | null = null;
  private leadingTerm = 0;
  /** Whether this replica was the leader before the latest role change. */
  private wasLeader = false;

  private constructor(private readonly options: ControlNodeOptions) {
    const { settings, token, runtime, storage, logger } = options;
    const { name, zone, members, timing } = settings;
    this.settings = settings;
    this.runtime = runtime;
    this.clockSkips = new ClockSkips(runtime);
    this.storage = storage;
    this.logger = logger;
    this.id = `${name}/${storage.owner.identity}`;
    this.hub = new WatchHub(options.limits);
    this.proposals = new Proposals(runtime, (proposalId, command) => {
      this.submitProposal(proposalId, command);
    });
    this.replicated = new ReplicatedState(
      this.hub,
      (proposalId, outcome) => {
        this.proposals.applied(proposalId, outcome);
      },
      (changes) => {
        this.duties.recordChanges(changes);
      },
      options.onApplied,
    );
    this.duties = new LeaderDuties(
      () => this.state,
      this.proposals,
      this.loads,
      () => runtime.nowMs(),
    );
    this.crashRecordMaintenance = new CrashRecordMaintenance(
      () => this.state.crashRecords,
      (command) => void this.proposals.propose(command),
    );
    this.sessions = this.createSessionService();
    this.gateway = this.createGateway();
    this.admission = new MembershipAdmission(INACTIVITY_ELECTION_TIMEOUTS * timing.electionTimeoutMs);
    const memberNames = members.map((member) => member.name);
    this.formation = new FormationCore(name, this.id, memberNames);
    this.listener = runtime.serve(token, {
      onPeer: (hello, connection) => this.acceptPeer(hello, connection),
      onRefused: () => (this.counters.refusedConnections += 1),
    });
    this.network = new PeerNetwork(runtime, { role: 'control', name, zone, token }, members);
  }

  /** Opens the data folder and starts listening. `onFatal` is called once when the disk fails. */
  static async start(
    settings: ControlSettings,
    token: string,
    logger: Logger,
    onFatal: (error: unknown) => void,
  ): Promise<Result<ControlNode, string>> {
    const limits = processReplicaLimits(null);
    const storage = await ReplicaStorage.open(settings.dataFolder, settings.name, false, limits);
    if (storage.err) return Err(describeStorageError(storage.val));
    const options = { settings, token, runtime: nodeRuntime, storage: storage.val, logger, onFatal, limits };
    return await ControlNode.startWith(options);
  }

  /** Starts a replica with storage that is already open. */
  static async startWith(options: ControlNodeOptions): Promise<Result<ControlNode, string>> {
    const node = new ControlNode(options);
    const listening = await node.listener.listen(options.settings.listen);
    if (listening.err) return listening;
    if (options.storage.formed) node.startReplica();
    else node.startFormation();
    return Ok(node);
  }

  /** The replicated state as applied by this replica. */
  get state(): ControlState {
    return this.replicated.state;
  }

  /** Whether this replica is the leader and its state is current. */
  get leading(): boolean {
    return this.replica?.leading === true;
  }

  /** The consensus replica; null while the cluster is being formed. */
  get consensus(): Replica | null {
    return this.replica;
  }

  /** Whether this replica was recently in contact with a leader and held all committed entries: its reads are not stale. */
  get isCurrent(): boolean {
    if (this.replica === null) return false;
    const { core } = this.replica;
    const staleMs = STALENESS_ELECTION_TIMEOUTS * this.settings.timing.electionTimeoutMs;
    const sinceMs = this.runtime.nowMs() - staleMs;
    return core.leader !== null && core.lastLeaderContactMs > sinceMs && core.upToDateMs > sinceMs;
  }

  /** Whether all committed entries are applied, so that a new watcher receives a complete table. */
  private get canServeWatchers(): boolean {
    const { replica } = this;
    return this.isCurrent && replica !== null && replica.appliedIndex >= replica.core.commitIndex;
  }

  /** Name of the leader as known to this replica, or null. */
  get leaderName(): string | null {
    const leader = this.replica?.core.leader ?? null;
    return leader === null ? null : replicaName(leader);
  }

  /** Returns the shard loads reported to the leader. */
  loadsByService(): ServiceLoads[] {
    return this.loads.describe();
  }

  /** Returns the reason why the policy of a service could not be followed; known only to the leader. */
  policyProblem(service: string): string | null {
    return this.duties.policyProblem(service);
  }

  /** Members listed in the settings. */
  get members(): ControlSettings['members'] {
    return this.settings.members;
  }

  /** Returns the bytes exchanged with other control replicas over connections that this replica dialed. */
  peerTraffic(): Traffic {
    return this.network.traffic();
  }

  /** Bytes sent over accepted connections, to agents and routers. */
  get daemonBytesSent(): number {
    return this.listener.bytesSent;
  }

  /** Size of the log on disk, in bytes. */
  get logBytes(): number {
    return this.storage.logBytes;
  }

  /** Proposes a command; when an outcome is returned, the command is durable on a quorum. */
  async propose(command: ControlCommand): Promise<Result<CommandOutcome, ProposalError>> {
    return await this.proposals.propose(command);
  }

  /** Stops all timers, connections and the replica, and closes the data folder. */
  async stop(): Promise<void> {
    for (const cancel of this.timers) cancel();
    this.listener.close();
    this.network.stop();
    this.proposals.abandonAll();
    if (this.replica === null) await this.storage.close();
    else await this.replica.stop();
  }

  private createSessionService(): SessionService {
    const ports = {
      state: () => this.state,
      confirmLeadership: (requestId: number) =>
        this.replica?.submit({ kind: 'confirm-leadership', requestId }),
      steadyMs: () => this.runtime.steadyMs(),
      wallMs: () => this.runtime.wallMs(),
    };
    const { sessionTermMs } = this.settings.timing;
    const leases = this.options.leases ?? new LeaseTable(sessionTermMs);
    return new SessionService(sessionTermMs, leases, ports, this.proposals, this.loads);
  }

  private createGateway(): DaemonGateway {
    const ports = {
      state: () => this.state,
      appliedIndex: () => this.replica?.appliedIndex ?? 0,
      canServeWatchers: () => this.canServeWatchers,
      isActiveLeader: () => this.leading && this.leadingTerm === this.replica?.core.term,
      leaderName: () => this.leaderName,
      wallMs: () => this.runtime.wallMs(),
      propose: async (command: ControlCommand) => await this.propose(command),
    };
    return new DaemonGateway(ports, this.sessions, this.hub);
  }

  private submitProposal(proposalId: string, command: ControlCommand): void {
    if (this.replica === null) this.proposals.dropped(proposalId);
    else this.replica.submit({ kind: 'propose', proposalId, command });
  }

  // ---- formation and joining

  private startFormation(): void {
    this.logger.info('waiting for all members to form the cluster');
    const cancel = this.runtime.every(FORMATION_QUERY_INTERVAL_MS, () => {
      if (this.formation.outcome.kind === 'undecided') {
        this.network.broadcast(this.formation.query());
        return;
      }
      cancel();
      void this.finishFormation(this.formation.outcome);
    });
    this.timers.push(cancel);
  }

  private async finishFormation(outcome: FormationOutcome): Promise<void> {
    if (outcome.kind === 'member') await this.storage.form(outcome.membership);
    this.logger.info('cluster formed', { member: outcome.kind === 'member' });
    this.startReplica();
  }

  private startReplica(): void {
    const { timing, snapshotEveryEntries } = this.settings;
    const options = {
      ...DEFAULT_RAFT_OPTIONS,
      limits: this.options.limits ?? DEFAULT_RAFT_OPTIONS.limits,
      heartbeatMs: timing.heartbeatMs,
      electionTimeoutMs: timing.electionTimeoutMs,
      // Gives each replica different election timeouts; the generator requires a signed integer.
      seed: textHash(this.id) | 0,
      snapshotEveryEntries: snapshotEveryEntries + bucketOf(this.id, Math.ceil(snapshotEveryEntries / 4)),
    };
    const ports = this.replicaPorts();
    this.replica = new Replica(this.id, this.runtime, this.storage, this.replicated, ports, options);
    // Logged so that a replica that restarted with less data than before can be recognized.
    const { lastIndex, term, commitIndex: snapshotIndex } = this.replica.core;
    this.logger.info('replica recovered', { lastIndex, term, snapshotIndex });
    this.timers.push(
      this.runtime.every(timing.planIntervalMs, () => {
        this.runLeaderDuties();
      }),
      this.runtime.every(JOIN_REQUEST_INTERVAL_MS, () => {
        this.requestToJoin();
      }),
      this.runtime.every(WATCH_HEARTBEAT_INTERVAL_MS, () => {
        if (this.isCurrent) this.hub.sendHeartbeat();
      }),
    );
  }

  private replicaPorts(): ReplicaPorts {
    return {
      send: (message) => {
        this.network.send(message);
      },
      onRoleChanged: (role, term, leader) => {
        this.handleRoleChange(role, term, leader);
      },
      onLeadershipConfirmed: (requestId) => {
        this.sessions.confirmed(requestId);
      },
      onProposalDropped: (proposalId) => {
        this.proposals.dropped(proposalId);
      },
      onFatal: this.options.onFatal,
    };
  }

  private requestToJoin(): void {
    const membership = this.replica?.core.membership;
    if (membership?.voters.includes(this.id) === true) return;
    this.network.broadcast({ kind: 'join-request', id: this.id });
  }

  // ---- leadership

  private handleRoleChange(role: RaftRole, term: number, leader: ReplicaId | null): void {
    this.logger.info('role changed', { role, term, leader: leader === null ? null : replicaName(leader) });
    // Only a leader appends proposals. Those of any other replica are certain to be dropped and are reported as such.
    if (role !== 'leader' && this.wasLeader) this.proposals.abandonAll();
    this.wasLeader = role === 'leader';
  }

  private runLeaderDuties(): void {
    const { replica } = this;
    if (replica === null) return;
    if (!this.isCurrent) this.hub.dismissAll('no-leader');
    if (!replica.leading) return;
    if (this.leadingTerm !== replica.core.term) this.startLeading(replica.core.term);
    this.sessions.expire();
    this.duties.run(this.runtime.nowMs());
    this.crashRecordMaintenance.proposeDueCommands(this.runtime.nowMs());
    const { electionTimeoutMs } = this.settings.timing;
    // After a suspension of this process all members seem inactive, although they may not be.
    if (!this.clockSkips.skippedWithin(electionTimeoutMs))
      this.admission.submitNextChange(replica, this.runtime.nowMs());
  }

  private startLeading(term: number): void {
    this.leadingTerm = term;
    this.sessions.startLeading();
    this.duties.startLeading();
    this.crashRecordMaintenance.startLeading();
  }

  // ---- connections

  private acceptPeer(hello: Hello, connection: Connection): PeerHandlers {
    const isControl = hello.role === 'control';
    return {
      onMessage: (message) => {
        if (isControl) this.receiveFromPeer(message, connection);
        else this.gateway.receive(message, hello, connection);
      },
      onClose: () => {
        this.hub.remove(connection);
      },
    };
  }

  private receiveFromPeer(message: unknown, connection: Connection): void {
    const checked = parsePeerMessage(message);
    if (checked === null) {
      this.counters.unreadablePeerMessages += 1;
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
        this.admission.request(message.id);
        break;
      default:
        this.replica?.submit({ kind: 'message', message });
    }
  }

  /** A replica that restarted after formation answers with its current membership. */
  private answerFormation(query: Parameters<FormationCore['answer']>[0]): PeerMessage {
    const answer = this.formation.answer(query);
    if (this.replica === null || answer.membership !== null) return answer;
    return { ...answer, membership: this.replica.core.membership };
  }
}

function describeStorageError(error: StorageError): string {
  const location = error.kind === 'corrupt-file' ? `${error.file} at byte ${error.offset}` : error.folder;
  return `${error.kind}: ${location}: ${error.detail}; move the folder away, so that this replica joins again with an empty one`;
}
