/** One control replica: joins storage, consensus, connections and the duties of a leader. */
import type { ControlSettings } from '../config/daemon-settings.js';
import { FormationCore, type FormationOutcome } from '../consensus/formation-core.js';
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
import { CrashRecordMaintenance } from '../quarantine/crash-duties.js';
import { DaemonGateway } from './daemon-gateway.js';
import { LeaderDuties } from './leader-duties.js';
import { LeaseTable } from './lease-table.js';
import { LoadTable } from './load-table.js';
import { MembershipAdmission } from './membership-admission.js';
import { readPeerMessage } from './peer-messages.js';
import { PeerNetwork, type PeerMessage } from './peer-network.js';
import { Proposals, type ProposalError } from './proposals.js';
import { spread, textHash } from '../model/text-hash.js';
import { ReplicatedState } from './replicated-state.js';
import type { ServiceLoads } from './state-snapshot.js';
import { SessionService } from './session-service.js';
import { WatchHub } from './watch-hub.js';

/** Pause between questions while the cluster is being formed, in ms. */
const FORMATION_RETRY_MS = 200;

/** Pause between requests to be made a member, in ms. */
const JOIN_RETRY_MS = 500;

/** Pause between signs of life to watchers, in ms. */
const WATCH_ALIVE_MS = 1_000;

/** A follower that heard no leader for this many election timeouts serves no watchers. */
const STALE_ELECTION_TIMEOUTS = 3;

/** A member that did not answer for this many election timeouts counts as gone. */
const INACTIVE_ELECTION_TIMEOUTS = 2;

/** What a replica is started with. */
export interface ControlNodeOptions {
  readonly settings: ControlSettings;
  readonly token: string;
  readonly runtime: Runtime;
  readonly storage: ReplicaStore;
  readonly logger: Logger;
  /** Called once when the disk fails. */
  readonly onFatal: (error: unknown) => void;
  /** Given where the leader's leases are not to be kept in the usual way. */
  readonly leases?: LeaseTable;
  /** Told of every committed entry, in order. */
  readonly onApplied?: (entry: LogEntry) => void;
}

/** A running control replica. */
export class ControlNode {
  readonly hub = new WatchHub();
  readonly sessions: SessionService;
  readonly gateway: DaemonGateway;
  readonly id: ReplicaId;
  /** Connections that were refused, and unreadable messages of other replicas. */
  readonly counters = { refusedConnections: 0, unreadablePeerMessages: 0 };
  private readonly settings: ControlSettings;
  private readonly runtime: Runtime;
  private readonly storage: ReplicaStore;
  private readonly logger: Logger;
  private readonly replicated: ReplicatedState;
  private readonly proposals: Proposals;
  private readonly loads = new LoadTable();
  private readonly duties: LeaderDuties;
  private readonly crashDuties: CrashRecordMaintenance;
  private readonly admission: MembershipAdmission;
  private readonly clockSkips: ClockSkips;
  private readonly listener: Listener;
  private readonly network: PeerNetwork;
  private readonly formation: FormationCore;
  private readonly timers: CancelTimer[] = [];
  private replica: Replica | null = null;
  private leadingTerm = 0;
  /** Whether it led until its role changed last. */
  private hasLed = false;

  private constructor(private readonly options: ControlNodeOptions) {
    const { settings, token, runtime, storage, logger } = options;
    const { name, zone, members, timing } = settings;
    this.settings = settings;
    this.runtime = runtime;
    this.clockSkips = new ClockSkips(runtime);
    this.storage = storage;
    this.logger = logger;
    this.id = `${name}/${storage.owner.identity}`;
    this.proposals = new Proposals(runtime, (proposalId, command) => {
      this.submitProposal(proposalId, command);
    });
    this.replicated = new ReplicatedState(
      this.hub,
      (proposalId, outcome) => {
        this.proposals.applied(proposalId, outcome);
      },
      (changes) => {
        this.duties.noteChanges(changes);
      },
      options.onApplied,
    );
    this.duties = new LeaderDuties(
      () => this.state,
      this.proposals,
      this.loads,
      () => runtime.nowMs(),
    );
    this.crashDuties = new CrashRecordMaintenance(
      () => this.state.crashRecords,
      (command) => void this.proposals.propose(command),
    );
    this.sessions = this.makeSessions();
    this.gateway = this.makeGateway();
    this.admission = new MembershipAdmission(INACTIVE_ELECTION_TIMEOUTS * timing.electionTimeoutMs);
    const memberNames = members.map((member) => member.name);
    this.formation = new FormationCore(name, this.id, memberNames);
    this.listener = runtime.serve(token, {
      onPeer: (hello, connection) => this.acceptPeer(hello, connection),
      onRefused: () => (this.counters.refusedConnections += 1),
    });
    this.network = new PeerNetwork(runtime, { role: 'control', name, zone, token }, members);
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
    const options = { settings, token, runtime: nodeRuntime, storage: storage.val, logger, onFatal };
    return await ControlNode.startWith(options);
  }

  /** Starts on a disk that is already open. */
  static async startWith(options: ControlNodeOptions): Promise<Result<ControlNode, string>> {
    const node = new ControlNode(options);
    const listening = await node.listener.listen(options.settings.listen);
    if (listening.err) return listening;
    if (options.storage.formed) node.startReplica();
    else node.startFormation();
    return Ok(node);
  }

  /** The replicated state as far as it is known here. */
  get state(): ControlState {
    return this.replicated.state;
  }

  /** Whether this replica leads and its state is current. */
  get leading(): boolean {
    return this.replica?.leading === true;
  }

  /** The consensus replica; null while the cluster is being formed. */
  get consensus(): Replica | null {
    return this.replica;
  }

  /** Whether a leader was heard lately, and all that was committed is held here, so that what is read is not old. */
  get current(): boolean {
    if (this.replica === null) return false;
    const { core } = this.replica;
    const staleMs = STALE_ELECTION_TIMEOUTS * this.settings.timing.electionTimeoutMs;
    const sinceMs = this.runtime.nowMs() - staleMs;
    return core.leader !== null && core.leaderLastHeardMs > sinceMs && core.upToDateMs > sinceMs;
  }

  /** Whether a daemon that begins to watch is given all that was committed, and not only what is applied so far. */
  private get servesTables(): boolean {
    const { replica } = this;
    return this.current && replica !== null && replica.applied >= replica.core.commitIndex;
  }

  /** Member that leads, by name, as far as is known here. */
  get leaderName(): string | null {
    const leader = this.replica?.core.leader ?? null;
    return leader === null ? null : replicaName(leader);
  }

  /** Load of the shards as the leader was told. */
  loadsByService(): ServiceLoads[] {
    return this.loads.describe();
  }

  /** Why the policy of a service could not be followed; known to the leader only. */
  policyProblem(service: string): string | null {
    return this.duties.policyProblem(service);
  }

  /** Members by the settings. */
  get members(): ControlSettings['members'] {
    return this.settings.members;
  }

  /** Bytes between control replicas, dialed from here. */
  peerTraffic(): Traffic {
    return this.network.traffic();
  }

  /** Bytes sent over the connections that were dialed to here: to agents and routers. */
  get daemonBytesSent(): number {
    return this.listener.bytesSent;
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
    for (const cancel of this.timers) cancel();
    this.listener.close();
    this.network.stop();
    this.proposals.abandonAll();
    if (this.replica === null) await this.storage.close();
    else await this.replica.stop();
  }

  private makeSessions(): SessionService {
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

  private makeGateway(): DaemonGateway {
    const ports = {
      state: () => this.state,
      applied: () => this.replica?.applied ?? 0,
      current: () => this.servesTables,
      onDuty: () => this.leading && this.leadingTerm === this.replica?.core.term,
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
    const cancel = this.runtime.every(FORMATION_RETRY_MS, () => {
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
      heartbeatMs: timing.heartbeatMs,
      electionTimeoutMs: timing.electionTimeoutMs,
      // Replicas draw different election timeouts; the generator takes a signed number.
      seed: textHash(this.id) | 0,
      snapshotEveryEntries: snapshotEveryEntries + spread(this.id, Math.ceil(snapshotEveryEntries / 4)),
    };
    const ports = this.replicaPorts();
    this.replica = new Replica(this.id, this.runtime, this.storage, this.replicated, ports, options);
    // One that came back with less than it had shows it here.
    const { lastIndex, term, commitIndex: snapshotIndex } = this.replica.core;
    this.logger.info('replica recovered', { lastIndex, term, snapshotIndex });
    this.timers.push(
      this.runtime.every(timing.planIntervalMs, () => {
        this.runDuties();
      }),
      this.runtime.every(JOIN_RETRY_MS, () => {
        this.requestToJoin();
      }),
      this.runtime.every(WATCH_ALIVE_MS, () => {
        if (this.current) this.hub.sendAlive();
      }),
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
      onFatal: this.options.onFatal,
    };
  }

  private requestToJoin(): void {
    const membership = this.replica?.core.membership;
    if (membership?.voters.includes(this.id) === true) return;
    this.network.broadcast({ kind: 'join-request', id: this.id });
  }

  // ---- leading

  private roleChanged(role: RaftRole, term: number, leader: ReplicaId | null): void {
    this.logger.info('role changed', { role, term, leader: leader === null ? null : replicaName(leader) });
    // Only a leader appends proposals; what others were asked is dropped for certain, and is told so.
    if (role !== 'leader' && this.hasLed) this.proposals.abandonAll();
    this.hasLed = role === 'leader';
  }

  private runDuties(): void {
    const { replica } = this;
    if (replica === null) return;
    if (!this.current) this.hub.dismissAll('no-leader');
    if (!replica.leading) return;
    if (this.leadingTerm !== replica.core.term) this.startLeading(replica.core.term);
    this.sessions.expire();
    this.duties.run(this.runtime.nowMs());
    this.crashDuties.proposeDueCommands(this.runtime.nowMs());
    const { electionTimeoutMs } = this.settings.timing;
    // After a suspension nobody seems to have answered for as long; that says nothing of the others.
    if (!this.clockSkips.lately(electionTimeoutMs)) this.admission.advance(replica, this.runtime.nowMs());
  }

  private startLeading(term: number): void {
    this.leadingTerm = term;
    this.sessions.startLeading();
    this.duties.startLeading();
    this.crashDuties.startLeading();
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
    const checked = readPeerMessage(message);
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

  /** A replica that was formed in an earlier life answers with its membership, whoever founded it. */
  private answerFormation(query: Parameters<FormationCore['answer']>[0]): PeerMessage {
    const answer = this.formation.answer(query);
    if (this.replica === null || answer.membership !== null) return answer;
    return { ...answer, membership: this.replica.core.membership };
  }
}

function describeStorageError(error: StorageError): string {
  const place = error.kind === 'corrupt-file' ? `${error.file} at byte ${error.offset}` : error.folder;
  return `${error.kind}: ${place}: ${error.detail}; move the folder away, so that this replica joins anew`;
}
