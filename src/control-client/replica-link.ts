/** A daemon's connection to one control replica at a time, and the change to another. */
import type { NamedAddress } from '../config/daemon-settings.js';
import { controlNoticeSchema, type ControlNotice, type DaemonRequest } from '../control/daemon-messages.js';
import type { CancelTimer, Client, ClientIdentity, Runtime, Traffic } from '../runtime/runtime.js';

/** What the owner of a link is told. */
export interface ReplicaLinkHandlers {
  /** A connection was opened; `send` may be called. */
  onOpen(): void;
  onNotice(notice: ControlNotice): void;
  /** The connection broke; the link does not go elsewhere by itself. */
  onLost(): void;
}

/** Where a link starts and how long it waits before it changes. */
export interface ReplicaLinkOptions {
  readonly firstPosition: number;
  /** Pause before another replica is tried, in ms. */
  readonly switchPauseMs: number;
}

/** A connection to one of the control replicas. */
export class ReplicaLink {
  /** Changes to another replica. */
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

  /** Sends to the present replica; returns false when there is no connection. */
  send(request: DaemonRequest): boolean {
    return this.client.send(request);
  }

  /** Bytes over all connections of this link. */
  traffic(): Traffic {
    return addTraffic(this.closedTraffic, this.client.traffic());
  }

  /** Name of the replica that this link goes to at present. */
  get replicaName(): string | null {
    return this.control[this.position % this.control.length]?.name ?? null;
  }

  /** Goes to the next replica in order, after the pause; does nothing while a change is under way. */
  switchToNext(): void {
    this.switchTo(this.position + 1);
  }

  /** Goes to a replica by name, or to the next when that is not known. */
  switchToReplica(name: string | null): void {
    const known = this.control.findIndex((replica) => replica.name === name);
    this.switchTo(known >= 0 ? known : this.position + 1);
  }

  /** Closes for good. */
  stop(): void {
    this.cancelSwitch?.();
    this.client.stop();
  }

  private switchTo(position: number): void {
    if (this.cancelSwitch !== null) return;
    this.switches += 1;
    this.cancelSwitch = this.runtime.after(this.options.switchPauseMs, () => {
      this.cancelSwitch = null;
      this.closedTraffic = this.traffic();
      this.client.stop();
      this.position = position;
      this.client = this.dial();
    });
  }

  private dial(): Client {
    const replica = this.control[this.position % this.control.length];
    if (replica === undefined) throw new Error('invariant broken: the settings name no control replica');
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
