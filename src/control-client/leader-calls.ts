/**
 * A daemon's way to tell the leader something now and then. A connection is opened when there is something to tell and
 * closed after a while without, so that hundreds of routers do not keep one each.
 */
import type { NamedAddress } from '../config/daemon-settings.js';
import type { ControlNotice, DaemonRequest } from '../control/daemon-messages.js';
import type { CancelTimer, ClientIdentity, Runtime } from '../runtime/runtime.js';
import { SessionChannel } from './session-channel.js';

/** Time in ms without anything to tell after which the connection is closed. */
const IDLE_MS = 10_000;

/** Requests that are kept until a leader is found; whoever waits for an answer asks again. */
const MOST_KEPT = 64;

/** Calls to whichever replica leads. */
export class LeaderCalls {
  private channel: SessionChannel | null = null;
  private kept: DaemonRequest[] = [];
  private cancelIdle: CancelTimer | null = null;

  constructor(
    private readonly runtime: Runtime,
    private readonly identity: ClientIdentity,
    private readonly control: readonly NamedAddress[],
    private readonly onNotice: (notice: ControlNotice) => void,
  ) {}

  /** Sends to the leader, or as soon as one is found; false when it has to wait for that. */
  send(request: DaemonRequest): boolean {
    this.stayOpen();
    this.channel ??= this.open();
    if (this.channel.send(request)) return true;
    this.kept = [...this.kept, request].slice(-MOST_KEPT);
    return false;
  }

  /** Closes for good. */
  stop(): void {
    this.cancelIdle?.();
    this.channel?.stop();
    this.channel = null;
  }

  private open(): SessionChannel {
    return new SessionChannel(this.runtime, this.identity, this.control, {
      onNotice: this.onNotice,
      onOpen: () => undefined,
      onAsk: () => {
        for (const request of this.kept.splice(0)) this.channel?.send(request);
      },
    });
  }

  private stayOpen(): void {
    this.cancelIdle?.();
    this.cancelIdle = this.runtime.after(IDLE_MS, () => {
      this.stop();
      this.kept = [];
    });
  }
}
