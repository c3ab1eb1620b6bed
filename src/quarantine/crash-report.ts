/** Presentation of crash records for operators and metrics. */
import { crashCount, isExhausted, isWatched, MAX_COUNTED_RUNS, type CrashRecord } from './crash-records.js';

/** Report on one suspect or quarantined request. */
export interface CrashReport {
  readonly fingerprint: string;
  readonly service: string;
  readonly stage: 'suspect' | 'quarantined';
  /** Number of back-end crashes that no successful run has cleared. */
  readonly ends: number;
  /** Versions with such crashes, and versions with a successful run. */
  readonly endedVersions: readonly string[];
  readonly goodVersions: readonly string[];
  /** Number of counted runs left: those that may still follow the third crash. */
  readonly runsLeft: number;
  readonly permittedAt: string | null;
}

/** Returns reports on all watched requests, ordered by descending number of crashes. */
export function reportCrashes(records: Iterable<CrashRecord>): CrashReport[] {
  return [...records]
    .filter(isWatched)
    .map(toReport)
    .sort((left, right) => right.ends - left.ends);
}

function toReport(record: CrashRecord): CrashReport {
  const { fingerprint, service, versions, quarantined, countedRuns, permittedAt } = record;
  return {
    fingerprint,
    service,
    stage: quarantined || isExhausted(record) ? 'quarantined' : 'suspect',
    ends: crashCount(record),
    endedVersions: versions.filter(({ lives }) => lives.length > 0).map(({ version }) => version),
    goodVersions: versions.filter(({ endedWell }) => endedWell).map(({ version }) => version),
    runsLeft: MAX_COUNTED_RUNS - countedRuns,
    permittedAt,
  };
}

/** Returns the number of watched requests per stage, for metrics. */
export function countCrashRecordsByStage(
  records: Iterable<CrashRecord>,
): readonly (readonly [string, number])[] {
  const reports = reportCrashes(records);
  const quarantined = reports.filter(({ stage }) => stage === 'quarantined').length;
  return [
    ['suspect', reports.length - quarantined],
    ['quarantined', quarantined],
  ];
}
