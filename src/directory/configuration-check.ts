/**
 * Decides what a change of the configuration does to a state, without changing it. The state machine applies a change by this
 * decision, and the leader refuses by it, before it proposes, what could not be accepted.
 */
import type {
  ConfigureItemsCommand,
  ConfigureRevisionCommand,
  DirectoryCommand,
  DirectoryOutcome,
} from './directory-commands.js';
import {
  itemKey,
  type AcceptedRevision,
  type ConfigurationItem,
  type DirectoryState,
} from './directory-state.js';

/** A change of the configuration. */
export type ConfigurationCommand = ConfigureItemsCommand | ConfigureRevisionCommand;

/** What a change does to a state. */
export type ConfigurationCheck =
  /** It was accepted before: it has no effect and the same answer. */
  | { readonly kind: 'resend' }
  | RefusedChange
  | {
      readonly kind: 'accepted';
      readonly items: readonly ConfigurationItem[];
      readonly record: AcceptedRevision | null;
    };

/** A change that a state does not allow. */
export interface RefusedChange {
  readonly kind: 'refused';
  readonly outcome: Extract<DirectoryOutcome, { kind: 'conflict' | 'invalid' }>;
  /**
   * Whether every later state refuses the change too: its base is below the revision, which never falls. Any other refusal holds
   * only while the configuration stays as it is.
   */
  readonly isFinal: boolean;
}

/** Whether a command changes the configuration. */
export function isConfigurationCommand(command: DirectoryCommand): command is ConfigurationCommand {
  return command.kind === 'configure-items' || command.kind === 'configure-revision';
}

/** Decides what a change does to a state. */
export function checkConfiguration(state: DirectoryState, command: ConfigurationCommand): ConfigurationCheck {
  return command.kind === 'configure-items' ? checkItems(state, command) : checkRevision(state, command);
}

function checkItems(state: DirectoryState, { digest, items }: ConfigureItemsCommand): ConfigurationCheck {
  // A resend is not validated again: it was valid when accepted, though later changes may have dropped its services.
  if (state.accepted.some((known) => known.digest === digest)) return { kind: 'resend' };
  const problem = findUnknownService(state, items, false);
  if (problem !== null) return invalid(problem);
  const newer = items.filter((item) => {
    const present = state.items.get(itemKey(item.kind, item.name));
    return present === undefined || item.version > present.version;
  });
  const record = digest === undefined ? null : { version: newestVersion(items), digest };
  return { kind: 'accepted', items: newer, record };
}

function checkRevision(state: DirectoryState, command: ConfigureRevisionCommand): ConfigurationCheck {
  const { base, version, digest, items, replacesAll } = command;
  const { revision } = state;
  const isResend = state.accepted.some((known) => known.version === version && known.digest === digest);
  if (isResend) return { kind: 'resend' };
  if (base !== revision) {
    return { kind: 'refused', outcome: { kind: 'conflict', present: revision }, isFinal: base < revision };
  }
  if (version <= revision) return invalid(`version ${version} is not above ${revision}`);
  const problem = findUnknownService(state, items, replacesAll);
  if (problem !== null) return invalid(problem);
  const dropped = replacesAll ? droppedItems(state, command) : [];
  return { kind: 'accepted', items: [...dropped, ...items], record: { version, digest } };
}

function invalid(detail: string): RefusedChange {
  return { kind: 'refused', outcome: { kind: 'invalid', detail }, isFinal: false };
}

function newestVersion(items: readonly ConfigurationItem[]): number {
  return items.reduce((newest, { version }) => Math.max(newest, version), 0);
}

function droppedItems(state: DirectoryState, command: ConfigureRevisionCommand): ConfigurationItem[] {
  const named = new Set(command.items.map((item) => itemKey(item.kind, item.name)));
  return [...state.items.values()]
    .filter((item) => item.definition !== null && !named.has(itemKey(item.kind, item.name)))
    .map((item) => ({ ...item, version: command.version, definition: null, source: null }));
}

/** Describes the first route destination that is not a defined service after the change; null when there is none. */
function findUnknownService(
  state: DirectoryState,
  items: readonly ConfigurationItem[],
  replacesAll: boolean,
): string | null {
  const inCommand = new Map(items.map((item) => [itemKey(item.kind, item.name), item]));
  const isDefined = (service: string): boolean => {
    const key = itemKey('service', service);
    const item = inCommand.get(key) ?? (replacesAll ? undefined : state.items.get(key));
    return item !== undefined && item.definition !== null;
  };
  for (const item of items) {
    if (item.kind !== 'route') continue;
    const unknown = item.definition?.destinations.find(({ service }) => !isDefined(service));
    if (unknown !== undefined) return `route ${item.name} names the unknown service ${unknown.service}`;
  }
  return null;
}
