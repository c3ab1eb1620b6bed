/**
 * Applies committed commands to the replicated state. Deterministic: the same commands in the same order
 * produce the same state on every replica. A command that no longer matches the state has no effect.
 */
import type { ConfigurationDocument, ServiceConfiguration } from '../config/configuration.js';
import { applyCrashCommand, revokePermitsHeldBy, type CrashCommand } from '../quarantine/crash-commands.js';
import { emptyShardRow, type ShardRow } from '../model/shard.js';
import type { Change, ConfigurationChange, ShardChange } from './changes.js';
import type {
  AssignCommand,
  BeginMovesCommand,
  CancelMoveCommand,
  CloseSessionsCommand,
  CommandOutcome,
  CompleteMoveCommand,
  ConfigureCommand,
  ControlCommand,
  MarkLeavingCommand,
  OpenSessionCommand,
  SetDrainCommand,
  SetEvacuationCommand,
} from './commands.js';
import { isConfiguredBackend, isConfiguredZone, updateDraining } from './draining-backends.js';
import { ServiceShards } from './service-shards.js';
import {
  sessionIncarnation,
  sessionOfBackend,
  sessionsByBackend,
  type ControlState,
  type Session,
} from './control-state.js';

/** Maximum number of submissions whose answers are stored for resends. */
const MAX_STORED_SUBMISSIONS = 1_000;

/** Outcome of a command and its changes to the state. */
export interface CommandResult {
  readonly outcome: CommandOutcome;
  readonly changes: readonly Change[];
}

const DONE: CommandOutcome = { kind: 'done' };

/** Applies one command; `index` is the index of its log entry. */
export function applyCommand(state: ControlState, command: ControlCommand, index: number): CommandResult {
  switch (command.kind) {
    case 'configure':
      return applyConfigure(state, command);
    case 'open-session':
      return applyOpenSession(state, command, index);
    case 'close-sessions':
      return { outcome: DONE, changes: applyCloseSessions(state, command) };
    case 'assign':
      return { outcome: DONE, changes: applyAssign(state, command) };
    case 'begin-moves':
      return { outcome: DONE, changes: applyBeginMoves(state, command, index) };
    case 'complete-move':
      return { outcome: DONE, changes: applyCompleteMove(state, command) };
    case 'cancel-move':
      return { outcome: DONE, changes: applyCancelMove(state, command) };
    case 'mark-leaving':
      return { outcome: DONE, changes: applyMarkLeaving(state, command) };
    case 'set-drain':
      return applySetDrain(state, command);
    case 'set-evacuation':
      return applySetEvacuation(state, command);
    default:
      return applyToCrashRecords(state, command, index);
  }
}

function applyToCrashRecords(state: ControlState, command: CrashCommand, index: number): CommandResult {
  const { outcome, changed, removed } = applyCrashCommand(state.crashRecords, command, index);
  const published: Change[] =
    changed.length + removed.length === 0 ? [] : [{ kind: 'crash-records', changed, removed }];
  const isDone = outcome.kind === 'done';
  return { outcome: isDone ? DONE : { kind: 'refused', detail: outcome.detail }, changes: published };
}

// ---- configuration

function applyConfigure(state: ControlState, command: ConfigureCommand): CommandResult {
  const { submissionId, baseRevision, document } = command;
  const previous = state.submissions.find((record) => record.submissionId === submissionId);
  if (previous !== undefined) {
    return { outcome: { kind: 'configured', revision: previous.revision }, changes: [] };
  }
  const presentRevision = state.configuration.revision;
  if (baseRevision !== presentRevision) {
    return { outcome: { kind: 'conflict', presentRevision, baseRevision }, changes: [] };
  }
  const before = state.configuration.document;
  const problem = findForbiddenChange(before, document);
  if (problem !== null) return { outcome: { kind: 'refused', detail: problem }, changes: [] };
  const revision = presentRevision + 1;
  state.configuration = { revision, document };
  state.submissions.push({ submissionId, revision });
  if (state.submissions.length > MAX_STORED_SUBMISSIONS) state.submissions.shift();
  createShardTables(state, document);
  const published = configurationChange(before, document, revision);
  return { outcome: { kind: 'configured', revision }, changes: [published, ...updateDraining(state)] };
}

function configurationChange(
  before: ConfigurationDocument,
  after: ConfigurationDocument,
  revision: number,
): ConfigurationChange {
  const differing = Object.entries(after.services).filter(([name, service]) => {
    return JSON.stringify(before.services[name]) !== JSON.stringify(service);
  });
  const removed = Object.keys(before.services).filter((name) => after.services[name] === undefined);
  return { kind: 'configuration', revision, services: Object.fromEntries(differing), removed };
}

/** Returns a description of the first change that would violate ownership, or null. */
export function findForbiddenChange(
  before: ConfigurationDocument,
  after: ConfigurationDocument,
): string | null {
  for (const [name, service] of Object.entries(before.services)) {
    const next = after.services[name];
    if (next === undefined) continue;
    const problem = findForbiddenServiceChange(name, service, next);
    if (problem !== null) return problem;
  }
  return null;
}

function findForbiddenServiceChange(
  name: string,
  before: ServiceConfiguration,
  after: ServiceConfiguration,
): string | null {
  if (before.shards !== after.shards) {
    return `services.${name}.shards: is ${before.shards} and cannot be changed to ${after.shards}`;
  }
  if (before.division !== after.division) {
    return `services.${name}.division: is ${before.division} and cannot be changed to ${after.division}`;
  }
  return null;
}

/** Tables of new services are not published: daemons treat a row that they have not received as unowned. */
function createShardTables(state: ControlState, document: ConfigurationDocument): void {
  for (const [name, service] of Object.entries(document.services)) {
    if (state.shards.has(name)) continue;
    const rows = Array.from({ length: service.shards }, (_, shard) => emptyShardRow(shard));
    state.shards.set(name, new ServiceShards(rows));
  }
}

// ---- sessions

function applyOpenSession(state: ControlState, command: OpenSessionCommand, index: number): CommandResult {
  const { service, backend, openId, agentAddress, wallMs } = command;
  const isConfigured = state.configuration.document.services[service]?.backends[backend] !== undefined;
  if (!isConfigured) {
    return {
      outcome: { kind: 'refused', detail: `no back end ${backend} in service ${service}` },
      changes: [],
    };
  }
  const changes: Change[] = [];
  const previous = sessionOfBackend(state, backend);
  if (previous?.openId === openId) {
    return { outcome: { kind: 'session-opened', session: previous.id }, changes: [] };
  }
  if (previous !== undefined) changes.push(...closeSessions(state, [previous.id], wallMs));
  const session: Session = { id: index, backend, service, openId, agentAddress };
  state.sessions.set(index, session);
  changes.push({ kind: 'session-opened', session });
  return { outcome: { kind: 'session-opened', session: index }, changes };
}

function applyCloseSessions(state: ControlState, command: CloseSessionsCommand): Change[] {
  return closeSessions(state, command.sessions, command.wallMs);
}

function closeSessions(state: ControlState, ids: readonly number[], wallMs: number): Change[] {
  const closed = ids.map((id) => state.sessions.get(id)).filter((session) => session !== undefined);
  if (closed.length === 0) return [];
  const changes: Change[] = closed.map(({ id, service }) => ({
    kind: 'session-closed',
    session: id,
    service,
  }));
  for (const session of closed) state.sessions.delete(session.id);
  changes.push(...withdrawPermitsOf(state, closed));
  const services = new Set(closed.map((session) => session.service));
  for (const service of services) {
    const ended = closed.filter((session) => session.service === service);
    changes.push(...releaseShards(state, service, ended, wallMs));
  }
  if (closed.some(({ leaving }) => leaving === true)) changes.push(...updateDraining(state));
  return changes;
}

function applyMarkLeaving(state: ControlState, { session: id }: MarkLeavingCommand): Change[] {
  const session = state.sessions.get(id);
  if (session === undefined || session.leaving === true) return [];
  state.sessions.set(id, { ...session, leaving: true });
  return updateDraining(state);
}

/** Withdraws the run permits of ended back ends, since they no longer run any request. */
function withdrawPermitsOf(state: ControlState, closed: readonly Session[]): Change[] {
  const incarnations = closed.map(({ backend, id }) => sessionIncarnation(backend, id));
  const changed = revokePermitsHeldBy(state.crashRecords, new Set(incarnations));
  return changed.length === 0 ? [] : [{ kind: 'crash-records', changed, removed: [] }];
}

/** Removes the ownership of ended sessions and cancels the moves whose target they were. */
function releaseShards(
  state: ControlState,
  service: string,
  ended: readonly Session[],
  wallMs: number,
): Change[] {
  const endedIds = new Set(ended.map((session) => session.id));
  const endedBackends = new Set(ended.map((session) => session.backend));
  const serviceShards = state.shards.get(service);
  const affectedShards = new Set(
    [...endedBackends].flatMap((backend) => serviceShards?.shardsInvolving(backend) ?? []),
  );
  return updateRows(state, service, affectedShards, (row) => {
    if (row.owner !== null && endedIds.has(row.session)) {
      return { ...row, owner: null, session: 0, movingTo: null, moveId: 0, freshAfterMs: wallMs };
    }
    if (row.movingTo !== null && endedBackends.has(row.movingTo))
      return { ...row, movingTo: null, moveId: 0 };
    return row;
  });
}

// ---- ownership

function applyAssign(state: ControlState, command: AssignCommand): Change[] {
  const sessions = sessionsByBackend(state);
  const targets = new Map<number, Session>();
  for (const { backend, shards } of command.assignments) {
    const session = sessions.get(backend);
    if (session === undefined) continue;
    for (const shard of shards) targets.set(shard, session);
  }
  return updateRows(state, command.service, targets.keys(), (row) => {
    const session = targets.get(row.shard);
    if (session === undefined || row.owner !== null) return row;
    return withOwner(session, row, row.freshAfterMs);
  });
}

function applyBeginMoves(state: ControlState, command: BeginMovesCommand, index: number): Change[] {
  const targets = new Map(command.moves.map(({ shard, backend }) => [shard, backend]));
  const sessions = sessionsByBackend(state);
  return updateRows(state, command.service, targets.keys(), (row) => {
    const backend = targets.get(row.shard);
    const movable = row.owner !== null && row.owner !== backend && row.movingTo === null;
    if (backend === undefined || !movable || !sessions.has(backend)) return row;
    return { ...row, movingTo: backend, moveId: index };
  });
}

function applyCompleteMove(state: ControlState, command: CompleteMoveCommand): Change[] {
  const { shard, moveId, windowHandedOver, wallMs } = command;
  return updateRows(state, command.service, [shard], (row) => {
    if (row.moveId !== moveId || row.movingTo === null) return row;
    const freshAfterMs = windowHandedOver ? row.freshAfterMs : wallMs;
    const session = sessionOfBackend(state, row.movingTo);
    return session === undefined ? row : withOwner(session, row, freshAfterMs);
  });
}

function applyCancelMove(state: ControlState, command: CancelMoveCommand): Change[] {
  return updateRows(state, command.service, [command.shard], (row) => {
    return row.moveId === command.moveId && row.movingTo !== null
      ? { ...row, movingTo: null, moveId: 0 }
      : row;
  });
}

function applySetDrain(state: ControlState, command: SetDrainCommand): CommandResult {
  const { backend, draining } = command;
  if (!isConfiguredBackend(state, backend)) {
    return { outcome: { kind: 'refused', detail: `no back end ${backend}` }, changes: [] };
  }
  if (draining) state.drained.add(backend);
  else state.drained.delete(backend);
  return { outcome: DONE, changes: updateDraining(state) };
}

function applySetEvacuation(state: ControlState, { zone, evacuated }: SetEvacuationCommand): CommandResult {
  const isKnownZone = isConfiguredZone(state, zone) || state.evacuatedZones.has(zone);
  if (!isKnownZone)
    return { outcome: { kind: 'refused', detail: `no back end in zone ${zone}` }, changes: [] };
  if (evacuated) state.evacuatedZones.add(zone);
  else state.evacuatedZones.delete(zone);
  return { outcome: DONE, changes: updateDraining(state) };
}

/** Returns the row with a new owner and the next epoch. */
function withOwner(session: Session, row: ShardRow, freshAfterMs: number): ShardRow {
  const { id, backend } = session;
  const epoch = row.epoch + 1;
  return { ...row, epoch, owner: backend, session: id, movingTo: null, moveId: 0, freshAfterMs };
}

/** Updates the rows of some shards; `change` returns the same row to leave it unchanged. */
function updateRows(
  state: ControlState,
  service: string,
  shards: Iterable<number>,
  change: (row: ShardRow) => ShardRow,
): Change[] {
  const serviceShards = state.shards.get(service);
  if (serviceShards === undefined) return [];
  const changes: ShardChange[] = [];
  for (const shard of shards) {
    const row = serviceShards.get(shard);
    if (row === undefined) continue;
    const next = change(row);
    if (next === row) continue;
    serviceShards.set(next);
    changes.push({ row: next, formerOwner: row.owner });
  }
  return changes.length === 0 ? [] : [{ kind: 'shards', service, shards: changes }];
}
