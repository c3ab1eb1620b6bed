/**
 * The Raft protocol as a deterministic state machine: `step(event, now)` changes the state and returns
 * effects. It uses no clock, socket, disk or random source; election jitter is derived from a seed.
 * See `raft-types.ts` for the references of the protocol.
 */
import { policyIsOn } from '../policy-switches.js';
import { ElectionTimer } from './election-timer.js';
import { RaftLog } from './raft-log.js';
import {
  quorumSize,
  type AppendAnswer,
  type AppendRequest,
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
  type SnapshotPosition,
  type SnapshotRequest,
  type VoteAnswer,
  type VoteRequest,
} from './raft-types.js';
import { ReplicationProgress, type PeerProgress } from './replication-progress.js';

/**
 * Fraction of the election timeout without a tick that counts as a stall of this process. Messages that peers sent
 * during the stall have not been read yet, so the duration of a stall does not count as time without messages.
 */
const STALL_THRESHOLD_RATIO = 0.25;

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
  private progress: ReplicationProgress;
  private round = 0;
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
    this.progress = new ReplicationProgress(id);
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
    return this.currentRole === 'leader' ? this.progress.get(id) : undefined;
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
        this.flush();
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
    this.round += 1;
    for (const [id, peer] of this.progress.entries()) this.sendAppend(id, peer, true);
    this.resolveConfirmations();
  }

  private checkQuorum(): boolean {
    const sinceMs = this.nowMs - this.options.electionTimeoutMs;
    this.quorumCheckDueMs = this.nowMs + this.options.electionTimeoutMs;
    if (this.progress.quorumActiveSince(this.membership, sinceMs)) return true;
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
      this.persistHardState();
    }
    this.confirmations = [];
    this.restartElectionTimer(this.nowMs);
    this.changeRole('follower', leader);
  }

  private becomeLeader(): void {
    this.hasKnownLeader = true;
    this.progress = new ReplicationProgress(this.id);
    this.progress.update(this.membership, this.log.lastIndex, this.nowMs);
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
      this.effects.push({ kind: 'proposal-dropped', proposalId, leader: this.currentLeader });
      return;
    }
    this.appendAsLeader({ kind: 'command', proposalId, command });
  }

  private changeMembership(membership: Membership): void {
    if (!this.leaderReady) return;
    const effective = this.log.membership();
    const previousIsCommitted = effective.index <= this.committed;
    if (!previousIsCommitted || !differsByOneVoter(effective.membership, membership)) return;
    this.appendAsLeader({ kind: 'membership', membership });
  }

  private appendAsLeader(payload: EntryPayload): void {
    const entry: LogEntry = { index: this.log.lastIndex + 1, term: this.currentTerm, payload };
    this.log.append([entry]);
    this.effects.push({ kind: 'persist-entries', entries: [entry] });
    if (payload.kind === 'membership') this.progress.update(payload.membership, entry.index, this.nowMs);
    this.advanceCommit();
  }

  /** Sends the entries appended since the last flush, so that many proposals share one message to each peer. */
  private flush(): void {
    if (this.currentRole !== 'leader') return;
    for (const [id, peer] of this.progress.entries()) {
      if (peer.nextIndex <= this.log.lastIndex) this.sendAppend(id, peer, false);
    }
  }

  private sendAppend(to: ReplicaId, peer: PeerProgress, allowEmpty: boolean): void {
    const previousIndex = peer.nextIndex - 1;
    const previousTerm = this.log.termAt(previousIndex);
    if (previousTerm === null) {
      this.sendSnapshot(to, peer);
      return;
    }
    const entries = this.log.slice(peer.nextIndex, this.options.maxEntriesPerAppend);
    if (entries.length === 0 && !allowEmpty) return;
    peer.nextIndex += entries.length;
    this.send({
      kind: 'append-request',
      from: this.id,
      to,
      term: this.currentTerm,
      previousIndex,
      previousTerm,
      entries,
      commitIndex: this.committed,
      round: this.round,
    });
  }

  private sendSnapshot(to: ReplicaId, peer: PeerProgress): void {
    const resendAfterMs = this.options.electionTimeoutMs * 4;
    const isInFlight = peer.snapshotSentMs !== null && this.nowMs - peer.snapshotSentMs < resendAfterMs;
    if (isInFlight) return;
    peer.snapshotSentMs = this.nowMs;
    this.effects.push({ kind: 'send-snapshot', to, term: this.currentTerm, round: this.round });
  }

  private handleAppendAnswer(answer: AppendAnswer): void {
    if (this.currentRole !== 'leader' || answer.term !== this.currentTerm) return;
    const peer = this.progress.get(answer.from);
    if (peer === undefined) return;
    peer.lastAnswerMs = this.nowMs;
    peer.answeredRound = Math.max(peer.answeredRound, answer.round);
    if (answer.success) this.onAppendAccepted(answer.from, peer, answer.matchIndex);
    else this.onAppendRejected(answer.from, peer, answer.matchIndex);
    this.resolveConfirmations();
  }

  private onAppendAccepted(id: ReplicaId, peer: PeerProgress, matchIndex: number): void {
    peer.snapshotSentMs = null;
    peer.matchIndex = Math.max(peer.matchIndex, matchIndex);
    peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
    this.advanceCommit();
    if (peer.nextIndex <= this.log.lastIndex) this.sendAppend(id, peer, false);
  }

  private onAppendRejected(id: ReplicaId, peer: PeerProgress, hint: number): void {
    const next = Math.min(hint + 1, peer.nextIndex - 1);
    peer.nextIndex = Math.max(next, peer.matchIndex + 1, 1);
    this.sendAppend(id, peer, true);
  }

  private advanceCommit(): void {
    const index = this.progress.quorumIndex(this.membership, this.log.lastIndex);
    const isOfCurrentTerm = this.log.termAt(index) === this.currentTerm;
    if (index > this.committed && isOfCurrentTerm) this.commitTo(index);
  }

  private commitTo(index: number): void {
    const target = Math.min(index, this.log.lastIndex);
    if (target <= this.committed) return;
    const entries = this.log.slice(this.committed + 1, target - this.committed);
    this.committed = target;
    this.effects.push({ kind: 'commit', entries });
    this.stepDownIfRemoved();
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
    this.confirmations.push({ requestId, round: this.round + 1 });
  }

  private resolveConfirmations(): void {
    if (this.confirmations.length === 0) return;
    const confirmedRound = this.progress.quorumRound(this.membership, this.round);
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

  /**
   * Keeps the entries after the snapshot if the log agrees with it, since they may already be counted in a quorum
   * (Raft 5.1).
   */
  private installSnapshot(position: SnapshotPosition, data: unknown): void {
    if (this.log.termAt(position.index) === position.term) this.log.compact(position);
    else this.log.reset(position);
    this.committed = position.index;
    this.effects.push({ kind: 'install-snapshot', position, data });
  }

  private answer(request: AppendRequest | SnapshotRequest, success: boolean, matchIndex: number): void {
    const { from: to, round } = request;
    this.send({
      kind: 'append-answer',
      from: this.id,
      to,
      term: this.currentTerm,
      success,
      matchIndex,
      round,
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
