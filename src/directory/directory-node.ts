/** One replica of a directory: joins storage, consensus, connections and the duties of a leader. */
import { FormationCore } from '../consensus/formation-core.js';
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
import { Proposals, type ProposalError } from '../control/proposals.js';
import { formatAddress } from '../model/socket-address.js';
import { spread, textHash } from '../model/text-hash.js';
import { Err, Ok, type Result } from '../result.js';
import type { CancelTimer, Connection, Listener, PeerHandlers, Runtime } from '../runtime/runtime.js';
import { ClockSkips } from '../runtime/clock-skips.js';
import type { ReplicaStore } from '../storage/replica-store.js';
import type { EventLog } from '../telemetry/event-log.js';
import { NO_LATENCIES, type Latencies } from '../telemetry/latencies.js';
import { ChangeFeed } from './change-feed.js';
import type { DirectoryCommand, DirectoryOutcome } from './directory-commands.js';
import { DirectoryDuties } from './directory-duties.js';
import { CrashDuties } from '../quarantine/crash-duties.js';
import { DirectoryLeader } from './directory-leader.js';
import { applyDirectoryCommand } from './directory-machine.js';
import { directoryRequestSchema, readRelayMessage } from './directory-messages.js';
import { LEASE_DRIFT_SHARE, type DirectorySettings } from './directory-settings.js';
import {
  decodeDirectory,
  emptyDirectoryState,
  encodeDirectory,
  type DirectorySnapshot,
  type DirectoryState,
} from './directory-state.js';
import { DirectoryReports } from './directory-reports.js';
import { LeaderRequests } from './leader-requests.js';
import { LeadershipConfirmations } from './leadership-confirmations.js';
import { MembershipKeeper } from './membership-keeper.js';
import { ANSWER_LIMIT_MS, itemsOf, OperatorChanges } from './operator-changes.js';
import { ReplicaDialer } from './replica-dialer.js';

/** Pause between questions while the replicas are being formed, in ms. */
const FORMATION_RETRY_MS = 100;

/** Pause between requests to be made a member, in ms. */
const JOIN_RETRY_MS = 300;

/** Pause between signs of life to watchers, in ms. */
const ALIVE_MS = 250;

/** A replica that heard no leader, or missed what was committed, for this many election timeouts serves no watchers. */
const STALE_ELECTION_TIMEOUTS = 2;

/** What a replica is started with. */
export interface DirectoryNodeOptions {
  readonly settings: DirectorySettings;
  readonly token: string;
  readonly runtime: Runtime;
  readonly storage: ReplicaStore;
  readonly log: EventLog;
  /** Takes the steps of changes; nobody where it is left out. */
  readonly latencies?: Latencies;
  /** Called once when the disk fails. */
  readonly onFatal: (error: unknown) => void;
}

/** Why the configuration cannot be read here. */
export type ReadError =
  { readonly kind: 'elsewhere'; readonly leader: string } | { readonly kind: 'unavailable' };

/** A running directory replica. */
export class DirectoryNode implements StateMachine {
  readonly feed = new ChangeFeed();
  readonly id: ReplicaId;
  /** This replica's address. */
  readonly name: string;
  private current: DirectoryState = emptyDirectoryState();
  private appliedIndex = 0;
  private readonly proposals: Proposals<DirectoryCommand, DirectoryOutcome>;
  private readonly changes: OperatorChanges;
  private readonly confirmations: LeadershipConfirmations;
  private readonly duties: DirectoryDuties;
  private readonly crashDuties: CrashDuties;
  private readonly leader: DirectoryLeader;
  private readonly listener: Listener;
  private readonly dialer: ReplicaDialer;
  private readonly formation: FormationCore | null;
  private readonly leaderRequests: LeaderRequests;
  private readonly membership: MembershipKeeper;
  private readonly timers: CancelTimer[] = [];
  private readonly reports: DirectoryReports;
  private replica: Replica | null = null;
  private leadingTerm = 0;
  private readonly clockSkips: ClockSkips;

  private constructor(private readonly options: DirectoryNodeOptions) {
    const { settings, token, runtime, storage } = options;
    this.clockSkips = new ClockSkips(runtime);
    this.reports = new DirectoryReports(options.log, options.latencies ?? NO_LATENCIES);
    this.name = formatAddress(settings.advertised);
    this.id = `${this.name}/${storage.owner.identity}`;
    this.proposals = new Proposals(
      runtime,
      (proposalId, command) => {
        if (this.replica === null) this.proposals.dropped(proposalId);
        else this.replica.submit({ kind: 'propose', proposalId, command });
      },
      (command, steps) => {
        const items = itemsOf(command).length;
        if (items > 0) this.reports.changed(items, steps);
      },
    );
    this.changes = new OperatorChanges(runtime, this.proposals);
    this.confirmations = new LeadershipConfirmations(runtime, (requestId) => {
      this.replica?.submit({ kind: 'confirm-leadership', requestId });
    });
    this.duties = new DirectoryDuties(
      () => this.current,
      this.proposals,
      (service, plan) => {
        this.options.log.event('ranges-planned', { service, ...plan });
      },
    );
    this.crashDuties = new CrashDuties(
      () => this.current.crashRecords,
      (command) => void this.proposals.propose(command),
    );
    this.leader = this.makeLeader();
    const mayForm = storage.owner.founding === true && settings.seeds.includes(this.name);
    this.formation = mayForm ? new FormationCore(this.name, this.id, settings.seeds) : null;
    this.listener = runtime.serve(token, {
      onPeer: (hello, connection) => this.acceptPeer(hello.role === 'control', connection),
      onRefused: () => undefined,
    });
    const identity = { role: 'control', name: this.name, zone: settings.zone, token } as const;
    this.dialer = new ReplicaDialer(runtime, identity);
    this.leaderRequests = this.makeLeaderRequests();
    this.membership = this.makeMembership();
  }

  /** Starts on a disk that is already open. */
  static async start(options: DirectoryNodeOptions): Promise<Result<DirectoryNode, string>> {
    const node = new DirectoryNode(options);
    const listening = await node.listener.listen(options.settings.listen);
    if (listening.err) return listening;
    if (options.storage.formed || node.formation === null) node.startReplica();
    else node.startFormation(node.formation);
    return Ok(node);
  }

  /** The replicated state as far as it is known here; not to be changed by readers. */
  get state(): DirectoryState {
    return this.current;
  }

  /** Whether this replica leads and its state is current. */
  get leading(): boolean {
    return this.replica?.leading === true && this.leadingTerm === this.replica.core.term;
  }

  /** Whether a leader was heard lately, so that what is known here is not old. */
  get hearsLeader(): boolean {
    if (this.replica === null) return false;
    const { core } = this.replica;
    const staleMs = STALE_ELECTION_TIMEOUTS * this.options.settings.timing.electionTimeoutMs;
    return core.leader !== null && this.options.runtime.nowMs() - core.lastLeaderContactMs < staleMs;
  }

  /** Whether all that was committed a moment ago is held here, so that daemons may follow this replica. */
  get isCurrent(): boolean {
    if (this.replica === null || !this.hearsLeader) return false;
    const staleMs = STALE_ELECTION_TIMEOUTS * this.options.settings.timing.electionTimeoutMs;
    return this.options.runtime.nowMs() - this.replica.core.upToDateMs < staleMs;
  }

  /** Address of the replica that leads, as far as is known here. */
  get leaderAddress(): string | null {
    const leader = this.replica?.core.leader ?? null;
    return leader === null ? null : replicaName(leader);
  }

  /** Address of another replica that leads and was heard lately; null where none is known. */
  get leaderElsewhere(): string | null {
    const { leaderAddress, hearsLeader, name } = this;
    return leaderAddress !== name && hearsLeader ? leaderAddress : null;
  }

  /** The consensus replica; null while the replicas are being formed. */
  get consensus(): Replica | null {
    return this.replica;
  }

  /** Whether what is acknowledged now survives the losses that are tolerated. */
  get durable(): boolean {
    const { toleratedLosses } = this.options.settings;
    const voters = this.replica?.core.committedMembership()?.voters.length ?? 0;
    if (this.current.configured) return voters > 0;
    return voters >= 2 * toleratedLosses + 1;
  }

  /**
   * Proposes a command; it is durable on a quorum once an outcome is returned. What has none in time may be committed later,
   * and is told as taken to whoever sends it again.
   */
  async propose(command: DirectoryCommand): Promise<Result<DirectoryOutcome, ProposalError>> {
    if (!this.leading || !this.durable) return Err({ kind: 'not-leader' });
    return await this.changes.propose(command);
  }

  /** Whether a change is known here to be committed. */
  hasAccepted(digest: string): boolean {
    return this.current.accepted.some((change) => change.digest === digest);
  }

  /** The newest state; only a leader that a quorum has confirmed after this call can be sure of it. */
  async readState(): Promise<Result<DirectoryState, ReadError>> {
    if (!this.leading) {
      const leader = this.leaderElsewhere;
      return Err(leader === null ? { kind: 'unavailable' } : { kind: 'elsewhere', leader });
    }
    if (!(await this.confirmations.confirm(ANSWER_LIMIT_MS))) return Err({ kind: 'unavailable' });
    return Ok(this.current);
  }

  /** Adds addresses of replicas, from settings that were read again. */
  addSeeds(seeds: readonly string[]): void {
    this.membership.addSeeds(seeds);
  }

  /** Stops everything and closes the data folder. */
  async stop(): Promise<void> {
    for (const cancel of this.timers) cancel();
    this.listener.close();
    this.dialer.stop();
    this.proposals.abandonAll();
    this.confirmations.abandonAll();
    if (this.replica === null) await this.options.storage.close();
    else await this.replica.stop();
  }

  // ---- the state machine of the log

  /** Applies one committed entry and publishes what it changed. */
  apply(entry: LogEntry): void {
    this.appliedIndex = entry.index;
    if (entry.payload.kind === 'no-op') this.runDutiesSoon();
    if (entry.payload.kind !== 'command') return;
    const command = entry.payload.command as DirectoryCommand;
    const { outcome, changes } = applyDirectoryCommand(this.current, command, entry.index);
    this.feed.publish(entry.index, changes);
    // Every replica knows; the leader says so.
    if (this.leading) this.reports.crashRecords(changes);
    this.proposals.applied(entry.payload.proposalId, outcome);
  }

  /** The state as plain data, for the snapshot file. */
  snapshot(): unknown {
    return encodeDirectory(this.current);
  }

  /** Takes over a snapshot; null stands for the empty state. */
  restore(data: unknown, index: number): void {
    this.current = data === null ? emptyDirectoryState() : decodeDirectory(data as DirectorySnapshot);
    this.appliedIndex = index;
    this.feed.reset(this.current, index);
  }

  // ---- starting

  private makeLeader(): DirectoryLeader {
    const { runtime, settings, log } = this.options;
    const { leaseTermMs } = settings;
    const leases = new LeaseTable(leaseTermMs * (1 + LEASE_DRIFT_SHARE));
    const ports = {
      state: () => this.current,
      newestIndex: () => this.feed.newestIndex,
      nowMs: () => runtime.nowMs(),
      steadyMs: () => runtime.steadyMs(),
      durable: () => this.durable,
      onExpired: (sessions: unknown) => {
        log.event('lease-expired', { sessions });
      },
    };
    return new DirectoryLeader(leaseTermMs, leases, ports, this.proposals, this.confirmations, this.duties);
  }

  private makeLeaderRequests(): LeaderRequests {
    return new LeaderRequests({
      name: this.name,
      leading: () => this.leading,
      leaderElsewhere: () => this.leaderElsewhere,
      leader: this.leader,
      sendTo: (address, message) => {
        this.dialer.sendTo(address, message);
      },
    });
  }

  private makeMembership(): MembershipKeeper {
    const { runtime, settings, log } = this.options;
    return new MembershipKeeper({
      id: this.id,
      settings,
      runtime,
      log,
      replica: () => this.replica,
      leading: () => this.leading,
      hearsLeader: () => this.hearsLeader,
      leaderAddress: () => this.leaderAddress,
      sendTo: (address, request) => {
        this.dialer.sendTo(address, request);
      },
    });
  }

  private startFormation(formation: FormationCore): void {
    const step = (): void => {
      if (formation.outcome.kind === 'undecided') {
        for (const seed of this.options.settings.seeds) this.dialer.sendTo(seed, formation.query());
        return;
      }
      cancel();
      void this.finishFormation(formation);
    };
    const cancel = this.options.runtime.every(FORMATION_RETRY_MS, step);
    this.timers.push(cancel);
    step();
  }

  private async finishFormation({ outcome }: FormationCore): Promise<void> {
    if (outcome.kind === 'member') await this.options.storage.form(outcome.membership);
    this.options.log.event('formed', { member: outcome.kind === 'member' });
    this.startReplica();
  }

  private startReplica(): void {
    const { runtime, storage, settings } = this.options;
    const { timing } = settings;
    const options = {
      ...DEFAULT_RAFT_OPTIONS,
      heartbeatMs: timing.heartbeatMs,
      electionTimeoutMs: timing.electionTimeoutMs,
      // Replicas draw different election timeouts; the generator takes a signed number.
      seed: textHash(this.id) | 0,
      snapshotEveryEntries:
        timing.snapshotEveryEntries + spread(this.id, Math.ceil(timing.snapshotEveryEntries / 4)),
    };
    this.replica = new Replica(this.id, runtime, storage, this, this.replicaPorts(), options);
    this.reports.recovered(this.replica);
    this.timers.push(
      runtime.every(timing.dutyIntervalMs, () => {
        this.runDuties();
      }),
      runtime.every(JOIN_RETRY_MS, () => {
        this.membership.requestToJoin();
      }),
      runtime.every(ALIVE_MS, () => {
        this.tellWatchers();
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
        this.roleChanged(role, term, leader);
      },
      onLeadershipConfirmed: (requestId) => {
        this.confirmations.confirmed(requestId);
      },
      onProposalDropped: (proposalId) => {
        this.proposals.dropped(proposalId);
      },
      onProposalsSynced: (proposalIds, takenMs) => {
        this.proposals.synced(proposalIds, takenMs);
      },
      onFatal: this.options.onFatal,
    };
  }

  // ---- leading

  private roleChanged(role: RaftRole, term: number, leader: ReplicaId | null): void {
    this.options.log.event('role-changed', { role, term, leader });
    if (role === 'leader') return;
    this.proposals.abandonAll();
    this.confirmations.abandonAll();
  }

  /** A term begins with an entry of its own; its leader takes requests from then on, not from its next round on. */
  private runDutiesSoon(): void {
    this.options.runtime.after(0, () => {
      this.runDuties();
    });
  }

  private runDuties(): void {
    const { replica } = this;
    if (replica?.leading !== true) return;
    if (this.leadingTerm !== replica.core.term) this.startLeading(replica.core.term);
    const { electionTimeoutMs } = this.options.settings.timing;
    // After a suspension nobody seems to have answered for as long; that says nothing of the others.
    if (!this.clockSkips.lately(electionTimeoutMs)) this.membership.advance(replica);
    if (!this.durable) return;
    this.leader.expire();
    this.duties.run(this.options.runtime.nowMs());
    this.crashDuties.run(this.options.runtime.nowMs());
  }

  private startLeading(term: number): void {
    this.leadingTerm = term;
    this.membership.startLeading();
    this.leader.startLeading();
    this.duties.startLeading();
    this.crashDuties.startLeading();
  }

  private tellWatchers(): void {
    const core = this.replica?.core;
    if (core === undefined) return;
    if (!this.isCurrent) {
      this.feed.dismissAll();
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
        this.leaderRequests.forget(connection);
      },
    };
  }

  private receiveFromReplica(message: unknown, connection: Connection): void {
    const relayed = readRelayMessage(message);
    if (relayed !== null) {
      this.leaderRequests.takeRelayed(relayed);
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
        this.answerFormation(message);
        break;
      case 'formation-answer':
        this.formation?.receive(message);
        break;
      case 'join-request':
        this.membership.takeRequest(message.id);
        break;
      default:
        this.replica?.submit({ kind: 'message', message });
    }
  }

  /** A replica that was formed in an earlier life answers with its membership, whoever founded it. */
  private answerFormation(query: Parameters<FormationCore['answer']>[0]): void {
    const membership = this.replica?.core.membership ?? null;
    const formed = membership !== null && membership.voters.length > 0;
    if (formed) {
      const answer = { kind: 'formation-answer', name: this.name, id: this.id, membership };
      this.dialer.sendTo(query.name, answer);
      return;
    }
    // A replica whose disk was lost is no member of anything that is being formed.
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
    this.leaderRequests.take(request, connection);
  }

  private watch(fromIndex: number, connection: Connection): void {
    // What is committed and not yet applied would be missing in the table that a new watcher is given.
    const isApplying = this.appliedIndex < (this.replica?.core.commitIndex ?? 0);
    if (!this.isCurrent || isApplying || fromIndex > this.appliedIndex) {
      const reason = this.hearsLeader ? 'behind' : 'no-leader';
      connection.send({ kind: 'watch-refused', reason });
      return;
    }
    this.feed.add(connection, fromIndex, this.current, this.appliedIndex);
    this.tellWatchers();
  }
}
