/**
 * Probes the back end's address to determine which incarnation is there, where a heartbeat alone does not show it.
 */
import { idOfIncarnation, incarnationName, type BackendIncarnation } from '../model/backend-incarnation.js';
import type { BackendCalls, BackendIdentity } from './backend-report.js';
import type { IncarnationState } from './end-confirmation.js';
import type { LocalBackend } from './local-backend.js';

/** Dependencies on the daemon. */
export interface IncarnationProbePorts {
  readonly backend: LocalBackend;
  readonly calls: BackendCalls;
  /** Returns the incarnation that is registered at this daemon; null if there is none or it is unknown. */
  readonly registered: () => string | null;
  /** Returns the path at which the back end reports its identity; null if it cannot be probed. */
  readonly healthPath: () => string | null;
  /** Called with an answer to a probe that matches the current incarnation; `isProof` if no other one can have given it. */
  readonly onAnswer: (identity: BackendIdentity, isProof: boolean) => void;
}

/** Probes the identity and health of the local back end. */
export class IncarnationProbe {
  constructor(private readonly ports: IncarnationProbePorts) {}

  /** Probes whether an incarnation is at the address; `unknown` without an answer that shows it. */
  async stateOf(incarnation: BackendIncarnation): Promise<IncarnationState> {
    const path = this.ports.healthPath();
    if (path === null) return 'unknown';
    const identity = await this.ports.calls.identify(path, incarnation.id);
    if (identity === null) return 'unknown';
    if (identity.isOther) return 'ended';
    if (identity.id === null || !this.isDistinctive(identity, incarnation)) return 'unknown';
    return matchesIncarnation(identity, incarnation) ? 'present' : 'ended';
  }

  /** Whether the known incarnation is the one at the address; true if the back end cannot be probed. */
  async isKnownIncarnationPresent(): Promise<boolean> {
    const path = this.ports.healthPath();
    if (path === null || this.ports.backend.heartbeat === null) return true;
    return (await this.identifyCurrent(path)) !== null;
  }

  /**
   * Whether the current incarnation is at the address and reports that it is healthy and not leaving; true if the
   * back end cannot be probed.
   */
  async isCurrentHealthy(): Promise<boolean> {
    const path = this.ports.healthPath();
    if (path === null) return true;
    const identity = await this.identifyCurrent(path);
    return identity?.isHealthy === true && !identity.signals.leaving;
  }

  /** Probes for the incarnation of a name; without an answer, one at whose address no process listens has ended. */
  async stateOfName(name: string, listens: () => Promise<boolean>): Promise<IncarnationState> {
    const { heartbeat } = this.ports.backend;
    const isCurrent = heartbeat !== null && incarnationName(heartbeat) === name;
    const incarnation = isCurrent ? heartbeat : { id: idOfIncarnation(name), bornMs: null };
    const state = await this.stateOf(incarnation);
    return state === 'unknown' && !(await listens()) ? 'ended' : state;
  }

  /**
   * Whether a reported identity tells an incarnation from others: an id without a start time does not, if another incarnation
   * is known to have the same id.
   */
  private isDistinctive(identity: BackendIdentity, incarnation: BackendIncarnation): boolean {
    const { id, bornMs } = incarnation;
    if (identity.id !== id || identity.bornMs !== null || bornMs === null) return true;
    const { backend, registered } = this.ports;
    const isAnother = (name: string | null): boolean =>
      name !== null && name !== incarnationName(incarnation) && idOfIncarnation(name) === id;
    return !isAnother(backend.life) && !isAnother(registered()) && !backend.hadEarlierIncarnation(id);
  }

  /** Probes the back end; null unless the current incarnation answers. */
  private async identifyCurrent(path: string): Promise<BackendIdentity | null> {
    const { heartbeat } = this.ports.backend;
    if (heartbeat === null) return null;
    const identity = await this.ports.calls.identify(path, heartbeat.id);
    const current = this.ports.backend.heartbeat;
    if (identity === null || identity.isOther || current === null) return null;
    if (!matchesIncarnation(identity, current)) return null;
    this.ports.onAnswer(identity, identity.id !== null && this.isDistinctive(identity, current));
    return identity;
  }

  /**
   * Returns the incarnation that a final message comes from. Without a start time it is attributed to the current
   * incarnation of that id, unless an earlier incarnation had the same id and the probe reports the current one as
   * healthy: then the message is a delayed one of the earlier incarnation.
   */
  async resolveLeaving(reported: BackendIncarnation): Promise<BackendIncarnation> {
    const { backend, calls } = this.ports;
    const { heartbeat } = backend;
    if (reported.bornMs !== null || heartbeat?.id !== reported.id) return reported;
    const path = this.ports.healthPath();
    if (path === null || !backend.hadEarlierIncarnation(reported.id)) return heartbeat;
    const identity = await calls.identify(path, reported.id);
    return identity?.isHealthy === true ? reported : heartbeat;
  }
}

/** Whether a reported identity matches an incarnation; fields that are not reported match any value. */
function matchesIncarnation(identity: BackendIdentity, { id, bornMs }: BackendIncarnation): boolean {
  return (identity.id ?? id) === id && (identity.bornMs ?? bornMs) === bornMs;
}
