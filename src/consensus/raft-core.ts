/**
 * The Raft protocol as a deterministic state machine: `step(event, now)` changes the state and returns
 * effects. It uses no clock, socket, disk or random source; election jitter is derived from a seed.
 * See `raft-types.ts` for the references of the protocol.
 */
import { policyIsOn } from '../policy-switches.js';
import { ElectionTimer } from './election-timer.js';
import { entriesBytes, entryBytes } from './entry-size.js';
import { LogReplicator } from './log-replicator.js';
import { RaftLog } from './raft-log.js';
import {
  quorumSize,
  type AppendAnswer,
  type AppendRequest,
  type DropReason,
  type DurableState,
  type EntryPayload,
  type LogEntry,
  type Membership,
  type RaftEffect,
  type RaftEvent,
  type RaftMessage,
  type RaftOptions,
  type RaftRole,
  type ReplicaId,
  type SnapshotPart,
  type SnapshotPartAnswer,
  type SnapshotPosition,
  type SnapshotRequest,
  type VoteAnswer,
  type VoteRequest,
} from './raft-types.js';
import type { PeerProgress } from './replication-progress.js';
import { SnapshotAssembly } from './snapshot-assembly.js';

/**
 * Fraction of the election timeout without a tick that counts as a stall of this process. Messages that peers sent
 * during the stall have not been read yet, so the duration of a stall does not count as time without messages.
 */
const STALL_THRESHOLD_RATIO = 0.25;

/**
 * Part of the limit of uncommitted bytes that is reserved for small commands, and their size in bytes, so that large changes
 * cannot delay heartbeats of back ends, leases and membership.
 */
const SMALL_COMMAND_SHARE = 0.25;
const SMALL_COMMAND_BYTES = 4 * 1024;

/**
 * Size of an accepted snapshot as a multiple of the limit of the state: its text is longer than the state's estimated size,
 * and a state of an earlier version had no limit.
 */
const SNAPSHOT_SIZE_FACTOR = 8;

interface PendingConfirmation {
  readonly requestId: number;
  readonly round: number;
}

/** The protocol state of one replica. */
export class RaftCore {
  private readonly log: RaftLog;
  private readonly electionTimer: ElectionTimer;
  private currentTerm: number;
  private votedFor: ReplicaId | null;
  private currentRole: RaftRole = 'follower';
  private currentLeader: ReplicaId | null = null;
  private committed: number;
  private votes = new Set<ReplicaId>();
  private readonly replicator: LogReplicator;
  private readonly assembly: SnapshotAssembly;
  /** Bytes of the entries of a leader that are not committed. */
  private uncommittedBytes = 0;
  private heartbeatDueMs = 0;
  private quorumCheckDueMs = 0;
  private leaderContactMs = -Infinity;
  /** Time in ms at which this replica last held every entry that its leader had committed. */
  private lastUpToDateMs = -Infinity;
  /** Whether this replica has followed a leader, or has been the leader, since it started. */
  private hasKnownLeader = false;
  private termStartIndex = 0;
  private confirmations: PendingConfirmation[] = [];
  private effects: RaftEffect[] = [];
  private nowMs = 0;
  private lastTickMs: number;

  constructor(
    readonly id: ReplicaId,
    durable: DurableState,
    private readonly options: RaftOptions,
    nowMs: number,
  ) {
    this.log = new RaftLog(durable.snapshot, durable.entries);
    this.currentTerm = durable.hardState.term;
    this.votedFor = durable.hardState.votedFor;
    this.committed = durable.snapshot.index;
    this.replicator = new LogReplicator(
      id,
      this.log,
      options,
      () => this.committed,
      (effect) => this.effects.push(effect),
    );
    this.assembly = new SnapshotAssembly(options.limits.stateBytes * SNAPSHOT_SIZE_FACTOR);
    this.electionTimer = new ElectionTimer(options.electionTimeoutMs, options.heartbeatMs, options.seed);
    this.restartElectionTimer(nowMs);
    this.lastTickMs = nowMs;
  }

  /** Current role of this replica. */
  get role(): RaftRole {
    return this.currentRole;
  }

  /** Leader of the current term, or null when it is unknown. */
  get leader(): ReplicaId | null {
    return this.currentLeader;
  }

  /** The current term. */
  get term(): number {
    return this.currentTerm;
  }

  /** Highest index known to be committed. */
  get commitIndex(): number {
    return this.committed;
  }

  /** Index of the last entry in the log. */
  get lastIndex(): number {
    return this.log.lastIndex;
  }

  /** Size in bytes of the log entries whose commands are in memory. */
  get cachedLogBytes(): number {
    return this.log.cachedBytes;
  }

  /** Effective membership of this replica, committed or not. */
  get membership(): Membership {
    return this.log.membership().membership;
  }

  /** Time of the last message from the leader, in ms of the core's clock; on the leader itself the current time. */
  get lastLeaderContactMs(): number {
    return this.currentRole === 'leader' ? this.nowMs : this.leaderContactMs;
  }

  /**
   * Time at which this replica last held all committed entries, in ms of the core's clock. A replica whose answers are
   * lost may receive heartbeats and still lack entries; and a leader does not know the commit index until an entry of
   * its own term is committed.
   */
  get upToDateMs(): number {
    return this.leaderReady ? this.nowMs : this.lastUpToDateMs;
  }

  /** Whether this replica is the leader and an entry of its own term is committed, so that its state is current. */
  get leaderReady(): boolean {
    return this.currentRole === 'leader' && this.committed >= this.termStartIndex;
  }

  /** Index of the first entry of this replica's latest term as leader; 0 before its first term as leader. */
  get termStart(): number {
    return this.termStartIndex;
  }

  /** Returns the effective membership, or null while it is not committed. */
  committedMembership(): Membership | null {
    const { membership, index } = this.log.membership();
    return index <= this.committed ? membership : null;
  }

  /** Returns the replication progress of a peer; undefined unless this replica is the leader. */
  peerProgress(id: ReplicaId): Readonly<PeerProgress> | undefined {
    return this.currentRole === 'leader' ? this.replicator.peers.get(id) : undefined;
  }

  /** Number of the latest heartbeat round that this replica sent as a leader. */
  get heartbeatRound(): number {
    return this.replicator.round;
  }

  /** Bytes of a snapshot that have been received so far. */
  get receivedSnapshotBytes(): number {
    return this.assembly.bytes;
  }

  /** Returns the term of an entry, or null when the log does not contain it. */
  termAt(index: number): number | null {
    return this.log.termAt(index);
  }

  /** Processes one event and returns the effects that the driver must carry out, in order. */
  step(event: RaftEvent, nowMs: number): RaftEffect[] {
    this.nowMs = nowMs;
    this.effects = [];
    switch (event.kind) {
      case 'tick':
        this.tick();
        break;
      case 'message':
        this.receive(event.message);
        break;
      case 'propose':
        this.propose(event.proposalId, event.command);
        break;
      case 'change-membership':
        this.changeMembership(event.membership);
        break;
      case 'confirm-leadership':
        this.confirmLeadership(event.requestId);
        break;
      case 'compacted':
        this.log.compact(event.position);
        break;
      case 'evict':
        this.log.evict(event.toIndex, event.keepBytes);
        break;
      case 'flush':
        if (this.currentRole === 'leader') this.replicator.sendEntries();
        break;
    }
    return this.effects;
  }

  private tick(): void {
    this.excludeStallTime(this.nowMs - this.lastTickMs);
    this.lastTickMs = this.nowMs;
    if (this.currentRole === 'leader') {
      this.tickLeader();
      return;
    }
    if (!this.electionTimer.expired(this.nowMs)) return;
    this.restartElectionTimer(this.nowMs);
    if (this.membership.voters.includes(this.id)) this.startElection(true);
  }

  private excludeStallTime(sinceTickMs: number): void {
    if (sinceTickMs < this.options.electionTimeoutMs * STALL_THRESHOLD_RATIO) return;
    this.electionTimer.postpone(sinceTickMs);
    this.quorumCheckDueMs += sinceTickMs;
    this.leaderContactMs += sinceTickMs;
  }

  private tickLeader(): void {
    if (this.nowMs >= this.quorumCheckDueMs && !this.checkQuorum()) return;
    if (this.nowMs < this.heartbeatDueMs) return;
    this.heartbeatDueMs = this.nowMs + this.options.heartbeatMs;
    this.replicator.sendHeartbeats();
    this.resolveConfirmations();
  }

  private checkQuorum(): boolean {
    const sinceMs = this.nowMs - this.options.electionTimeoutMs;
    this.quorumCheckDueMs = this.nowMs + this.options.electionTimeoutMs;
    if (this.replicator.peers.quorumActiveSince(this.membership, sinceMs)) return true;
    this.becomeFollower(this.currentTerm, null);
    return false;
  }

  private receive(message: RaftMessage): void {
    if (message.to !== this.id) return;
    if (message.kind === 'vote-request' && message.preVote) {
      this.handlePreVoteRequest(message);
      return;
    }
    if (message.kind === 'vote-answer' && message.preVote && message.granted) {
      this.handleVoteAnswer(message);
      return;
    }
    if (message.term > this.currentTerm) this.becomeFollower(message.term, null);
    switch (message.kind) {
      case 'vote-request':
        this.handleVoteRequest(message);
        break;
      case 'vote-answer':
        this.handleVoteAnswer(message);
        break;
      case 'append-request':
        this.handleAppendRequest(message);
        break;
      case 'append-answer':
        this.handleAppendAnswer(message);
        break;
      case 'snapshot-request':
        this.handleSnapshotRequest(message);
        break;
      case 'snapshot-part':
        this.handleSnapshotPart(message);
        break;
      case 'snapshot-part-answer':
        this.handleSnapshotPartAnswer(message);
        break;
    }
  }

  // ---- elections

  private restartElectionTimer(nowMs: number): void {
    if (!this.hasKnownLeader && policyIsOn('early-election'))
      this.electionTimer.restartForFirstElection(nowMs);
    else this.electionTimer.restart(nowMs);
  }

  private startElection(preVote: boolean): void {
    this.votes = new Set([this.id]);
    if (preVote) {
      this.changeRole('pre-candidate', null);
    } else {
      this.currentTerm += 1;
      this.votedFor = this.id;
      this.persistHardState();
      this.changeRole('candidate', null);
    }
    if (this.hasVoteQuorum()) {
      this.onElectionWon();
      return;
    }
    const term = preVote ? this.currentTerm + 1 : this.currentTerm;
    for (const to of this.membership.voters) {
      if (to === this.id) continue;
      const { lastIndex, lastTerm } = this.log;
      this.send({ kind: 'vote-request', from: this.id, to, term, preVote, lastIndex, lastTerm });
    }
  }

  private hasVoteQuorum(): boolean {
    return this.votes.size >= quorumSize(this.membership);
  }

  private onElectionWon(): void {
    if (this.currentRole === 'pre-candidate') this.startElection(false);
    else this.becomeLeader();
  }

  private handlePreVoteRequest(request: VoteRequest): void {
    const hasRecentLeader = this.nowMs - this.lastLeaderContactMs < this.options.electionTimeoutMs;
    const granted = request.term > this.currentTerm && !hasRecentLeader && this.isLogUpToDate(request);
    const term = granted ? request.term : this.currentTerm;
    this.send({ kind: 'vote-answer', from: this.id, to: request.from, term, preVote: true, granted });
  }

  private handleVoteRequest(request: VoteRequest): void {
    const canVote = this.votedFor === null || this.votedFor === request.from;
    const granted =
      request.term === this.currentTerm &&
      canVote &&
      this.currentRole === 'follower' &&
      this.isLogUpToDate(request);
    if (granted) {
      this.votedFor = request.from;
      this.persistHardState();
      this.restartElectionTimer(this.nowMs);
    }
    const term = this.currentTerm;
    this.send({ kind: 'vote-answer', from: this.id, to: request.from, term, preVote: false, granted });
  }

  private isLogUpToDate(request: VoteRequest): boolean {
    if (request.lastTerm !== this.log.lastTerm) return request.lastTerm > this.log.lastTerm;
    return request.lastIndex >= this.log.lastIndex;
  }

  private handleVoteAnswer(answer: VoteAnswer): void {
    const expectedRole = answer.preVote ? 'pre-candidate' : 'candidate';
    if (this.currentRole !== expectedRole || !answer.granted) return;
    const term = answer.preVote ? this.currentTerm + 1 : this.currentTerm;
    if (answer.term !== term || !this.membership.voters.includes(answer.from)) return;
    this.votes.add(answer.from);
    if (this.hasVoteQuorum()) this.onElectionWon();
  }

  // ---- roles

  private becomeFollower(term: number, leader: ReplicaId | null): void {
    if (term > this.currentTerm) {
      this.currentTerm = term;
      this.votedFor = null;
      this.assembly.clear();
      this.persistHardState();
    }
    this.confirmations = [];
    this.restartElectionTimer(this.nowMs);
    this.changeRole('follower', leader);
  }

  private becomeLeader(): void {
    this.hasKnownLeader = true;
    this.assembly.clear();
    this.replicator.startTerm(this.currentTerm, this.membership, this.nowMs);
    this.uncommittedBytes = entriesBytes(this.entriesBetween(this.committed, this.log.lastIndex));
    this.termStartIndex = this.log.lastIndex + 1;
    this.quorumCheckDueMs = this.nowMs + this.options.electionTimeoutMs;
    this.heartbeatDueMs = this.nowMs;
    this.changeRole('leader', this.id);
    this.appendAsLeader({ kind: 'no-op' });
  }

  private changeRole(role: RaftRole, leader: ReplicaId | null): void {
    const changed = this.currentRole !== role || this.currentLeader !== leader;
    this.currentRole = role;
    this.currentLeader = leader;
    if (changed) this.effects.push({ kind: 'role-changed', role, term: this.currentTerm, leader });
  }

  // ---- replication on the leader

  private propose(proposalId: string, command: unknown): void {
    if (this.currentRole !== 'leader') {
      this.dropProposal(proposalId, 'not-leader');
      return;
    }
    const payload = { kind: 'command', proposalId, command } as const;
    const entry: LogEntry = { index: this.log.lastIndex + 1, term: this.currentTerm, payload };
    if (this.hasRoomFor(entryBytes(entry))) this.appendEntryAsLeader(entry);
    else this.dropProposal(proposalId, 'busy');
  }

  private dropProposal(proposalId: string, reason: DropReason): void {
    this.effects.push({ kind: 'proposal-dropped', proposalId, leader: this.currentLeader, reason });
  }

  /**
   * Whether an entry may be appended while others are not committed. A large one needs no room beside small commands, some of
   * which are always under way.
   */
  private hasRoomFor(bytes: number): boolean {
    const { uncommittedBytes: limit } = this.options.limits;
    const reserve = limit * SMALL_COMMAND_SHARE;
    if (this.uncommittedBytes <= reserve) return true;
    const available = bytes <= SMALL_COMMAND_BYTES ? limit : limit - reserve;
    return this.uncommittedBytes + bytes <= available;
  }

  private changeMembership(membership: Membership): void {
    if (!this.leaderReady) return;
    const effective = this.log.membership();
    const previousIsCommitted = effective.index <= this.committed;
    if (!previousIsCommitted || !differsByOneVoter(effective.membership, membership)) return;
    this.appendAsLeader({ kind: 'membership', membership });
  }

  private appendAsLeader(payload: EntryPayload): void {
    this.appendEntryAsLeader({ index: this.log.lastIndex + 1, term: this.currentTerm, payload });
  }

  private appendEntryAsLeader(entry: LogEntry): void {
    const { payload } = entry;
    this.log.append([entry]);
    this.uncommittedBytes += entryBytes(entry);
    this.effects.push({ kind: 'persist-entries', entries: [entry] });
    if (payload.kind === 'membership') {
      this.replicator.peers.update(payload.membership, entry.index, this.nowMs);
    }
    this.advanceCommit();
  }

  private handleAppendAnswer(answer: AppendAnswer): void {
    if (this.currentRole !== 'leader' || answer.term !== this.currentTerm) return;
    if (!this.replicator.recordAnswer(answer, this.nowMs)) return;
    if (answer.success) this.advanceCommit();
    this.resolveConfirmations();
  }

  private handleSnapshotPartAnswer(answer: SnapshotPartAnswer): void {
    if (this.currentRole !== 'leader' || answer.term !== this.currentTerm) return;
    if (!this.replicator.recordPartAnswer(answer, this.nowMs)) return;
    this.effects.push({ kind: 'snapshot-part-answered', answer });
    this.resolveConfirmations();
  }

  private advanceCommit(): void {
    const index = this.replicator.peers.quorumIndex(this.membership, this.log.lastIndex);
    const isOfCurrentTerm = this.log.termAt(index) === this.currentTerm;
    if (index > this.committed && isOfCurrentTerm) this.commitTo(index);
  }

  private commitTo(index: number): void {
    const target = Math.min(index, this.log.lastIndex);
    if (target <= this.committed) return;
    const entries = this.entriesBetween(this.committed, target);
    this.committed = target;
    this.assembly.discardUpTo(target);
    if (this.currentRole === 'leader') this.uncommittedBytes -= entriesBytes(entries);
    this.effects.push({ kind: 'commit', entries });
    this.stepDownIfRemoved();
  }

  private entriesBetween(afterIndex: number, toIndex: number): readonly LogEntry[] {
    return this.log.slice(afterIndex + 1, toIndex - afterIndex);
  }

  /** A leader that is no longer a voter steps down once its removal is committed (Raft 4.2.2). */
  private stepDownIfRemoved(): void {
    if (this.currentRole !== 'leader') return;
    const effective = this.log.membership();
    if (effective.index > this.committed || effective.membership.voters.includes(this.id)) return;
    this.becomeFollower(this.currentTerm, null);
  }

  // ---- read-index

  private confirmLeadership(requestId: number): void {
    if (!this.leaderReady) return;
    this.confirmations.push({ requestId, round: this.replicator.round + 1 });
  }

  private resolveConfirmations(): void {
    if (this.confirmations.length === 0) return;
    const confirmedRound = this.replicator.peers.quorumRound(this.membership, this.replicator.round);
    const confirmed = this.confirmations.filter((pending) => pending.round <= confirmedRound);
    if (confirmed.length === 0) return;
    this.confirmations = this.confirmations.filter((pending) => pending.round > confirmedRound);
    for (const { requestId } of confirmed) this.effects.push({ kind: 'leadership-confirmed', requestId });
  }

  // ---- replication on a follower

  private handleAppendRequest(request: AppendRequest): void {
    if (request.term < this.currentTerm) {
      this.answer(request, false, this.log.lastIndex);
      return;
    }
    this.followLeader(request.from);
    if (!this.holds(request.previousIndex, request.previousTerm)) {
      this.answer(request, false, Math.min(this.log.lastIndex, request.previousIndex - 1));
      return;
    }
    this.appendFromLeader(request.entries);
    const matchIndex = request.previousIndex + request.entries.length;
    this.commitTo(Math.min(request.commitIndex, matchIndex));
    const leaderIsReady = this.log.termAt(request.commitIndex) === this.currentTerm;
    if (leaderIsReady && this.committed >= request.commitIndex) this.lastUpToDateMs = this.nowMs;
    this.answer(request, true, matchIndex);
  }

  private followLeader(leader: ReplicaId): void {
    this.leaderContactMs = this.nowMs;
    this.hasKnownLeader = true;
    this.restartElectionTimer(this.nowMs);
    this.changeRole('follower', leader);
  }

  private holds(index: number, term: number): boolean {
    if (index < this.log.snapshot.index) return true;
    return this.log.termAt(index) === term;
  }

  private appendFromLeader(entries: readonly LogEntry[]): void {
    const firstNewPosition = entries.findIndex((entry) => !this.holds(entry.index, entry.term));
    if (firstNewPosition < 0) return;
    const newEntries = entries.slice(firstNewPosition);
    const fromIndex = newEntries[0]?.index ?? 0;
    if (fromIndex <= this.log.lastIndex) {
      this.log.truncate(fromIndex);
      this.effects.push({ kind: 'truncate-log', fromIndex });
    }
    this.log.append(newEntries);
    this.effects.push({ kind: 'persist-entries', entries: newEntries });
  }

  private handleSnapshotRequest(request: SnapshotRequest): void {
    if (request.term < this.currentTerm) {
      this.answer(request, false, this.log.lastIndex);
      return;
    }
    this.followLeader(request.from);
    if (request.position.index > this.committed) this.installSnapshot(request.position, request.data);
    this.answer(request, true, Math.max(request.position.index, this.committed));
  }

  private handleSnapshotPart(part: SnapshotPart): void {
    if (part.term < this.currentTerm) {
      this.answer(part, false, this.log.lastIndex);
      return;
    }
    this.followLeader(part.from);
    const { index } = part.position;
    if (index > this.committed) {
      const step = this.assembly.add(part);
      if (step.kind === 'expecting') {
        this.answerPart(part, step.offset);
        return;
      }
      this.installSnapshot(step.position, step.data);
    }
    this.answer(part, true, Math.max(index, this.committed));
  }

  private answerPart({ from: to, position, round }: SnapshotPart, offset: number): void {
    const { id: from, currentTerm: term } = this;
    this.send({ kind: 'snapshot-part-answer', from, to, term, index: position.index, offset, round });
  }

  /**
   * Keeps the entries after the snapshot if the log agrees with it, since they may already be counted in a quorum
   * (Raft 5.1).
   */
  private installSnapshot(position: SnapshotPosition, data: unknown): void {
    if (this.log.termAt(position.index) === position.term) this.log.compact(position);
    else this.log.reset(position);
    this.committed = position.index;
    this.assembly.discardUpTo(position.index);
    this.effects.push({ kind: 'install-snapshot', position, data });
  }

  private answer(
    request: AppendRequest | SnapshotRequest | SnapshotPart,
    success: boolean,
    matchIndex: number,
  ): void {
    const { from: to, round } = request;
    this.send({
      kind: 'append-answer',
      from: this.id,
      to,
      term: this.currentTerm,
      success,
      matchIndex,
      round,
      snapshotParts: true,
    });
  }

  private persistHardState(): void {
    const hardState = { term: this.currentTerm, votedFor: this.votedFor };
    this.effects.push({ kind: 'persist-hard-state', hardState });
  }

  private send(message: RaftMessage): void {
    this.effects.push({ kind: 'send', message });
  }
}

/** Returns whether the voter sets of two memberships differ by at most one replica, so that their quorums overlap. */
export function differsByOneVoter(before: Membership, after: Membership): boolean {
  const added = after.voters.filter((id) => !before.voters.includes(id));
  const removed = before.voters.filter((id) => !after.voters.includes(id));
  return added.length + removed.length <= 1 && after.voters.length > 0;
}
