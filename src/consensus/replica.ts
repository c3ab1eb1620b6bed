/**
 * Driver of the consensus core: passes events to it, makes its effects durable, sends its messages and
 * applies committed entries. Events that arrive during a disk sync are queued and share the next sync.
 */
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { ReplicaStore } from '../storage/replica-store.js';
import { EntryApplier } from './entry-applier.js';
import { diskSteps, type DiskStep } from './disk-steps.js';
import { retryWhileDiskFull } from './full-disk.js';
import { LogCompaction } from './log-compaction.js';
import { MessageSender } from './message-sender.js';
import { RaftCore } from './raft-core.js';
import type {
  DropReason,
  LogEntry,
  RaftEffect,
  RaftEvent,
  RaftMessage,
  RaftOptions,
  RaftRole,
  ReplicaId,
} from './raft-types.js';
import { ReplicaQueue } from './replica-queue.js';
import { SnapshotSender } from './snapshot-sender.js';

const TICK_INTERVAL_MS = 20;

/** The replicated state machine. */
export interface StateMachine {
  /** Applies one committed entry; called once per entry, in log order. */
  apply(entry: LogEntry): void;
  /** Returns the state as of the last applied entry, for a snapshot. */
  snapshot(): unknown;
  /** Replaces the state by the content of a snapshot at `index`; null is the empty state. */
  restore(data: unknown, index: number): void;
}

/** Outgoing messages and callbacks of a replica. */
export interface ReplicaPorts {
  send(message: RaftMessage): void;
  onRoleChanged(role: RaftRole, term: number, leader: ReplicaId | null): void;
  onLeadershipConfirmed(requestId: number): void;
  onProposalDropped(proposalId: string, reason: DropReason): void;
  /** Called when proposals that were dequeued at `dequeuedMs` are durable on this replica's disk. */
  onProposalsSynced?(proposalIds: readonly string[], dequeuedMs: number): void;
  /** Called when the disk failed; the process must exit, since it can no longer guarantee durability. */
  onFatal(error: unknown): void;
}

/** Options of the driver. */
export interface ReplicaOptions extends RaftOptions {
  /** Number of applied entries after which a snapshot replaces the log. */
  readonly snapshotEveryEntries: number;
}

/** Counters of the driver. */
export interface ReplicaCounters {
  syncs: number;
  /** Time in ms for which batches waited for the disk. */
  diskMs: number;
  entriesPersisted: number;
  snapshotsTaken: number;
  snapshotsInstalled: number;
  /** Messages and proposals dropped because too much was waiting for the disk. */
  eventsDropped: number;
}

/** A running replica. */
export class Replica {
  readonly core: RaftCore;
  readonly counters: ReplicaCounters = {
    syncs: 0,
    diskMs: 0,
    entriesPersisted: 0,
    snapshotsTaken: 0,
    snapshotsInstalled: 0,
    eventsDropped: 0,
  };
  private readonly queue: ReplicaQueue;
  private readonly snapshotSender: SnapshotSender;
  private readonly cancelTick: CancelTimer;
  private running: Promise<void> | null = null;
  /** Start time of the batch that is being processed; null when there is none. */
  private batchStartMs: number | null = null;
  private stopped = false;
  private readonly applier: EntryApplier;
  private readonly sender: MessageSender;
  private readonly compaction: LogCompaction;

  constructor(
    readonly id: ReplicaId,
    private readonly runtime: Runtime,
    private readonly storage: ReplicaStore,
    private readonly stateMachine: StateMachine,
    private readonly ports: ReplicaPorts,
    private readonly options: ReplicaOptions,
  ) {
    const { messageBytes, queuedBytes, inFlightBytes } = options.limits;
    this.queue = new ReplicaQueue(queuedBytes, inFlightBytes);
    const onFailure = (error: unknown): void => {
      this.fail(error);
    };
    this.core = new RaftCore(id, storage.initialState, options, runtime.nowMs());
    this.stateMachine.restore(storage.snapshotData, storage.initialState.snapshot.index);
    const appliedIndex = storage.initialState.snapshot.index;
    this.applier = new EntryApplier(runtime, stateMachine, appliedIndex, onFailure, {
      store: storage,
      sliceBytes: messageBytes,
    });
    this.compaction = new LogCompaction(
      { core: this.core, store: storage, stateMachine, applier: this.applier, onFailure },
      async (write) => {
        await this.write(write);
      },
      options,
    );
    this.sender = new MessageSender(storage, ports, onFailure);
    this.snapshotSender = this.createSnapshotSender();
    storage.releaseInitialState();
    this.cancelTick = runtime.every(TICK_INTERVAL_MS, () => {
      this.submit({ kind: 'tick' });
    });
  }

  /** Index of the last entry applied to the state machine. */
  get appliedIndex(): number {
    return this.applier.appliedIndex;
  }

  /**
   * Whether this replica is the leader, its state contains every entry committed in earlier terms, and its disk does not
   * stall. A leader whose disk stalls sends no messages, so its peers elect another leader; when only the role was
   * checked, such a leader delayed every operator call for 5 s, although the limit is 4 s.
   */
  get leading(): boolean {
    if (this.diskDelayMs >= this.options.electionTimeoutMs) return false;
    return this.core.leaderReady && this.applier.appliedIndex >= this.core.termStart;
  }

  /** Time in ms for which the disk has delayed the current batch of events; 0 when there is none. */
  get diskDelayMs(): number {
    return this.batchStartMs === null ? 0 : this.runtime.nowMs() - this.batchStartMs;
  }

  /** Size of the log on disk, in bytes. */
  get logBytes(): number {
    return this.storage.logBytes;
  }

  /** Index of the last entry that the snapshot contains. */
  get snapshotIndex(): number {
    return this.storage.currentSnapshot().position.index;
  }

  /** Number of events that wait for the batch in progress. */
  get queuedEvents(): number {
    return this.queue.length;
  }

  /** Approximate size in bytes of the events that wait for the batch in progress. */
  get queuedBytes(): number {
    return this.queue.bytes;
  }

  /** Queues an event for the core; it is dropped when too much is waiting. */
  submit(event: RaftEvent): void {
    if (this.stopped) return;
    if (!this.queue.push(event)) {
      this.counters.eventsDropped += 1;
      if (event.kind === 'propose') this.ports.onProposalDropped(event.proposalId, 'busy');
      return;
    }
    this.running ??= this.run();
  }

  /** Stops accepting events, waits for the batch in progress and closes the storage. */
  async stop(): Promise<void> {
    this.stopped = true;
    this.cancelTick();
    await this.running;
    this.applier.stop();
    this.sender.stop();
    await this.compaction.written;
    await this.snapshotSender.stop();
    await this.storage.close();
  }

  private async run(): Promise<void> {
    try {
      while (this.queue.length > 0) {
        const dequeuedMs = this.runtime.nowMs();
        this.batchStartMs = dequeuedMs;
        const events = this.queue.takeBatch();
        events.push({ kind: 'flush' });
        const effects = events.flatMap((event) => this.core.step(event, this.runtime.nowMs()));
        const steppedMs = this.runtime.nowMs();
        await this.persist(effects);
        this.counters.diskMs += this.runtime.nowMs() - steppedMs;
        this.notifyProposalsSynced(events, dequeuedMs);
        for (const effect of effects) this.perform(effect);
        await this.snapshotSender.sendDue();
        this.evictApplied();
        await this.compact();
      }
    } catch (error) {
      this.fail(error);
    } finally {
      this.running = null;
      this.batchStartMs = null;
    }
  }

  private notifyProposalsSynced(events: readonly RaftEvent[], dequeuedMs: number): void {
    const proposals = events.flatMap((event) => (event.kind === 'propose' ? [event.proposalId] : []));
    if (proposals.length > 0) this.ports.onProposalsSynced?.(proposals, dequeuedMs);
  }

  private fail(error: unknown): void {
    this.stopped = true;
    this.ports.onFatal(error);
  }

  /** Makes durable the state that the other effects of the batch depend on. */
  private async persist(effects: readonly RaftEffect[]): Promise<void> {
    for (const step of diskSteps(effects)) await this.runDiskStep(step);
  }

  private async runDiskStep(step: DiskStep): Promise<void> {
    switch (step.kind) {
      case 'persist-hard-state':
        await this.write(async () => {
          await this.storage.saveHardState(step.hardState);
        });
        break;
      case 'persist-entries':
        await this.write(async () => {
          await this.storage.append(step.entries);
        });
        this.counters.entriesPersisted += step.entries.length;
        break;
      case 'truncate-log':
        await this.write(async () => {
          await this.storage.truncate(step.fromIndex);
        });
        break;
      case 'install-snapshot':
        await this.compaction.written;
        await this.write(async () => {
          await this.storage.writeSnapshot(step.position, step.data);
          await this.storage.adoptSnapshot(step.position);
        });
        this.counters.snapshotsInstalled += 1;
        break;
      case 'sync':
        await this.storage.sync();
        this.counters.syncs += 1;
        break;
    }
  }

  private async write(write: () => Promise<void>): Promise<void> {
    await retryWhileDiskFull(this.runtime, write);
  }

  private perform(effect: RaftEffect): void {
    switch (effect.kind) {
      case 'install-snapshot':
        this.applier.restore(effect.data, effect.position.index);
        break;
      case 'send':
        this.sender.send(effect.message);
        break;
      case 'send-snapshot':
        this.snapshotSender.start(effect.to, effect.term);
        break;
      case 'snapshot-part-answered':
        this.snapshotSender.recordAnswer(effect.answer);
        break;
      case 'commit':
        this.applier.add(effect.entries);
        break;
      case 'role-changed':
        this.ports.onRoleChanged(effect.role, effect.term, effect.leader);
        break;
      case 'leadership-confirmed':
        this.ports.onLeadershipConfirmed(effect.requestId);
        break;
      case 'proposal-dropped':
        this.ports.onProposalDropped(effect.proposalId, effect.reason);
        break;
    }
  }

  private createSnapshotSender(): SnapshotSender {
    return new SnapshotSender({
      core: this.core,
      store: this.storage,
      messageBytes: this.options.limits.messageBytes,
      send: (message) => {
        this.sender.send(message);
      },
    });
  }

  private async compact(): Promise<void> {
    const position = await this.compaction.advance();
    if (position === null) return;
    this.counters.snapshotsTaken += 1;
    this.core.step({ kind: 'compacted', position }, this.runtime.nowMs());
  }

  /** Drops applied commands from memory beyond the limit; they are on disk, since effects are performed after a sync. */
  private evictApplied(): void {
    const { cachedLogBytes } = this.options.limits;
    if (this.core.cachedLogBytes <= cachedLogBytes) return;
    const toIndex = this.applier.appliedIndex;
    this.core.step({ kind: 'evict', toIndex, keepBytes: cachedLogBytes }, this.runtime.nowMs());
  }
}
