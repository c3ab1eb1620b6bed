/**
 * Key ownership of the local back end, in either grant mode: the keys that the directory assigns to it, those that it
 * certainly holds, and those that it may still hold by an earlier grant.
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

/** Maximum time in ms for which a heartbeat's answer waits for keys that are being moved to the back end. */
const MAX_ANSWER_WAIT_MS = 700;

/** Time in ms by which a grant may outlast its deadline here, because clocks run at different rates. */
const CLOCK_DRIFT_MARGIN_MS = 400;

/** Dependencies on the daemon. */
export interface KeyOwnershipPorts {
  readonly runtime: Runtime;
  readonly log: EventLog;
  readonly table: DirectoryTable;
  readonly lease: LeaseKeeper;
  readonly backend: LocalBackend;
  readonly calls: BackendCalls;
  readonly service: string;
  /** Grant mode used unless the configuration specifies one. */
  readonly defaultGrantMode: GrantMode;
  /** Maximum duration of a grant in ms. */
  readonly holdMs: number;
  /** Id of this process, under which it holds the registration. */
  readonly holder: string;
  readonly send: (request: DirectoryRequest) => boolean;
  /** Probes whether the current incarnation is at the back end's address. */
  readonly isPresent: () => Promise<boolean>;
  /** Called when the back end may hold more keys than before. */
  readonly onKeysGained: () => void;
  /** Called when the back end rejected a grant that names an incarnation as meant for another one. */
  readonly onMisdirected: (instance: string) => void;
}

/** Keys of one back end. */
export class KeyOwnership {
  private readonly owned: OwnedRanges;
  private readonly outstanding = new OutstandingGrants();
  private grants: HeartbeatGrants | InvokedGrants;
  private readonly answerWaiters = new Set<() => void>();
  /** Time in ms since which heartbeats have waited for keys without any being answered; null while none waits. */
  private waitingSinceMs: number | null = null;
  /**
   * Time in ms of the steady clock after which all grants of the previous process and of the other grant mode have
   * expired.
   */
  private earlierGrantsEndMs: number;

  constructor(private readonly ports: KeyOwnershipPorts) {
    const { runtime, table, lease, service, backend, holdMs } = ports;
    this.earlierGrantsEndMs = runtime.steadyMs() + holdMs;
    this.owned = new OwnedRanges(table, lease, service, () => backend.life);
    this.grants = this.makeGrants();
  }

  /** Whether the known configuration defines the service as keyed. */
  get isKeyed(): boolean {
    return this.ports.table.service(this.ports.service)?.keyed === true;
  }

  /** Whether the back end is certain to hold no keys any more. */
  get holdsNoKeys(): boolean {
    return this.ports.runtime.steadyMs() > this.mayHoldUntilMs + CLOCK_DRIFT_MARGIN_MS;
  }

  /** Whether the back end is certain to hold a key now; always true for a service without keys. */
  holds(key: number): boolean {
    return !this.isKeyed || this.grants.holds(key);
  }

  /** Whether the back end owns a key or is about to. */
  owns(key: number): boolean {
    return this.owned.locationOf(key) === 'here';
  }

  /** Processes the held and released ranges of a heartbeat. */
  recordHeartbeat(heartbeat: BackendHeartbeat): void {
    if (this.grants instanceof HeartbeatGrants) this.grants.recordHeartbeat(heartbeat);
    else this.grants.tableChanged();
  }

  /**
   * Returns the grant for a heartbeat's answer, after waiting for keys that are being moved to the back end; null
   * to leave the earlier grant unrenewed.
   */
  async answer(heartbeat: BackendHeartbeat, arrivedMs: number): Promise<HeartbeatGrant | null> {
    const { grants } = this;
    if (!(grants instanceof HeartbeatGrants)) return null;
    if (heartbeat.condition === 'ready' && this.awaitsKeys) await this.waitForKeys();
    const isNewest = this.ports.backend.heartbeat === heartbeat && this.grants === grants;
    if (!this.isKeyed || !isNewest) return null;
    this.waitingSinceMs = null;
    return grants.answer(heartbeat, arrivedMs);
  }

  /** Called when the table or the registration has changed. */
  tableChanged(): void {
    this.grants.tableChanged();
    if (!this.awaitsKeys) for (const done of [...this.answerWaiters]) done();
  }

  /** Switches to the grant mode of the present configuration. */
  applyGrantMode(): void {
    const currentMode = this.grants instanceof HeartbeatGrants ? 'heartbeat' : 'invoke';
    if (this.grantMode === currentMode) return;
    this.earlierGrantsEndMs = this.mayHoldUntilMs;
    this.grants.stop();
    this.grants = this.makeGrants();
  }

  /**
   * Called when another incarnation may have started at the address. Only back ends that report a start time may
   * reuse an id; the others have an id per incarnation, which grants name.
   */
  suspectRestart(): void {
    const mayShareId = this.ports.backend.heartbeat !== null && this.ports.backend.heartbeat.bornMs !== null;
    if (mayShareId && this.grants instanceof InvokedGrants) this.grants.suspendUntilHeartbeat();
  }

  /** Discards all grants: the back end has a new incarnation or has ended. */
  clear(): void {
    this.grants.clear();
  }

  /** Stops granting keys. */
  stop(): void {
    this.grants.stop();
  }

  private get grantMode(): GrantMode {
    return this.ports.table.service(this.ports.service)?.grantMode ?? this.ports.defaultGrantMode;
  }

  /**
   * Latest time until which the back end may hold keys, including grants of the previous process: when those were left
   * out, keys were reassigned after a daemon restart while the back end still held them.
   */
  private get mayHoldUntilMs(): number {
    return Math.max(this.earlierGrantsEndMs, this.grants.holdsExpireAtMs);
  }

  /** Whether keys may be in transfer to this back end; assumed to be so until this daemon has a table. */
  private get awaitsKeys(): boolean {
    if (this.ports.table.index === 0) return true;
    return this.isKeyed && (this.ports.lease.session === null || this.owned.awaitsKeys());
  }

  private makeGrants(): HeartbeatGrants | InvokedGrants {
    const { runtime, log, service, lease, backend, holdMs, holder, send, onKeysGained, calls, isPresent } =
      this.ports;
    const { owned, outstanding } = this;
    const instance = (): string | null => backend.life;
    const ports = {
      runtime,
      log,
      service,
      lease,
      owned,
      holdMs,
      outstanding,
      instance,
      holder,
      send,
      onKeysGained,
    };
    if (this.grantMode === 'heartbeat') return new HeartbeatGrants(ports);
    const { onMisdirected } = this.ports;
    const newestSequence = (): number => backend.heartbeat?.sequence ?? 0;
    return new InvokedGrants(ports, calls, isPresent, newestSequence, onMisdirected);
  }

  /**
   * Waits for keys that are being moved here. Heartbeats that arrive during a wait share its deadline; otherwise
   * none of them would be answered.
   */
  private async waitForKeys(): Promise<void> {
    const { runtime } = this.ports;
    const nowMs = runtime.nowMs();
    this.waitingSinceMs ??= nowMs;
    const leftMs = Math.max(0, this.waitingSinceMs + MAX_ANSWER_WAIT_MS - nowMs);
    await new Promise<void>((resolve) => {
      const done = (): void => {
        cancel();
        this.answerWaiters.delete(done);
        resolve();
      };
      const cancel = runtime.after(leftMs, done);
      this.answerWaiters.add(done);
    });
  }
}
