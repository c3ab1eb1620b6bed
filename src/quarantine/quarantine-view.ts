/** A daemon's copy of the watched crash records, by which it classifies requests. */
import { stageAt, type CrashRecord, type CrashRecords, type CrashStage } from './crash-records.js';
import { cachedFingerprint, type IdentifiedRequest } from './request-fingerprint.js';

/** Classification of a request. */
export interface RequestClassification {
  readonly stage: CrashStage;
  /** Null while there are no records, when fingerprints are not computed. */
  readonly fingerprint: string | null;
  readonly record: CrashRecord | null;
}

const UNCLASSIFIED: RequestClassification = { stage: 'free', fingerprint: null, record: null };

/** Local copy of the watched crash records. */
export class QuarantineView {
  private records: CrashRecords = new Map();

  /** All records by fingerprint. */
  get all(): ReadonlyMap<string, CrashRecord> {
    return this.records;
  }

  /** Replaces all records. */
  replace(records: Iterable<CrashRecord>): void {
    this.records = new Map([...records].map((record) => [record.fingerprint, record]));
  }

  /** Stores changed records and deletes removed ones. */
  apply(changed: readonly CrashRecord[], removed: readonly string[]): void {
    for (const record of changed) this.records.set(record.fingerprint, record);
    for (const fingerprint of removed) this.records.delete(fingerprint);
  }

  /** Returns the record of a fingerprint; null if there is none. */
  recordOf(fingerprint: string): CrashRecord | null {
    return this.records.get(fingerprint) ?? null;
  }

  /** Classifies a request for back ends of a version. Computes no fingerprint while there are no records. */
  classify(request: IdentifiedRequest, version: string): RequestClassification {
    if (this.records.size === 0) return UNCLASSIFIED;
    const fingerprint = cachedFingerprint(request);
    const record = this.records.get(fingerprint) ?? null;
    return { stage: record === null ? 'free' : stageAt(record, version), fingerprint, record };
  }

  /** Returns the fingerprint of a request that is quarantined at all of these versions; null if any of them may run it. */
  fingerprintIfQuarantined(request: IdentifiedRequest, versions: () => ReadonlySet<string>): string | null {
    if (this.records.size === 0) return null;
    const fingerprint = cachedFingerprint(request);
    const record = this.records.get(fingerprint);
    if (record === undefined) return null;
    const present = [...versions()];
    const refused = present.length > 0 && present.every((one) => stageAt(record, one) === 'quarantined');
    return refused ? fingerprint : null;
  }
}
