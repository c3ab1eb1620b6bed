/** Connection of a daemon to one control replica at a time, with switching between replicas. */
import { BrokenInvariant } from '../broken-invariant.js';
import type { NamedAddress } from '../config/daemon-settings.js';
import { controlNoticeSchema, type ControlNotice, type DaemonRequest } from '../control/daemon-messages.js';
import type { CancelTimer, Client, ClientIdentity, Runtime, Traffic } from '../runtime/runtime.js';

/** Callbacks of a link. */
export interface ReplicaLinkHandlers {
  /** A connection was opened; `send` may be called. */
  onOpen(): void;
  onNotice(notice: ControlNotice): void;
  /** The connection was lost; the link does not switch to another replica by itself. */
  onLost(): void;
}

/** Options of a link. */
export interface ReplicaLinkOptions {
  /** Index of the replica to connect to first. */
  readonly firstPosition: number;
  /** Delay before connecting to another replica, in ms. */
  readonly switchDelayMs: number;
}

/** Connection to one of the control replicas. */
export class ReplicaLink {
  /** Number of switches to another replica. */
  switches = 0;
  private position: number;
  private client: Client;
  private cancelSwitch: CancelTimer | null = null;
  private closedTraffic: Traffic = { bytesSent: 0, bytesReceived: 0 };

  constructor(
    private readonly runtime: Runtime,
    private readonly identity: ClientIdentity,
    private readonly control: readonly NamedAddress[],
    private readonly options: ReplicaLinkOptions,
    private readonly handlers: ReplicaLinkHandlers,
  ) {
    this.position = options.firstPosition;
    this.client = this.dial();
  }

  /** Sends to the current replica; returns false if there is no connection. */
  send(request: DaemonRequest): boolean {
    return this.client.send(request);
  }

  /** Returns the bytes over all connections of this link. */
  traffic(): Traffic {
    return addTraffic(this.closedTraffic, this.client.traffic());
  }

  /** Name of the current replica. */
  get replicaName(): string | null {
    return this.control[this.position % this.control.length]?.name ?? null;
  }

  /** Switches to the next replica in order after the switch delay; has no effect while a switch is pending. */
  switchToNext(): void {
    this.switchTo(this.position + 1);
  }

  /** Switches to a replica by name, or to the next one if the name is unknown. */
  switchToReplica(name: string | null): void {
    const known = this.control.findIndex((replica) => replica.name === name);
    this.switchTo(known >= 0 ? known : this.position + 1);
  }

  /** Closes the link permanently. */
  stop(): void {
    this.cancelSwitch?.();
    this.client.stop();
  }

  private switchTo(position: number): void {
    if (this.cancelSwitch !== null) return;
    this.switches += 1;
    this.cancelSwitch = this.runtime.after(this.options.switchDelayMs, () => {
      this.cancelSwitch = null;
      this.closedTraffic = this.traffic();
      this.client.stop();
      this.position = position;
      this.client = this.dial();
    });
  }

  private dial(): Client {
    const replica = this.control[this.position % this.control.length];
    if (replica === undefined) throw new BrokenInvariant('the settings name no control replica');
    return this.runtime.dial(replica.address, this.identity, {
      onOpen: () => {
        this.handlers.onOpen();
      },
      onMessage: (message) => {
        if (controlNoticeSchema.safeParse(message).success) this.handlers.onNotice(message as ControlNotice);
      },
      onClose: () => {
        this.handlers.onLost();
      },
    });
  }
}

function addTraffic(left: Traffic, right: Traffic): Traffic {
  return {
    bytesSent: left.bytesSent + right.bytesSent,
    bytesReceived: left.bytesReceived + right.bytesReceived,
  };
}
