/** One replica of a directory: connects storage, consensus, connections and the leader's tasks. */
import { FormationCore } from '../consensus/formation-core.js';
import type { ReplicaLimits } from '../consensus/replica-limits.js';
import { Replica, type ReplicaPorts, type StateMachine } from '../consensus/replica.js';
import {
  DEFAULT_RAFT_OPTIONS,
  replicaName,
  type LogEntry,
  type RaftRole,
  type ReplicaId,
} from '../consensus/raft-types.js';
import { LeaseTable } from '../control/lease-table.js';
import { parsePeerMessage } from '../control/peer-messages.js';
import type { PeerMessage } from '../control/peer-network.js';
import { Proposals } from '../control/proposals.js';
import { formatAddress } from '../model/socket-address.js';
import { bucketOf, textHash } from '../model/text-hash.js';
import { Err, Ok, type Result } from '../result.js';
import type { CancelTimer, Connection, Listener, PeerHandlers, Runtime } from '../runtime/runtime.js';
import { ClockSkips } from '../runtime/clock-skips.js';
import type { ReplicaStore } from '../storage/replica-store.js';
import type { EventLog } from '../telemetry/event-log.js';
import { NO_LATENCIES, type Latencies } from '../telemetry/latencies.js';
import { ChangeFeed } from './change-feed.js';
import { isConfigurationCommand } from './configuration-check.js';
import { ConfigurationSize } from './configuration-size.js';
import type { DirectoryCommand, DirectoryOutcome } from './directory-commands.js';
import { RangePlanningLoop } from './range-planning-loop.js';
import { CrashRecordMaintenance } from '../quarantine/crash-record-maintenance.js';
import { DirectoryLeader } from './directory-leader.js';
import { applyDirectoryCommand } from './directory-machine.js';
import { directoryRequestSchema, readRelayMessage } from './directory-messages.js';
import { LEASE_DRIFT_ALLOWANCE, type DirectorySettings } from './directory-settings.js';
import {
  decodeDirectory,
  emptyDirectoryState,
  encodeDirectory,
  type DirectorySnapshot,
  type DirectoryState,
} from './directory-state.js';
import { DirectoryReporter } from './directory-reporter.js';
import { LeaderRequestRelay } from './leader-request-relay.js';
import { LeadershipConfirmations } from './leadership-confirmations.js';
import { MembershipManager } from './membership-manager.js';
import { ANSWER_TIMEOUT_MS, changedItems, OperatorChanges, type ChangeOutcome } from './operator-changes.js';
import { ReplicaDialer } from './replica-dialer.js';

/** Interval in ms between formation queries while the initial membership is undecided. */
const FORMATION_RETRY_INTERVAL_MS = 100;

/** Interval in ms between join requests. */
const JOIN_RETRY_INTERVAL_MS = 300;

/** Interval in ms between heartbeats to watchers. */
const WATCHER_HEARTBEAT_INTERVAL_MS = 250;

/** Number of election timeouts without contact to a leader, or behind the committed log, after which watchers are refused. */
const STALE_ELECTION_TIMEOUTS = 2;

/** Options of a directory replica. */
export interface DirectoryNodeOptions {
  readonly settings: DirectorySettings;
  readonly token: string;
  readonly runtime: Runtime;
  readonly storage: ReplicaStore;
  readonly log: EventLog;
  /** Receives the durations of the steps of configuration changes; they are discarded when this is left out. */
  readonly latencies?: Latencies;
  /** Limits in bytes of the replica; those of a process whose memory is not known when this is left out. */
  readonly limits?: ReplicaLimits;
  /** Called once on a disk failure. */
  readonly onFatal: (error: unknown) => void;
}

/** Reason why the configuration cannot be read from this replica. */
export type ReadError =
  { readonly kind: 'elsewhere'; readonly leader: string } | { readonly kind: 'unavailable' };

/** A running directory replica. */
export class DirectoryNode implements StateMachine {
  readonly feed: ChangeFeed;
  readonly id: ReplicaId;
  /** Address of this replica, which is also its name. */
  readonly name: string;
  private currentState: DirectoryState = emptyDirectoryState();
  private readonly configurationSize = new ConfigurationSize();
  private configurationChanges = 0;
  private appliedIndex = 0;
  private readonly proposals: Proposals<DirectoryCommand, DirectoryOutcome>;
  private readonly changes: OperatorChanges;
  private readonly confirmations: LeadershipConfirmations;
  private readonly rangePlanning: RangePlanningLoop;
  private readonly crashRecordMaintenance: CrashRecordMaintenance;
  private readonly leader: DirectoryLeader;
  private readonly listener: Listener;
  private readonly dialer: ReplicaDialer;
  private readonly formation: FormationCore | null;
  private readonly leaderRequestRelay: LeaderRequestRelay;
  private readonly membership: MembershipManager;
  private readonly timers: CancelTimer[] = [];
  private readonly reporter: DirectoryReporter;
  private replica: Replica | null = null;
  private leadingTerm = 0;
  private readonly clockSkips: ClockSkips;

  private constructor(private readonly options: DirectoryNodeOptions) {
    const { settings, token, runtime, storage } = options;
    this.clockSkips = new ClockSkips(runtime);
    const limits = options.limits ?? DEFAULT_RAFT_OPTIONS.limits;
    this.feed = new ChangeFeed(limits);
    this.reporter = new DirectoryReporter(options.log, options.latencies ?? NO_LATENCIES);
    this.name = formatAddress(settings.advertised);
    this.id = `${this.name}/${storage.owner.identity}`;
    this.proposals = new Proposals(
      runtime,
      (proposalId, command) => {
        if (this.replica === null) this.proposals.dropped(proposalId);
        else this.replica.submit({ kind: 'propose', proposalId, command });
      },
      (command, steps) => {
        const items = changedItems(command).length;
        if (items > 0) this.reporter.changed(items, steps);
      },
    );
    this.confirmations = new LeadershipConfirmations(runtime, (requestId) => {
      this.replica?.submit({ kind: 'confirm-leadership', requestId });
    });
    this.changes = new OperatorChanges(runtime, this.proposals, {
      state: () => this.currentState,
      configuration: this.configurationSize,
      confirmLeadership: async (timeoutMs) => await this.confirmations.confirm(timeoutMs),
      limits,
    });
    this.rangePlanning = new RangePlanningLoop(
      () => this.currentState,
      this.proposals,
      (service, plan) => {
        this.options.log.event('ranges-planned', { service, ...plan });
      },
    );
    this.crashRecordMaintenance = new CrashRecordMaintenance(
      () => this.currentState.crashRecords,
      (command) => void this.proposals.propose(command),
    );
    this.leader = this.makeLeader();
    const mayFormMembership = storage.owner.founding === true && settings.seeds.includes(this.name);
    this.formation = mayFormMembership ? new FormationCore(this.name, this.id, settings.seeds) : null;
    this.listener = runtime.serve(token, {
      onPeer: (hello, connection) => this.acceptPeer(hello.role === 'control', connection),
      onRefused: () => undefined,
    });
    const identity = { role: 'control', name: this.name, zone: settings.zone, token } as const;
    this.dialer = new ReplicaDialer(runtime, identity);
    this.leaderRequestRelay = this.makeLeaderRequestRelay();
    this.membership = this.makeMembership();
  }

  /** Starts a replica on storage that is already open. */
  static async start(options: DirectoryNodeOptions): Promise<Result<DirectoryNode, string>> {
    const node = new DirectoryNode(options);
    const listening = await node.listener.listen(options.settings.listen);
    if (listening.err) return listening;
    if (options.storage.formed || node.formation === null) node.startReplica();
    else node.startFormation(node.formation);
    return Ok(node);
  }

  /** The replicated state as applied on this replica. Callers must not modify it. */
  get state(): DirectoryState {
    return this.currentState;
  }

  /** Number that rises with each change of the configuration in `state`, for what is derived from it. */
  get configurationVersion(): number {
    return this.configurationChanges;
  }

  /** Whether this replica is the leader and its state is current. */
  get leading(): boolean {
    return this.replica?.leading === true && this.leadingTerm === this.replica.core.term;
  }

  /** Whether there was recent contact with a leader, so that the state of this replica is not stale. */
  get hasRecentLeader(): boolean {
    if (this.replica === null) return false;
    const { core } = this.replica;
    const staleMs = STALE_ELECTION_TIMEOUTS * this.options.settings.timing.electionTimeoutMs;
    return core.leader !== null && this.options.runtime.nowMs() - core.lastLeaderContactMs < staleMs;
  }

  /** Whether this replica recently held everything that was committed, so that daemons may watch it. */
  get isCurrent(): boolean {
    if (this.replica === null || !this.hasRecentLeader) return false;
    const staleMs = STALE_ELECTION_TIMEOUTS * this.options.settings.timing.electionTimeoutMs;
    return this.options.runtime.nowMs() - this.replica.core.upToDateMs < staleMs;
  }

  /** Address of the leader known to this replica; null if there is none. */
  get leaderAddress(): string | null {
    const leader = this.replica?.core.leader ?? null;
    return leader === null ? null : replicaName(leader);
  }

  /** Address of the leader if it is another replica and was recently in contact; null otherwise. */
  get leaderElsewhere(): string | null {
    const { leaderAddress, hasRecentLeader, name } = this;
    return leaderAddress !== name && hasRecentLeader ? leaderAddress : null;
  }

  /** Counts of planned moves of keys since the process start. */
  get moveCounters(): RangePlanningLoop['counters'] {
    return this.rangePlanning.counters;
  }

  /** The consensus replica; null until formation has finished. */
  get consensus(): Replica | null {
    return this.replica;
  }

  /** Whether entries acknowledged now survive the tolerated number of disk losses. */
  get durable(): boolean {
    const { toleratedLosses } = this.options.settings;
    const voters = this.replica?.core.committedMembership()?.voters.length ?? 0;
    if (this.currentState.configured) return voters > 0;
    return voters >= 2 * toleratedLosses + 1;
  }

  /**
   * Proposes a command. Once an outcome is returned, the command is durable on a quorum. A command without an outcome
   * in time may still be committed later; a resend of it is then answered as accepted.
   */
  async propose(command: DirectoryCommand): Promise<ChangeOutcome> {
    if (!this.leading || !this.durable) return Err({ kind: 'not-leader' });
    return await this.changes.propose(command);
  }

  /** Whether the state of this replica records the change with this digest as accepted. */
  hasAccepted(digest: string): boolean {
    return this.currentState.accepted.some((change) => change.digest === digest);
  }

  /** Linearizable read: returns the state once a quorum has confirmed leadership after the start of this call. */
  async readState(): Promise<Result<DirectoryState, ReadError>> {
    if (!this.leading) {
      const leader = this.leaderElsewhere;
      return Err(leader === null ? { kind: 'unavailable' } : { kind: 'elsewhere', leader });
    }
    if (!(await this.confirmations.confirm(ANSWER_TIMEOUT_MS))) return Err({ kind: 'unavailable' });
    return Ok(this.currentState);
  }

  /** Adds replica addresses from reloaded settings. */
  addSeeds(seeds: readonly string[]): void {
    this.membership.addSeeds(seeds);
  }

  /** Stops the replica and closes its data folder. */
  async stop(): Promise<void> {
    for (const cancel of this.timers) cancel();
    this.listener.close();
    this.dialer.stop();
    this.proposals.abandonAll();
    this.confirmations.abandonAll();
    if (this.replica === null) await this.options.storage.close();
    else await this.replica.stop();
  }

  // ---- replicated state machine

  /** Applies a committed entry and publishes its changes. */
  apply(entry: LogEntry): void {
    this.appliedIndex = entry.index;
    if (entry.payload.kind !== 'command') {
      this.scheduleLeaderTasks();
      return;
    }
    const command = entry.payload.command as DirectoryCommand;
    const { outcome, changes } = applyDirectoryCommand(this.currentState, command, entry.index);
    this.configurationSize.record(changes);
    if (isConfigurationCommand(command)) this.configurationChanges += 1;
    this.feed.publish(entry.index, changes);
    // All replicas apply the change, but only the leader logs it.
    if (this.leading) this.reporter.crashRecords(changes);
    this.proposals.applied(entry.payload.proposalId, outcome);
  }

  /** Returns the state as plain data for the snapshot file. */
  snapshot(): unknown {
    return encodeDirectory(this.currentState);
  }

  /** Replaces the state by a snapshot; null means the empty state. */
  restore(data: unknown, index: number): void {
    this.currentState = data === null ? emptyDirectoryState() : decodeDirectory(data as DirectorySnapshot);
    this.configurationSize.reset(this.currentState.items.values());
    this.configurationChanges += 1;
    this.appliedIndex = index;
    this.feed.reset(this.currentState, index);
  }

  // ---- starting

  private makeLeader(): DirectoryLeader {
    const { runtime, settings, log } = this.options;
    const { leaseTermMs } = settings;
    const leases = new LeaseTable(leaseTermMs * (1 + LEASE_DRIFT_ALLOWANCE));
    const ports = {
      state: () => this.currentState,
      newestIndex: () => this.feed.newestIndex,
      nowMs: () => runtime.nowMs(),
      steadyMs: () => runtime.steadyMs(),
      durable: () => this.durable,
      onExpired: (sessions: unknown) => {
        log.event('lease-expired', { sessions });
      },
    };
    return new DirectoryLeader(
      leaseTermMs,
      leases,
      ports,
      this.proposals,
      this.confirmations,
      this.rangePlanning,
    );
  }

  private makeLeaderRequestRelay(): LeaderRequestRelay {
    return new LeaderRequestRelay({
      name: this.name,
      leading: () => this.leading,
      leaderElsewhere: () => this.leaderElsewhere,
      leader: this.leader,
      sendTo: (address, message) => {
        this.dialer.sendTo(address, message);
      },
    });
  }

  private makeMembership(): MembershipManager {
    const { runtime, settings, log } = this.options;
    return new MembershipManager({
      id: this.id,
      settings,
      runtime,
      log,
      replica: () => this.replica,
      leading: () => this.leading,
      hasRecentLeader: () => this.hasRecentLeader,
      leaderAddress: () => this.leaderAddress,
      sendTo: (address, request) => {
        this.dialer.sendTo(address, request);
      },
    });
  }

  private startFormation(formation: FormationCore): void {
    const queryOrFinish = (): void => {
      if (formation.outcome.kind === 'undecided') {
        for (const seed of this.options.settings.seeds) this.dialer.sendTo(seed, formation.query());
        return;
      }
      cancel();
      void this.finishFormation(formation);
    };
    const cancel = this.options.runtime.every(FORMATION_RETRY_INTERVAL_MS, queryOrFinish);
    this.timers.push(cancel);
    queryOrFinish();
  }

  private async finishFormation({ outcome }: FormationCore): Promise<void> {
    if (outcome.kind === 'member') await this.options.storage.form(outcome.membership);
    this.options.log.event('formed', { member: outcome.kind === 'member' });
    this.startReplica();
  }

  private startReplica(): void {
    const { runtime, storage, settings, limits } = this.options;
    const { timing } = settings;
    const options = {
      ...DEFAULT_RAFT_OPTIONS,
      limits: limits ?? DEFAULT_RAFT_OPTIONS.limits,
      heartbeatMs: timing.heartbeatMs,
      electionTimeoutMs: timing.electionTimeoutMs,
      // A seed per replica gives different election timeouts; the generator takes a signed integer.
      seed: textHash(this.id) | 0,
      snapshotEveryEntries:
        timing.snapshotEveryEntries + bucketOf(this.id, Math.ceil(timing.snapshotEveryEntries / 4)),
    };
    this.replica = new Replica(this.id, runtime, storage, this, this.replicaPorts(), options);
    this.reporter.recovered(this.replica);
    this.timers.push(
      runtime.every(timing.leaderTaskIntervalMs, () => {
        this.runLeaderTasks();
      }),
      runtime.every(JOIN_RETRY_INTERVAL_MS, () => {
        this.membership.requestToJoin();
      }),
      runtime.every(WATCHER_HEARTBEAT_INTERVAL_MS, () => {
        this.sendWatcherHeartbeat();
      }),
    );
    this.membership.requestToJoin();
  }

  private replicaPorts(): ReplicaPorts {
    return {
      send: (message) => {
        this.dialer.send(message);
      },
      onRoleChanged: (role, term, leader) => {
        this.handleRoleChange(role, term, leader);
      },
      onLeadershipConfirmed: (requestId) => {
        this.confirmations.confirmed(requestId);
      },
      onProposalDropped: (proposalId, reason) => {
        this.proposals.dropped(proposalId, reason);
      },
      onProposalsSynced: (proposalIds, takenMs) => {
        this.proposals.synced(proposalIds, takenMs);
      },
      onFatal: this.options.onFatal,
    };
  }

  // ---- leading

  private handleRoleChange(role: RaftRole, term: number, leader: ReplicaId | null): void {
    this.options.log.event('role-changed', { role, term, leader });
    if (role === 'leader') return;
    this.proposals.abandonAll();
    this.confirmations.abandonAll();
  }

  /**
   * Runs the leader's tasks once the first entry of the term is applied, so that the new leader accepts requests
   * immediately and not only from the next interval on; and once a membership is applied, because fewer losses are
   * tolerated between the removal of a voter and the promotion of its successor.
   */
  private scheduleLeaderTasks(): void {
    this.options.runtime.after(0, () => {
      this.runLeaderTasks();
    });
  }

  private runLeaderTasks(): void {
    const { replica } = this;
    if (replica?.leading !== true) return;
    if (this.leadingTerm !== replica.core.term) this.startLeading(replica.core.term);
    const { electionTimeoutMs } = this.options.settings.timing;
    // After this process was suspended, all peers seem to have been silent; that does not mean that they are lost.
    if (!this.clockSkips.skippedWithin(electionTimeoutMs)) this.membership.proposeNextMembership(replica);
    if (!this.durable) return;
    this.leader.expireLeases();
    this.rangePlanning.run(this.options.runtime.nowMs());
    this.crashRecordMaintenance.proposeDueCommands(this.options.runtime.nowMs());
  }

  private startLeading(term: number): void {
    this.leadingTerm = term;
    this.membership.startLeading();
    this.leader.startLeading();
    this.rangePlanning.startLeading();
    this.crashRecordMaintenance.startLeading();
  }

  private sendWatcherHeartbeat(): void {
    const core = this.replica?.core;
    if (core === undefined) return;
    if (!this.isCurrent) {
      this.feed.refuseAllWatchers();
      return;
    }
    const { voters, learners } = core.membership;
    const members = [...voters, ...learners].map(replicaName);
    this.feed.broadcast({ kind: 'alive', index: this.appliedIndex, members });
  }

  // ---- connections

  private acceptPeer(isReplica: boolean, connection: Connection): PeerHandlers {
    return {
      onMessage: (message) => {
        if (isReplica) this.receiveFromReplica(message, connection);
        else this.receiveFromDaemon(message, connection);
      },
      onClose: () => {
        this.feed.remove(connection);
        this.leaderRequestRelay.forget(connection);
      },
    };
  }

  private receiveFromReplica(message: unknown, connection: Connection): void {
    const relayed = readRelayMessage(message);
    if (relayed !== null) {
      this.leaderRequestRelay.handleRelayed(relayed);
      return;
    }
    const checked = parsePeerMessage(message);
    if (checked === null) {
      connection.close('unreadable message');
      return;
    }
    this.handlePeerMessage(checked);
  }

  private handlePeerMessage(message: PeerMessage): void {
    switch (message.kind) {
      case 'formation-query':
        this.answerFormationQuery(message);
        break;
      case 'formation-answer':
        this.formation?.receive(message);
        break;
      case 'join-request':
        this.membership.handleJoinRequest(message.id);
        break;
      default:
        this.replica?.submit({ kind: 'message', message });
    }
  }

  /** Answers a formation query. A replica that is already a member answers with its membership, whoever formed it. */
  private answerFormationQuery(query: Parameters<FormationCore['answer']>[0]): void {
    const membership = this.replica?.core.membership ?? null;
    const formed = membership !== null && membership.voters.length > 0;
    if (formed) {
      const answer = { kind: 'formation-answer', name: this.name, id: this.id, membership };
      this.dialer.sendTo(query.name, answer);
      return;
    }
    // A replica that lost its disk must not take part in formation, so it does not answer.
    if (this.formation !== null) this.dialer.sendTo(query.name, this.formation.answer(query));
  }

  private receiveFromDaemon(message: unknown, connection: Connection): void {
    const parsed = directoryRequestSchema.safeParse(message);
    if (!parsed.success) {
      connection.close('unreadable message');
      return;
    }
    const request = parsed.data;
    if (request.kind === 'watch') {
      this.watch(request.fromIndex, connection);
      return;
    }
    this.leaderRequestRelay.handle(request, connection);
  }

  private watch(fromIndex: number, connection: Connection): void {
    // Entries that are committed but not yet applied would be missing from the table sent to a new watcher.
    const isApplying = this.appliedIndex < (this.replica?.core.commitIndex ?? 0);
    if (!this.isCurrent || isApplying || fromIndex > this.appliedIndex) {
      const reason = this.hasRecentLeader ? 'behind' : 'no-leader';
      connection.send({ kind: 'watch-refused', reason });
      return;
    }
    this.feed.add(connection, fromIndex, this.currentState, this.appliedIndex);
    this.sendWatcherHeartbeat();
  }
}
