/**
 * Guards against a change of the whole configuration that has another effect when its leader proposes it in another form than it was
 * sent: changes of single items, which have versions of their own, must find the same versions behind it.
 */
import test from 'ava';
import { replicaLimits } from '../../src/consensus/replica-limits.js';
import { Proposals } from '../../src/control/proposals.js';
import type { ConfigurationCommand } from '../../src/directory/configuration-check.js';
import { ConfigurationSize } from '../../src/directory/configuration-size.js';
import type { DirectoryCommand, DirectoryOutcome } from '../../src/directory/directory-commands.js';
import { applyDirectoryCommand } from '../../src/directory/directory-machine.js';
import {
  emptyDirectoryState,
  itemKey,
  type ConfigurationItem,
  type DirectoryState,
} from '../../src/directory/directory-state.js';
import { OperatorChanges } from '../../src/directory/operator-changes.js';
import { ManualTime } from '../sidecar/manual-runtime.js';

function service(maxConnections: number, version: number): ConfigurationItem {
  const definition = { maxConnections, keyed: false, grantMode: null, coldStart: null, healthPath: null };
  return { kind: 'service', name: 's', version, source: JSON.stringify(definition), definition };
}

function replacement(base: number, version: number, item: ConfigurationItem): ConfigurationCommand {
  const digest = `put-${version}`;
  return {
    kind: 'configure-revision',
    base,
    version,
    digest,
    replacesAll: true,
    items: [{ ...item, version }],
  };
}

function patch(item: ConfigurationItem): ConfigurationCommand {
  return { kind: 'configure-items', digest: `patch-${item.version}`, items: [item] };
}

/** Applies changes as they were sent. */
function applyAsSent(changes: readonly ConfigurationCommand[]): DirectoryState {
  const state = emptyDirectoryState();
  for (const [at, change] of changes.entries()) applyDirectoryCommand(state, change, at + 1);
  return state;
}

/** Applies changes as leaders propose them; each change has a leader of its own, which knows the state only. */
async function applyAsProposed(changes: readonly ConfigurationCommand[]): Promise<DirectoryState> {
  const state = emptyDirectoryState();
  for (const [at, change] of changes.entries()) {
    const runtime = { ...new ManualTime().runtime, randomId: () => `p-${at}` };
    const log: { id: string; command: DirectoryCommand }[] = [];
    const proposals = new Proposals<DirectoryCommand, DirectoryOutcome>(runtime, (id, command) => {
      log.push({ id, command });
    });
    const configuration = new ConfigurationSize();
    configuration.reset(state.items.values());
    const leader = new OperatorChanges(runtime, proposals, {
      state: () => state,
      configuration,
      confirmLeadership: async () => await Promise.resolve(true),
      limits: replicaLimits(null),
    });
    const answer = leader.propose(change);
    for (const { id, command } of log)
      proposals.applied(id, applyDirectoryCommand(state, command, at + 1).outcome);
    await answer;
  }
  return state;
}

const PLAYS: readonly [string, readonly ConfigurationCommand[]][] = [
  [
    'an older change of one item does not replace what a later whole configuration holds',
    [replacement(0, 5, service(1, 5)), replacement(5, 10, service(1, 10)), patch(service(9, 7))],
  ],
  [
    'an acknowledged change of one item is in force behind a whole configuration of a lower version',
    [
      replacement(0, 5, service(1, 5)),
      patch(service(2, 20)),
      replacement(5, 10, service(2, 10)),
      patch(service(3, 15)),
    ],
  ],
];

for (const [title, changes] of PLAYS) {
  test(title, async (t) => {
    const key = itemKey('service', 's');
    const proposed = await applyAsProposed(changes);
    t.deepEqual(proposed.items.get(key), applyAsSent(changes).items.get(key));
  });
}
