/**
 * Guards against a change of the whole configuration that has another effect when it is proposed without the items that stay as they
 * are: changes of single items, which have versions of their own, must find the same versions behind it.
 */
import test from 'ava';
import { checkConfiguration, type ConfigurationCommand } from '../../src/directory/configuration-check.js';
import { applyDirectoryCommand } from '../../src/directory/directory-machine.js';
import {
  emptyDirectoryState,
  itemKey,
  type ConfigurationItem,
  type DirectoryState,
} from '../../src/directory/directory-state.js';
import { withoutUnchangedItems } from '../../src/directory/unchanged-items.js';

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

/** Applies changes as they were sent, or each as a leader without changes of single items in flight proposes it. */
function play(changes: readonly ConfigurationCommand[], isReduced: boolean): DirectoryState {
  const state = emptyDirectoryState();
  for (const [at, change] of changes.entries()) {
    const check = checkConfiguration(state, change);
    const reduce = isReduced && check.kind === 'accepted';
    const proposed = reduce ? withoutUnchangedItems(state, change, check.items) : change;
    applyDirectoryCommand(state, proposed, at + 1);
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
  test(title, (t) => {
    const key = itemKey('service', 's');
    const [sent, reduced] = [false, true].map(
      (isReduced) => play(changes, isReduced).items.get(key)?.definition,
    );
    t.deepEqual(reduced, sent);
  });
}
