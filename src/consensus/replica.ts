/**
 * Driver of the consensus core: feeds it events, makes its effects durable, sends its messages and
 * applies what is committed. Events that arrive during a disk sync wait and share the next one.
 */
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { ReplicaStore } from '../storage/replica-store.js';
import { EntryApplier } from './entry-applier.js';
import { diskSteps, type DiskStep } from './disk-steps.js';
import { whenDiskHasRoom } from './full-disk.js';
import { RaftCore } from './raft-core.js';
import type {
  LogEntry,
  RaftEffect,
  RaftEvent,
  RaftMessage,
  RaftOptions,
  RaftRole,
  ReplicaId,
  SnapshotPosition,
} from './raft-types.js';

const TICK_MS = 20;

/** The replicated state. */
export interface StateMachine {
  /** Applies one committed entry; called once for each, in order. */
  apply(entry: LogEntry): void;
  /** Content for a snapshot at the last applied entry. */
  snapshot(): unknown;
  /** Replaces the state by the content of a snapshot at `index`; null stands for the empty state. */
  restore(data: unknown, index: number): void;
}

/** Where a replica's effects on others go. */
export interface ReplicaPorts {
  send(message: RaftMessage): void;
  onRoleChanged(role: RaftRole, term: number, leader: ReplicaId | null): void;
  onLeadershipConfirmed(requestId: number): void;
  onProposalDropped(proposalId: string): void;
  /** Proposals that were taken at a time, in ms, are durable on this replica's disk. */
  onProposalsSynced?(proposalIds: readonly string[], takenMs: number): void;
  /** The disk failed; the process must stop, since it can promise nothing any more. */
  onFatal(error: unknown): void;
}

/** Options of the driver. */
export interface ReplicaOptions extends RaftOptions {
  /** Applied entries after which a snapshot replaces the log. */
  readonly snapshotEveryEntries: number;
}

/** Counters of the driver. */
export interface ReplicaCounters {
  syncs: number;
  entriesPersisted: number;
  snapshotsTaken: number;
  snapshotsInstalled: number;
}

/** A snapshot that is being written. */
interface Compaction {
  readonly position: SnapshotPosition;
  readonly data: unknown;
  written: Promise<void>;
  done: boolean;
}

/** A running replica. */
export class Replica {
  readonly core: RaftCore;
  readonly counters: ReplicaCounters = {
    syncs: 0,
    entriesPersisted: 0,
    snapshotsTaken: 0,
    snapshotsInstalled: 0,
  };
  private readonly queue: RaftEvent[] = [];
  private readonly cancelTick: CancelTimer;
  private running: Promise<void> | null = null;
  /** Since when the disk has held up the present batch; null while none is under way. */
  private batchSinceMs: number | null = null;
  private stopped = false;
  private readonly applier: EntryApplier;
  private compaction: Compaction | null = null;

  constructor(
    readonly id: ReplicaId,
    private readonly runtime: Runtime,
    private readonly storage: ReplicaStore,
    private readonly stateMachine: StateMachine,
    private readonly ports: ReplicaPorts,
    private readonly options: ReplicaOptions,
  ) {
    this.core = new RaftCore(id, storage.initialState, options, runtime.nowMs());
    this.stateMachine.restore(storage.snapshotData, storage.initialState.snapshot.index);
    const appliedIndex = storage.initialState.snapshot.index;
    this.applier = new EntryApplier(runtime, stateMachine, appliedIndex, (error) => {
      this.fail(error);
    });
    this.cancelTick = runtime.every(TICK_MS, () => {
      this.submit({ kind: 'tick' });
    });
  }

  /** Index of the newest entry that the state machine has taken. */
  get applied(): number {
    return this.applier.appliedIndex;
  }

  /**
   * Whether this replica leads, its state holds everything that was committed in earlier terms, and its disk lets it commit.
   * One whose disk stalls sends nothing, so the others elect another leader; judged by its role alone it held each
   * operator's call for 5 s, with a bound of 4 s.
   */
  get leading(): boolean {
    if (this.heldUpMs >= this.options.electionTimeoutMs) return false;
    return this.core.leaderReady && this.applier.appliedIndex >= this.core.termStart;
  }

  /** Time in ms for which the disk has held up the present batch of events; 0 while none is under way. */
  private get heldUpMs(): number {
    return this.batchSinceMs === null ? 0 : this.runtime.nowMs() - this.batchSinceMs;
  }

  /** Queues an event for the core. */
  submit(event: RaftEvent): void {
    // While the disk holds the driver up, ticks add nothing to the one that waits.
    if (this.stopped || (event.kind === 'tick' && this.queue.at(-1)?.kind === 'tick')) return;
    this.queue.push(event);
    this.running ??= this.run();
  }

  /** Stops taking events, waits for those under way and closes the storage. */
  async stop(): Promise<void> {
    this.stopped = true;
    this.cancelTick();
    await this.running;
    await this.compaction?.written;
    await this.storage.close();
  }

  private async run(): Promise<void> {
    try {
      while (this.queue.length > 0) {
        const takenMs = this.runtime.nowMs();
        this.batchSinceMs = takenMs;
        const events = this.queue.splice(0);
        events.push({ kind: 'flush' });
        const effects = events.flatMap((event) => this.core.step(event, this.runtime.nowMs()));
        await this.persist(effects);
        this.tellSynced(events, takenMs);
        for (const effect of effects) this.perform(effect);
        await this.compactIfDue();
      }
    } catch (error) {
      this.fail(error);
    } finally {
      this.running = null;
      this.batchSinceMs = null;
    }
  }

  private tellSynced(events: readonly RaftEvent[], takenMs: number): void {
    const proposals = events.flatMap((event) => (event.kind === 'propose' ? [event.proposalId] : []));
    if (proposals.length > 0) this.ports.onProposalsSynced?.(proposals, takenMs);
  }

  private fail(error: unknown): void {
    this.stopped = true;
    this.ports.onFatal(error);
  }

  /** Makes everything durable that the other effects of the same batch rely on. */
  private async persist(effects: readonly RaftEffect[]): Promise<void> {
    for (const step of diskSteps(effects)) await this.takeDiskStep(step);
  }

  private async takeDiskStep(step: DiskStep): Promise<void> {
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
        await this.compaction?.written;
        await this.write(async () => {
          await this.storage.writeSnapshot(step.position, step.data);
          await this.storage.adoptSnapshot(step.position, step.data);
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
    await whenDiskHasRoom(this.runtime, write);
  }

  private perform(effect: RaftEffect): void {
    switch (effect.kind) {
      case 'install-snapshot':
        this.applier.restore(effect.data, effect.position.index);
        break;
      case 'send':
        this.ports.send(effect.message);
        break;
      case 'send-snapshot':
        this.sendSnapshot(effect.to, effect.term, effect.round);
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
        this.ports.onProposalDropped(effect.proposalId);
        break;
    }
  }

  private sendSnapshot(to: ReplicaId, term: number, round: number): void {
    const { position, data } = this.storage.currentSnapshot();
    this.ports.send({ kind: 'snapshot-request', from: this.id, to, term, position, data, round });
  }

  /** Starts a snapshot when one is due, and takes it over when it is written. */
  private async compactIfDue(): Promise<void> {
    const { compaction } = this;
    if (compaction === null) {
      this.startCompaction();
      return;
    }
    if (!compaction.done) return;
    this.compaction = null;
    const { position, data } = compaction;
    if (position.index <= this.storage.currentSnapshot().position.index) return;
    await this.write(async () => {
      await this.storage.adoptSnapshot(position, data);
    });
    this.counters.snapshotsTaken += 1;
    this.core.step({ kind: 'compacted', position }, this.runtime.nowMs());
  }

  /** The file is written beside everything else: it takes longer than an election timeout when it is large. */
  private startCompaction(): void {
    if (this.applier.appliedIndex < this.core.commitIndex) return;
    const { index } = this.storage.currentSnapshot().position;
    if (this.applier.appliedIndex - index < this.options.snapshotEveryEntries) return;
    const position = this.appliedPosition();
    if (position === null) return;
    const data = this.stateMachine.snapshot();
    const compaction: Compaction = { position, data, done: false, written: Promise.resolve() };
    this.compaction = compaction;
    const written = this.write(async () => {
      await this.storage.writeSnapshot(position, data);
    });
    compaction.written = written.then(
      () => {
        compaction.done = true;
      },
      (error: unknown) => {
        this.fail(error);
      },
    );
  }

  /** Position of the last applied entry, unless a membership change after the last snapshot is uncommitted. */
  private appliedPosition(): SnapshotPosition | null {
    const term = this.core.termAt(this.applier.appliedIndex);
    const membership = this.core.committedMembership();
    if (term === null || membership === null) return null;
    return { index: this.applier.appliedIndex, term, membership };
  }
}
