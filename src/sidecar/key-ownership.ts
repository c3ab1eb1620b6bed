/**
 * The keys of the back end beside a daemon: which it owns, which it certainly holds and which it may still hold, whichever way
 * they are granted.
 */
import type { DirectoryRequest } from '../directory/directory-messages.js';
import type { GrantMode } from '../directory/directory-state.js';
import type { Runtime } from '../runtime/runtime.js';
import type { EventLog } from '../telemetry/event-log.js';
import type { BackendCalls, BackendHeartbeat, HeartbeatGrant } from './backend-report.js';
import type { DirectoryTable } from './directory-table.js';
import { HeartbeatGrants } from './heartbeat-grants.js';
import { InvokedGrants } from './invoked-grants.js';
import type { LeaseKeeper } from './lease-keeper.js';
import type { LocalBackend } from './local-backend.js';
import { OutstandingGrants } from './outstanding-grants.js';
import { OwnedRanges } from './owned-ranges.js';

/** Longest time in ms for which a heartbeat's answer waits for keys that are on their way. */
const ANSWER_WAIT_MS = 700;

/** Time in ms by which a grant may outlast its end here, for clocks that run at different rates. */
const HOLD_MARGIN_MS = 400;

/** What is needed of the daemon. */
export interface KeyOwnershipPorts {
  readonly runtime: Runtime;
  readonly log: EventLog;
  readonly table: DirectoryTable;
  readonly lease: LeaseKeeper;
  readonly backend: LocalBackend;
  readonly calls: BackendCalls;
  readonly service: string;
  /** How keys are granted while the configuration does not say. */
  readonly usualGrantMode: GrantMode;
  /** Longest time for which a back end is granted keys, in ms. */
  readonly holdMs: number;
  readonly send: (request: DirectoryRequest) => boolean;
  /** Asks at the back end's address whether the present life is there. */
  readonly isPresent: () => Promise<boolean>;
  /** The back end may hold more keys than before. */
  readonly onGained: () => void;
}

/** Keys of one back end. */
export class KeyOwnership {
  private readonly owned: OwnedRanges;
  private readonly outstanding = new OutstandingGrants();
  private grants: HeartbeatGrants | InvokedGrants;
  private readonly waiters = new Set<() => void>();
  /** Since when heartbeats wait for keys and none was answered, in ms; null while none waits. */
  private awaitedSinceMs: number | null = null;
  /** When nothing can be held any more that the process before this one granted, or that was granted another way. */
  private earlierGrantsEndMs: number;

  constructor(private readonly ports: KeyOwnershipPorts) {
    const { runtime, table, lease, service, backend, holdMs } = ports;
    this.earlierGrantsEndMs = runtime.steadyMs() + holdMs;
    this.owned = new OwnedRanges(table, lease, service, () => backend.life);
    this.grants = this.makeGrants();
  }

  /** Whether the service is divided by key, as far as the configuration is known. */
  get isKeyed(): boolean {
    return this.ports.table.service(this.ports.service)?.keyed === true;
  }

  /** Whether the back end certainly holds nothing any more. */
  get holdsNothing(): boolean {
    return this.ports.runtime.steadyMs() > this.mayHoldUntilMs + HOLD_MARGIN_MS;
  }

  /** Whether the back end certainly holds a key now; one of a service without keys holds all. */
  holds(key: number): boolean {
    return !this.isKeyed || this.grants.holds(key);
  }

  /** Whether the back end owns a key, or will in a moment. */
  owns(key: number): boolean {
    return this.owned.placeOf(key) === 'here';
  }

  /** Takes what a heartbeat tells of keys. */
  take(heartbeat: BackendHeartbeat): void {
    if (this.grants instanceof HeartbeatGrants) this.grants.take(heartbeat);
    else this.grants.tableChanged();
  }

  /** What the answer to a heartbeat grants, after a wait for keys that are on their way; null renews nothing. */
  async answer(heartbeat: BackendHeartbeat, arrivedMs: number): Promise<HeartbeatGrant | null> {
    const { grants } = this;
    if (!(grants instanceof HeartbeatGrants)) return null;
    if (heartbeat.condition === 'ready' && this.awaitsKeys) await this.waitForKeys();
    const isNewest = this.ports.backend.heartbeat === heartbeat && this.grants === grants;
    if (!this.isKeyed || !isNewest) return null;
    this.awaitedSinceMs = null;
    return grants.answer(heartbeat, arrivedMs);
  }

  /** The table or the registration has changed. */
  tableChanged(): void {
    this.grants.tableChanged();
    if (!this.awaitsKeys) for (const done of [...this.waiters]) done();
  }

  /** The configuration may name another way of granting. */
  adoptGrantMode(): void {
    const present = this.grants instanceof HeartbeatGrants ? 'heartbeat' : 'invoke';
    if (this.grantMode === present) return;
    this.earlierGrantsEndMs = this.mayHoldUntilMs;
    this.grants.stop();
    this.grants = this.makeGrants();
  }

  /** Another life may have begun at the address; those that tell no start go by ids of their own, which grants name. */
  doubtLife(): void {
    const mayShareId = this.ports.backend.heartbeat !== null && this.ports.backend.heartbeat.bornMs !== null;
    if (mayShareId && this.grants instanceof InvokedGrants) this.grants.awaitHeartbeat();
  }

  /** The back end has another life, or is gone. */
  clear(): void {
    this.grants.clear();
  }

  /** Grants no more. */
  stop(): void {
    this.grants.stop();
  }

  private get grantMode(): GrantMode {
    return this.ports.table.service(this.ports.service)?.grantMode ?? this.ports.usualGrantMode;
  }

  /** Taken to hold nothing after a restart, a back end lost its keys to others while it held them. */
  private get mayHoldUntilMs(): number {
    return Math.max(this.earlierGrantsEndMs, this.grants.heldUntil);
  }

  /** A daemon that was started a moment ago may not know yet whether any are on their way. */
  private get awaitsKeys(): boolean {
    if (this.ports.table.index === 0) return true;
    return this.isKeyed && (this.ports.lease.session === null || this.owned.awaitsKeys());
  }

  private makeGrants(): HeartbeatGrants | InvokedGrants {
    const { runtime, log, service, lease, backend, holdMs, send, onGained, calls, isPresent } = this.ports;
    const { owned, outstanding } = this;
    const instance = (): string | null => backend.life;
    const ports = { runtime, log, service, lease, owned, holdMs, outstanding, instance, send, onGained };
    if (this.grantMode === 'heartbeat') return new HeartbeatGrants(ports);
    return new InvokedGrants(ports, calls, isPresent, () => backend.heartbeat?.sequence ?? 0);
  }

  /** Heartbeats that follow each other while they wait share one wait: none of them would be answered otherwise. */
  private async waitForKeys(): Promise<void> {
    const { runtime } = this.ports;
    const nowMs = runtime.nowMs();
    this.awaitedSinceMs ??= nowMs;
    const leftMs = Math.max(0, this.awaitedSinceMs + ANSWER_WAIT_MS - nowMs);
    await new Promise<void>((resolve) => {
      const done = (): void => {
        cancel();
        this.waiters.delete(done);
        resolve();
      };
      const cancel = runtime.after(leftMs, done);
      this.waiters.add(done);
    });
  }
}
