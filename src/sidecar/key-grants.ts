/** Interface and helpers shared by both grant modes. */
import type { DirectoryRequest } from '../directory/directory-messages.js';
import type { KeyRange } from '../directory/directory-state.js';
import { overlaps } from '../directory/key-ranges.js';
import type { Runtime } from '../runtime/runtime.js';
import type { EventLog } from '../telemetry/event-log.js';
import type { HeldRange } from './backend-report.js';
import type { LeaseKeeper } from './lease-keeper.js';
import type { OutstandingGrants } from './outstanding-grants.js';
import type { OwnedRanges } from './owned-ranges.js';

/** Minimum interval in ms between reports of a release that the directory has not acted on. */
const REPORT_INTERVAL_MS = 250;

/** Key grants of one back end. */
export interface KeyGrants {
  /** Whether the back end is certain to hold the key now. */
  holds(key: number): boolean;
  /** Called when the table or the registration has changed. */
  tableChanged(): void;
  /** Discards all grants: the back end has a new incarnation or has ended. */
  clear(): void;
  stop(): void;
}

/** Dependencies of grants on their daemon. */
export interface KeyGrantPorts {
  readonly runtime: Runtime;
  readonly log: EventLog;
  readonly service: string;
  readonly lease: LeaseKeeper;
  readonly owned: OwnedRanges;
  /** Maximum duration of a grant in ms. */
  readonly holdMs: number;
  /** Grants that the back end may still apply, from both grant modes. */
  readonly outstanding: OutstandingGrants;
  readonly instance: () => string | null;
  /** Id of this process, under which it holds the registration. */
  readonly holder: string;
  readonly send: (request: DirectoryRequest) => boolean;
  /** Called when the back end may hold more keys than before. */
  readonly onKeysGained: () => void;
}

/** Reports releases and fence requests to the directory, repeatedly until it has acted on them. */
export class ReleaseReporter {
  private readonly lastReportMs = new Map<string, number>();
  private readonly lastFenceRequestMs = new Map<string, number>();
  /** Ranges that were reported as released and may still be owned under the same fence. */
  private reported: readonly HeldRange[] = [];

  constructor(private readonly ports: KeyGrantPorts) {}

  /** Reports a range as released. */
  report(range: KeyRange, handover: string): void {
    const key = rangeName(range);
    const nowMs = this.ports.runtime.nowMs();
    const last = this.lastReportMs.get(key);
    if (last !== undefined && nowMs - last < REPORT_INTERVAL_MS) return;
    const owner = this.ports.instance();
    if (owner === null) return;
    const { from, to, fence } = range;
    const { service, holder } = this.ports;
    this.recordReported(range);
    if (last === undefined) this.ports.log.event('range-released', { service, from, to, fence, handover });
    if (this.ports.send({ kind: 'released', service, from, to, owner, fence, handover, holder })) {
      this.lastReportMs.set(key, nowMs);
    }
  }

  /**
   * Returns the parts of a range that were reported as released under its fence. They must not be granted under it again: the
   * report may be on its way, and would give the keys to another back end. A range that has been merged with another since
   * covers reported keys and others.
   */
  reportedParts({ from, to, fence }: HeldRange): HeldRange[] {
    const overlapping = this.reported.filter(
      (known) => known.fence === fence && overlaps(known, { from, to }),
    );
    return overlapping.map((known) => ({
      from: Math.max(from, known.from),
      to: Math.min(to, known.to),
      fence,
    }));
  }

  /** Requests a higher fence, because grants under the present one may still be in flight. */
  raiseFence(range: KeyRange): void {
    const key = rangeName(range);
    const nowMs = this.ports.runtime.nowMs();
    if (nowMs - (this.lastFenceRequestMs.get(key) ?? -Infinity) < REPORT_INTERVAL_MS) return;
    const owner = this.ports.instance();
    if (owner === null) return;
    const { from, to, fence } = range;
    const { service, holder } = this.ports;
    this.ports.log.event('fence-raised', { service, from, to, fence });
    if (this.ports.send({ kind: 'raise-fence', service, from, to, owner, fence, holder }))
      this.lastFenceRequestMs.set(key, nowMs);
  }

  /** Discards the record of earlier reports. */
  clear(): void {
    this.lastReportMs.clear();
    this.lastFenceRequestMs.clear();
    this.reported = [];
  }

  /** Stores a reported range once, however often its report is repeated, and drops those that are not owned any more. */
  private recordReported({ from, to, fence }: HeldRange): void {
    const reported = { from, to, fence };
    const owned = this.ports.owned.list();
    const isKept = (known: HeldRange): boolean =>
      rangeName(known) !== rangeName(reported) &&
      owned.some((range) => range.fence === known.fence && overlaps(range, known));
    this.reported = [...this.reported.filter(isKept), reported];
  }
}

/** Returns a unique name for a range under a fence. */
export function rangeName({ from, to, fence }: HeldRange): string {
  return `${from}-${to}@${fence}`;
}
