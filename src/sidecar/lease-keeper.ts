/**
 * Registers the local back end in the directory and renews its lease. The lease counts from when the request was
 * sent, so that it expires here before it expires in the directory.
 */
import type { DirectoryNotice, DirectoryRequest, LeaseNotice } from '../directory/directory-messages.js';
import type { BackendCondition } from '../directory/directory-state.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import { policyIsOn } from '../policy-switches.js';
import type { EventLog } from '../telemetry/event-log.js';

/** Interval between renewals, in ms. */
const RENEW_INTERVAL_MS = 700;

/** Interval between renewals while requests are queued, in ms, so that the directory receives their load sooner. */
const RENEW_INTERVAL_WITH_QUEUE_MS = 300;

/** Interval between attempts to register, in ms. */
const REGISTER_RETRY_INTERVAL_MS = 300;

/** Index in the notice of a lease that starts a session. */
const SESSION_START_INDEX = 0;

/** Registration data of a back end. */
export interface RegisteredBackend {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  readonly condition: BackendCondition;
  readonly version: string;
}

/** Dependencies on the daemon. */
export interface LeaseKeeperPorts {
  readonly runtime: Runtime;
  readonly log: EventLog;
  readonly daemonAddress: string;
  /** Id of this process, under which it holds registrations. */
  readonly holder: string;
  /** Returns the id of the process that holds a registration according to the table; null if it is unknown. */
  readonly holderOf: (id: string) => string | null;
  /**
   * Returns another incarnation that is registered at this daemon: null if there is none, undefined before the
   * first table.
   */
  readonly otherIncarnation: (id: string) => string | null | undefined;
  /** Whether the registration of another incarnation may be replaced; asked again until it may. */
  readonly mayReplace: (registered: string) => boolean;
  /** Returns the index up to which all changes are known to be applied to the table. */
  readonly heldIndex: () => number;
  readonly send: (request: DirectoryRequest) => boolean;
  /** Returns and resets the slot time used since the last report, by bucket of keys. */
  readonly takeLoad: () => (readonly [number, number])[];
  /** Returns how many slots can be used at the request rate that the back end accepts; null if all can. */
  readonly usableSlots: () => number | null;
  /** Whether requests are queued for slots of the back end. */
  readonly hasQueuedRequests: () => boolean;
  /**
   * Called when this registration has started the session: the incarnation had no registration. `leaseTermMs` is the
   * time for which an earlier one would have lasted; `replacesAnother` states whether another incarnation was registered
   * at this daemon until then.
   */
  readonly onFirstRegistration: (leaseTermMs: number, replacesAnother: boolean) => void;
  readonly onChange: () => void;
}

/** Lease that takes effect only once the table is complete up to an index. */
interface PendingLease {
  readonly session: number;
  readonly deadlineMs: number;
  readonly index: number;
}

/** Registration and lease of one daemon's back end. */
export class LeaseKeeper {
  private pendingLease: PendingLease | null = null;
  private backend: RegisteredBackend | null = null;
  private currentSession: number | null = null;
  private leaseDeadlineMs = -Infinity;
  private nextSendMs = 0;
  /** Whether a registration of the present incarnation was sent that replaces another one. */
  private replacesAnother = false;
  private readonly cancelTimer: CancelTimer;

  constructor(private readonly ports: LeaseKeeperPorts) {
    this.cancelTimer = ports.runtime.every(100, () => {
      this.renewIfDue();
    });
  }

  /** Session of the present registration; null if there is none. */
  get session(): number | null {
    return this.currentSession;
  }

  /** Deadline of the lease, in ms of the daemon's clock. */
  get deadlineMs(): number {
    return this.leaseDeadlineMs;
  }

  /** Updates the registration data after a heartbeat. */
  update(backend: RegisteredBackend): void {
    const known = this.backend;
    this.backend = backend;
    if (known?.id !== backend.id) this.resetRegistration();
    else if (known.condition !== backend.condition || known.slots !== backend.slots) this.nextSendMs = 0;
    this.renewIfDue();
  }

  /** Unregisters a back end that holds no keys and runs no requests, so that its keys can be reassigned at once. */
  giveUp(reason: string): void {
    const { backend, currentSession } = this;
    this.backend = null;
    if (backend === null) return;
    this.ports.log.event('registration-given-up', { instance: backend.id, session: currentSession, reason });
    if (currentSession !== null) {
      const { holder } = this.ports;
      this.ports.send({ kind: 'unregister', id: backend.id, session: currentSession, holder });
    }
    this.resetRegistration();
  }

  /** Called when a directory replica can be reached again. */
  reconnected(): void {
    this.nextSendMs = 0;
    this.renewIfDue();
  }

  /** Called when the table has changed; a registration or a lease may have waited for it. */
  tableChanged(): void {
    this.activatePendingLease();
    if (this.currentSession === null) this.renewIfDue();
  }

  /** Processes a notice of the directory. */
  receive(notice: DirectoryNotice): void {
    if (!('id' in notice) || notice.id !== this.backend?.id) return;
    switch (notice.kind) {
      case 'registered':
      case 'renewed':
        this.receiveLease(notice);
        break;
      case 'session-ended':
        if (notice.session === this.currentSession) this.sessionEnded();
        break;
      default:
        break;
    }
  }

  /** Stops renewing; the lease runs until its deadline. */
  stop(): void {
    this.cancelTimer();
  }

  private receiveLease({ session, sentMs, termMs, index }: LeaseNotice): void {
    const deadlineMs = sentMs + termMs;
    if (index === SESSION_START_INDEX) this.ports.onFirstRegistration(termMs, this.replacesAnother);
    if (session === this.currentSession) {
      this.leaseDeadlineMs = Math.max(this.leaseDeadlineMs, deadlineMs);
      return;
    }
    const known = this.pendingLease?.session === session ? this.pendingLease : null;
    this.pendingLease = { session, deadlineMs, index: Math.min(index, known?.index ?? index) };
    this.activatePendingLease();
  }

  /**
   * Activates the pending lease once the table is complete up to its index. A session outlives the process that
   * opened it: combined with a table older than the releases of that process, the lease would bring back keys that
   * another back end holds.
   */
  private activatePendingLease(): void {
    const heldIndex = this.ports.heldIndex();
    if (this.pendingLease === null || heldIndex < this.pendingLease.index) return;
    const { session, deadlineMs, index } = this.pendingLease;
    this.pendingLease = null;
    this.currentSession = session;
    this.leaseDeadlineMs = deadlineMs;
    this.ports.log.event('registered', { instance: this.backend?.id, session, heldIndex, leaseIndex: index });
    this.ports.onChange();
  }

  private sessionEnded(): void {
    this.ports.log.event('registration-ended', { instance: this.backend?.id, session: this.currentSession });
    this.resetRegistration();
  }

  private resetRegistration(): void {
    this.currentSession = null;
    this.pendingLease = null;
    this.leaseDeadlineMs = -Infinity;
    this.nextSendMs = 0;
    this.replacesAnother = false;
    this.ports.onChange();
  }

  private register(backend: RegisteredBackend, nowMs: number): void {
    const replaces = this.ports.otherIncarnation(backend.id);
    if (replaces === undefined || (replaces !== null && !this.ports.mayReplace(replaces))) return;
    this.nextSendMs = nowMs + REGISTER_RETRY_INTERVAL_MS;
    this.replacesAnother ||= replaces !== null;
    const { daemonAddress, holder, holderOf } = this.ports;
    const instance = { ...backend, daemonAddress, holder };
    const replacesHolder = holderOf(backend.id);
    this.ports.send({ kind: 'register', instance, replaces, replacesHolder, sentMs: nowMs });
  }

  private renewIfDue(): void {
    const { backend, ports } = this;
    const nowMs = ports.runtime.nowMs();
    if (backend === null) return;
    this.activatePendingLease();
    const hasQueue = this.currentSession !== null && policyIsOn('quick-balance') && ports.hasQueuedRequests();
    if (nowMs < this.nextSendMs - (hasQueue ? RENEW_INTERVAL_MS - RENEW_INTERVAL_WITH_QUEUE_MS : 0)) return;
    if (this.currentSession === null || this.nextSendMs === 0) {
      this.register(backend, nowMs);
      return;
    }
    this.nextSendMs = nowMs + RENEW_INTERVAL_MS;
    const load = ports.takeLoad().map(([bucket, ms]): [number, number] => [bucket, ms]);
    const usableSlots = ports.usableSlots();
    const renewal = {
      kind: 'renew',
      id: backend.id,
      session: this.currentSession,
      holder: ports.holder,
      sentMs: nowMs,
      load,
    } as const;
    ports.send(usableSlots === null ? renewal : { ...renewal, usableSlots });
  }
}
