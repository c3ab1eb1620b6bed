import test from 'ava';
import { Proposals } from '../../src/control/proposals.js';
import type { DirectoryCommand, DirectoryOutcome } from '../../src/directory/directory-commands.js';
import { emptyDirectoryState } from '../../src/directory/directory-state.js';
import { ConfigurationSize } from '../../src/directory/configuration-size.js';
import { replicaLimits } from '../../src/consensus/replica-limits.js';
import { OperatorChanges } from '../../src/directory/operator-changes.js';
import { ManualTime } from '../sidecar/manual-runtime.js';

const CHANGE: DirectoryCommand = { kind: 'configure-items', digest: 'd', items: [] };
const ANSWER_MS = 800;

function setUp(): {
  time: ManualTime;
  submitted: string[];
  proposals: Proposals<DirectoryCommand, DirectoryOutcome>;
  changes: OperatorChanges;
} {
  const time = new ManualTime();
  const submitted: string[] = [];
  let nextId = 0;
  const runtime = { ...time.runtime, randomId: () => `p-${(nextId += 1)}` };
  const proposals = new Proposals<DirectoryCommand, DirectoryOutcome>(runtime, (id) => submitted.push(id));
  const configuration = new ConfigurationSize();
  const limits = replicaLimits(null);
  const ports = {
    state: emptyDirectoryState,
    configuration,
    limits,
    confirmLeadership: async () => await Promise.resolve(true),
  };
  return { time, submitted, proposals, changes: new OperatorChanges(time.runtime, proposals, ports) };
}

test('a change that is resent while in flight is proposed once, and each call gets its outcome', async (t) => {
  const { submitted, proposals, changes } = setUp();
  const calls = [changes.propose(CHANGE), changes.propose(CHANGE)];
  t.is(submitted.length, 1);
  proposals.applied('p-1', { kind: 'done' });
  for (const outcome of await Promise.all(calls)) t.deepEqual(outcome.unwrap(), { kind: 'done' });
  void changes.propose(CHANGE);
  t.is(submitted.length, 2);
});

test('a call is answered in time while its change is in flight, and a later call still joins the change', async (t) => {
  const { time, submitted, proposals, changes } = setUp();
  const first = changes.propose(CHANGE);
  time.pass(ANSWER_MS);
  t.true((await first).err);
  const second = changes.propose(CHANGE);
  t.is(submitted.length, 1);
  proposals.applied('p-1', { kind: 'done' });
  t.true((await second).ok);
});

test('a change whose leader lost leadership is proposed again', async (t) => {
  const { submitted, proposals, changes } = setUp();
  const first = changes.propose(CHANGE);
  proposals.abandonAll();
  t.true((await first).err);
  void changes.propose(CHANGE);
  t.is(submitted.length, 2);
});

test('changes without a digest are never merged', (t) => {
  const { submitted, changes } = setUp();
  const begin: DirectoryCommand = { kind: 'set-evacuation', zone: 'z', evacuated: true };
  void changes.propose(begin);
  void changes.propose(begin);
  t.is(submitted.length, 2);
});
