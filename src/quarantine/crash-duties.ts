/** What a leader does by itself about crash records: it ends permits that nobody uses, and gives another chance in time. */
import type { CrashCommand } from './crash-commands.js';
import type { CrashRecord, CrashRecords } from './crash-records.js';

/**
 * Time in ms after which a permit is taken for lost: longer than any run that it was given for waits and takes, so that it
 * never stands for two runs.
 */
const PERMIT_LIMIT_MS = 15_000;

/**
 * Time in ms for which a request stays quarantined until it is given another chance by time alone, and the factor for each
 * further one. Each chance may cost a back end, so it is long against the time in which a repaired version is rolled out,
 * which is a chance by itself.
 */
const FIRST_REOPEN_MS = 10 * 60 * 1_000;
const REOPEN_FACTOR = 6;

/** The duties of one leader. Times are ms of its own clock, since it began to lead. */
export class CrashDuties {
  private readonly permittedSinceMs = new Map<string, number>();
  private readonly quarantinedSinceMs = new Map<string, number>();

  constructor(
    private readonly records: () => CrashRecords,
    private readonly propose: (command: CrashCommand) => void,
  ) {}

  /** This replica has become leader: what it finds counts from now on. */
  startLeading(): void {
    this.permittedSinceMs.clear();
    this.quarantinedSinceMs.clear();
  }

  /** Proposes what is due. */
  run(nowMs: number): void {
    const records = this.records();
    if (records.size === 0 && this.permittedSinceMs.size + this.quarantinedSinceMs.size === 0) return;
    keepOnly(this.permittedSinceMs, (name) => isPermitted(records, name));
    keepOnly(this.quarantinedSinceMs, (fingerprint) => records.get(fingerprint)?.quarantined === true);
    for (const record of records.values()) this.look(record, nowMs);
  }

  private look(record: CrashRecord, nowMs: number): void {
    const { fingerprint, permittedAt, quarantined, countedRuns } = record;
    if (
      permittedAt !== null &&
      this.isDue(this.permittedSinceMs, permitName(record), PERMIT_LIMIT_MS, nowMs)
    ) {
      this.propose({ kind: 'release-permit', fingerprint, life: permittedAt, begun: true });
    }
    const pauseMs = FIRST_REOPEN_MS * REOPEN_FACTOR ** countedRuns;
    if (quarantined && this.isDue(this.quarantinedSinceMs, fingerprint, pauseMs, nowMs)) {
      this.propose({ kind: 'reopen-request', fingerprint, by: 'time' });
    }
  }

  /** Whether something has stood for so long; it is due again after as long. */
  private isDue(since: Map<string, number>, name: string, afterMs: number, nowMs: number): boolean {
    const sinceMs = since.get(name);
    if (sinceMs === undefined) {
      since.set(name, nowMs);
      return false;
    }
    if (nowMs - sinceMs < afterMs) return false;
    since.set(name, nowMs);
    return true;
  }
}

function permitName({ fingerprint, permittedAt }: CrashRecord): string {
  return `${fingerprint} ${permittedAt ?? ''}`;
}

function isPermitted(records: CrashRecords, name: string): boolean {
  const record = records.get(name.slice(0, name.indexOf(' ')));
  return record !== undefined && record.permittedAt !== null && permitName(record) === name;
}

function keepOnly(since: Map<string, number>, stands: (name: string) => boolean): void {
  for (const name of since.keys()) if (!stands(name)) since.delete(name);
}
