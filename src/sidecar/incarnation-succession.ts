/**
 * Decides which incarnation of the back end is at the daemon's address. A heartbeat of another incarnation than the known one
 * may be the first of its successor, or a delayed one of a predecessor that has ended. That the known incarnation does not
 * answer a probe shows neither: it may be busy.
 */
import { incarnationName, parseIncarnation, type BackendIncarnation } from '../model/backend-incarnation.js';
import type { Runtime } from '../runtime/runtime.js';
import type { IncarnationState } from './end-confirmation.js';
import type { LocalBackend } from './local-backend.js';

/** Interval in ms between probes of an incarnation that is to replace a registered one. */
const PROOF_INTERVAL_MS = 300;

/** Dependencies on the daemon. */
export interface SuccessionPorts {
  readonly runtime: Runtime;
  readonly backend: LocalBackend;
  /** Probes whether an incarnation is at the address; `unknown` without an answer, or if the back end cannot be probed. */
  readonly probe: (incarnation: BackendIncarnation) => Promise<IncarnationState>;
  /** Returns the incarnation that is registered at this daemon; null if there is none or it is unknown. */
  readonly registered: () => string | null;
  /** Time in ms without a sign of life after which an incarnation counts as ended if it holds no keys. */
  readonly silenceTimeoutMs: number;
  /** Whether the back end is certain to hold no keys any more. */
  readonly holdsNoKeys: () => boolean;
  /** Called when a probe has shown that the current incarnation is at the address. */
  readonly onProven: () => void;
  /** Called when a probe has shown that another incarnation than the current one is at the address. */
  readonly onDisproved: () => void;
}

/** Order in which incarnations of one back end replace each other. */
export class IncarnationSuccession {
  private readonly startedMs: number;
  /** Incarnation that a probe has shown to be at the address after those before it. */
  private proven: string | null = null;
  /** Incarnation in whose place another one has answered. */
  private misdirected: string | null = null;
  /** Time in ms of the last answer of the current incarnation. */
  private lastAnswerMs = -Infinity;
  private proofInProgress = false;
  private nextProofMs = -Infinity;

  constructor(private readonly ports: SuccessionPorts) {
    this.startedMs = ports.runtime.nowMs();
  }

  /**
   * Whether the sender of a heartbeat counts as the incarnation at the address. One that counted as ended counts again if a
   * probe shows that it is there, or if its end was only assumed and no other incarnation has taken its place.
   */
  async accepts(sender: BackendIncarnation): Promise<boolean> {
    const { backend, probe } = this.ports;
    if (backend.isCurrent(sender) || backend.endOf(sender) === 'left') return true;
    const state = await probe(sender);
    // Another message may have been processed meanwhile, so what is known is read only now.
    if (backend.isCurrent(sender)) return true;
    if (state === 'ended' || (state === 'unknown' && !this.isUnopposed(sender))) return false;
    this.proven = state === 'present' ? incarnationName(sender) : null;
    backend.readmit(sender);
    return true;
  }

  /**
   * Whether the current incarnation may replace a registration of another one. The directory ends the replaced registration
   * and reassigns its keys at once, so the other incarnation must be certain to have ended.
   */
  mayReplace(registered: string): boolean {
    const { backend } = this.ports;
    if (backend.life === null) return false;
    if (backend.life === this.proven || backend.isPast(registered)) return true;
    if (startedAfter(parseIncarnation(backend.life), registered) || this.hasEnded(registered)) return true;
    void this.proveCurrent(backend.life);
    return false;
  }

  /** Records that a probe has shown that the current incarnation is at the address. */
  recordProof(): void {
    this.proven = this.ports.backend.life;
  }

  /** Records an answer that only the current incarnation can have given. */
  recordAnswer(): void {
    this.lastAnswerMs = this.ports.runtime.nowMs();
    this.misdirected = null;
  }

  /** Records that something sent to an incarnation was rejected as meant for another one. */
  recordMisdirected(instance: string): void {
    this.misdirected = instance;
  }

  /** Whether no other incarnation may still be at the address, as far as is known without a probe. */
  private isUnopposed(sender: BackendIncarnation): boolean {
    if (this.ports.backend.endOf(sender) === 'ended') return false;
    const incumbent = this.incumbent();
    if (incumbent === null || incumbent === incarnationName(sender)) return true;
    return startedAfter(sender, incumbent) || this.hasEnded(incumbent);
  }

  /**
   * Returns the incarnation that counts as present. Without a proof that goes to the registered one: the previous process of
   * this daemon had accepted it, and this process may have received only delayed heartbeats.
   */
  private incumbent(): string | null {
    const { backend, registered } = this.ports;
    if (backend.life !== null && backend.life === this.proven) return backend.life;
    const known = registered();
    return known !== null && !backend.isPast(known) ? known : backend.life;
  }

  /** Whether an incarnation has certainly ended, or has been silent until its keys and its lease have run out. */
  private hasEnded(instance: string): boolean {
    const { backend, runtime, silenceTimeoutMs, holdsNoKeys } = this.ports;
    if (instance === this.misdirected) return true;
    const isCurrent = instance === backend.life;
    const lastSignMs = isCurrent ? Math.max(backend.lastHeartbeatMs, this.lastAnswerMs) : this.startedMs;
    return runtime.nowMs() - lastSignMs > silenceTimeoutMs && holdsNoKeys();
  }

  private async proveCurrent(life: string): Promise<void> {
    const { backend, runtime, probe } = this.ports;
    const { heartbeat } = backend;
    if (this.proofInProgress || heartbeat === null || runtime.nowMs() < this.nextProofMs) return;
    this.proofInProgress = true;
    const state = await probe(heartbeat);
    this.proofInProgress = false;
    this.nextProofMs = runtime.nowMs() + PROOF_INTERVAL_MS;
    if (backend.life !== life) return;
    if (state === 'ended') this.ports.onDisproved();
    if (state !== 'present') return;
    this.proven = life;
    this.ports.onProven();
  }
}

/** Whether an incarnation has the id of another one and states a later start. */
function startedAfter({ id, bornMs }: BackendIncarnation, other: string): boolean {
  const earlier = parseIncarnation(other);
  return earlier.id === id && bornMs !== null && earlier.bornMs !== null && bornMs > earlier.bornMs;
}
