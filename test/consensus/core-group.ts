/** Consensus cores on a network in memory with delay, loss, duplication and reordering. Disks lose nothing. */
import { Random } from '../../lab/random.js';
import { RaftCore } from '../../src/consensus/raft-core.js';
import type {
  DurableState,
  LogEntry,
  Membership,
  RaftEffect,
  RaftEvent,
  RaftMessage,
  RaftOptions,
  ReplicaId,
  SnapshotPosition,
} from '../../src/consensus/raft-types.js';
import { SnapshotSender } from '../../src/consensus/snapshot-sender.js';
import { snapshotFromMemory } from '../../src/storage/snapshot-buffer.js';

const TICK_MS = 20;

/** Parameters of the network; delays in ms. */
export interface GroupNetwork {
  readonly delayMs: number;
  readonly lossShare: number;
  readonly duplicateShare: number;
  readonly reorderMs: number;
}

/** A network that keeps the order and loses nothing. */
export const ORDERLY: GroupNetwork = { delayMs: 2, lossShare: 0, duplicateShare: 0, reorderMs: 0 };

interface Member {
  readonly core: RaftCore;
  readonly sender: SnapshotSender;
}

interface Disk {
  hardState: DurableState['hardState'];
  snapshot: SnapshotPosition;
  data: unknown;
  entries: LogEntry[];
}

/** Returns a command entry whose command has about `bytes` bytes. */
export function commandEntry(index: number, term: number, bytes: number): LogEntry {
  return { index, term, payload: { kind: 'command', proposalId: `p${index}`, command: 'x'.repeat(bytes) } };
}

/** A group of cores. */
export class CoreGroup {
  nowMs = 10_000;
  /** Every message that was sent, also if it was lost. */
  readonly sent: RaftMessage[] = [];
  /** Committed entries by index, as `term/proposal`. */
  readonly committed = new Map<number, string>();
  /** Replicas that do not receive or send. */
  readonly silent = new Set<ReplicaId>();
  /** The only member whose time passes, so that it is elected; null for all. */
  ticking: ReplicaId | null = null;
  /** Decides about each message; the message is lost if it returns false. */
  admits: (message: RaftMessage) => boolean = () => true;
  readonly disks = new Map<ReplicaId, Disk>();
  private readonly members = new Map<ReplicaId, Member>();
  private arriving: { readonly atMs: number; readonly message: RaftMessage }[] = [];

  constructor(
    readonly membership: Membership,
    private readonly options: RaftOptions,
    private readonly network: GroupNetwork = ORDERLY,
    private readonly random = new Random(1),
  ) {}

  /** Starts a member from what its disk holds, or from `given`. */
  start(id: ReplicaId, given: Partial<DurableState> = {}): RaftCore {
    const snapshot = { index: 0, term: 0, membership: this.membership };
    const empty: Disk = { hardState: { term: 0, votedFor: null }, snapshot, data: null, entries: [] };
    const disk = this.disks.get(id) ?? { ...empty, ...given, entries: [...(given.entries ?? [])] };
    this.disks.set(id, disk);
    const seed = id.charCodeAt(0);
    const core = new RaftCore(
      id,
      { ...disk, entries: [...disk.entries] },
      { ...this.options, seed },
      this.nowMs,
    );
    const sender = new SnapshotSender({
      core,
      store: { openSnapshot: () => Promise.resolve(snapshotFromMemory(disk.snapshot, disk.data)) },
      messageBytes: this.options.limits.messageBytes,
      send: (message) => {
        this.transmit(message);
      },
    });
    this.members.set(id, { core, sender });
    return core;
  }

  core(id: ReplicaId): RaftCore {
    const member = this.members.get(id);
    if (member === undefined) throw new Error(`${id} is not started`);
    return member.core;
  }

  get leader(): RaftCore | null {
    const cores = [...this.members.values()].map(({ core }) => core);
    return cores.find(({ role, leaderReady }) => role === 'leader' && leaderReady) ?? null;
  }

  /** Passes one event to a member and carries out the effects. */
  async step(id: ReplicaId, event: RaftEvent): Promise<readonly RaftEffect[]> {
    const member = this.members.get(id);
    if (member === undefined || this.silent.has(id)) return [];
    const effects = [event, { kind: 'flush' } as const].flatMap((each) => member.core.step(each, this.nowMs));
    for (const effect of effects) this.perform(id, member, effect);
    await member.sender.sendDue();
    return effects;
  }

  /** Replaces the log of a member up to its commit index by a snapshot. */
  async compact(id: ReplicaId, data: unknown): Promise<void> {
    const core = this.core(id);
    const disk = this.disks.get(id);
    const term = core.termAt(core.commitIndex);
    if (disk === undefined || term === null) return;
    const position = { index: core.commitIndex, term, membership: this.membership };
    Object.assign(disk, { snapshot: position, data });
    disk.entries = disk.entries.filter(({ index }) => index > position.index);
    await this.step(id, { kind: 'compacted', position });
  }

  /** Runs the group until `done`, for at most `ms`. Returns whether it was done. */
  async run(ms: number, done: () => boolean = () => false): Promise<boolean> {
    const untilMs = this.nowMs + ms;
    while (this.nowMs < untilMs) {
      if (done()) return true;
      this.nowMs += 1;
      const due = this.arriving.filter(({ atMs }) => atMs <= this.nowMs);
      this.arriving = this.arriving.filter(({ atMs }) => atMs > this.nowMs);
      due.sort((left, right) => left.atMs - right.atMs);
      for (const { message } of due) await this.step(message.to, { kind: 'message', message });
      if (this.nowMs % TICK_MS !== 0) continue;
      for (const id of this.members.keys()) {
        if (this.ticking === null || this.ticking === id) await this.step(id, { kind: 'tick' });
      }
    }
    return done();
  }

  private perform(id: ReplicaId, { sender }: Member, effect: RaftEffect): void {
    const disk = this.disks.get(id);
    if (disk === undefined) return;
    if (effect.kind === 'persist-hard-state') disk.hardState = effect.hardState;
    else if (effect.kind === 'persist-entries') disk.entries.push(...effect.entries);
    else if (effect.kind === 'truncate-log')
      disk.entries = disk.entries.filter(({ index }) => index < effect.fromIndex);
    else if (effect.kind === 'install-snapshot') {
      const { position, data } = effect;
      const agrees = disk.entries.some(
        ({ index, term }) => index === position.index && term === position.term,
      );
      const entries = agrees ? disk.entries.filter(({ index }) => index > position.index) : [];
      Object.assign(disk, { snapshot: position, data, entries });
    } else if (effect.kind === 'send') this.transmit(effect.message);
    else if (effect.kind === 'send-snapshot') sender.start(effect.to, effect.term);
    else if (effect.kind === 'snapshot-part-answered') sender.recordAnswer(effect.answer);
    else if (effect.kind === 'commit') for (const entry of effect.entries) this.recordCommit(id, entry);
  }

  private recordCommit(id: ReplicaId, { index, term, payload }: LogEntry): void {
    const content = `${term}/${payload.kind === 'command' ? payload.proposalId : payload.kind}`;
    const known = this.committed.get(index) ?? content;
    if (known !== content) throw new Error(`${id} committed ${content} at ${index}, another one ${known}`);
    this.committed.set(index, content);
  }

  private transmit(message: RaftMessage): void {
    if (this.silent.has(message.from)) return;
    this.sent.push(message);
    const { lossShare, duplicateShare, delayMs, reorderMs } = this.network;
    if (!this.admits(message) || this.random.fraction() < lossShare) return;
    const copies = this.random.fraction() < duplicateShare ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const atMs = this.nowMs + delayMs + Math.floor(this.random.fraction() * reorderMs);
      this.arriving.push({ atMs, message });
    }
  }
}
