/**
 * A vote is durable before it is sent; a disk that loses it lets a replica vote twice. Runs the real consensus driver on
 * virtual time.
 */
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

/** One voter with its disk, across its incarnations. */
class Voter {
  private readonly queue = new EventQueue();
  private readonly process = new SimProcess(NAME, this.queue, { startMs: 0, rate: 1, wallOffsetMs: 0 });
  private readonly disk: SimDisk;
  private readonly granted: string[] = [];
  private replica: Replica | null = null;

  constructor(withoutGuard: GuardName | null) {
    this.disk = new SimDisk(NAME, () => '1', new Random(1), diskFaults(withoutGuard));
  }

  /** Candidates to which it has sent its vote. */
  get votes(): readonly string[] {
    return this.granted;
  }

  async start(): Promise<void> {
    this.process.start();
    const store = this.disk.open(this.process);
    if (!store.formed) {
      const formed = store.form({ voters: VOTERS, learners: [] });
      await this.advance(SETTLED_MS);
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

  async requestVote(candidate: string): Promise<void> {
    const request = { kind: 'vote-request', from: candidate, to: ID, term: TERM, preVote: false } as const;
    this.replica?.submit({ kind: 'message', message: { ...request, lastIndex: 0, lastTerm: 0 } });
    await Promise.resolve();
  }

  async advance(ms: number): Promise<void> {
    const untilMs = this.queue.nowMs + ms;
    while (this.queue.runNext(untilMs)) await new Promise((resolve) => setImmediate(resolve));
  }

  crash(): void {
    this.process.crash();
    this.replica = null;
  }
}

async function votesAcrossRestart(withoutGuard: GuardName | null): Promise<readonly string[]> {
  const voter = new Voter(withoutGuard);
  await voter.start();
  await voter.requestVote('one/1');
  await voter.advance(SETTLED_MS);
  voter.crash();
  await voter.start();
  await voter.requestVote('two/1');
  await voter.advance(SETTLED_MS);
  return voter.votes;
}

test('a replica that restarts does not vote for another candidate of the same term', async (t) => {
  t.deepEqual(await votesAcrossRestart(null), ['one/1']);
});

test('guard vote-is-synced: a replica whose vote was lost votes twice in a term', async (t) => {
  t.deepEqual(await votesAcrossRestart('vote-is-synced'), ['one/1', 'two/1']);
});

test('a vote that is not yet on disk is not sent', async (t) => {
  const voter = new Voter(null);
  await voter.start();
  await voter.requestVote('one/1');
  t.deepEqual(voter.votes, []);
  voter.crash();
  await voter.advance(SETTLED_MS);
  t.deepEqual(voter.votes, []);
});
