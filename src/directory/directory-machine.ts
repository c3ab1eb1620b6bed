/**
 * Applies committed commands to the directory's state. Deterministic: the same commands in the same order produce
 * the same state on every replica. A command that no longer applies to the state has no effect.
 */
import { applyCrashCommand, revokePermitsHeldBy, type CrashCommand } from '../quarantine/crash-commands.js';
import type { CrashRecord } from '../quarantine/crash-records.js';
import { checkConfiguration, type ConfigurationCommand } from './configuration-check.js';
import type {
  AssignRangesCommand,
  BeginRangeMovesCommand,
  CompleteRangeMoveCommand,
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
  isFromHolder,
  itemKey,
  serviceDefinition,
  type AcceptedRevision,
  type BackendInstance,
  type ConfigurationItem,
  type DirectoryState,
  type KeyRange,
} from './directory-state.js';
import { changeSpan, changedRanges, mergeAdjacentRanges, unownedRanges } from './key-ranges.js';

/** Maximum number of accepted changes retained, so that a resend gets the same answer. */
const MAX_ACCEPTED_REVISIONS = 1_024;

/** Outcome of an applied command and the changes to publish. */
export interface AppliedCommand {
  readonly outcome: DirectoryOutcome;
  readonly changes: readonly DirectoryChange[];
}

const DONE: DirectoryOutcome = { kind: 'done' };

/** Applies a command committed at log index `index`. */
export function applyDirectoryCommand(
  state: DirectoryState,
  command: DirectoryCommand,
  index: number,
): AppliedCommand {
  switch (command.kind) {
    case 'configure-items':
    case 'configure-revision':
      return configure(state, command, index);
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

// ---- crash records: requests during which back ends ended

function changeCrashRecords(state: DirectoryState, command: CrashCommand, index: number): AppliedCommand {
  const { outcome, changed, removed } = applyCrashCommand(state.crashRecords, command, index);
  return { outcome, changes: crashChanges(changed, removed) };
}

function crashChanges(changed: readonly CrashRecord[], removed: readonly string[]): DirectoryChange[] {
  return changed.length + removed.length === 0 ? [] : [{ kind: 'crash-records', changed, removed }];
}

/** Revokes the run permits of incarnations that have ended. */
function revokePermits(state: DirectoryState, instanceIds: readonly string[]): DirectoryChange[] {
  return crashChanges(revokePermitsHeldBy(state.crashRecords, new Set(instanceIds)), []);
}

// ---- configuration

function configure(state: DirectoryState, command: ConfigurationCommand, index: number): AppliedCommand {
  const check = checkConfiguration(state, command);
  if (check.kind === 'resend') return unchanged(DONE);
  if (check.kind === 'refused') return unchanged(check.outcome);
  if (command.kind === 'configure-revision') state.revision = command.version;
  state.configured = true;
  if (check.record !== null) recordAccepted(state, check.record);
  return putItems(state, check.items, index);
}

function recordAccepted(state: DirectoryState, change: AcceptedRevision): void {
  state.accepted = [...state.accepted, change].slice(-MAX_ACCEPTED_REVISIONS);
}

function putItems(state: DirectoryState, items: readonly ConfigurationItem[], index: number): AppliedCommand {
  const servicesToFence = items.filter((item) => changesGrantMode(state, item)).map(({ name }) => name);
  for (const item of items) state.items.set(itemKey(item.kind, item.name), item);
  const changes: DirectoryChange[] = items.length === 0 ? [] : [{ kind: 'items', items }];
  changes.push(...addKeyedServices(state, items));
  for (const service of servicesToFence) changes.push(...raiseFences(state, service, index));
  return { outcome: DONE, changes };
}

function changesGrantMode(state: DirectoryState, item: ConfigurationItem): boolean {
  if (item.kind !== 'service' || item.definition === null) return false;
  const present = serviceDefinition(state.items, item.name);
  return present !== null && present.grantMode !== item.definition.grantMode;
}

/**
 * Raises the fences of all owned ranges after a change of grant mode. Grants that were sent in the previous mode may
 * still be accepted; this puts them under an older fence than every grant from now on.
 */
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

// ---- back ends

function register(
  state: DirectoryState,
  { instance, replaces, replacesHolder }: RegisterCommand,
  index: number,
): AppliedCommand {
  const others = otherInstancesAtDaemon(state, instance);
  // A registration that was delayed in the network must not end an incarnation that started after it was sent.
  if (replaces !== undefined && others.some(({ id }) => id !== replaces)) {
    return unchanged({ kind: 'invalid', detail: 'another life is registered at its daemon' });
  }
  const known = state.instances.get(instance.id);
  if (known !== undefined && !mayTakeOver(known, instance.holder, replacesHolder)) {
    return unchanged({ kind: 'invalid', detail: 'another process of its daemon holds the registration' });
  }
  const session = known?.session ?? index;
  const condition = known?.condition === 'draining' ? 'draining' : instance.condition;
  const registered = { ...instance, condition, session };
  const ended = endInstances(state, others, index);
  state.instances.set(instance.id, registered);
  return {
    outcome: { kind: 'registered', session },
    changes: [...ended, { kind: 'instance', instance: registered }],
  };
}

/**
 * Whether a process may take a registration over: it holds it already, or names the process that does. A registration that
 * was delayed in the network names an earlier one and does not take the registration back from the successor.
 */
function mayTakeOver(
  known: BackendInstance,
  holder: string | undefined,
  replacesHolder: string | null | undefined,
): boolean {
  return isFromHolder(known, holder) || holder === undefined || known.holder === replacesHolder;
}

/** Other incarnations at the same daemon. A daemon serves one back end, so a new incarnation means they have ended. */
function otherInstancesAtDaemon(
  state: DirectoryState,
  { id, daemonAddress }: RegisterCommand['instance'],
): BackendInstance[] {
  return [...state.instances.values()].filter(
    (known) => known.daemonAddress === daemonAddress && known.id !== id,
  );
}

function endInstances(
  state: DirectoryState,
  instances: readonly BackendInstance[],
  index: number,
): DirectoryChange[] {
  const changes: DirectoryChange[] = [];
  for (const earlier of instances) {
    state.instances.delete(earlier.id);
    changes.push({ kind: 'instance-gone', id: earlier.id });
    changes.push(...removeInstanceFromRanges(state, earlier.service, earlier.id, index));
    changes.push(...revokePermits(state, [earlier.id]));
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
  for (const { id, session, holder } of command.sessions) {
    const known = state.instances.get(id);
    if (known?.session !== session) continue;
    if (holder !== undefined && !isFromHolder(known, holder)) continue;
    state.instances.delete(id);
    changes.push({ kind: 'instance-gone', id }, ...removeInstanceFromRanges(state, known.service, id, index));
    changes.push(...revokePermits(state, [id]));
  }
  return { outcome: DONE, changes };
}

/**
 * Makes the ranges of a removed back end unowned and cancels moves to it. A cancelled move also gets a new fence: the
 * owner may already have released the keys, and its report, which names the old fence, would otherwise complete a later
 * move of the same keys.
 */
function removeInstanceFromRanges(
  state: DirectoryState,
  service: string,
  id: string,
  index: number,
): DirectoryChange[] {
  const ranges = state.ranges.get(service);
  const isAffected = ranges?.some(({ owner, movingTo }) => owner === id || movingTo === id) ?? false;
  if (ranges === undefined || !isAffected) return [];
  const updated = ranges.map((range): KeyRange => {
    if (range.owner === id) return { ...range, owner: null, session: 0, movingTo: null, handover: '' };
    return range.movingTo === id ? { ...range, movingTo: null, fence: index } : range;
  });
  return [putRanges(state, service, updated)];
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

/** Completes a move for the released span, which may be only part of the moving range: owners may release in pieces. */
function completeMove(
  state: DirectoryState,
  command: CompleteRangeMoveCommand,
  index: number,
): AppliedCommand {
  const ranges = state.ranges.get(command.service);
  if (ranges === undefined) return unchanged(DONE);
  const span: KeySpan = command;
  const changed = changeSpan(ranges, span, (range) => {
    if (!isOwnersCommand(state, range, command) || range.movingTo === null) return range;
    return rangeAfterRelease(state, range, command.handover, index);
  });
  return { outcome: DONE, changes: [putRanges(state, command.service, changed)] };
}

function raiseFence(state: DirectoryState, command: RaiseFenceCommand, index: number): AppliedCommand {
  const ranges = state.ranges.get(command.service);
  if (ranges === undefined) return unchanged(DONE);
  const changed = changeSpan(ranges, command, (range) => {
    return isOwnersCommand(state, range, command) ? { ...range, fence: index } : range;
  });
  return { outcome: DONE, changes: [putRanges(state, command.service, changed)] };
}

/**
 * Whether a command about a range names its owner and fence, and comes from the process that holds the owner's registration.
 * Owner and fence alone outlive that process: its successor grants the range again under the same fence.
 */
function isOwnersCommand(
  state: DirectoryState,
  range: KeyRange,
  { owner, fence, holder }: CompleteRangeMoveCommand | RaiseFenceCommand,
): boolean {
  return range.owner === owner && range.fence === fence && isFromHolder(state.instances.get(owner), holder);
}

function rangeAfterRelease(
  state: DirectoryState,
  range: KeyRange,
  handover: string,
  index: number,
): KeyRange {
  const target = range.movingTo === null ? undefined : state.instances.get(range.movingTo);
  if (target === undefined) return { ...range, owner: null, session: 0, movingTo: null, handover };
  return { ...range, owner: target.id, session: target.session, fence: index, movingTo: null, handover };
}

function putRanges(state: DirectoryState, service: string, ranges: readonly KeyRange[]): DirectoryChange {
  const before = state.ranges.get(service) ?? [];
  const merged = mergeAdjacentRanges(ranges);
  state.ranges.set(service, merged);
  return { kind: 'ranges', service, ranges: changedRanges(before, merged) };
}

function unchanged(outcome: DirectoryOutcome): AppliedCommand {
  return { outcome, changes: [] };
}
