/** A daemon's copy of the crash records that it must know, and what they say of a request. */
import { stageAt, type CrashRecord, type CrashRecords, type CrashStage } from './crash-records.js';
import { fingerprintOf, type IdentifiedRequest } from './request-fingerprint.js';

/** What the records say of a request. */
export interface Judged {
  readonly stage: CrashStage;
  /** Null while there are no records, when none is worked out. */
  readonly fingerprint: string | null;
  readonly record: CrashRecord | null;
}

const UNKNOWN: Judged = { stage: 'free', fingerprint: null, record: null };

/** The copy. */
export class QuarantineView {
  private records: CrashRecords = new Map();

  /** All records, by fingerprint. */
  get all(): ReadonlyMap<string, CrashRecord> {
    return this.records;
  }

  /** Takes a whole set of records. */
  replace(records: Iterable<CrashRecord>): void {
    this.records = new Map([...records].map((record) => [record.fingerprint, record]));
  }

  /** Takes changed records, and fingerprints whose records are gone. */
  apply(changed: readonly CrashRecord[], removed: readonly string[]): void {
    for (const record of changed) this.records.set(record.fingerprint, record);
    for (const fingerprint of removed) this.records.delete(fingerprint);
  }

  /** The record of a fingerprint; null where there is none. */
  recordOf(fingerprint: string): CrashRecord | null {
    return this.records.get(fingerprint) ?? null;
  }

  /** What holds for a request at back ends of a version. As long as there are no records it costs nothing. */
  judge(request: IdentifiedRequest, version: string): Judged {
    if (this.records.size === 0) return UNKNOWN;
    const fingerprint = fingerprintOf(request);
    const record = this.records.get(fingerprint) ?? null;
    return { stage: record === null ? 'free' : stageAt(record, version), fingerprint, record };
  }

  /** The fingerprint of a request that no back end of these versions may run; null where one may. */
  refusedEverywhere(request: IdentifiedRequest, versions: () => ReadonlySet<string>): string | null {
    if (this.records.size === 0) return null;
    const fingerprint = fingerprintOf(request);
    const record = this.records.get(fingerprint);
    if (record === undefined) return null;
    const present = [...versions()];
    const refused = present.length > 0 && present.every((one) => stageAt(record, one) === 'quarantined');
    return refused ? fingerprint : null;
  }
}
