/**
 * Commands that change crash records, and what they do. Deterministic, since they are applied on every replica; used by
 * the directory and by control alike.
 */
import {
  emptyRecord,
  endsOf,
  ENDS_BEFORE_COUNT,
  isExhausted,
  isWatched,
  MOST_COUNTED_RUNS,
  stageAt,
  withCompletion,
  withEnd,
  withFailure,
  type CrashRecord,
  type CrashRecords,
} from './crash-records.js';

/** Records that daemons need not know, and records that they must; the oldest are forgotten first. */
const MOST_UNWATCHED = 2_048;
const MOST_WATCHED = 512;

/** Counted runs of which one is left to operators: time and new versions use the others. */
const RUNS_LEFT_TO_OPERATORS = 1;

/** A request that a back end ended under. */
export interface EndedRun {
  readonly fingerprint: string;
  /** Whether the back end ran nothing else. */
  readonly alone: boolean;
}

/** A back end has ended by itself. */
export interface RecordEndCommand {
  readonly kind: 'record-end';
  /** The life that ended. */
  readonly life: string;
  readonly service: string;
  readonly version: string;
  readonly runs: readonly EndedRun[];
}

/** A back end answered a run of a watched request, and goes on. */
export interface RecordCompletionCommand {
  readonly kind: 'record-completion';
  readonly fingerprint: string;
  readonly version: string;
  /** Whether the answer was a success; a failure says less. */
  readonly isGood: boolean;
}

/** A life of a back end asks to run a suspect. */
export interface PermitRunCommand {
  readonly kind: 'permit-run';
  readonly fingerprint: string;
  readonly life: string;
  readonly version: string;
}

/** The permitted run has ended without telling anything, or was never begun. */
export interface ReleasePermitCommand {
  readonly kind: 'release-permit';
  readonly fingerprint: string;
  readonly life: string;
  readonly begun: boolean;
}

/** A quarantined request is given another chance, by an operator or after a time. */
export interface ReopenRequestCommand {
  readonly kind: 'reopen-request';
  readonly fingerprint: string;
  readonly by: 'operator' | 'time';
}

/** An operator says that nothing is to be held against a request any more. */
export interface ForgetRequestCommand {
  readonly kind: 'forget-request';
  readonly fingerprint: string;
}

/** All commands on crash records. */
export type CrashCommand =
  | RecordEndCommand
  | RecordCompletionCommand
  | PermitRunCommand
  | ReleasePermitCommand
  | ReopenRequestCommand
  | ForgetRequestCommand;

/** What a command did. */
export interface AppliedCrashCommand {
  readonly outcome: { readonly kind: 'done' } | { readonly kind: 'invalid'; readonly detail: string };
  /** Records that daemons must know and that have changed. */
  readonly changed: readonly CrashRecord[];
  /** Fingerprints of records that daemons need not know any more. */
  readonly removed: readonly string[];
}

const NOTHING: AppliedCrashCommand = { outcome: { kind: 'done' }, changed: [], removed: [] };

/** Applies one command that was committed at `index`. */
export function applyCrashCommand(
  records: CrashRecords,
  command: CrashCommand,
  index: number,
): AppliedCrashCommand {
  switch (command.kind) {
    case 'record-end':
      return recordEnd(records, command, index);
    case 'record-completion':
      return recordCompletion(records, command);
    case 'permit-run':
      return permitRun(records, command);
    case 'release-permit':
      return releasePermit(records, command);
    case 'reopen-request':
      return reopen(records, command);
    case 'forget-request':
      return forget(records, command);
  }
}

/** Lives of back ends are gone: they run nothing any more. */
export function withdrawPermits(records: CrashRecords, lives: ReadonlySet<string>): readonly CrashRecord[] {
  const changed: CrashRecord[] = [];
  for (const record of records.values()) {
    if (record.permittedAt === null || !lives.has(record.permittedAt)) continue;
    const next = { ...record, permittedAt: null };
    records.set(record.fingerprint, next);
    changed.push(next);
  }
  return changed;
}

function recordEnd(records: CrashRecords, command: RecordEndCommand, index: number): AppliedCrashCommand {
  const { life, service, version, runs } = command;
  const changed: CrashRecord[] = [];
  for (const { fingerprint, alone } of runs) {
    const known = records.get(fingerprint) ?? emptyRecord(fingerprint, service, index);
    const ended = withEnd(known, version, life);
    if (ended === known) continue;
    // Only a back end that ran nothing else shows which request ended it.
    const isProof = alone && endsOf(ended) >= ENDS_BEFORE_COUNT;
    const permittedAt = ended.permittedAt === life ? null : ended.permittedAt;
    const next = { ...ended, service, index, permittedAt, quarantined: ended.quarantined || isProof };
    records.set(fingerprint, next);
    if (isWatched(next)) changed.push(next);
  }
  const removed = forgetOldest(records);
  return { outcome: { kind: 'done' }, changed, removed };
}

function recordCompletion(records: CrashRecords, command: RecordCompletionCommand): AppliedCrashCommand {
  const known = records.get(command.fingerprint);
  if (known === undefined) return NOTHING;
  const next = command.isGood ? withCompletion(known, command.version) : withFailure(known, command.version);
  if (next === null) {
    records.delete(command.fingerprint);
    return { ...NOTHING, removed: [command.fingerprint] };
  }
  records.set(command.fingerprint, next);
  return isWatched(next) ? { ...NOTHING, changed: [next] } : { ...NOTHING, removed: [command.fingerprint] };
}

function permitRun(records: CrashRecords, command: PermitRunCommand): AppliedCrashCommand {
  const { fingerprint, life, version } = command;
  const known = records.get(fingerprint);
  if (known === undefined || stageAt(known, version) === 'free') return NOTHING;
  if (known.permittedAt === life) return NOTHING;
  if (known.permittedAt !== null) return invalid(`it runs at ${known.permittedAt}`);
  if (stageAt(known, version) === 'quarantined') return invalid('it is quarantined');
  const counts = endsOf(known) >= ENDS_BEFORE_COUNT;
  const next = { ...known, permittedAt: life, countedRuns: known.countedRuns + (counts ? 1 : 0) };
  records.set(fingerprint, next);
  return { ...NOTHING, changed: [next] };
}

function releasePermit(records: CrashRecords, command: ReleasePermitCommand): AppliedCrashCommand {
  const { fingerprint, life, begun } = command;
  const known = records.get(fingerprint);
  if (known?.permittedAt !== life) return NOTHING;
  const unused = !begun && endsOf(known) >= ENDS_BEFORE_COUNT;
  const next = { ...known, permittedAt: null, countedRuns: known.countedRuns - (unused ? 1 : 0) };
  records.set(fingerprint, next);
  return { ...NOTHING, changed: [next] };
}

function reopen(records: CrashRecords, { fingerprint, by }: ReopenRequestCommand): AppliedCrashCommand {
  const known = records.get(fingerprint);
  const kept = by === 'operator' ? 0 : RUNS_LEFT_TO_OPERATORS;
  if (known !== undefined && (isExhausted(known) || known.countedRuns >= MOST_COUNTED_RUNS - kept)) {
    return invalid('all runs that may follow its third end have been used');
  }
  if (known?.quarantined !== true) return invalid('no such request is quarantined');
  const next = { ...known, quarantined: false };
  records.set(fingerprint, next);
  return { ...NOTHING, changed: [next] };
}

function forget(records: CrashRecords, { fingerprint }: ForgetRequestCommand): AppliedCrashCommand {
  if (!records.delete(fingerprint)) return invalid('nothing is known of such a request');
  return { ...NOTHING, removed: [fingerprint] };
}

function invalid(detail: string): AppliedCrashCommand {
  return { ...NOTHING, outcome: { kind: 'invalid', detail } };
}

/** Keeps the number of records bounded, however many requests end back ends; returns what daemons are to forget. */
function forgetOldest(records: CrashRecords): string[] {
  const removed: string[] = [];
  for (const [watched, most] of [
    [false, MOST_UNWATCHED],
    [true, MOST_WATCHED],
  ] as const) {
    const kind = [...records.values()].filter((record) => isWatched(record) === watched);
    if (kind.length <= most) continue;
    // What is quarantined was proved and is kept longest.
    kind.sort(
      (left, right) => Number(left.quarantined) - Number(right.quarantined) || left.index - right.index,
    );
    for (const { fingerprint } of kind.slice(0, kind.length - most)) {
      records.delete(fingerprint);
      if (watched) removed.push(fingerprint);
    }
  }
  return removed;
}
