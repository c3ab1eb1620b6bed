/**
 * What is known of requests under which back ends have ended. One end proves nothing, since everything that ran there was
 * present; a request becomes a suspect with the second, and is quarantined only when it has ended a back end that ran
 * nothing else. A run that ends well clears it, for the version of the software at which it did.
 */

/** Ends after which a request is a suspect: it runs alone, one run at a time in the whole deployment. */
export const ENDS_OF_SUSPECT = 2;

/** Ends from which on the runs of a request are counted, and how many of them may follow. */
export const ENDS_BEFORE_COUNT = 3;
/** See `ENDS_BEFORE_COUNT`; the users' limit. */
export const MOST_COUNTED_RUNS = 3;

/**
 * Runs in a row that the back end answered with a failure after which they count as a good one: it has outlived them all.
 * A single one says less, since a call that failed may have ended the run before it came to the harm.
 */
const FAILURES_OUTLIVED = 3;

/** Versions of the software that a record tells apart; those that were seen first are forgotten first. */
const MOST_VERSIONS = 4;

/** Ended lives that a record names for each version, so that a report that comes again counts once. */
const MOST_LIVES = 8;

/** How a request is treated at back ends of one version. */
export type CrashStage =
  /** Like any other. */
  | 'free'
  /** It runs by permit and alone. */
  | 'suspect'
  /** It does not run. */
  | 'quarantined';

/** What one version of a service's software did under a request. */
export interface VersionRecord {
  readonly version: string;
  /** Lives that ended under the request since it last ended well there. */
  readonly lives: readonly string[];
  /** Whether a run of it has ended well there. */
  readonly endedWell: boolean;
  /** Runs in a row that the back end outlived and answered with a failure. */
  readonly outlived: number;
}

/** What is known of one request. */
export interface CrashRecord {
  readonly fingerprint: string;
  /** Service whose back end ended last. */
  readonly service: string;
  readonly versions: readonly VersionRecord[];
  /** Whether it has ended a back end that ran nothing else, and has not been given another chance since. */
  readonly quarantined: boolean;
  /** Runs that were permitted after the ends from which on they are counted. */
  readonly countedRuns: number;
  /** Life of the back end that may run it now; null when none may. */
  readonly permittedAt: string | null;
  /** Index of the log entry of its last end. */
  readonly index: number;
}

/** Records by fingerprint. */
export type CrashRecords = Map<string, CrashRecord>;

/** A record before the first end. */
export function emptyRecord(fingerprint: string, service: string, index: number): CrashRecord {
  return {
    fingerprint,
    service,
    versions: [],
    quarantined: false,
    countedRuns: 0,
    permittedAt: null,
    index,
  };
}

/** Ends under the request that no run which ended well has cleared. */
export function endsOf({ versions }: CrashRecord): number {
  return versions.reduce((sum, { lives }) => sum + lives.length, 0);
}

/** Whether daemons must know the record. */
export function isWatched(record: CrashRecord): boolean {
  return endsOf(record) >= ENDS_OF_SUSPECT;
}

/** Whether no further run may be permitted: all that may follow have been used. */
export function isExhausted(record: CrashRecord): boolean {
  return endsOf(record) >= ENDS_BEFORE_COUNT && record.countedRuns >= MOST_COUNTED_RUNS;
}

/** How the request is treated at a version. One that was never tried there has a chance, as long as any is left. */
export function stageAt(record: CrashRecord, version: string): CrashStage {
  const known = record.versions.find((one) => one.version === version);
  if (!isWatched(record) || (known?.endedWell === true && known.lives.length === 0)) return 'free';
  if (isExhausted(record)) return 'quarantined';
  if (record.quarantined && known !== undefined) return 'quarantined';
  return 'suspect';
}

/** The record after a life of a back end has ended under the request; the same one when that was known. */
export function withEnd(record: CrashRecord, version: string, life: string): CrashRecord {
  const known = record.versions.find((one) => one.version === version) ?? newVersion(version);
  if (known.lives.includes(life)) return record;
  const changed = { ...known, outlived: 0, lives: [...known.lives, life].slice(-MOST_LIVES) };
  return { ...record, versions: replaceVersion(record.versions, changed) };
}

/** The record after the back end has outlived a run and answered it with a failure; null as for a good one. */
export function withFailure(record: CrashRecord, version: string): CrashRecord | null {
  const known = record.versions.find((one) => one.version === version) ?? newVersion(version);
  const outlived = known.outlived + 1;
  if (outlived >= FAILURES_OUTLIVED) return withCompletion(record, version);
  return { ...record, versions: replaceVersion(record.versions, { ...known, outlived }) };
}

/** The record after a run has ended well; null when nothing is held against the request any more. */
export function withCompletion(record: CrashRecord, version: string): CrashRecord | null {
  const changed = { version, lives: [], endedWell: true, outlived: 0 };
  const versions = replaceVersion(record.versions, changed);
  const next = { ...record, versions };
  return endsOf(next) === 0 ? null : next;
}

function newVersion(version: string): VersionRecord {
  return { version, lives: [], endedWell: false, outlived: 0 };
}

function replaceVersion(versions: readonly VersionRecord[], changed: VersionRecord): VersionRecord[] {
  const others = versions.filter(({ version }) => version !== changed.version);
  return [...others, changed].slice(-MOST_VERSIONS);
}
