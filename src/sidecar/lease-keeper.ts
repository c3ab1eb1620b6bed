/**
 * Registers the back end beside this daemon at the directory and keeps its lease. The lease counts from when a
 * request was sent, so that it ends here before it ends at the directory.
 */
import type { DirectoryNotice, DirectoryRequest, LeaseNotice } from '../directory/directory-messages.js';
import type { BackendCondition } from '../directory/directory-state.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import { policyIsOn } from '../policy-switches.js';
import type { EventLog } from '../telemetry/event-log.js';

/** Pause between renewals, in ms. */
const RENEW_MS = 700;

/** Pause between renewals while requests wait for places, in ms: their load is news. */
const RENEW_PRESSED_MS = 300;

/** Pause between attempts to register, in ms. */
const REGISTER_RETRY_MS = 300;

/** The back end as it is registered. */
export interface RegisteredBackend {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  readonly condition: BackendCondition;
  readonly version: string;
}

/** What the keeper needs of its daemon. */
export interface LeaseKeeperPorts {
  readonly runtime: Runtime;
  readonly log: EventLog;
  readonly daemonAddress: string;
  /** Another life that is registered at this daemon, null for none; undefined while the table is not known. */
  readonly otherLife: (id: string) => string | null | undefined;
  /** Index up to which every change of the table is held here. */
  readonly heldIndex: () => number;
  readonly send: (request: DirectoryRequest) => boolean;
  /** Slot time used since the last report, by bucket of keys. */
  readonly takeLoad: () => (readonly [number, number])[];
  /** Whether requests wait for places at the back end. */
  readonly pressed: () => boolean;
  readonly onChange: () => void;
}

/** A lease that is not used before the table holds everything up to an index. */
interface AwaitedLease {
  readonly session: number;
  readonly deadlineMs: number;
  readonly index: number;
}

/** The registration of one daemon's back end. */
export class LeaseKeeper {
  private awaited: AwaitedLease | null = null;
  private backend: RegisteredBackend | null = null;
  private currentSession: number | null = null;
  private leaseDeadlineMs = -Infinity;
  private dueMs = 0;
  private readonly cancelTimer: CancelTimer;

  constructor(private readonly ports: LeaseKeeperPorts) {
    this.cancelTimer = ports.runtime.every(100, () => {
      this.step();
    });
  }

  /** Session of the present registration; null while there is none. */
  get session(): number | null {
    return this.currentSession;
  }

  /** When the lease ends, in ms of the daemon's clock. */
  get deadlineMs(): number {
    return this.leaseDeadlineMs;
  }

  /** The back end has told about itself. */
  update(backend: RegisteredBackend): void {
    const known = this.backend;
    this.backend = backend;
    if (known?.id !== backend.id) this.restart();
    else if (known.condition !== backend.condition || known.slots !== backend.slots) this.dueMs = 0;
    this.step();
  }

  /** The back end holds nothing any more and runs nothing; its keys may be given away at once. */
  giveUp(reason: string): void {
    const { backend, currentSession } = this;
    this.backend = null;
    if (backend === null) return;
    this.ports.log.event('registration-given-up', { instance: backend.id, session: currentSession, reason });
    if (currentSession !== null) {
      this.ports.send({ kind: 'unregister', id: backend.id, session: currentSession });
    }
    this.restart();
  }

  /** A replica can be reached again. */
  reconnected(): void {
    this.dueMs = 0;
    this.step();
  }

  /** The table has changed; a registration or a lease may have waited for it. */
  tableChanged(): void {
    this.adoptAwaited();
    if (this.currentSession === null) this.step();
  }

  /** Takes an answer of the directory. */
  receive(notice: DirectoryNotice): void {
    if (!('id' in notice) || notice.id !== this.backend?.id) return;
    switch (notice.kind) {
      case 'registered':
      case 'renewed':
        this.takeLease(notice);
        break;
      case 'session-ended':
        if (notice.session === this.currentSession) this.ended();
        break;
      default:
        break;
    }
  }

  /** Stops renewing; the lease runs on. */
  stop(): void {
    this.cancelTimer();
  }

  private takeLease({ session, sentMs, termMs, index }: LeaseNotice): void {
    const deadlineMs = sentMs + termMs;
    if (session === this.currentSession) {
      this.leaseDeadlineMs = Math.max(this.leaseDeadlineMs, deadlineMs);
      return;
    }
    const known = this.awaited?.session === session ? this.awaited : null;
    this.awaited = { session, deadlineMs, index: Math.min(index, known?.index ?? index) };
    this.adoptAwaited();
  }

  /**
   * A session outlives the process that opened it. Joined to a table of before what that process released, its lease
   * brought keys back that another back end held.
   */
  private adoptAwaited(): void {
    const heldIndex = this.ports.heldIndex();
    if (this.awaited === null || heldIndex < this.awaited.index) return;
    const { session, deadlineMs, index } = this.awaited;
    this.awaited = null;
    this.currentSession = session;
    this.leaseDeadlineMs = deadlineMs;
    this.ports.log.event('registered', { instance: this.backend?.id, session, heldIndex, leaseIndex: index });
    this.ports.onChange();
  }

  private ended(): void {
    this.ports.log.event('registration-ended', { instance: this.backend?.id, session: this.currentSession });
    this.restart();
  }

  private restart(): void {
    this.currentSession = null;
    this.awaited = null;
    this.leaseDeadlineMs = -Infinity;
    this.dueMs = 0;
    this.ports.onChange();
  }

  private register(backend: RegisteredBackend, nowMs: number): void {
    const replaces = this.ports.otherLife(backend.id);
    if (replaces === undefined) return;
    this.dueMs = nowMs + REGISTER_RETRY_MS;
    const instance = { ...backend, daemonAddress: this.ports.daemonAddress };
    this.ports.send({ kind: 'register', instance, replaces, sentMs: nowMs });
  }

  private step(): void {
    const { backend, ports } = this;
    const nowMs = ports.runtime.nowMs();
    if (backend === null) return;
    this.adoptAwaited();
    const pressed = this.currentSession !== null && policyIsOn('quick-balance') && ports.pressed();
    if (nowMs < this.dueMs - (pressed ? RENEW_MS - RENEW_PRESSED_MS : 0)) return;
    if (this.currentSession === null || this.dueMs === 0) {
      this.register(backend, nowMs);
      return;
    }
    this.dueMs = nowMs + RENEW_MS;
    const load = ports.takeLoad().map(([bucket, ms]): [number, number] => [bucket, ms]);
    ports.send({ kind: 'renew', id: backend.id, session: this.currentSession, sentMs: nowMs, load });
  }
}
