/** What both ways of granting keys to a back end have in common. */
import type { DirectoryRequest } from '../directory/directory-messages.js';
import type { KeyRange } from '../directory/directory-state.js';
import type { Runtime } from '../runtime/runtime.js';
import type { EventLog } from '../telemetry/event-log.js';
import type { HeldRange } from './backend-report.js';
import type { LeaseKeeper } from './lease-keeper.js';
import type { OutstandingGrants } from './outstanding-grants.js';
import type { OwnedRanges } from './owned-ranges.js';

/** Pause between reports of a release that the directory has not acted on, in ms. */
const RELEASE_REPORT_MS = 250;

/** Grants to one back end. */
export interface KeyGrants {
  /** Whether the back end certainly holds the key now. */
  holds(key: number): boolean;
  /** The table or the registration has changed. */
  tableChanged(): void;
  /** The back end has another life, or is gone. */
  clear(): void;
  stop(): void;
}

/** What grants need of their daemon. */
export interface KeyGrantPorts {
  readonly runtime: Runtime;
  readonly log: EventLog;
  readonly service: string;
  readonly lease: LeaseKeeper;
  readonly owned: OwnedRanges;
  /** Longest time for which a back end is granted keys, in ms. */
  readonly holdMs: number;
  /** What the back end may still take, whichever way it was granted. */
  readonly outstanding: OutstandingGrants;
  readonly instance: () => string | null;
  readonly send: (request: DirectoryRequest) => boolean;
  /** The back end may hold more keys than before. */
  readonly onGained: () => void;
}

/** Tells the directory what was done with ranges, again and again until it has acted on that. */
export class ReleaseReporter {
  private readonly reported = new Map<string, number>();
  private readonly raised = new Map<string, number>();

  constructor(private readonly ports: KeyGrantPorts) {}

  /** Reports a range as released. */
  report(range: KeyRange, handover: string): void {
    const key = rangeName(range);
    const nowMs = this.ports.runtime.nowMs();
    const last = this.reported.get(key);
    if (last !== undefined && nowMs - last < RELEASE_REPORT_MS) return;
    const owner = this.ports.instance();
    if (owner === null) return;
    const { from, to, fence } = range;
    const { service } = this.ports;
    if (last === undefined) this.ports.log.event('range-released', { service, from, to, fence, handover });
    if (this.ports.send({ kind: 'released', service, from, to, owner, fence, handover })) {
      this.reported.set(key, nowMs);
    }
  }

  /** Asks for a higher fence, because grants under the present one may still be on their way. */
  raiseFence(range: KeyRange): void {
    const key = rangeName(range);
    const nowMs = this.ports.runtime.nowMs();
    if (nowMs - (this.raised.get(key) ?? -Infinity) < RELEASE_REPORT_MS) return;
    const owner = this.ports.instance();
    if (owner === null) return;
    const { from, to, fence } = range;
    const { service } = this.ports;
    this.ports.log.event('fence-raised', { service, from, to, fence });
    if (this.ports.send({ kind: 'raise-fence', service, from, to, owner, fence }))
      this.raised.set(key, nowMs);
  }

  /** Forgets everything. */
  clear(): void {
    this.reported.clear();
    this.raised.clear();
  }
}

/** A name for a range under a fence. */
export function rangeName({ from, to, fence }: HeldRange): string {
  return `${from}-${to}@${fence}`;
}
