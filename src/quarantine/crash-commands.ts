/**
 * Replicated commands that change crash records. Applying them is deterministic, since every replica applies them. Shared
 * by the directory and control.
 */
import {
  emptyRecord,
  crashCount,
  RUN_LIMIT_CRASH_THRESHOLD,
  isExhausted,
  isWatched,
  MAX_COUNTED_RUNS,
  stageAt,
  withCompletion,
  withCrash,
  withFailure,
  type CrashRecord,
  type CrashRecords,
} from './crash-records.js';

/** Maximum numbers of records that are not sent to daemons and of those that are; the oldest are evicted first. */
const MAX_UNWATCHED_RECORDS = 2_048;
const MAX_WATCHED_RECORDS = 512;

/** Number of counted runs reserved for operators; the others are also used by timed reopening and new versions. */
const RUNS_RESERVED_FOR_OPERATORS = 1;

/** A request that was being executed when its back end crashed. */
export interface CrashedRun {
  readonly fingerprint: string;
  /** Whether the back end executed no other request. */
  readonly alone: boolean;
}

/** Records the crash of a back end. */
export interface RecordEndCommand {
  readonly kind: 'record-end';
  /** Incarnation that crashed. */
  readonly life: string;
  readonly service: string;
  readonly version: string;
  readonly runs: readonly CrashedRun[];
}

/** Records that a back end answered a watched request and did not crash. */
export interface RecordCompletionCommand {
  readonly kind: 'record-completion';
  readonly fingerprint: string;
  readonly version: string;
  /** Whether the answer was a success. A failure is weaker evidence that the request is harmless. */
  readonly isGood: boolean;
}

/** Requests a permit for an incarnation of a back end to execute a suspect request. */
export interface PermitRunCommand {
  readonly kind: 'permit-run';
  readonly fingerprint: string;
  readonly life: string;
  readonly version: string;
}

/** Releases a permit whose run gave no evidence or never began. */
export interface ReleasePermitCommand {
  readonly kind: 'release-permit';
  readonly fingerprint: string;
  readonly life: string;
  readonly begun: boolean;
}

/** Lifts the quarantine of a request, by order of an operator or after a period of time. */
export interface ReopenRequestCommand {
  readonly kind: 'reopen-request';
  readonly fingerprint: string;
  readonly by: 'operator' | 'time';
}

/** Deletes the record of a request, by order of an operator. */
export interface ForgetRequestCommand {
  readonly kind: 'forget-request';
  readonly fingerprint: string;
}

/** Any command on crash records. */
export type CrashCommand =
  | RecordEndCommand
  | RecordCompletionCommand
  | PermitRunCommand
  | ReleasePermitCommand
  | ReopenRequestCommand
  | ForgetRequestCommand;

/** Result of applying a command. */
export interface CrashCommandResult {
  readonly outcome: { readonly kind: 'done' } | { readonly kind: 'invalid'; readonly detail: string };
  /** Changed records that are to be sent to daemons. */
  readonly changed: readonly CrashRecord[];
  /** Fingerprints of records that daemons are to delete. */
  readonly removed: readonly string[];
}

const NO_CHANGE: CrashCommandResult = { outcome: { kind: 'done' }, changed: [], removed: [] };

/** Applies a command that was committed at log index `index`. */
export function applyCrashCommand(
  records: CrashRecords,
  command: CrashCommand,
  index: number,
): CrashCommandResult {
  switch (command.kind) {
    case 'record-end':
      return recordCrash(records, command, index);
    case 'record-completion':
      return recordCompletion(records, command);
    case 'permit-run':
      return permitRun(records, command);
    case 'release-permit':
      return releasePermit(records, command);
    case 'reopen-request':
      return reopenRequest(records, command);
    case 'forget-request':
      return forgetRequest(records, command);
  }
}

/** Revokes the permits of incarnations that have ended; returns the changed records. */
export function revokePermitsHeldBy(
  records: CrashRecords,
  endedIncarnations: ReadonlySet<string>,
): readonly CrashRecord[] {
  const changed: CrashRecord[] = [];
  for (const record of records.values()) {
    if (record.permittedAt === null || !endedIncarnations.has(record.permittedAt)) continue;
    const next = { ...record, permittedAt: null };
    records.set(record.fingerprint, next);
    changed.push(next);
  }
  return changed;
}

function recordCrash(records: CrashRecords, command: RecordEndCommand, index: number): CrashCommandResult {
  const { life, service, version, runs } = command;
  const changed: CrashRecord[] = [];
  for (const { fingerprint, alone } of runs) {
    const previous = records.get(fingerprint) ?? emptyRecord(fingerprint, service, index);
    const updated = withCrash(previous, version, life);
    if (updated === previous) continue;
    // Which request caused a crash is certain only if the back end executed no other request.
    const isProof = alone && crashCount(updated) >= RUN_LIMIT_CRASH_THRESHOLD;
    const permittedAt = updated.permittedAt === life ? null : updated.permittedAt;
    const next = { ...updated, service, index, permittedAt, quarantined: updated.quarantined || isProof };
    records.set(fingerprint, next);
    if (isWatched(next)) changed.push(next);
  }
  const removed = evictOldest(records);
  return { outcome: { kind: 'done' }, changed, removed };
}

function recordCompletion(records: CrashRecords, command: RecordCompletionCommand): CrashCommandResult {
  const known = records.get(command.fingerprint);
  if (known === undefined) return NO_CHANGE;
  const next = command.isGood ? withCompletion(known, command.version) : withFailure(known, command.version);
  if (next === null) {
    records.delete(command.fingerprint);
    return { ...NO_CHANGE, removed: [command.fingerprint] };
  }
  records.set(command.fingerprint, next);
  return isWatched(next)
    ? { ...NO_CHANGE, changed: [next] }
    : { ...NO_CHANGE, removed: [command.fingerprint] };
}

function permitRun(records: CrashRecords, command: PermitRunCommand): CrashCommandResult {
  const { fingerprint, life, version } = command;
  const known = records.get(fingerprint);
  if (known === undefined || stageAt(known, version) === 'free') return NO_CHANGE;
  if (known.permittedAt === life) return NO_CHANGE;
  if (known.permittedAt !== null) return invalid(`it runs at ${known.permittedAt}`);
  if (stageAt(known, version) === 'quarantined') return invalid('it is quarantined');
  const isCounted = crashCount(known) >= RUN_LIMIT_CRASH_THRESHOLD;
  const next = { ...known, permittedAt: life, countedRuns: known.countedRuns + (isCounted ? 1 : 0) };
  records.set(fingerprint, next);
  return { ...NO_CHANGE, changed: [next] };
}

function releasePermit(records: CrashRecords, command: ReleasePermitCommand): CrashCommandResult {
  const { fingerprint, life, begun } = command;
  const known = records.get(fingerprint);
  if (known?.permittedAt !== life) return NO_CHANGE;
  const unused = !begun && crashCount(known) >= RUN_LIMIT_CRASH_THRESHOLD;
  const next = { ...known, permittedAt: null, countedRuns: known.countedRuns - (unused ? 1 : 0) };
  records.set(fingerprint, next);
  return { ...NO_CHANGE, changed: [next] };
}

function reopenRequest(records: CrashRecords, { fingerprint, by }: ReopenRequestCommand): CrashCommandResult {
  const known = records.get(fingerprint);
  const reservedRuns = by === 'operator' ? 0 : RUNS_RESERVED_FOR_OPERATORS;
  if (known !== undefined && (isExhausted(known) || known.countedRuns >= MAX_COUNTED_RUNS - reservedRuns)) {
    return invalid('all runs that may follow its third end have been used');
  }
  if (known?.quarantined !== true) return invalid('no such request is quarantined');
  const next = { ...known, quarantined: false };
  records.set(fingerprint, next);
  return { ...NO_CHANGE, changed: [next] };
}

function forgetRequest(records: CrashRecords, { fingerprint }: ForgetRequestCommand): CrashCommandResult {
  if (!records.delete(fingerprint)) return invalid('nothing is known of such a request');
  return { ...NO_CHANGE, removed: [fingerprint] };
}

function invalid(detail: string): CrashCommandResult {
  return { ...NO_CHANGE, outcome: { kind: 'invalid', detail } };
}

/** Evicts the oldest records beyond the limits; returns the fingerprints of those that daemons are to delete. */
function evictOldest(records: CrashRecords): string[] {
  const removed: string[] = [];
  for (const [watched, maxRecords] of [
    [false, MAX_UNWATCHED_RECORDS],
    [true, MAX_WATCHED_RECORDS],
  ] as const) {
    const candidates = [...records.values()].filter((record) => isWatched(record) === watched);
    if (candidates.length <= maxRecords) continue;
    // Quarantined requests are proven to cause crashes, so they are evicted last.
    candidates.sort(
      (left, right) => Number(left.quarantined) - Number(right.quarantined) || left.index - right.index,
    );
    for (const { fingerprint } of candidates.slice(0, candidates.length - maxRecords)) {
      records.delete(fingerprint);
      if (watched) removed.push(fingerprint);
    }
  }
  return removed;
}
