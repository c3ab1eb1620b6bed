/**
 * Probes the back end's address to determine which incarnation is there, where a heartbeat alone does not show it.
 */
import { idOfIncarnation, incarnationName, type BackendIncarnation } from '../model/backend-incarnation.js';
import type { Runtime } from '../runtime/runtime.js';
import type { BackendCalls, BackendIdentity } from './backend-report.js';
import type { IncarnationState } from './end-confirmation.js';
import type { LocalBackend } from './local-backend.js';

/**
 * Time in ms after its last heartbeat during which the current incarnation is replaced by another only if a probe
 * confirms the other one.
 */
const RECENT_HEARTBEAT_MS = 1_500;

/** Dependencies on the daemon. */
export interface IncarnationProbePorts {
  readonly runtime: Runtime;
  readonly backend: LocalBackend;
  readonly calls: BackendCalls;
  /** Returns the path at which the back end reports its identity; null if it cannot be probed. */
  readonly healthPath: () => string | null;
  /** Called with the answer of the current incarnation to a probe. */
  readonly onAnswer: (identity: BackendIdentity) => void;
}

/** Probes the identity and health of the local back end. */
export class IncarnationProbe {
  constructor(private readonly ports: IncarnationProbePorts) {}

  /**
   * Whether the sender of a heartbeat may be the incarnation at the address. A delayed heartbeat may arrive after
   * its sender has ended and another incarnation has started; accepting it would end the registration of the
   * incarnation that is there. If the probe gets no answer, an incarnation with a recent heartbeat stays.
   */
  async isPresent(incarnation: BackendIncarnation): Promise<boolean> {
    const { runtime, backend, calls } = this.ports;
    const path = this.ports.healthPath();
    if (path === null || backend.hasSeen(incarnation)) return true;
    const identity = await calls.identify(path);
    if (identity?.id === undefined || identity.id === null) {
      return backend.life === null || runtime.nowMs() - backend.lastHeartbeatMs > RECENT_HEARTBEAT_MS;
    }
    return matchesIncarnation(identity, incarnation);
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

  /** Probes whether an incarnation is at the address; the process there may be known to be gone without an answer. */
  async stateOf(name: string, listens: () => Promise<boolean>): Promise<IncarnationState> {
    const path = this.ports.healthPath();
    const { heartbeat } = this.ports.backend;
    const identity = path === null ? null : await this.ports.calls.identify(path);
    if (identity === null) return (await listens()) ? 'unknown' : 'ended';
    if (identity.id === null) return 'unknown';
    const isCurrent = heartbeat !== null && incarnationName(heartbeat) === name;
    const isPresent = isCurrent
      ? matchesIncarnation(identity, heartbeat)
      : identity.id === idOfIncarnation(name);
    return isPresent ? 'present' : 'ended';
  }

  /** Probes the back end; null unless the current incarnation answers. */
  private async identifyCurrent(path: string): Promise<BackendIdentity | null> {
    const identity = await this.ports.calls.identify(path);
    const { heartbeat } = this.ports.backend;
    if (identity === null || heartbeat === null || !matchesIncarnation(identity, heartbeat)) return null;
    this.ports.onAnswer(identity);
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
    const identity = await calls.identify(path);
    return identity?.isHealthy === true ? reported : heartbeat;
  }
}

/** Whether a reported identity matches an incarnation; fields that are not reported match any value. */
function matchesIncarnation(identity: BackendIdentity, { id, bornMs }: BackendIncarnation): boolean {
  return (identity.id ?? id) === id && (identity.bornMs ?? bornMs) === bornMs;
}
