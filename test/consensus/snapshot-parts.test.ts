/**
 * Guards against snapshots that never arrive because they exceed the largest message, that a leader holds as a whole for each
 * peer, and during which a peer gets no heartbeats.
 */
import test from 'ava';
import { replicaLimits } from '../../src/consensus/replica-limits.js';
import {
  DEFAULT_RAFT_OPTIONS,
  type Membership,
  type RaftMessage,
  type SnapshotPart,
} from '../../src/consensus/raft-types.js';
import { SnapshotAssembly } from '../../src/consensus/snapshot-assembly.js';
import { writeText } from '../../src/model/value-text.js';
import { commandEntry, CoreGroup } from './core-group.js';

const MIB = 1024 * 1024;
const MEMBERSHIP: Membership = { voters: ['a/1', 'b/1', 'c/1'], learners: [] };
const LIMITS = replicaLimits(64 * MIB);
const OPTIONS = { ...DEFAULT_RAFT_OPTIONS, limits: LIMITS };
const [LEADER, SECOND, BEHIND] = ['a/1', 'b/1', 'c/1'] as const;
const LARGE = { text: 'ä"x€'.repeat(60_000) };
const LARGE_BYTES = Buffer.byteLength(writeText(LARGE));

/** Makes `a/1` the leader; its snapshot of `data` holds the first entries, which `c/1` lacks. */
async function groupWithSnapshot(data: unknown): Promise<CoreGroup> {
  const group = new CoreGroup(MEMBERSHIP, OPTIONS);
  const log = Array.from({ length: 20 }, (_, at) => commandEntry(at + 1, 1, 100));
  const given = { hardState: { term: 1, votedFor: null }, entries: log };
  group.start(LEADER, given);
  group.start(SECOND, given);
  group.ticking = LEADER;
  await group.run(5_000, () => group.leader !== null);
  group.ticking = null;
  await group.compact(LEADER, data);
  return group;
}

function parts(messages: readonly RaftMessage[]): SnapshotPart[] {
  return messages.filter((message): message is SnapshotPart => message.kind === 'snapshot-part');
}

function contentBytes(messages: readonly RaftMessage[]): number {
  return parts(messages).reduce((bytes, { content }) => bytes + Buffer.from(content, 'base64').length, 0);
}

function textAtMember(group: CoreGroup): string {
  const { text } = group.disks.get(BEHIND)?.data as typeof LARGE;
  return text;
}

async function caughtUp(group: CoreGroup, ms = 5_000): Promise<boolean> {
  return await group.run(ms, () => group.core(BEHIND).commitIndex === group.core(LEADER).lastIndex);
}

test('a large snapshot arrives in parts that fit one message, each sent once, beside heartbeats', async (t) => {
  const group = await groupWithSnapshot(LARGE);
  group.start(BEHIND);
  // The leader's quorum depends on the answers of the member that receives the snapshot.
  group.silent.add(SECOND);
  t.true(await caughtUp(group));
  t.true(textAtMember(group) === LARGE.text);
  t.true(parts(group.sent).every((part) => part.content.length <= LIMITS.messageBytes));
  t.true(parts(group.sent).length > 5);
  t.is(contentBytes(group.sent), parts(group.sent)[0]?.totalBytes ?? 0);
  t.is(group.core(LEADER).role, 'leader');
});

test('a member that takes long over each part still gets heartbeats, and no part twice', async (t) => {
  const group = await groupWithSnapshot(LARGE);
  group.start(BEHIND);
  group.silent.add(SECOND);
  const waiting: RaftMessage[] = [];
  let waits = false;
  // Its disk takes 1 s for each part; everything behind it waits in order, heartbeats too.
  group.admits = (message) => {
    if (message.to !== BEHIND) return true;
    waits ||= message.kind === 'snapshot-part';
    if (waits) waiting.push(message);
    return !waits;
  };
  let sawHeartbeats = 0;
  for (let turn = 0; turn < 60 && group.core(BEHIND).commitIndex === 0; turn += 1) {
    await group.run(300);
    waits = false;
    const held = waiting.splice(0);
    sawHeartbeats += held.filter(({ kind }) => kind === 'append-request').length;
    for (const message of held) await group.step(BEHIND, { kind: 'message', message });
  }
  t.is(group.core(BEHIND).commitIndex > 0, true);
  t.true(sawHeartbeats >= 2 * (parts(group.sent).length - 1));
  t.is(contentBytes(group.sent), parts(group.sent)[0]?.totalBytes ?? 0);
  t.is(group.core(LEADER).role, 'leader');
});

test('a lost part and a lost answer are sent again, the others are not', async (t) => {
  const group = await groupWithSnapshot(LARGE);
  group.start(BEHIND);
  const lost = new Set<string>();
  group.admits = (message) => {
    const { kind } = message;
    if (kind !== 'snapshot-part' && kind !== 'snapshot-part-answer') return true;
    if (message.offset === 0 || lost.has(kind)) return true;
    lost.add(kind);
    return false;
  };
  t.true(await caughtUp(group));
  t.is(lost.size, 2);
  const offsets = parts(group.sent).map(({ offset }) => offset);
  t.is(offsets.length, new Set(offsets).size + 2);
});

test('a member that restarts during a transfer gets the snapshot from its start', async (t) => {
  const group = await groupWithSnapshot(LARGE);
  group.start(BEHIND);
  await group.run(5_000, () => parts(group.sent).length > 4);
  group.start(BEHIND);
  t.true(await caughtUp(group));
  t.true(textAtMember(group) === LARGE.text);
});

test('a snapshot that is replaced during its transfer is sent to its end, then the later one', async (t) => {
  const group = await groupWithSnapshot(LARGE);
  group.start(BEHIND);
  await group.run(5_000, () => parts(group.sent).length > 4);
  const first = parts(group.sent)[0]?.position.index;
  await group.step(LEADER, { kind: 'propose', proposalId: 'next', command: 'x' });
  await group.run(100, () => group.core(LEADER).commitIndex === group.core(LEADER).lastIndex);
  await group.compact(LEADER, { text: 'small' });
  t.true(await caughtUp(group));
  t.true(textAtMember(group) === 'small');
  t.true(parts(group.sent).every(({ position }) => position.index === first));
});

test('a member that does not answer is sent one part at most', async (t) => {
  const group = await groupWithSnapshot(LARGE);
  group.start(BEHIND);
  group.admits = ({ kind, from }) => kind !== 'snapshot-part' || from !== LEADER;
  await group.run(5_000, () => parts(group.sent).length > 0);
  group.silent.add(BEHIND);
  const sent = parts(group.sent).length;
  await group.run(5_000);
  t.is(parts(group.sent).length, sent);
});

test('a small snapshot, and any for a process of an earlier version, is sent whole', async (t) => {
  for (const [data, isEarlier] of [
    [{ text: 'small' }, false],
    [LARGE, true],
  ] as const) {
    const group = await groupWithSnapshot(data);
    group.start(BEHIND);
    if (isEarlier) {
      group.admits = (message) => {
        if (message.kind === 'append-answer') Object.assign(message, { snapshotParts: undefined });
        return true;
      };
    }
    t.true(await caughtUp(group));
    t.deepEqual(parts(group.sent), []);
    t.true(textAtMember(group) === data.text);
  }
});

function partOf(text: string, given: Partial<SnapshotPart> & { readonly index?: number } = {}): SnapshotPart {
  const { index = 7, ...fields } = given;
  const content = Buffer.from(text).toString('base64');
  const position = { index, term: 1, membership: MEMBERSHIP };
  const head = { kind: 'snapshot-part', from: LEADER, to: BEHIND, term: 1, round: 1 } as const;
  return { ...head, position, offset: 0, totalBytes: Buffer.byteLength(text), content, ...fields };
}

test('parts that are repeated, out of order, of an earlier snapshot, damaged or too large are not collected', (t) => {
  const assembly = new SnapshotAssembly(LARGE_BYTES);
  const text = writeText({ position: { index: 7, term: 1, membership: MEMBERSHIP }, data: 'x' });
  const [start, rest] = [text.slice(0, 10), text.slice(10)];
  const totalBytes = text.length;
  const expects = (part: SnapshotPart, offset: number): void => {
    t.deepEqual(assembly.add(part), { kind: 'expecting', offset });
  };
  expects(partOf(rest, { offset: 10, totalBytes }), 0);
  expects(partOf(start, { totalBytes }), 10);
  expects(partOf(start, { totalBytes }), 10);
  expects(partOf(rest, { offset: 20, totalBytes }), 10);
  expects(partOf(start, { totalBytes, index: 6 }), 0);
  expects(partOf(`${rest}!`, { offset: 10, totalBytes }), 10);
  t.is(assembly.bytes, 10);
  t.like(assembly.add(partOf(rest, { offset: 10, totalBytes })), { kind: 'complete', data: 'x' });
  t.is(assembly.bytes, 0);
  expects(partOf('{"position":'), 0);
  expects(partOf(start, { totalBytes: LARGE_BYTES + 1 }), 0);
  t.is(assembly.bytes, 0);
});
