/**
 * Applies committed commands to the directory's state. Deterministic: the same commands in the same order give
 * the same state on every replica. A command that no longer fits the state does nothing.
 */
import { applyCrashCommand, withdrawPermits, type CrashCommand } from '../quarantine/crash-commands.js';
import type { CrashRecord } from '../quarantine/crash-records.js';
import type {
  AssignRangesCommand,
  BeginRangeMovesCommand,
  CompleteRangeMoveCommand,
  ConfigureItemsCommand,
  ConfigureRevisionCommand,
  DirectoryChange,
  DirectoryCommand,
  DirectoryOutcome,
  KeySpan,
  RaiseFenceCommand,
  RegisterCommand,
  SetConditionCommand,
  SetEvacuationCommand,
  UnregisterCommand,
} from './directory-commands.js';
import {
  itemKey,
  serviceDefinition,
  type AcceptedRevision,
  type BackendInstance,
  type ConfigurationItem,
  type DirectoryState,
  type KeyRange,
} from './directory-state.js';
import { changeSpan, changedRanges, joinNeighbours, unownedRanges } from './key-ranges.js';

/** Accepted revisions that are remembered, so that a resend gets the same answer. */
const REMEMBERED_REVISIONS = 1_024;

/** What applying a command did. */
export interface AppliedCommand {
  readonly outcome: DirectoryOutcome;
  readonly changes: readonly DirectoryChange[];
}

const DONE: DirectoryOutcome = { kind: 'done' };

/** Applies one command that was committed at `index`. */
export function applyDirectoryCommand(
  state: DirectoryState,
  command: DirectoryCommand,
  index: number,
): AppliedCommand {
  switch (command.kind) {
    case 'configure-items':
      return configureItems(state, command, index);
    case 'configure-revision':
      return configureRevision(state, command, index);
    case 'register':
      return register(state, command, index);
    case 'set-condition':
      return setCondition(state, command);
    case 'unregister':
      return unregister(state, command, index);
    case 'assign-ranges':
      return assignRanges(state, command, index);
    case 'begin-range-moves':
      return beginMoves(state, command);
    case 'complete-range-move':
      return completeMove(state, command, index);
    case 'raise-fence':
      return raiseFence(state, command, index);
    case 'set-evacuation':
      return setEvacuation(state, command);
    default:
      return changeCrashRecords(state, command, index);
  }
}

// ---- requests under which back ends ended

function changeCrashRecords(state: DirectoryState, command: CrashCommand, index: number): AppliedCommand {
  const { outcome, changed, removed } = applyCrashCommand(state.crashRecords, command, index);
  return { outcome, changes: crashChanges(changed, removed) };
}

function crashChanges(changed: readonly CrashRecord[], removed: readonly string[]): DirectoryChange[] {
  return changed.length + removed.length === 0 ? [] : [{ kind: 'crash-records', changed, removed }];
}

/** What is gone runs nothing any more. */
function endPermits(state: DirectoryState, lives: readonly string[]): DirectoryChange[] {
  return crashChanges(withdrawPermits(state.crashRecords, new Set(lives)), []);
}

// ---- configuration

function configureItems(
  state: DirectoryState,
  command: ConfigureItemsCommand,
  index: number,
): AppliedCommand {
  const { digest } = command;
  // Later changes may have dropped what it names; it was valid when it was taken, and stays taken.
  if (state.accepted.some((known) => known.digest === digest)) return unchanged(DONE);
  const newer = command.items.filter((item) => {
    const present = state.items.get(itemKey(item.kind, item.name));
    return present === undefined || item.version > present.version;
  });
  const problem = findUnknownService(state, command.items, false);
  if (problem !== null) return unchanged({ kind: 'invalid', detail: problem });
  state.configured = true;
  if (digest !== undefined) accept(state, { version: newestVersion(command.items), digest });
  return putItems(state, newer, index);
}

function configureRevision(
  state: DirectoryState,
  command: ConfigureRevisionCommand,
  index: number,
): AppliedCommand {
  const { version, digest } = command;
  const sentAgain = state.accepted.some((known) => known.version === version && known.digest === digest);
  if (sentAgain) return unchanged(DONE);
  if (command.base !== state.revision) return unchanged({ kind: 'conflict', present: state.revision });
  if (version <= state.revision) {
    return unchanged({ kind: 'invalid', detail: `version ${version} is not above ${state.revision}` });
  }
  const problem = findUnknownService(state, command.items, command.replacesAll);
  if (problem !== null) return unchanged({ kind: 'invalid', detail: problem });
  state.revision = version;
  state.configured = true;
  accept(state, { version, digest });
  const dropped = command.replacesAll ? droppedItems(state, command) : [];
  return putItems(state, [...dropped, ...command.items], index);
}

function accept(state: DirectoryState, change: AcceptedRevision): void {
  state.accepted = [...state.accepted, change].slice(-REMEMBERED_REVISIONS);
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

function putItems(state: DirectoryState, items: readonly ConfigurationItem[], index: number): AppliedCommand {
  const granted = items.filter((item) => changesGrantMode(state, item)).map(({ name }) => name);
  for (const item of items) state.items.set(itemKey(item.kind, item.name), item);
  const changes: DirectoryChange[] = items.length === 0 ? [] : [{ kind: 'items', items }];
  changes.push(...addKeyedServices(state, items));
  for (const service of granted) changes.push(...raiseFences(state, service, index));
  return { outcome: DONE, changes };
}

function changesGrantMode(state: DirectoryState, item: ConfigurationItem): boolean {
  if (item.kind !== 'service' || item.definition === null) return false;
  const present = serviceDefinition(state.items, item.name);
  return present !== null && present.grantMode !== item.definition.grantMode;
}

/** A grant that was sent the other way, and may still be taken, is under an older fence than all that is granted from now on. */
function raiseFences(state: DirectoryState, service: string, index: number): DirectoryChange[] {
  const ranges = state.ranges.get(service);
  if (ranges === undefined) return [];
  const raised = ranges.map((range) => (range.owner === null ? range : { ...range, fence: index }));
  return [putRanges(state, service, raised)];
}

function addKeyedServices(state: DirectoryState, items: readonly ConfigurationItem[]): DirectoryChange[] {
  const changes: DirectoryChange[] = [];
  for (const item of items) {
    if (item.kind !== 'service' || item.definition?.keyed !== true || state.ranges.has(item.name)) continue;
    changes.push(putRanges(state, item.name, unownedRanges()));
  }
  return changes;
}

/** Every destination of a route must be a service that stands after the change. */
function findUnknownService(
  state: DirectoryState,
  items: readonly ConfigurationItem[],
  replacesAll: boolean,
): string | null {
  const inCall = new Map(items.map((item) => [itemKey(item.kind, item.name), item]));
  const stands = (service: string): boolean => {
    const key = itemKey('service', service);
    const item = inCall.get(key) ?? (replacesAll ? undefined : state.items.get(key));
    return item !== undefined && item.definition !== null;
  };
  for (const item of items) {
    if (item.kind !== 'route') continue;
    const unknown = item.definition?.destinations.find(({ service }) => !stands(service));
    if (unknown !== undefined) return `route ${item.name} names the unknown service ${unknown.service}`;
  }
  return null;
}

// ---- back ends

function register(
  state: DirectoryState,
  { instance, replaces }: RegisterCommand,
  index: number,
): AppliedCommand {
  const others = otherLives(state, instance);
  // A registration that was held up on its way must not end a life that has begun since.
  if (replaces !== undefined && others.some(({ id }) => id !== replaces)) {
    return unchanged({ kind: 'invalid', detail: 'another life is registered at its daemon' });
  }
  const known = state.instances.get(instance.id);
  const session = known?.session ?? index;
  const condition = known?.condition === 'draining' ? 'draining' : instance.condition;
  const registered = { ...instance, condition, session };
  const ended = endLives(state, others, index);
  state.instances.set(instance.id, registered);
  return {
    outcome: { kind: 'registered', session },
    changes: [...ended, { kind: 'instance', instance: registered }],
  };
}

/** A daemon has one back end beside it: a new life there shows that the earlier one has ended. */
function otherLives(
  state: DirectoryState,
  { id, daemonAddress }: RegisterCommand['instance'],
): BackendInstance[] {
  return [...state.instances.values()].filter(
    (known) => known.daemonAddress === daemonAddress && known.id !== id,
  );
}

function endLives(
  state: DirectoryState,
  lives: readonly BackendInstance[],
  index: number,
): DirectoryChange[] {
  const changes: DirectoryChange[] = [];
  for (const earlier of lives) {
    state.instances.delete(earlier.id);
    changes.push({ kind: 'instance-gone', id: earlier.id });
    changes.push(...withdrawRanges(state, earlier.service, earlier.id, index));
    changes.push(...endPermits(state, [earlier.id]));
  }
  return changes;
}

function setCondition(state: DirectoryState, command: SetConditionCommand): AppliedCommand {
  const known = state.instances.get(command.id);
  if (known?.session !== command.session || known.condition === command.condition) return unchanged(DONE);
  const instance = { ...known, condition: command.condition };
  state.instances.set(command.id, instance);
  return { outcome: DONE, changes: [{ kind: 'instance', instance }] };
}

function unregister(state: DirectoryState, command: UnregisterCommand, index: number): AppliedCommand {
  const changes: DirectoryChange[] = [];
  for (const { id, session } of command.sessions) {
    const known = state.instances.get(id);
    if (known?.session !== session) continue;
    state.instances.delete(id);
    changes.push({ kind: 'instance-gone', id }, ...withdrawRanges(state, known.service, id, index));
    changes.push(...endPermits(state, [id]));
  }
  return { outcome: DONE, changes };
}

/**
 * A move that is called off ends its fence as well: the owner may have released the keys already, and its word on that,
 * which names the fence, would end a later move of the same keys.
 */
function withdrawRanges(
  state: DirectoryState,
  service: string,
  id: string,
  index: number,
): DirectoryChange[] {
  const ranges = state.ranges.get(service);
  const concerned = ranges?.some(({ owner, movingTo }) => owner === id || movingTo === id) ?? false;
  if (ranges === undefined || !concerned) return [];
  const withdrawn = ranges.map((range): KeyRange => {
    if (range.owner === id) return { ...range, owner: null, session: 0, movingTo: null, handover: '' };
    return range.movingTo === id ? { ...range, movingTo: null, fence: index } : range;
  });
  return [putRanges(state, service, withdrawn)];
}

function setEvacuation(state: DirectoryState, { zone, evacuated }: SetEvacuationCommand): AppliedCommand {
  if (state.evacuatedZones.has(zone) === evacuated) return unchanged(DONE);
  if (evacuated) state.evacuatedZones.add(zone);
  else state.evacuatedZones.delete(zone);
  return { outcome: DONE, changes: [{ kind: 'evacuation', zone, evacuated }] };
}

// ---- ranges

function assignRanges(state: DirectoryState, command: AssignRangesCommand, index: number): AppliedCommand {
  let ranges = state.ranges.get(command.service);
  if (ranges === undefined) return unchanged(DONE);
  for (const { from, to, owner } of command.assignments) {
    const instance = state.instances.get(owner);
    if (instance?.service !== command.service) continue;
    ranges = changeSpan(ranges, { from, to }, (range) => {
      if (range.owner !== null) return range;
      return { ...range, owner, session: instance.session, fence: index, movingTo: null };
    });
  }
  return { outcome: DONE, changes: [putRanges(state, command.service, ranges)] };
}

function beginMoves(state: DirectoryState, command: BeginRangeMovesCommand): AppliedCommand {
  let ranges = state.ranges.get(command.service);
  if (ranges === undefined) return unchanged(DONE);
  for (const { from, to, target } of command.moves) {
    const instance = state.instances.get(target);
    if (instance?.service !== command.service) continue;
    ranges = changeSpan(ranges, { from, to }, (range) => {
      const movable = range.owner !== null && range.owner !== target && range.movingTo === null;
      return movable ? { ...range, movingTo: target } : range;
    });
  }
  return { outcome: DONE, changes: [putRanges(state, command.service, ranges)] };
}

/** The released span may be a part of the moving range, when the owner let go of it piece by piece. */
function completeMove(
  state: DirectoryState,
  command: CompleteRangeMoveCommand,
  index: number,
): AppliedCommand {
  const ranges = state.ranges.get(command.service);
  if (ranges === undefined) return unchanged(DONE);
  const span: KeySpan = command;
  const changed = changeSpan(ranges, span, (range) => {
    const released = range.owner === command.owner && range.fence === command.fence;
    if (!released || range.movingTo === null) return range;
    return releasedRange(state, range, command.handover, index);
  });
  return { outcome: DONE, changes: [putRanges(state, command.service, changed)] };
}

function raiseFence(state: DirectoryState, command: RaiseFenceCommand, index: number): AppliedCommand {
  const ranges = state.ranges.get(command.service);
  if (ranges === undefined) return unchanged(DONE);
  const changed = changeSpan(ranges, command, (range) => {
    const concerned = range.owner === command.owner && range.fence === command.fence;
    return concerned ? { ...range, fence: index } : range;
  });
  return { outcome: DONE, changes: [putRanges(state, command.service, changed)] };
}

function releasedRange(state: DirectoryState, range: KeyRange, handover: string, index: number): KeyRange {
  const target = range.movingTo === null ? undefined : state.instances.get(range.movingTo);
  if (target === undefined) return { ...range, owner: null, session: 0, movingTo: null, handover };
  return { ...range, owner: target.id, session: target.session, fence: index, movingTo: null, handover };
}

function putRanges(state: DirectoryState, service: string, ranges: readonly KeyRange[]): DirectoryChange {
  const before = state.ranges.get(service) ?? [];
  const joined = joinNeighbours(ranges);
  state.ranges.set(service, joined);
  return { kind: 'ranges', service, ranges: changedRanges(before, joined) };
}

function unchanged(outcome: DirectoryOutcome): AppliedCommand {
  return { outcome, changes: [] };
}
