/**
 * Records of requests that were being executed when back ends crashed. One crash proves nothing, since it implicates every
 * request in flight. From the second crash on a request is a suspect; it is quarantined only once it has crashed a back end
 * that executed nothing else. A successful run clears it for the software version that completed the run.
 */

/** Number of crashes that make a request a suspect: it is executed alone, one run at a time in the whole deployment. */
export const SUSPECT_CRASH_THRESHOLD = 2;

/** Number of crashes from which on the permitted runs of a request are counted and limited. */
export const RUN_LIMIT_CRASH_THRESHOLD = 3;
/** Maximum number of counted runs: a request may be run this many times after its third crash. */
export const MAX_COUNTED_RUNS = 3;

/**
 * Number of consecutive failed runs, all survived by the back end, that count as a successful one. A single failure is
 * weaker evidence, since the run may have failed before it reached the code that crashes.
 */
const SURVIVED_FAILURES_TO_CLEAR = 3;

/** Maximum number of software versions in a record; the least recently updated are evicted first. */
const MAX_VERSIONS_PER_RECORD = 4;

/** Maximum number of crashed incarnations that a record lists per version, to deduplicate repeated reports. */
const MAX_INCARNATIONS_PER_VERSION = 8;

/** How a request is treated at back ends of one version. */
export type CrashStage =
  /** Executed without restrictions. */
  | 'free'
  /** Executed with a permit only, and alone. */
  | 'suspect'
  /** Not executed. */
  | 'quarantined';

/** History of a request at one version of a service's software. */
export interface VersionRecord {
  readonly version: string;
  /** Incarnations that crashed during the request since its last successful run at this version. */
  readonly lives: readonly string[];
  /** Whether a run has succeeded at this version. */
  readonly endedWell: boolean;
  /** Number of consecutive failed runs that the back end survived. */
  readonly outlived: number;
}

/** Crash record of one request. */
export interface CrashRecord {
  readonly fingerprint: string;
  /** Service whose back end crashed last. */
  readonly service: string;
  readonly versions: readonly VersionRecord[];
  /** Whether the request has crashed a back end that executed nothing else, and has not been reopened since. */
  readonly quarantined: boolean;
  /** Number of runs permitted since runs are counted (see `RUN_LIMIT_CRASH_THRESHOLD`). */
  readonly countedRuns: number;
  /** Incarnation of the back end that holds the permit to execute the request; null if none does. */
  readonly permittedAt: string | null;
  /** Log index of the request's last crash. */
  readonly index: number;
}

/** Crash records by fingerprint. */
export type CrashRecords = Map<string, CrashRecord>;

/** Returns a new record, without any crash. */
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

/** Returns the number of crashes that no successful run has cleared. */
export function crashCount({ versions }: CrashRecord): number {
  return versions.reduce((sum, { lives }) => sum + lives.length, 0);
}

/** Whether the record is replicated to daemons, because its request is a suspect. */
export function isWatched(record: CrashRecord): boolean {
  return crashCount(record) >= SUSPECT_CRASH_THRESHOLD;
}

/** Whether no further run may be permitted, because all counted runs have been used. */
export function isExhausted(record: CrashRecord): boolean {
  return crashCount(record) >= RUN_LIMIT_CRASH_THRESHOLD && record.countedRuns >= MAX_COUNTED_RUNS;
}

/**
 * Returns how the request is treated at a version. At a version without history it may run as a suspect even if it is
 * quarantined, as long as counted runs are left.
 */
export function stageAt(record: CrashRecord, version: string): CrashStage {
  const versionRecord = record.versions.find((one) => one.version === version);
  if (!isWatched(record) || (versionRecord?.endedWell === true && versionRecord.lives.length === 0))
    return 'free';
  if (isExhausted(record)) return 'quarantined';
  if (record.quarantined && versionRecord !== undefined) return 'quarantined';
  return 'suspect';
}

/** Returns the record with a crash of an incarnation added; the same object if the crash is already recorded. */
export function withCrash(record: CrashRecord, version: string, life: string): CrashRecord {
  const versionRecord = record.versions.find((one) => one.version === version) ?? emptyVersionRecord(version);
  if (versionRecord.lives.includes(life)) return record;
  const updated = {
    ...versionRecord,
    outlived: 0,
    lives: [...versionRecord.lives, life].slice(-MAX_INCARNATIONS_PER_VERSION),
  };
  return { ...record, versions: replaceVersion(record.versions, updated) };
}

/** Returns the record after a failed run that the back end survived; null if that clears the last crash. */
export function withFailure(record: CrashRecord, version: string): CrashRecord | null {
  const versionRecord = record.versions.find((one) => one.version === version) ?? emptyVersionRecord(version);
  const outlived = versionRecord.outlived + 1;
  if (outlived >= SURVIVED_FAILURES_TO_CLEAR) return withCompletion(record, version);
  return { ...record, versions: replaceVersion(record.versions, { ...versionRecord, outlived }) };
}

/** Returns the record after a successful run; null if no crash remains and the record can be deleted. */
export function withCompletion(record: CrashRecord, version: string): CrashRecord | null {
  const updated = { version, lives: [], endedWell: true, outlived: 0 };
  const versions = replaceVersion(record.versions, updated);
  const next = { ...record, versions };
  return crashCount(next) === 0 ? null : next;
}

function emptyVersionRecord(version: string): VersionRecord {
  return { version, lives: [], endedWell: false, outlived: 0 };
}

function replaceVersion(versions: readonly VersionRecord[], updated: VersionRecord): VersionRecord[] {
  const others = versions.filter(({ version }) => version !== updated.version);
  return [...others, updated].slice(-MAX_VERSIONS_PER_RECORD);
}
