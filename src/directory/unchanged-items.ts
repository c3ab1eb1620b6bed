/**
 * Makes a change smaller before it is proposed. An operator that changes one route sends the whole configuration, which would be
 * written to every disk and sent to every member and watcher.
 */
import { isDeepStrictEqual } from 'node:util';
import type { ConfigurationCommand } from './configuration-check.js';
import { itemKey, type ConfigurationItem, type DirectoryState } from './directory-state.js';

/**
 * Returns a change that replaces the whole configuration as one that names only the items which differ from those in `state`; any
 * other change as it is, since its operator chose the items.
 *
 * The result takes effect only where its base is the revision, and thus on the configuration in `state`. There it leads to the same
 * configuration as the change; only the unchanged items keep their versions, which matter nowhere if the configuration has one.
 *
 * @param state the configuration for which the change was found acceptable
 * @param items the items that the change puts into the configuration, dropped ones included
 */
export function withoutUnchangedItems(
  state: DirectoryState,
  command: ConfigurationCommand,
  items: readonly ConfigurationItem[],
): ConfigurationCommand {
  if (command.kind !== 'configure-revision' || !command.replacesAll || state.revision === 0) return command;
  const changed = items.filter((item) => !isPresent(state, item));
  return { ...command, replacesAll: false, items: changed };
}

/** Whether an equal item is present. Definitions are compared too: those of another program version may differ for one source. */
function isPresent(state: DirectoryState, { kind, name, source, definition }: ConfigurationItem): boolean {
  const present = state.items.get(itemKey(kind, name));
  return (
    present !== undefined && present.source === source && isDeepStrictEqual(present.definition, definition)
  );
}
