/** Crash records as operators are shown them. */
import { endsOf, isExhausted, isWatched, MOST_COUNTED_RUNS, type CrashRecord } from './crash-records.js';

/** One watched request. */
export interface CrashReport {
  readonly fingerprint: string;
  readonly service: string;
  readonly stage: 'suspect' | 'quarantined';
  /** Back ends that ended under it since it last ended well. */
  readonly ends: number;
  /** Versions at which it ended them, and those at which it ran well. */
  readonly endedVersions: readonly string[];
  readonly goodVersions: readonly string[];
  /** Runs that may still follow its third end. */
  readonly runsLeft: number;
  readonly permittedAt: string | null;
}

/** The requests that daemons watch, those that ended most back ends first. */
export function reportCrashes(records: Iterable<CrashRecord>): CrashReport[] {
  return [...records]
    .filter(isWatched)
    .map(describe)
    .sort((left, right) => right.ends - left.ends);
}

function describe(record: CrashRecord): CrashReport {
  const { fingerprint, service, versions, quarantined, countedRuns, permittedAt } = record;
  return {
    fingerprint,
    service,
    stage: quarantined || isExhausted(record) ? 'quarantined' : 'suspect',
    ends: endsOf(record),
    endedVersions: versions.filter(({ lives }) => lives.length > 0).map(({ version }) => version),
    goodVersions: versions.filter(({ endedWell }) => endedWell).map(({ version }) => version),
    runsLeft: MOST_COUNTED_RUNS - countedRuns,
    permittedAt,
  };
}

/** Watched requests by stage, for metrics. */
export function crashStages(records: Iterable<CrashRecord>): readonly (readonly [string, number])[] {
  const reports = reportCrashes(records);
  const quarantined = reports.filter(({ stage }) => stage === 'quarantined').length;
  return [
    ['suspect', reports.length - quarantined],
    ['quarantined', quarantined],
  ];
}
