/** Replaces the log by a snapshot of the state when it has grown by a number of entries or of bytes. */
import type { ReplicaStore } from '../storage/replica-store.js';
import type { EntryApplier } from './entry-applier.js';
import type { RaftCore } from './raft-core.js';
import type { SnapshotPosition } from './raft-types.js';
import type { ReplicaOptions, StateMachine } from './replica.js';

/** What a compaction reads and writes. */
export interface CompactionPorts {
  readonly core: Pick<RaftCore, 'commitIndex' | 'termAt' | 'committedMembership'>;
  readonly store: ReplicaStore;
  readonly stateMachine: Pick<StateMachine, 'snapshot'>;
  readonly applier: Pick<EntryApplier, 'appliedIndex'>;
  onFailure(error: unknown): void;
}

/** Runs a write to the disk, again while the disk is full. */
type RetryWrite = (write: () => Promise<void>) => Promise<void>;

/** A snapshot that is being written. */
interface PendingSnapshot {
  readonly position: SnapshotPosition;
  isWritten: boolean;
}

/** Compaction of one replica's log. */
export class LogCompaction {
  private pending: PendingSnapshot | null = null;
  private writing: Promise<void> = Promise.resolve();

  constructor(
    private readonly ports: CompactionPorts,
    private readonly write: RetryWrite,
    private readonly options: Pick<ReplicaOptions, 'snapshotEveryEntries' | 'limits'>,
  ) {}

  /** Resolves when no snapshot is being written. */
  get written(): Promise<void> {
    return this.writing;
  }

  /** Starts a snapshot when one is due, and adopts it once it is written; returns the position of an adopted snapshot. */
  async advance(): Promise<SnapshotPosition | null> {
    const { pending } = this;
    if (pending === null) {
      this.startIfDue();
      return null;
    }
    if (!pending.isWritten) return null;
    this.pending = null;
    const { store } = this.ports;
    if (pending.position.index <= store.currentSnapshot().position.index) return null;
    await this.write(async () => {
      await store.adoptSnapshot(pending.position);
    });
    return pending.position;
  }

  /** Writes the snapshot file concurrently with other work, since a large file takes longer than an election timeout. */
  private startIfDue(): void {
    const { applier, core, store, stateMachine, onFailure } = this.ports;
    if (applier.appliedIndex < core.commitIndex || !this.isDue()) return;
    const position = this.appliedPosition();
    if (position === null) return;
    const pending: PendingSnapshot = { position, isWritten: false };
    this.pending = pending;
    const data = stateMachine.snapshot();
    const writing = this.write(async () => {
      await store.writeSnapshot(position, data);
    });
    this.writing = writing.then(() => {
      pending.isWritten = true;
    }, onFailure);
  }

  /**
   * Whether the log since the last snapshot has reached its number of entries, or its size in bytes. For its size, a snapshot is
   * not written before as many bytes were logged as it takes, so that its cost is in proportion to what was logged.
   */
  private isDue(): boolean {
    const { appliedIndex } = this.ports.applier;
    const { store } = this.ports;
    const { index } = store.currentSnapshot().position;
    if (appliedIndex - index >= this.options.snapshotEveryEntries) return true;
    const dueBytes = Math.max(this.options.limits.logBytes, store.snapshotBytes);
    return appliedIndex > index && store.logBytesUpTo(appliedIndex) >= dueBytes;
  }

  /** Returns the position of the last applied entry, or null while the effective membership is not committed. */
  private appliedPosition(): SnapshotPosition | null {
    const { appliedIndex } = this.ports.applier;
    const term = this.ports.core.termAt(appliedIndex);
    const membership = this.ports.core.committedMembership();
    if (term === null || membership === null) return null;
    return { index: appliedIndex, term, membership };
  }
}
