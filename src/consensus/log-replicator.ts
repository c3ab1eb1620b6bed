/**
 * The leader's part of log replication: which entries it sends to which peer, and when. What is on its way to one peer is
 * limited in bytes, and no entry is sent again unless it was lost, so that a peer that is behind or slow costs the leader a
 * bounded amount of memory and time.
 *
 * A batch counts as lost once the peer has answered a message of a later heartbeat round and not the batch: messages and
 * answers of one connection keep their order, so that a slow link alone never causes a resend. Answers that arrive out of
 * order only cause a resend that the peer ignores.
 */
import { entriesBytes } from './entry-size.js';
import type { RaftLog } from './raft-log.js';
import type {
  AppendAnswer,
  LogEntry,
  Membership,
  RaftEffect,
  RaftOptions,
  ReplicaId,
  SnapshotPartAnswer,
} from './raft-types.js';
import { inFlightBytes, ReplicationProgress, type PeerProgress } from './replication-progress.js';

/** Maximum number of unacknowledged batches to one peer; it bounds the memory of their records when batches are small. */
const MAX_BATCHES_IN_FLIGHT = 256;

const NO_ENTRIES: readonly LogEntry[] = [];

/** Sends the log of a leader to its peers. */
export class LogReplicator {
  private progress: ReplicationProgress;
  private term = 0;
  private currentRound = 0;

  constructor(
    private readonly self: ReplicaId,
    private readonly log: RaftLog,
    private readonly options: RaftOptions,
    private readonly commitIndex: () => number,
    private readonly emit: (effect: RaftEffect) => void,
  ) {
    this.progress = new ReplicationProgress(self);
  }

  /** Number of the latest heartbeat round. */
  get round(): number {
    return this.currentRound;
  }

  /** Progress of the peers in the latest term as leader. */
  get peers(): ReplicationProgress {
    return this.progress;
  }

  /** Starts a term as leader: nothing is known about the peers' logs. */
  startTerm(term: number, membership: Membership, nowMs: number): void {
    this.term = term;
    this.progress = new ReplicationProgress(this.self);
    this.progress.update(membership, this.log.lastIndex, nowMs);
  }

  /** Sends a heartbeat to every peer. */
  sendHeartbeats(): void {
    this.currentRound += 1;
    for (const [id, peer] of this.progress.entries()) this.sendHeartbeat(id, peer);
  }

  /** Sends to every peer the entries that it lacks, as far as the limits permit. */
  sendEntries(): void {
    for (const [id, peer] of this.progress.entries()) {
      if (!peer.contacted) this.sendFirst(id, peer);
      else if (peer.mode === 'replicate') this.sendBatches(id, peer);
    }
  }

  /** Records a peer's answer to an append request or a snapshot. Returns false if it is not from a peer. */
  recordAnswer(answer: AppendAnswer, nowMs: number): boolean {
    const peer = this.recordContact(answer, nowMs);
    if (peer === undefined) return false;
    peer.acceptsSnapshotParts = answer.snapshotParts === true;
    if (answer.success) this.recordMatch(peer, answer.matchIndex);
    else this.recordRejection(answer.from, peer, answer.matchIndex);
    this.detectLoss(answer.from, peer, answer.round);
    return true;
  }

  /** Records a peer's answer to a part of a snapshot. Returns false if it is not from a peer. */
  recordPartAnswer(answer: SnapshotPartAnswer, nowMs: number): boolean {
    return this.recordContact(answer, nowMs) !== undefined;
  }

  private recordContact(
    answer: { readonly from: ReplicaId; readonly round: number },
    nowMs: number,
  ): PeerProgress | undefined {
    const peer = this.progress.get(answer.from);
    if (peer === undefined) return undefined;
    peer.lastAnswerMs = nowMs;
    peer.answeredRound = Math.max(peer.answeredRound, answer.round);
    return peer;
  }

  // ---- answers

  private recordMatch(peer: PeerProgress, matchIndex: number): void {
    peer.matchIndex = Math.max(peer.matchIndex, matchIndex);
    while (peer.inFlight[0] !== undefined && peer.inFlight[0].lastIndex <= peer.matchIndex) {
      peer.inFlight.shift();
    }
    if (peer.mode === 'replicate') {
      peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
      return;
    }
    // A snapshot that a later one has replaced does not suffice if the entries between them are discarded.
    if (peer.mode === 'snapshot' && this.log.termAt(peer.matchIndex) === null) return;
    peer.mode = 'replicate';
    peer.inFlight = [];
    peer.nextIndex = peer.matchIndex + 1;
  }

  /**
   * Moves the probe back. A rejection of the latest probe names an index before the probed one; any other rejection
   * answers an earlier message and says nothing new. Outside of probing, a rejection means that a batch was lost, which
   * the answers to heartbeats also show.
   */
  private recordRejection(id: ReplicaId, peer: PeerProgress, hint: number): void {
    if (peer.mode !== 'probe' || hint >= peer.nextIndex - 1) return;
    const next = Math.max(hint + 1, peer.matchIndex + 1);
    if (next >= peer.nextIndex) return;
    peer.nextIndex = next;
    this.sendProbe(id, peer);
  }

  private detectLoss(id: ReplicaId, peer: PeerProgress, answeredRound: number): void {
    const oldest = peer.inFlight[0];
    if (peer.mode !== 'replicate' || oldest === undefined || answeredRound <= oldest.round) return;
    peer.mode = 'probe';
    peer.inFlight = [];
    peer.nextIndex = peer.matchIndex + 1;
    this.sendProbe(id, peer);
  }

  // ---- messages

  /** A heartbeat is answered whatever else is on its way: it refers to an entry that the peer holds, if one is known. */
  private sendHeartbeat(id: ReplicaId, peer: PeerProgress): void {
    switch (peer.mode) {
      case 'probe':
        this.sendProbe(id, peer);
        break;
      case 'replicate':
        this.sendAppend(id, peer, Math.max(peer.matchIndex, this.log.snapshot.index), NO_ENTRIES);
        break;
      case 'snapshot':
        this.sendAppend(id, peer, this.log.snapshot.index, NO_ENTRIES);
        this.sendSnapshot(id);
        break;
    }
  }

  /**
   * The first message of a term carries entries, since the logs usually agree; without them each election would take one
   * more round trip until the leader is ready.
   */
  private sendFirst(id: ReplicaId, peer: PeerProgress): void {
    const batch = this.nextBatch(peer);
    const fits = entriesBytes(batch) <= this.options.limits.messageBytes;
    this.sendAppend(id, peer, peer.nextIndex - 1, fits ? batch : NO_ENTRIES);
  }

  private sendProbe(id: ReplicaId, peer: PeerProgress): void {
    const { index: firstIndex } = this.log.snapshot;
    // Before its first answer nothing is known about a peer, not even whether it needs a snapshot.
    if (peer.acceptsSnapshotParts === null) peer.nextIndex = Math.max(peer.nextIndex, firstIndex + 1);
    if (this.sendAppend(id, peer, peer.nextIndex - 1, NO_ENTRIES)) return;
    this.startSnapshot(id, peer);
  }

  private startSnapshot(id: ReplicaId, peer: PeerProgress): void {
    peer.mode = 'snapshot';
    peer.inFlight = [];
    this.sendHeartbeat(id, peer);
  }

  private sendSnapshot(to: ReplicaId): void {
    this.emit({ kind: 'send-snapshot', to, term: this.term });
  }

  private sendBatches(id: ReplicaId, peer: PeerProgress): void {
    while (peer.nextIndex <= this.log.lastIndex && peer.inFlight.length < MAX_BATCHES_IN_FLIGHT) {
      const batch = this.nextBatch(peer);
      const bytes = entriesBytes(batch);
      const isFirst = peer.inFlight.length === 0;
      if (!isFirst && inFlightBytes(peer) + bytes > this.options.limits.inFlightBytes) return;
      if (!this.sendAppend(id, peer, peer.nextIndex - 1, batch)) {
        if (isFirst) this.startSnapshot(id, peer);
        return;
      }
      peer.nextIndex += batch.length;
      peer.inFlight.push({ lastIndex: peer.nextIndex - 1, bytes, round: this.currentRound });
    }
  }

  private nextBatch(peer: PeerProgress): readonly LogEntry[] {
    const { maxEntriesPerAppend, limits } = this.options;
    return this.log.batch(peer.nextIndex, maxEntriesPerAppend, limits.messageBytes);
  }

  /** Sends an append request; returns false if the log no longer contains the entry at `previousIndex`. */
  private sendAppend(
    to: ReplicaId,
    peer: PeerProgress,
    previousIndex: number,
    entries: readonly LogEntry[],
  ): boolean {
    const previousTerm = this.log.termAt(previousIndex);
    if (previousTerm === null) return false;
    peer.contacted = true;
    this.emit({
      kind: 'send',
      message: {
        kind: 'append-request',
        from: this.self,
        to,
        term: this.term,
        previousIndex,
        previousTerm,
        entries,
        commitIndex: this.commitIndex(),
        round: this.currentRound,
      },
    });
    return true;
  }
}
