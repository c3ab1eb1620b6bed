/**
 * Guards against members that are behind and cost the leader memory or time without bound: batches, what is on its way and
 * what is sent again are limited in bytes, whatever the sizes of the entries, the place of the member and the network.
 */
import test from 'ava';
import { Random } from '../../lab/random.js';
import { entriesBytes, entryBytes } from '../../src/consensus/entry-size.js';
import { replicaLimits } from '../../src/consensus/replica-limits.js';
import {
  DEFAULT_RAFT_OPTIONS,
  type AppendRequest,
  type LogEntry,
  type Membership,
  type RaftMessage,
} from '../../src/consensus/raft-types.js';
import { commandEntry, CoreGroup, ORDERLY, type GroupNetwork } from './core-group.js';

const MIB = 1024 * 1024;
const MEMBERSHIP: Membership = { voters: ['a/1', 'b/1', 'c/1'], learners: [] };
const LIMITS = replicaLimits(64 * MIB);
const OPTIONS = { ...DEFAULT_RAFT_OPTIONS, limits: LIMITS };
const [LEADER, SECOND, THIRD] = ['a/1', 'b/1', 'c/1'] as const;
const LONG_MS = 60_000;

function entries(count: number, sizeOf: (index: number) => number): LogEntry[] {
  return Array.from({ length: count }, (_, at) => commandEntry(at + 1, 1, sizeOf(at + 1)));
}

function appendsTo(group: CoreGroup, to: string): AppendRequest[] {
  return group.sent.filter(
    (message): message is AppendRequest => message.kind === 'append-request' && message.to === to,
  );
}

/** How often each entry was sent to a member. */
function timesSent(group: CoreGroup, to: string): Map<number, number> {
  const times = new Map<number, number>();
  for (const { entries: batch } of appendsTo(group, to)) {
    for (const { index, payload } of batch) {
      // The first entry of a term is also sent with the first message, before the peer's log is known.
      if (payload.kind === 'command') times.set(index, (times.get(index) ?? 0) + 1);
    }
  }
  return times;
}

function sentAgain(group: CoreGroup, to: string): number[] {
  return [...timesSent(group, to)].filter(([, times]) => times > 1).map(([index]) => index);
}

/** Makes `a/1` the leader of the others, of whom each holds the log up to the given index. */
async function groupBehind(
  log: readonly LogEntry[],
  held: Record<string, number>,
  network: GroupNetwork = ORDERLY,
): Promise<CoreGroup> {
  const group = new CoreGroup(MEMBERSHIP, OPTIONS, network);
  const hardState = { term: 1, votedFor: null };
  group.start(LEADER, { hardState, entries: log });
  for (const [id, index] of Object.entries(held))
    group.start(id, { hardState, entries: log.slice(0, index) });
  group.ticking = LEADER;
  await group.run(LONG_MS, () => group.leader !== null);
  group.ticking = null;
  return group;
}

/** Checks at each message that batches and what is unacknowledged stay within the limits. */
function checkLimits(group: CoreGroup): () => number {
  let highest = 0;
  group.admits = (message) => {
    if (message.kind !== 'append-request') return true;
    const bytes = entriesBytes(message.entries);
    if (message.entries.length > 1 && bytes > LIMITS.messageBytes) throw new Error(`batch of ${bytes} bytes`);
    const { inFlight = [] } = group.leader?.peerProgress(message.to) ?? {};
    const under = inFlight.reduce((sum, batch) => sum + batch.bytes, 0);
    if (inFlight.length > 1 && under > LIMITS.inFlightBytes) throw new Error(`${under} bytes in flight`);
    highest = Math.max(highest, bytes);
    return true;
  };
  return () => highest;
}

const SIZES: readonly (readonly [string, number, (index: number) => number])[] = [
  ['600 of 20 KB', 600, () => 20_000],
  ['60 of 1 MB, each larger than a message', 60, () => MIB],
  ['20,000 of 100 bytes', 20_000, () => 100],
  ['mixed', 500, (index) => (index % 7 === 0 ? 300_000 : 500)],
];

for (const [name, count, sizeOf] of SIZES) {
  test(`members behind at two places are sent each entry once, within the limits: ${name}`, async (t) => {
    const group = await groupBehind(entries(count, sizeOf), { [SECOND]: Math.floor(count / 3) });
    const highest = checkLimits(group);
    group.start(THIRD, { hardState: { term: 1, votedFor: null } });
    const last = count + 1;
    const all = (): boolean => [SECOND, THIRD].every((id) => group.core(id).commitIndex >= last);
    t.true(await group.run(LONG_MS, all));
    t.true(highest() <= Math.max(LIMITS.messageBytes, sizeOf(7) + 200));
    for (const id of [SECOND, THIRD]) t.deepEqual(sentAgain(group, id), []);
    t.is(group.leader?.term, 2, 'nobody else was elected');
  });
}

test('a link that takes 300 ms each way never causes a resend', async (t) => {
  const group = await groupBehind(
    entries(50, () => 60_000),
    { [SECOND]: 50, [THIRD]: 50 },
  );
  const leader = group.core(LEADER);
  const delayed: { readonly message: RaftMessage; readonly atMs: number }[] = [];
  group.admits = (message) => {
    if (message.from !== THIRD && message.to !== THIRD) return true;
    delayed.push({ message, atMs: group.nowMs + 300 });
    return false;
  };
  for (let step = 0; step < 4_000; step += 1) {
    if (step % 50 === 0)
      await group.step(LEADER, { kind: 'propose', proposalId: `q${step}`, command: 'y'.repeat(10_000) });
    await group.run(1);
    while ((delayed[0]?.atMs ?? Infinity) <= group.nowMs) {
      const message = delayed.shift()?.message;
      if (message !== undefined) await group.step(message.to, { kind: 'message', message });
    }
  }
  t.is(leader.role, 'leader');
  t.true((leader.peerProgress(THIRD)?.matchIndex ?? 0) > 100);
  t.deepEqual(sentAgain(group, THIRD), []);
});

test('a lost batch and those after it are sent again once, after one empty probe', async (t) => {
  const group = await groupBehind(
    entries(10, () => 1_000),
    { [SECOND]: 10, [THIRD]: 10 },
  );
  await group.run(500);
  let lost = 0;
  group.admits = (message) => {
    const isLost =
      message.kind === 'append-request' && message.to === THIRD && message.entries.length > 0 && lost === 0;
    if (isLost) lost += 1;
    return !isLost;
  };
  const before = group.core(LEADER).lastIndex;
  for (const proposalId of ['x', 'y', 'z'])
    await group.step(LEADER, { kind: 'propose', proposalId, command: 'y'.repeat(40_000) });
  await group.run(1_000);
  t.is(lost, 1);
  t.is(group.core(THIRD).commitIndex, before + 3);
  const times = timesSent(group, THIRD);
  t.deepEqual(
    [1, 2, 3].map((after) => times.get(before + after)),
    [2, 2, 2],
  );
});

test('rejections that are repeated or late change nothing', async (t) => {
  const group = await groupBehind(
    entries(20, () => 1_000),
    { [SECOND]: 20 },
  );
  group.admits = (message) => message.to !== THIRD;
  group.start(THIRD);
  await group.run(200);
  const leader = group.core(LEADER);
  const reject = async (matchIndex: number): Promise<number> => {
    const head = { kind: 'append-answer', from: THIRD, to: LEADER, term: leader.term, round: 1 } as const;
    await group.step(LEADER, { kind: 'message', message: { ...head, success: false, matchIndex } });
    return leader.peerProgress(THIRD)?.nextIndex ?? 0;
  };
  const sentBefore = appendsTo(group, THIRD).length;
  t.is(await reject(9), 10);
  t.is(await reject(9), 10, 'the same rejection again');
  t.is(await reject(15), 10, 'the rejection of an earlier probe');
  t.is(appendsTo(group, THIRD).length, sentBefore + 1, 'one probe for one new rejection');
  const match = { kind: 'append-answer', from: THIRD, to: LEADER, term: leader.term, round: 1 } as const;
  await group.step(LEADER, { kind: 'message', message: { ...match, success: true, matchIndex: 9 } });
  const { nextIndex = 0, mode } = leader.peerProgress(THIRD) ?? {};
  t.deepEqual([mode, nextIndex], ['replicate', leader.lastIndex + 1]);
  t.is(await reject(3), nextIndex, 'the logs are known to agree');
});

test('a leader takes only so many bytes that are not committed, and small commands longer than large ones', async (t) => {
  const group = await groupBehind([], { [SECOND]: 0, [THIRD]: 0 });
  group.silent.add(SECOND).add(THIRD);
  const propose = async (bytes: number): Promise<boolean> => {
    const event = { kind: 'propose', proposalId: 'p', command: 'x'.repeat(bytes) } as const;
    const effects = await group.step(LEADER, event);
    const dropped = effects.find((effect) => effect.kind === 'proposal-dropped');
    if (dropped?.kind === 'proposal-dropped') t.is(dropped.reason, 'busy');
    return dropped === undefined;
  };
  t.true(await propose(LIMITS.changeBytes));
  let taken = LIMITS.changeBytes;
  while (await propose(50_000)) taken += 50_000;
  t.true(taken <= LIMITS.uncommittedBytes);
  t.true(await propose(500));
  group.silent.clear();
  await group.run(1_000);
  t.true(await propose(50_000), 'once they are committed');
});

test('a large entry is taken although small commands are always under way', async (t) => {
  const group = await groupBehind([], { [SECOND]: 0, [THIRD]: 0 });
  group.silent.add(SECOND).add(THIRD);
  const propose = async (bytes: number): Promise<boolean> => {
    const event = { kind: 'propose', proposalId: 'p', command: 'x'.repeat(bytes) } as const;
    const effects = await group.step(LEADER, event);
    return !effects.some((effect) => effect.kind === 'proposal-dropped');
  };
  t.true(await propose(500));
  t.true(await propose(LIMITS.uncommittedBytes));
  t.false(await propose(LIMITS.changeBytes), 'a second one waits');
});

test('an entry that is larger than every limit is replicated alone', async (t) => {
  const group = await groupBehind([], { [SECOND]: 0, [THIRD]: 0 });
  const command = 'x'.repeat(LIMITS.uncommittedBytes * 2);
  await group.step(LEADER, { kind: 'propose', proposalId: 'large', command });
  const { lastIndex } = group.core(LEADER);
  t.true(await group.run(2_000, () => group.core(THIRD).commitIndex === lastIndex));
});

for (let seed = 1; seed <= 24; seed += 1) {
  test(`entries of any size reach every member over a faulty network, with restarts: seed ${seed}`, async (t) => {
    const random = new Random(seed);
    const network = {
      delayMs: 1 + Math.floor(random.fraction() * 20),
      lossShare: random.fraction() * 0.2,
      duplicateShare: random.fraction() * 0.2,
      reorderMs: random.fraction() < 0.5 ? 0 : Math.floor(random.fraction() * 150),
    };
    const group = new CoreGroup(MEMBERSHIP, OPTIONS, network, random);
    for (const id of MEMBERSHIP.voters) group.start(id);
    const largest = 10 ** (2 + random.fraction() * 4);
    for (let step = 0; step < 120; step += 1) {
      const id = group.leader?.id ?? LEADER;
      const command = 'x'.repeat(Math.floor(random.fraction() * largest));
      await group.step(id, { kind: 'propose', proposalId: `s${step}`, command });
      await group.run(Math.floor(random.fraction() * 100));
      const chosen = MEMBERSHIP.voters[Math.floor(random.fraction() * 3)] ?? LEADER;
      if (random.fraction() < 0.1) group.start(chosen);
      if (random.fraction() < 0.1) await group.compact(chosen, { text: 'ä"'.repeat(largest / 4) });
      group.silent.clear();
      if (random.fraction() < 0.3) group.silent.add(chosen);
    }
    group.silent.clear();
    const agree = (): boolean => {
      const indexes = MEMBERSHIP.voters.map((id) => group.core(id).commitIndex);
      return group.leader !== null && indexes.every((index) => index === group.leader?.lastIndex);
    };
    t.true(await group.run(LONG_MS, agree));
    for (const message of group.sent) {
      if (message.kind !== 'append-request' || message.entries.length < 2) continue;
      t.true(message.entries.reduce((bytes, entry) => bytes + entryBytes(entry), 0) <= LIMITS.messageBytes);
    }
  });
}
