/**
 * Guards against a member that never catches up: while it receives a snapshot in parts, the leader takes the next one and discards
 * the entries behind the first.
 */
import test from 'ava';
import { replicaLimits } from '../../src/consensus/replica-limits.js';
import { DEFAULT_RAFT_OPTIONS, type Membership } from '../../src/consensus/raft-types.js';
import { commandEntry, CoreGroup, ORDERLY } from './core-group.js';

const MEMBERSHIP: Membership = { voters: ['a/1', 'b/1', 'c/1'], learners: [] };
const LIMITS = replicaLimits(64 * 1024 * 1024);
const OPTIONS = { ...DEFAULT_RAFT_OPTIONS, limits: LIMITS };
const [LEADER, SECOND, BEHIND] = ['a/1', 'b/1', 'c/1'] as const;

/** One-way delay of a message in ms, as between regions. */
const DELAY_MS = 25;

/** A state of half its limit. */
const STATE = { text: 'x'.repeat(LIMITS.stateBytes / 2) };

/** Size of a change, and the interval of changes in ms: one log of the largest size a second. */
const CHANGE_BYTES = 64 * 1024;
const CHANGE_INTERVAL_MS = 32;

const RUN_MS = 30_000;

test('a member catches up although the leader takes snapshots faster than one is transferred', async (t) => {
  const group = new CoreGroup(MEMBERSHIP, OPTIONS, { ...ORDERLY, delayMs: DELAY_MS });
  const log = Array.from({ length: 20 }, (_, at) => commandEntry(at + 1, 1, 100));
  const given = { hardState: { term: 1, votedFor: null }, entries: log };
  group.start(LEADER, given);
  group.start(SECOND, given);
  group.ticking = LEADER;
  await group.run(5_000, () => group.leader !== null);
  await group.compact(LEADER, STATE);
  group.start(BEHIND);
  let loggedBytes = 0;
  let snapshots = 0;
  for (let at = 0; at * CHANGE_INTERVAL_MS < RUN_MS; at += 1) {
    const command = 'y'.repeat(CHANGE_BYTES);
    await group.step(LEADER, { kind: 'propose', proposalId: `q${at}`, command });
    loggedBytes += CHANGE_BYTES;
    if (loggedBytes >= LIMITS.logBytes) {
      await group.compact(LEADER, STATE);
      loggedBytes = 0;
      snapshots += 1;
    }
    await group.run(CHANGE_INTERVAL_MS);
    const behind = group.core(LEADER).lastIndex - group.core(BEHIND).commitIndex;
    if (at > 10 && behind < 16) {
      t.log(`caught up after ${at * CHANGE_INTERVAL_MS} ms and ${snapshots} snapshots`);
      t.pass();
      return;
    }
  }
  const { lastIndex } = group.core(LEADER);
  t.fail(`holds ${group.core(BEHIND).commitIndex} of ${lastIndex} entries after ${snapshots} snapshots`);
});
