/**
 * Permits to run suspects at the back end beside this daemon. The directory gives one at a time for each of them, so that
 * a request that ends what runs it is not tried at two places at once.
 */
import type { DirectoryNotice, DirectoryRequest } from '../directory/directory-messages.js';
import type { Runtime } from '../runtime/runtime.js';
import type { EndedLife } from './end-reporter.js';
import type { SuspectPermits } from './suspect-runs.js';

/** Pause before a permit is asked for again, in ms: about as long as a run that has it takes. */
const ASK_AGAIN_MS = 120;

/** Pause between reports of one request that ended well, in ms. */
const COMPLETION_REPORT_MS = 200;

/** Fingerprints that are remembered at once. */
const MOST_REMEMBERED = 512;

/** What the permits need of their daemon. */
export interface RunPermitPorts {
  readonly runtime: Runtime;
  readonly life: () => EndedLife | null;
  readonly send: (request: DirectoryRequest) => boolean;
  /** A permit has come. */
  readonly onPermit: (fingerprint: string) => void;
}

/** Permits of one daemon. */
export class RunPermits implements SuspectPermits {
  private readonly askedMs = new Map<string, number>();
  private readonly reportedMs = new Map<string, number>();
  /** Life for which each permit is held. */
  private readonly held = new Map<string, string>();

  constructor(private readonly ports: RunPermitPorts) {}

  /** See `SuspectPermits`. */
  holds(fingerprint: string): boolean {
    const life = this.ports.life();
    return life !== null && this.held.get(fingerprint) === life.id;
  }

  /** See `SuspectPermits`. */
  ask(fingerprint: string): void {
    const life = this.ports.life();
    if (life === null || this.holds(fingerprint)) return;
    if (!this.isDue(this.askedMs, fingerprint, ASK_AGAIN_MS)) return;
    this.ports.send({ kind: 'run-permit', fingerprint, life: life.id, version: life.version });
  }

  /** Takes an answer of the directory. */
  receive(notice: DirectoryNotice): void {
    if (notice.kind !== 'run-permitted') return;
    const { fingerprint, life } = notice;
    if (life !== this.ports.life()?.id) {
      this.ports.send({ kind: 'permit-released', fingerprint, life, begun: false });
      return;
    }
    this.held.set(fingerprint, life);
    this.ports.onPermit(fingerprint);
  }

  /** See `SuspectPermits`; a back end that ended, and a run that ended well, settle it by themselves. */
  release(fingerprint: string, begun: boolean): void {
    const life = this.held.get(fingerprint);
    this.held.delete(fingerprint);
    this.askedMs.delete(fingerprint);
    if (life !== undefined) this.ports.send({ kind: 'permit-released', fingerprint, life, begun });
  }

  /** See `SuspectPermits`. */
  settled(fingerprint: string): void {
    this.held.delete(fingerprint);
    this.askedMs.delete(fingerprint);
  }

  /** A run of a watched request has ended well. */
  completed(fingerprint: string, version: string): void {
    if (!this.isDue(this.reportedMs, fingerprint, COMPLETION_REPORT_MS)) return;
    this.ports.send({ kind: 'run-completed', fingerprint, version });
  }

  private isDue(times: Map<string, number>, fingerprint: string, pauseMs: number): boolean {
    const nowMs = this.ports.runtime.nowMs();
    if (nowMs - (times.get(fingerprint) ?? -Infinity) < pauseMs) return false;
    times.delete(fingerprint);
    times.set(fingerprint, nowMs);
    if (times.size > MOST_REMEMBERED) times.delete(times.keys().next().value ?? '');
    return true;
  }
}
