/** Periodic tasks of a leader on crash records: releases expired permits, and lifts quarantines after a period of time. */
import type { CrashCommand } from './crash-commands.js';
import type { CrashRecord, CrashRecords } from './crash-records.js';

/**
 * Time in ms after which a permit is released as lost. Longer than the waiting and service time of any permitted run, so
 * that no second run is permitted while the first one is in flight.
 */
const PERMIT_TIMEOUT_MS = 15_000;

/**
 * Time in ms after which the first quarantine of a request is lifted, and the factor by which each counted run lengthens
 * it. Each further run may crash a back end, so the time is long compared with the rollout of a fixed version, at which the
 * request may be run anyway.
 */
const FIRST_REOPEN_DELAY_MS = 10 * 60 * 1_000;
const REOPEN_FACTOR = 6;

/** Tasks of one leader. Periods are measured on the leader's own clock, in ms, from the time it became leader at the earliest. */
export class CrashRecordMaintenance {
  private readonly permitSeenAtMs = new Map<string, number>();
  private readonly quarantineSeenAtMs = new Map<string, number>();

  constructor(
    private readonly records: () => CrashRecords,
    private readonly propose: (command: CrashCommand) => void,
  ) {}

  /** Restarts all periods, when this replica becomes leader. */
  startLeading(): void {
    this.permitSeenAtMs.clear();
    this.quarantineSeenAtMs.clear();
  }

  /** Proposes the commands that are due. */
  proposeDueCommands(nowMs: number): void {
    const records = this.records();
    if (records.size === 0 && this.permitSeenAtMs.size + this.quarantineSeenAtMs.size === 0) return;
    deleteOutdated(this.permitSeenAtMs, (key) => isPermitted(records, key));
    deleteOutdated(this.quarantineSeenAtMs, (fingerprint) => records.get(fingerprint)?.quarantined === true);
    for (const record of records.values()) this.checkRecord(record, nowMs);
  }

  private checkRecord(record: CrashRecord, nowMs: number): void {
    const { fingerprint, permittedAt, quarantined, countedRuns } = record;
    if (
      permittedAt !== null &&
      this.isDue(this.permitSeenAtMs, permitKey(record), PERMIT_TIMEOUT_MS, nowMs)
    ) {
      this.propose({ kind: 'release-permit', fingerprint, life: permittedAt, begun: true });
    }
    const reopenDelayMs = FIRST_REOPEN_DELAY_MS * REOPEN_FACTOR ** countedRuns;
    if (quarantined && this.isDue(this.quarantineSeenAtMs, fingerprint, reopenDelayMs, nowMs)) {
      this.propose({ kind: 'reopen-request', fingerprint, by: 'time' });
    }
  }

  /** Whether `afterMs` has passed since the key was first seen or last due. */
  private isDue(sinceByKey: Map<string, number>, key: string, delayMs: number, nowMs: number): boolean {
    const sinceMs = sinceByKey.get(key);
    if (sinceMs === undefined) {
      sinceByKey.set(key, nowMs);
      return false;
    }
    if (nowMs - sinceMs < delayMs) return false;
    sinceByKey.set(key, nowMs);
    return true;
  }
}

function permitKey({ fingerprint, permittedAt }: CrashRecord): string {
  return `${fingerprint} ${permittedAt ?? ''}`;
}

function isPermitted(records: CrashRecords, key: string): boolean {
  const record = records.get(key.slice(0, key.indexOf(' ')));
  return record !== undefined && record.permittedAt !== null && permitKey(record) === key;
}

function deleteOutdated(sinceByKey: Map<string, number>, isCurrent: (key: string) => boolean): void {
  for (const key of sinceByKey.keys()) if (!isCurrent(key)) sinceByKey.delete(key);
}
