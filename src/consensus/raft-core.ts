/**
 * The replicated log as a deterministic state machine: `step(event, now)` changes the state and returns
 * effects. It reads no clock, socket, disk or random source; election jitter comes from a seed.
 * See `raft-types.ts` for the sources of the protocol.
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
 * Part of the election timeout by which a tick must come late to count as a stall of this process. What the
 * others sent meanwhile still waits to be read, so the time of a stall does not count as their silence.
 */
const STALL_SHARE = 0.25;

interface PendingConfirmation {
  readonly requestId: number;
  readonly round: number;
}

/** One replica of the log. */
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
  private leaderHeardMs = -Infinity;
  /** When this replica last held all that its leader had committed by then, in ms. */
  private heldAllMs = -Infinity;
  /** Whether this replica has followed a leader, or has led, since it began. */
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

  /** What this replica is doing. */
  get role(): RaftRole {
    return this.currentRole;
  }

  /** The leader of the current term, when known. */
  get leader(): ReplicaId | null {
    return this.currentLeader;
  }

  /** The current term. */
  get term(): number {
    return this.currentTerm;
  }

  /** Newest committed index known here. */
  get commitIndex(): number {
    return this.committed;
  }

  /** Newest entry held here. */
  get lastIndex(): number {
    return this.log.lastIndex;
  }

  /** Membership in force here. */
  get membership(): Membership {
    return this.log.membership().membership;
  }

  /** When a leader was last heard, in ms of the core's clock; the leader hears itself. */
  get leaderLastHeardMs(): number {
    return this.currentRole === 'leader' ? this.nowMs : this.leaderHeardMs;
  }

  /**
   * When everything that was committed was last held here, in ms of the core's clock. A replica whose answers are lost
   * may hear its leader and still miss entries for as long as that lasts; and until an entry of its own term is committed,
   * a leader does not know what else is.
   */
  get upToDateMs(): number {
    return this.leaderReady ? this.nowMs : this.heldAllMs;
  }

  /** As leader: whether an entry of its own term is committed, so that its state is current. */
  get leaderReady(): boolean {
    return this.currentRole === 'leader' && this.committed >= this.termStartIndex;
  }

  /** Index of the entry that began this replica's latest term as leader; 0 before the first. */
  get termStart(): number {
    return this.termStartIndex;
  }

  /** Membership in force, or null while it is not committed yet. */
  committedMembership(): Membership | null {
    const { membership, index } = this.log.membership();
    return index <= this.committed ? membership : null;
  }

  /** As leader: what is known of a peer. */
  peerProgress(id: ReplicaId): Readonly<PeerProgress> | undefined {
    return this.currentRole === 'leader' ? this.progress.get(id) : undefined;
  }

  /** Term of an entry that is still held, or null. */
  termAt(index: number): number | null {
    return this.log.termAt(index);
  }

  /** Takes one event and returns what the driver must do, in order. */
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
      case 'flush':
        this.flush();
        break;
    }
    return this.effects;
  }

  private tick(): void {
    this.discountStall(this.nowMs - this.lastTickMs);
    this.lastTickMs = this.nowMs;
    if (this.currentRole === 'leader') {
      this.tickLeader();
      return;
    }
    if (!this.electionTimer.expired(this.nowMs)) return;
    this.restartElectionTimer(this.nowMs);
    if (this.membership.voters.includes(this.id)) this.startElection(true);
  }

  private discountStall(sinceTickMs: number): void {
    if (sinceTickMs < this.options.electionTimeoutMs * STALL_SHARE) return;
    this.electionTimer.postpone(sinceTickMs);
    this.quorumCheckDueMs += sinceTickMs;
    this.leaderHeardMs += sinceTickMs;
  }

  private tickLeader(): void {
    if (this.nowMs >= this.quorumCheckDueMs && !this.checkQuorum()) return;
    if (this.nowMs < this.heartbeatDueMs) return;
    this.heartbeatDueMs = this.nowMs + this.options.heartbeatMs;
    this.round += 1;
    for (const [id, peer] of this.progress.entries()) this.sendAppend(id, peer, true);
    this.releaseConfirmations();
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
      this.answerPreVote(message);
      return;
    }
    if (message.kind === 'vote-answer' && message.preVote && message.granted) {
      this.countVote(message);
      return;
    }
    if (message.term > this.currentTerm) this.becomeFollower(message.term, null);
    switch (message.kind) {
      case 'vote-request':
        this.answerVote(message);
        break;
      case 'vote-answer':
        this.countVote(message);
        break;
      case 'append-request':
        this.answerAppend(message);
        break;
      case 'append-answer':
        this.countAppend(message);
        break;
      case 'snapshot-request':
        this.answerSnapshot(message);
        break;
    }
  }

  // ---- elections

  private restartElectionTimer(nowMs: number): void {
    if (!this.hasKnownLeader && policyIsOn('early-election')) this.electionTimer.restartEarly(nowMs);
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
    if (this.votesSuffice()) {
      this.wonElection();
      return;
    }
    const term = preVote ? this.currentTerm + 1 : this.currentTerm;
    for (const to of this.membership.voters) {
      if (to === this.id) continue;
      const { lastIndex, lastTerm } = this.log;
      this.send({ kind: 'vote-request', from: this.id, to, term, preVote, lastIndex, lastTerm });
    }
  }

  private votesSuffice(): boolean {
    return this.votes.size >= quorumSize(this.membership);
  }

  private wonElection(): void {
    if (this.currentRole === 'pre-candidate') this.startElection(false);
    else this.becomeLeader();
  }

  private answerPreVote(request: VoteRequest): void {
    const leaderIsFresh = this.nowMs - this.leaderLastHeardMs < this.options.electionTimeoutMs;
    const granted = request.term > this.currentTerm && !leaderIsFresh && this.isCurrent(request);
    const term = granted ? request.term : this.currentTerm;
    this.send({ kind: 'vote-answer', from: this.id, to: request.from, term, preVote: true, granted });
  }

  private answerVote(request: VoteRequest): void {
    const free = this.votedFor === null || this.votedFor === request.from;
    const granted =
      request.term === this.currentTerm && free && this.currentRole === 'follower' && this.isCurrent(request);
    if (granted) {
      this.votedFor = request.from;
      this.persistHardState();
      this.restartElectionTimer(this.nowMs);
    }
    const term = this.currentTerm;
    this.send({ kind: 'vote-answer', from: this.id, to: request.from, term, preVote: false, granted });
  }

  private isCurrent(request: VoteRequest): boolean {
    if (request.lastTerm !== this.log.lastTerm) return request.lastTerm > this.log.lastTerm;
    return request.lastIndex >= this.log.lastIndex;
  }

  private countVote(answer: VoteAnswer): void {
    const wanted = answer.preVote ? 'pre-candidate' : 'candidate';
    if (this.currentRole !== wanted || !answer.granted) return;
    const term = answer.preVote ? this.currentTerm + 1 : this.currentTerm;
    if (answer.term !== term || !this.membership.voters.includes(answer.from)) return;
    this.votes.add(answer.from);
    if (this.votesSuffice()) this.wonElection();
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
    this.appendOwn({ kind: 'no-op' });
  }

  private changeRole(role: RaftRole, leader: ReplicaId | null): void {
    const changed = this.currentRole !== role || this.currentLeader !== leader;
    this.currentRole = role;
    this.currentLeader = leader;
    if (changed) this.effects.push({ kind: 'role-changed', role, term: this.currentTerm, leader });
  }

  // ---- the leader's side of replication

  private propose(proposalId: string, command: unknown): void {
    if (this.currentRole !== 'leader') {
      this.effects.push({ kind: 'proposal-dropped', proposalId, leader: this.currentLeader });
      return;
    }
    this.appendOwn({ kind: 'command', proposalId, command });
  }

  private changeMembership(membership: Membership): void {
    if (!this.leaderReady) return;
    const inForce = this.log.membership();
    const previousIsCommitted = inForce.index <= this.committed;
    if (!previousIsCommitted || !differsByOneVoter(inForce.membership, membership)) return;
    this.appendOwn({ kind: 'membership', membership });
  }

  private appendOwn(payload: EntryPayload): void {
    const entry: LogEntry = { index: this.log.lastIndex + 1, term: this.currentTerm, payload };
    this.log.append([entry]);
    this.effects.push({ kind: 'persist-entries', entries: [entry] });
    if (payload.kind === 'membership') this.progress.update(payload.membership, entry.index, this.nowMs);
    this.advanceCommit();
  }

  /** Sends what was appended since the last flush: many proposals share one message to each peer. */
  private flush(): void {
    if (this.currentRole !== 'leader') return;
    for (const [id, peer] of this.progress.entries()) {
      if (peer.nextIndex <= this.log.lastIndex) this.sendAppend(id, peer, false);
    }
  }

  private sendAppend(to: ReplicaId, peer: PeerProgress, evenIfEmpty: boolean): void {
    const previousIndex = peer.nextIndex - 1;
    const previousTerm = this.log.termAt(previousIndex);
    if (previousTerm === null) {
      this.sendSnapshot(to, peer);
      return;
    }
    const entries = this.log.slice(peer.nextIndex, this.options.maxEntriesPerAppend);
    if (entries.length === 0 && !evenIfEmpty) return;
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
    const underWay = peer.snapshotSentMs !== null && this.nowMs - peer.snapshotSentMs < resendAfterMs;
    if (underWay) return;
    peer.snapshotSentMs = this.nowMs;
    this.effects.push({ kind: 'send-snapshot', to, term: this.currentTerm, round: this.round });
  }

  private countAppend(answer: AppendAnswer): void {
    if (this.currentRole !== 'leader' || answer.term !== this.currentTerm) return;
    const peer = this.progress.get(answer.from);
    if (peer === undefined) return;
    peer.lastAnswerMs = this.nowMs;
    peer.answeredRound = Math.max(peer.answeredRound, answer.round);
    if (answer.success) this.peerAdvanced(answer.from, peer, answer.matchIndex);
    else this.peerRefused(answer.from, peer, answer.matchIndex);
    this.releaseConfirmations();
  }

  private peerAdvanced(id: ReplicaId, peer: PeerProgress, matchIndex: number): void {
    peer.snapshotSentMs = null;
    peer.matchIndex = Math.max(peer.matchIndex, matchIndex);
    peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
    this.advanceCommit();
    if (peer.nextIndex <= this.log.lastIndex) this.sendAppend(id, peer, false);
  }

  private peerRefused(id: ReplicaId, peer: PeerProgress, hint: number): void {
    const next = Math.min(hint + 1, peer.nextIndex - 1);
    peer.nextIndex = Math.max(next, peer.matchIndex + 1, 1);
    this.sendAppend(id, peer, true);
  }

  private advanceCommit(): void {
    const index = this.progress.quorumIndex(this.membership, this.log.lastIndex);
    const ofOwnTerm = this.log.termAt(index) === this.currentTerm;
    if (index > this.committed && ofOwnTerm) this.commitTo(index);
  }

  private commitTo(index: number): void {
    const target = Math.min(index, this.log.lastIndex);
    if (target <= this.committed) return;
    const entries = this.log.slice(this.committed + 1, target - this.committed);
    this.committed = target;
    this.effects.push({ kind: 'commit', entries });
    this.leaveIfRemoved();
  }

  /** A leader that is no longer a voter steps down once that is committed (Raft 4.2.2). */
  private leaveIfRemoved(): void {
    if (this.currentRole !== 'leader') return;
    const inForce = this.log.membership();
    if (inForce.index > this.committed || inForce.membership.voters.includes(this.id)) return;
    this.becomeFollower(this.currentTerm, null);
  }

  // ---- read-index

  private confirmLeadership(requestId: number): void {
    if (!this.leaderReady) return;
    this.confirmations.push({ requestId, round: this.round + 1 });
  }

  private releaseConfirmations(): void {
    if (this.confirmations.length === 0) return;
    const confirmedRound = this.progress.quorumRound(this.membership, this.round);
    const done = this.confirmations.filter((pending) => pending.round <= confirmedRound);
    if (done.length === 0) return;
    this.confirmations = this.confirmations.filter((pending) => pending.round > confirmedRound);
    for (const { requestId } of done) this.effects.push({ kind: 'leadership-confirmed', requestId });
  }

  // ---- the follower's side of replication

  private answerAppend(request: AppendRequest): void {
    if (request.term < this.currentTerm) {
      this.answer(request, false, this.log.lastIndex);
      return;
    }
    this.followLeader(request.from);
    if (!this.holds(request.previousIndex, request.previousTerm)) {
      this.answer(request, false, Math.min(this.log.lastIndex, request.previousIndex - 1));
      return;
    }
    this.takeEntries(request.entries);
    const matchIndex = request.previousIndex + request.entries.length;
    this.commitTo(Math.min(request.commitIndex, matchIndex));
    const leaderIsReady = this.log.termAt(request.commitIndex) === this.currentTerm;
    if (leaderIsReady && this.committed >= request.commitIndex) this.heldAllMs = this.nowMs;
    this.answer(request, true, matchIndex);
  }

  private followLeader(leader: ReplicaId): void {
    this.leaderHeardMs = this.nowMs;
    this.hasKnownLeader = true;
    this.restartElectionTimer(this.nowMs);
    this.changeRole('follower', leader);
  }

  private holds(index: number, term: number): boolean {
    if (index < this.log.snapshot.index) return true;
    return this.log.termAt(index) === term;
  }

  private takeEntries(entries: readonly LogEntry[]): void {
    const firstNew = entries.findIndex((entry) => !this.holds(entry.index, entry.term));
    if (firstNew < 0) return;
    const fresh = entries.slice(firstNew);
    const fromIndex = fresh[0]?.index ?? 0;
    if (fromIndex <= this.log.lastIndex) {
      this.log.truncate(fromIndex);
      this.effects.push({ kind: 'truncate-log', fromIndex });
    }
    this.log.append(fresh);
    this.effects.push({ kind: 'persist-entries', entries: fresh });
  }

  private answerSnapshot(request: SnapshotRequest): void {
    if (request.term < this.currentTerm) {
      this.answer(request, false, this.log.lastIndex);
      return;
    }
    this.followLeader(request.from);
    if (request.position.index > this.committed) this.takeSnapshot(request.position, request.data);
    this.answer(request, true, Math.max(request.position.index, this.committed));
  }

  /** Entries after the snapshot may be counted in a quorum already, so they stay if the log agrees (Raft 5.1). */
  private takeSnapshot(position: SnapshotPosition, data: unknown): void {
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

/** Whether two memberships have voter sets that differ by at most one replica, so that quorums overlap. */
export function differsByOneVoter(before: Membership, after: Membership): boolean {
  const added = after.voters.filter((id) => !before.voters.includes(id));
  const removed = before.voters.filter((id) => !after.voters.includes(id));
  return added.length + removed.length <= 1 && after.voters.length > 0;
}
