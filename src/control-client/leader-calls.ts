/**
 * Client for occasional requests of a daemon to the leader. The connection is opened on demand and closed when idle, so
 * that hundreds of routers do not each keep one open.
 */
import type { NamedAddress } from '../config/daemon-settings.js';
import type { ControlNotice, DaemonRequest } from '../control/daemon-messages.js';
import type { CancelTimer, ClientIdentity, Runtime } from '../runtime/runtime.js';
import { SessionChannel } from './session-channel.js';

/** Time in ms without requests after which the connection is closed. */
const IDLE_TIMEOUT_MS = 10_000;

/** Maximum number of requests queued until a leader is found; the oldest are dropped. Callers repeat unanswered requests. */
const MAX_QUEUED_REQUESTS = 64;

/** Client for the current leader. */
export class LeaderCalls {
  private channel: SessionChannel | null = null;
  private queue: DaemonRequest[] = [];
  private cancelIdle: CancelTimer | null = null;

  constructor(
    private readonly runtime: Runtime,
    private readonly identity: ClientIdentity,
    private readonly control: readonly NamedAddress[],
    private readonly onNotice: (notice: ControlNotice) => void,
  ) {}

  /** Sends a request to the leader; returns false if it is queued until a leader is found. */
  send(request: DaemonRequest): boolean {
    this.resetIdleTimer();
    this.channel ??= this.open();
    if (this.channel.send(request)) return true;
    this.queue = [...this.queue, request].slice(-MAX_QUEUED_REQUESTS);
    return false;
  }

  /** Closes the connection. */
  stop(): void {
    this.cancelIdle?.();
    this.channel?.stop();
    this.channel = null;
  }

  private open(): SessionChannel {
    return new SessionChannel(this.runtime, this.identity, this.control, {
      onNotice: this.onNotice,
      onOpen: () => undefined,
      onMayLead: () => {
        for (const request of this.queue.splice(0)) this.channel?.send(request);
      },
    });
  }

  private resetIdleTimer(): void {
    this.cancelIdle?.();
    this.cancelIdle = this.runtime.after(IDLE_TIMEOUT_MS, () => {
      this.stop();
      this.queue = [];
    });
  }
}
