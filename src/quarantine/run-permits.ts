/**
 * Permits to run suspects. The leader gives one at a time for each of them, so that a request that ends what runs it is not
 * tried at two places at once.
 */
import type { Runtime } from '../runtime/runtime.js';
import type { RunNotice, RunRequest } from './crash-messages.js';
import type { EndedLife } from './end-reporter.js';

/** Pause before a permit is asked for again, in ms: about as long as a run that has it takes. */
const ASK_AGAIN_MS = 120;

/** Pause between reports of one request that ended well, in ms. */
const COMPLETION_REPORT_MS = 200;

/** Fingerprints that are remembered at once. */
const MOST_REMEMBERED = 512;

/** What the permits need of their daemon. */
export interface RunPermitPorts {
  readonly runtime: Runtime;
  readonly send: (request: RunRequest) => boolean;
  /** Whether a life of a back end is still there to use a permit. */
  readonly isPresent: (life: string) => boolean;
  /** A permit has come. */
  readonly onPermit: (fingerprint: string) => void;
}

/** Permits of one daemon. */
export class RunPermits {
  private readonly askedMs = new Map<string, number>();
  private readonly reportedMs = new Map<string, number>();
  /** Life for which each permit is held. */
  private readonly held = new Map<string, string>();

  constructor(private readonly ports: RunPermitPorts) {}

  /** Whether a life of a back end may run a request now. */
  holds(fingerprint: string, life: string): boolean {
    return this.held.get(fingerprint) === life;
  }

  /** Asks for a permit, unless that was done a moment ago. */
  ask(fingerprint: string, { id, version }: EndedLife): void {
    if (this.holds(fingerprint, id) || !this.isDue(this.askedMs, fingerprint, ASK_AGAIN_MS)) return;
    this.ports.send({ kind: 'run-permit', fingerprint, life: id, version });
  }

  /** Takes an answer of the leader. */
  receive(notice: RunNotice): void {
    if (notice.kind !== 'run-permitted') return;
    const { fingerprint, life } = notice;
    if (!this.ports.isPresent(life)) {
      this.ports.send({ kind: 'permit-released', fingerprint, life, begun: false });
      return;
    }
    this.held.set(fingerprint, life);
    this.ports.onPermit(fingerprint);
  }

  /** The permit is given back; `begun`: a run of it may have begun. */
  release(fingerprint: string, begun: boolean): void {
    const life = this.held.get(fingerprint);
    this.held.delete(fingerprint);
    this.askedMs.delete(fingerprint);
    if (life !== undefined) this.ports.send({ kind: 'permit-released', fingerprint, life, begun });
  }

  /** A back end has answered a run of a watched request, with a success or a failure, and goes on. */
  completed(fingerprint: string, version: string, isGood: boolean): void {
    if (!this.isDue(this.reportedMs, fingerprint, COMPLETION_REPORT_MS)) return;
    this.ports.send({ kind: 'run-completed', fingerprint, version, isGood });
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
