/**
 * Sends snapshots from a leader to the peers that need one: whole if they fit in one message, in parts otherwise. The next
 * part is read and sent after the previous one was answered, so that the leader holds one part at a time.
 *
 * A part counts as lost by the same rule as a batch of entries: once the peer has answered a message of a later heartbeat
 * round and not the part.
 */
import type { ReplicaStore, SnapshotSource } from '../storage/replica-store.js';
import { readText } from '../model/value-text.js';
import type { RaftCore } from './raft-core.js';
import type { RaftMessage, ReplicaId, SnapshotPartAnswer, SnapshotPosition } from './raft-types.js';

/** Base64 writes three bytes as four characters. */
const BASE64_RATIO = 0.75;

/** State of the replica that sends, and its outgoing messages. */
export interface SnapshotSenderPorts {
  readonly core: Pick<RaftCore, 'id' | 'term' | 'heartbeatRound' | 'peerProgress'>;
  readonly store: Pick<ReplicaStore, 'openSnapshot'>;
  /** Maximum size of a message in bytes. */
  readonly messageBytes: number;
  send(message: RaftMessage): void;
}

interface Transfer {
  readonly to: ReplicaId;
  readonly term: number;
  /** Null until the snapshot is opened. */
  source: SnapshotSource | null;
  /** Place of the part that is to be sent next, or whose answer is missing. */
  offset: number;
  /** Heartbeat round in which the part was sent; null while it is to be sent. */
  sentRound: number | null;
}

/** All transfers of one replica. Its reads of the store run in `sendDue`, so that they do not overlap other calls. */
export class SnapshotSender {
  private readonly transfers = new Map<ReplicaId, Transfer>();

  constructor(private readonly ports: SnapshotSenderPorts) {}

  /** Starts a transfer unless one to this peer is under way. */
  start(to: ReplicaId, term: number): void {
    if (this.transfers.get(to)?.term === term) return;
    this.transfers.set(to, { to, term, source: null, offset: 0, sentRound: null });
  }

  /** Continues a transfer where its receiver expects it. */
  recordAnswer({ from, index, offset }: SnapshotPartAnswer): void {
    const transfer = this.transfers.get(from);
    if (transfer?.source?.position.index !== index || transfer.sentRound === null) return;
    // The answer to an earlier part; the present one is still on its way.
    if (offset === transfer.offset || offset >= transfer.source.bytes) return;
    transfer.offset = offset;
    transfer.sentRound = null;
  }

  /** Sends what is due and ends the transfers that are no longer needed. */
  async sendDue(): Promise<void> {
    for (const transfer of [...this.transfers.values()]) {
      if (!this.isNeeded(transfer)) await this.end(transfer);
      else if (this.isDue(transfer)) await this.sendPart(transfer);
    }
  }

  /** Ends all transfers. */
  async stop(): Promise<void> {
    for (const transfer of [...this.transfers.values()]) await this.end(transfer);
  }

  private isNeeded({ to, term, source }: Transfer): boolean {
    const progress = this.ports.core.peerProgress(to);
    if (progress?.mode !== 'snapshot' || term !== this.ports.core.term) return false;
    return source === null || progress.matchIndex < source.position.index;
  }

  private isDue({ to, sentRound }: Transfer): boolean {
    return sentRound === null || (this.ports.core.peerProgress(to)?.answeredRound ?? 0) > sentRound;
  }

  private async end(transfer: Transfer): Promise<void> {
    this.transfers.delete(transfer.to);
    await transfer.source?.close();
  }

  private async sendPart(transfer: Transfer): Promise<void> {
    const { to, term, offset } = transfer;
    const source = await this.sourceOf(transfer);
    const head = { from: this.ports.core.id, to, term, round: this.ports.core.heartbeatRound };
    transfer.sentRound = head.round;
    if (this.mustSendWhole(to, source)) {
      const text = (await source.read(0, source.bytes)).toString('utf8');
      const content = readText(text) as { readonly position: SnapshotPosition; readonly data: unknown };
      this.ports.send({ kind: 'snapshot-request', ...head, ...content });
      return;
    }
    const part = await source.read(offset, Math.floor(this.ports.messageBytes * BASE64_RATIO));
    const { position, bytes: totalBytes } = source;
    const content = part.toString('base64');
    this.ports.send({ kind: 'snapshot-part', ...head, position, offset, totalBytes, content });
  }

  /** A transfer that starts over sends the latest snapshot. */
  private async sourceOf(transfer: Transfer): Promise<SnapshotSource> {
    if (transfer.source !== null && transfer.offset > 0) return transfer.source;
    await transfer.source?.close();
    transfer.source = await this.ports.store.openSnapshot();
    return transfer.source;
  }

  private mustSendWhole(to: ReplicaId, source: SnapshotSource): boolean {
    return (
      source.bytes <= this.ports.messageBytes ||
      this.ports.core.peerProgress(to)?.acceptsSnapshotParts !== true
    );
  }
}
