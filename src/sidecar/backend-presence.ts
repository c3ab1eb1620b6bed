/**
 * Which life of the back end is beside a daemon: takes what it tells of itself, finds out when it is gone, and keeps its
 * registration in step with both.
 */
import type { DirectoryRequest } from '../directory/directory-messages.js';
import { lifeName, type BackendLife } from '../model/backend-life.js';
import { pause } from '../runtime/pause.js';
import type { Runtime } from '../runtime/runtime.js';
import type { EventLog } from '../telemetry/event-log.js';
import type { BackendCalls, BackendHeartbeat } from './backend-report.js';
import type { DirectoryTable } from './directory-table.js';
import type { LeaseKeeper } from './lease-keeper.js';
import { LifeCheck } from './life-check.js';
import { LocalBackend, type HeartbeatNews } from './local-backend.js';

/** Pause in ms before a back end that refused a connection is asked once more. */
const SECOND_LOOK_MS = 120;

/** Pause in ms between looks at a back end that has left. */
const LOOK_PAUSE_MS = 300;

/** What is needed of the daemon. */
export interface BackendPresencePorts {
  readonly runtime: Runtime;
  readonly log: EventLog;
  readonly table: DirectoryTable;
  readonly service: string;
  /** Time in ms after the acknowledgement of a leave in which the back end may still be sent requests. */
  readonly drainMs: number;
  /** Time in ms without a heartbeat after which a back end with keys counts as gone. */
  readonly silenceMs: number;
  readonly calls: BackendCalls;
  readonly lease: () => LeaseKeeper;
  readonly send: (request: DirectoryRequest) => boolean;
  /** Asks whether any process listens at the back end's address. */
  readonly listens: () => Promise<boolean>;
  /** Whether the back end certainly holds no keys any more. */
  readonly holdsNothing: () => boolean;
  /** The present life may be sent requests from now on. */
  readonly onConfirmed: () => void;
  /** The present life is gone. */
  readonly onGone: () => void;
}

/** The back end's presence. */
export class BackendPresence {
  readonly backend: LocalBackend;
  private readonly check: LifeCheck;
  private readonly startedMs: number;
  private lookingAgain = false;
  private confirming = false;
  private lookDueMs = -Infinity;

  constructor(private readonly ports: BackendPresencePorts) {
    const { runtime, drainMs, calls } = ports;
    this.startedMs = runtime.nowMs();
    this.backend = new LocalBackend(drainMs, this.startedMs);
    const healthPath = (): string | null => ports.table.service(ports.service)?.healthPath ?? null;
    this.check = new LifeCheck({ runtime, backend: this.backend, calls, healthPath });
  }

  /** Whether the life that is known is the one at the address; where nobody can be asked, it is taken to be. */
  async isKnownLife(): Promise<boolean> {
    return await this.check.isKnown();
  }

  /**
   * Whether a heartbeat may be of the life that is here. Whatever becomes of it, a leave that it tells binds this daemon from
   * now on, since its sender is told that it is known.
   */
  async admits(heartbeat: BackendHeartbeat): Promise<boolean> {
    if (heartbeat.condition === 'draining') this.noteLeave(heartbeat, 'heartbeat');
    if (await this.check.isPresent(heartbeat)) return true;
    const fields = { instance: lifeName(heartbeat), present: this.backend.life };
    this.ports.log.event('heartbeat-of-past-life', fields);
    return false;
  }

  /** Takes a heartbeat that was admitted. */
  take(heartbeat: BackendHeartbeat, nowMs: number): HeartbeatNews {
    const news = this.backend.take(heartbeat, nowMs);
    if (news === 'stale') this.logStale(heartbeat);
    return news;
  }

  /** A life says that it leaves and sends no more heartbeats; what it said binds, also if it is not known. */
  async leave(said: BackendLife): Promise<void> {
    const life = await this.check.saysGoodbye(said);
    this.noteLeave(life, 'goodbye');
    this.backend.leave(life, this.ports.runtime.nowMs());
    this.register();
  }

  /** Registers what is known of the present life; the table may know it from the process before this one. */
  register(): void {
    this.adoptRegistration();
    const { heartbeat, life, leaving, confirmed } = this.backend;
    // A life that is not confirmed is not offered to others: it may have left before this process began.
    if (heartbeat === null || life === null || !(confirmed || leaving)) return;
    const { service, zone, slots, version } = heartbeat;
    const condition = leaving ? 'draining' : 'ready';
    this.ports.lease().update({ id: life, service, zone, slots, version, condition });
  }

  /** A connection was refused: if nobody listens a moment later, the back end is gone. */
  async lookAgain(): Promise<void> {
    const { runtime, listens } = this.ports;
    const { life } = this.backend;
    if (this.lookingAgain || life === null) return;
    this.lookingAgain = true;
    this.lookDueMs = runtime.nowMs() + LOOK_PAUSE_MS;
    await pause(this.ports.runtime, SECOND_LOOK_MS);
    const isThere = await listens();
    this.lookingAgain = false;
    if (!isThere && this.backend.life === life) this.gone('no process listens at its address');
  }

  /** A back end that holds nothing any more gives its keys up before its lease ends. */
  step(isKeyed: boolean): void {
    const { backend } = this;
    const { runtime, silenceMs } = this.ports;
    const nowMs = runtime.nowMs();
    if (backend.life === null) return;
    const holdsNothing = this.ports.holdsNothing();
    if (backend.left && nowMs > backend.closesAtMs) {
      if (holdsNothing) this.gone('it left');
      else if (nowMs >= this.lookDueMs) void this.lookAgain();
      return;
    }
    const isSilent = nowMs - backend.lastHeardMs > silenceMs;
    if (isKeyed && isSilent && holdsNothing) this.gone('it is silent');
  }

  /** The present life is gone, and how that is known. */
  gone(reason: string): void {
    this.ports.log.event('backend-gone', { instance: this.backend.life, reason });
    this.backend.forget();
    this.ports.lease().giveUp(reason);
    this.ports.onGone();
  }

  private noteLeave(life: BackendLife, by: 'heartbeat' | 'goodbye'): void {
    const { runtime, log } = this.ports;
    const instance = lifeName(life);
    const nowMs = runtime.nowMs();
    const isPresent = this.backend.life === instance;
    const isKnown = isPresent && this.backend.leaving;
    this.backend.noteLeave(life, nowMs);
    if (isKnown && by === 'heartbeat') return;
    const closesInMs = isPresent ? Math.round(this.backend.closesAtMs - nowMs) : null;
    const upMs = Math.round(nowMs - this.startedMs);
    log.event('leave-acknowledged', { instance, by, isPresent, closesInMs, upMs });
    if (!isPresent) this.reportLeave(instance);
  }

  /** A life that this process has not heard of may be registered from the process before it, and be sent work by others. */
  private reportLeave(id: string): void {
    const known = this.ports.table.instance(id);
    if (known === undefined || known.condition === 'draining') return;
    this.ports.send({ kind: 'condition', id, session: known.session, condition: 'draining' });
  }

  private logStale({ id, bornMs, condition, sequence }: BackendHeartbeat): void {
    const { life, heartbeat } = this.backend;
    this.ports.log.event('heartbeat-ignored', {
      instance: lifeName({ id, bornMs }),
      condition,
      sequence,
      present: life,
      presentSequence: heartbeat?.sequence ?? null,
    });
  }

  private adoptRegistration(): void {
    const { life, confirmed } = this.backend;
    if (life === null || this.ports.table.index === 0) return;
    const known = this.ports.table.instance(life);
    if (known?.condition === 'draining') this.backend.adoptLeave(this.ports.runtime.nowMs());
    else if (!confirmed) void this.confirmAtAddress();
  }

  /**
   * The directory knows of no leave, but the process before this one may have acknowledged one without having reached it: the
   * back end is asked as well. Where it does not say that it is well, its next heartbeat tells. Served on the directory's
   * word alone, one that had left got requests for as long as it was there; made to wait for its second heartbeat, each
   * back end stood still for 1.4 s after a loss of power (468 of its callers' tries were refused in 3 s).
   */
  private async confirmAtAddress(): Promise<void> {
    const { life } = this.backend;
    if (this.confirming) return;
    this.confirming = true;
    const staysThere = await this.check.staysThere();
    this.confirming = false;
    if (!staysThere || life === null || this.backend.life !== life || this.backend.confirmed) return;
    this.backend.confirm();
    this.register();
    this.ports.onConfirmed();
  }
}
