/** Guards against a replica that runs out of memory while its disk stalls: what others send meanwhile is limited in bytes. */
import test from 'ava';
import { Random } from '../../lab/random.js';
import { EventQueue } from '../../lab/sim/event-queue.js';
import { SimDisk } from '../../lab/sim/sim-disk.js';
import { diskFaults } from '../../lab/sim/sim-guards.js';
import { SimProcess } from '../../lab/sim/sim-process.js';
import { Replica } from '../../src/consensus/replica.js';
import { replicaLimits } from '../../src/consensus/replica-limits.js';
import {
  DEFAULT_RAFT_OPTIONS,
  type DropReason,
  type LogEntry,
  type RaftMessage,
} from '../../src/consensus/raft-types.js';
import { nodeRuntime } from '../../src/runtime/node-runtime.js';
import { commandEntry } from './core-group.js';

const NAME = 'stalled';
const ID = `${NAME}/1`;
const LIMITS = replicaLimits(64 * 1024 * 1024);
const ENTRY_BYTES = 40_000;

interface Stalled {
  readonly replica: Replica;
  readonly sent: RaftMessage[];
  readonly applied: LogEntry[];
  readonly dropped: DropReason[];
  /** Lets the disk work again for the given time. */
  advance(ms: number): Promise<void>;
}

/** Starts a replica whose disk does nothing until time advances. */
async function startStalled(voters: readonly string[]): Promise<Stalled> {
  const queue = new EventQueue();
  const process = new SimProcess(NAME, queue, { startMs: 0, rate: 1, wallOffsetMs: 0 });
  const store = new SimDisk(NAME, () => '1', new Random(1), diskFaults(null)).open(process);
  process.start();
  const advance = async (ms: number): Promise<void> => {
    const untilMs = queue.nowMs + ms;
    do await new Promise((resolve) => setImmediate(resolve));
    while (queue.runNext(untilMs));
  };
  const formed = store.form({ voters, learners: [] });
  await advance(1_000);
  await formed;
  const [sent, applied, dropped]: [RaftMessage[], LogEntry[], DropReason[]] = [[], [], []];
  const state = {
    apply: (entry: LogEntry) => applied.push(entry),
    snapshot: () => null,
    restore: () => undefined,
  };
  const ports = {
    send: (message: RaftMessage) => sent.push(message),
    onRoleChanged: () => undefined,
    onLeadershipConfirmed: () => undefined,
    onProposalDropped: (_: string, reason: DropReason) => dropped.push(reason),
    onFatal: (error: unknown) => {
      throw error;
    },
  };
  const runtime = { ...nodeRuntime, ...process.clocks(), every: () => () => undefined };
  const options = { ...DEFAULT_RAFT_OPTIONS, limits: LIMITS, snapshotEveryEntries: 1_000_000 };
  const replica = new Replica(ID, runtime, store, state, ports, options);
  return { replica, sent, applied, dropped, advance };
}

function appendAt(index: number): RaftMessage {
  const head = { from: 'one/1', to: ID, term: 1, commitIndex: index, round: 1 } as const;
  const entries = [commandEntry(index, 1, ENTRY_BYTES)];
  return {
    kind: 'append-request',
    ...head,
    previousIndex: index - 1,
    previousTerm: Math.sign(index - 1),
    entries,
  };
}

test('a follower whose disk stalls drops entries beyond the limit, still votes, and catches up when they are sent again', async (t) => {
  const { replica, sent, applied, advance } = await startStalled([ID, 'one/1', 'two/1']);
  for (let index = 1; index <= 1_000; index += 1) {
    replica.submit({ kind: 'message', message: appendAt(index) });
    t.true(replica.queuedBytes <= LIMITS.queuedBytes);
  }
  t.true(replica.counters.eventsDropped > 900);
  const vote = { kind: 'vote-request', from: 'two/1', to: ID, preVote: false, lastIndex: 2_000 } as const;
  replica.submit({ kind: 'message', message: { ...vote, term: 5, lastTerm: 4 } });
  await advance(10_000);
  t.true(sent.some((message) => message.kind === 'vote-answer' && message.granted));
  for (let index = applied.length + 1; index <= 1_000; index += 1) {
    replica.submit({ kind: 'message', message: { ...appendAt(index), term: 5 } });
    await advance(100);
  }
  t.is(applied.length, 1_000);
});

test('a leader whose disk stalls refuses proposals beyond the limit at once', async (t) => {
  const { replica, applied, dropped, advance } = await startStalled([ID]);
  await advance(1_000);
  for (let tick = 0; tick < 20 && !replica.leading; tick += 1) {
    replica.submit({ kind: 'tick' });
    await advance(100);
  }
  const before = applied.length;
  for (let at = 0; at < 1_000; at += 1) {
    replica.submit({ kind: 'propose', proposalId: `p${at}`, command: 'x'.repeat(ENTRY_BYTES) });
    t.true(replica.queuedBytes <= LIMITS.queuedBytes);
  }
  t.true(dropped.length > 900);
  t.true(dropped.every((reason) => reason === 'busy'));
  await advance(10_000);
  t.is(applied.length - before, 1_000 - dropped.length);
});
