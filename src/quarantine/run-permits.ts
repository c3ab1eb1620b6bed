/**
 * Permits to execute suspect requests. The leader grants one permit at a time per request, so that a request that crashes
 * back ends is never executed at two of them at once.
 */
import type { Runtime } from '../runtime/runtime.js';
import type { RunNotice, RunRequest } from './crash-messages.js';
import type { VersionedIncarnation } from './end-reporter.js';

/** Interval in ms at which a permit is requested again: about the duration of a run that holds it. */
const PERMIT_RETRY_INTERVAL_MS = 120;

/** Minimum interval in ms between completion reports for one request. */
const MIN_REPORT_INTERVAL_MS = 200;

/** Maximum number of fingerprints whose last request or report time is stored; the oldest are evicted first. */
const MAX_TRACKED_FINGERPRINTS = 512;

/** Dependencies of `RunPermits`. */
export interface RunPermitPorts {
  readonly runtime: Runtime;
  readonly send: (request: RunRequest) => boolean;
  /** Whether an incarnation of a back end is still present to use a permit. */
  readonly isPresent: (life: string) => boolean;
  /** Called when a permit was granted. */
  readonly onPermit: (fingerprint: string) => void;
}

/** Permits of one daemon. */
export class RunPermits {
  private readonly requestedAtMs = new Map<string, number>();
  private readonly reportedAtMs = new Map<string, number>();
  /** Incarnation for which each permit is held, by fingerprint. */
  private readonly incarnationByPermit = new Map<string, string>();

  constructor(private readonly ports: RunPermitPorts) {}

  /** Whether an incarnation of a back end holds the permit for a request. */
  holds(fingerprint: string, life: string): boolean {
    return this.incarnationByPermit.get(fingerprint) === life;
  }

  /** Requests a permit, unless it is held or was requested within the retry interval. */
  requestPermit(fingerprint: string, { id, version }: VersionedIncarnation): void {
    if (this.holds(fingerprint, id) || !this.isDue(this.requestedAtMs, fingerprint, PERMIT_RETRY_INTERVAL_MS))
      return;
    this.ports.send({ kind: 'run-permit', fingerprint, life: id, version });
  }

  /** Handles a message of the leader; a permit for an incarnation that has ended is released unused. */
  handleNotice(notice: RunNotice): void {
    if (notice.kind !== 'run-permitted') return;
    const { fingerprint, life } = notice;
    if (!this.ports.isPresent(life)) {
      this.ports.send({ kind: 'permit-released', fingerprint, life, begun: false });
      return;
    }
    this.incarnationByPermit.set(fingerprint, life);
    this.ports.onPermit(fingerprint);
  }

  /** Releases the permit for a request; `begun` tells whether its run may have begun. */
  release(fingerprint: string, begun: boolean): void {
    const life = this.incarnationByPermit.get(fingerprint);
    this.incarnationByPermit.delete(fingerprint);
    this.requestedAtMs.delete(fingerprint);
    if (life !== undefined) this.ports.send({ kind: 'permit-released', fingerprint, life, begun });
  }

  /** Reports that a back end answered a watched request, with a success or a failure, and did not crash. */
  reportCompletion(fingerprint: string, version: string, isGood: boolean): void {
    if (!this.isDue(this.reportedAtMs, fingerprint, MIN_REPORT_INTERVAL_MS)) return;
    this.ports.send({ kind: 'run-completed', fingerprint, version, isGood });
  }

  private isDue(lastTimes: Map<string, number>, fingerprint: string, intervalMs: number): boolean {
    const nowMs = this.ports.runtime.nowMs();
    if (nowMs - (lastTimes.get(fingerprint) ?? -Infinity) < intervalMs) return false;
    lastTimes.delete(fingerprint);
    lastTimes.set(fingerprint, nowMs);
    if (lastTimes.size > MAX_TRACKED_FINGERPRINTS) lastTimes.delete(lastTimes.keys().next().value ?? '');
    return true;
  }
}
