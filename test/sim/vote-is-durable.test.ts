/** A vote is on disk before it is told, and a disk that loses it lets a replica vote twice; the real driver on virtual time. */
import test from 'ava';
import { Random } from '../../lab/random.js';
import { EventQueue } from '../../lab/sim/event-queue.js';
import { SimDisk } from '../../lab/sim/sim-disk.js';
import { diskFaults, type GuardName } from '../../lab/sim/sim-guards.js';
import { SimProcess } from '../../lab/sim/sim-process.js';
import { DEFAULT_RAFT_OPTIONS, type RaftMessage } from '../../src/consensus/raft-types.js';
import { Replica } from '../../src/consensus/replica.js';
import { nodeRuntime } from '../../src/runtime/node-runtime.js';

const NAME = 'voter';
const ID = `${NAME}/1`;
const VOTERS = [ID, 'one/1', 'two/1'];
const TERM = 5;
const SETTLED_MS = 100;

/** One voter with its disk, over its lives. */
class Voter {
  private readonly queue = new EventQueue();
  private readonly process = new SimProcess(NAME, this.queue, { startMs: 0, rate: 1, wallOffsetMs: 0 });
  private readonly disk: SimDisk;
  private readonly granted: string[] = [];
  private replica: Replica | null = null;

  constructor(withoutGuard: GuardName | null) {
    this.disk = new SimDisk(NAME, () => '1', new Random(1), diskFaults(withoutGuard));
  }

  /** Candidates that it has told that it votes for them. */
  get votes(): readonly string[] {
    return this.granted;
  }

  async start(): Promise<void> {
    this.process.start();
    const store = this.disk.open(this.process);
    if (!store.formed) {
      const formed = store.form({ voters: VOTERS, learners: [] });
      await this.pass(SETTLED_MS);
      await formed;
    }
    const runtime = {
      ...nodeRuntime,
      ...this.process.clocks(),
      every: () => () => undefined,
    };
    const state = { apply: () => undefined, snapshot: () => null, restore: () => undefined };
    const ports = {
      send: (message: RaftMessage) => {
        if (message.kind === 'vote-answer' && message.granted) this.granted.push(message.to);
      },
      onRoleChanged: () => undefined,
      onLeadershipConfirmed: () => undefined,
      onProposalDropped: () => undefined,
      onFatal: (error: unknown) => {
        throw error;
      },
    };
    const options = { ...DEFAULT_RAFT_OPTIONS, snapshotEveryEntries: 100 };
    this.replica = new Replica(ID, runtime, store, state, ports, options);
  }

  async ask(candidate: string): Promise<void> {
    const request = { kind: 'vote-request', from: candidate, to: ID, term: TERM, preVote: false } as const;
    this.replica?.submit({ kind: 'message', message: { ...request, lastIndex: 0, lastTerm: 0 } });
    await Promise.resolve();
  }

  async pass(ms: number): Promise<void> {
    const untilMs = this.queue.nowMs + ms;
    while (this.queue.runNext(untilMs)) await new Promise((resolve) => setImmediate(resolve));
  }

  crash(): void {
    this.process.crash();
    this.replica = null;
  }
}

async function votesOverTwoLives(withoutGuard: GuardName | null): Promise<readonly string[]> {
  const voter = new Voter(withoutGuard);
  await voter.start();
  await voter.ask('one/1');
  await voter.pass(SETTLED_MS);
  voter.crash();
  await voter.start();
  await voter.ask('two/1');
  await voter.pass(SETTLED_MS);
  return voter.votes;
}

test('a replica that restarts does not vote for another candidate of the same term', async (t) => {
  t.deepEqual(await votesOverTwoLives(null), ['one/1']);
});

test('guard vote-is-synced: a replica whose vote was lost votes twice in a term', async (t) => {
  t.deepEqual(await votesOverTwoLives('vote-is-synced'), ['one/1', 'two/1']);
});

test('a vote that is not on disk yet is not told', async (t) => {
  const voter = new Voter(null);
  await voter.start();
  await voter.ask('one/1');
  t.deepEqual(voter.votes, []);
  voter.crash();
  await voter.pass(SETTLED_MS);
  t.deepEqual(voter.votes, []);
});
