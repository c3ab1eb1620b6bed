/** Connections from this control replica to the others. */
import type { NamedAddress } from '../config/daemon-settings.js';
import { RaftFrames } from '../consensus/raft-frames.js';
import { replicaName, type RaftMessage } from '../consensus/raft-types.js';
import type { FormationMessage } from '../consensus/formation-core.js';
import type { Client, ClientIdentity, Runtime, Traffic } from '../runtime/runtime.js';

/** Asks the leader to make the sender a member. */
export interface JoinRequest {
  readonly kind: 'join-request';
  readonly id: string;
}

/** Everything that control replicas send each other. */
export type PeerMessage = RaftMessage | FormationMessage | JoinRequest;

/** Dials every other member and sends by name. */
export class PeerNetwork {
  private readonly clients = new Map<string, Client>();
  private readonly frames = new RaftFrames();

  constructor(runtime: Runtime, identity: ClientIdentity, members: readonly NamedAddress[]) {
    for (const { name, address } of members) {
      if (name === identity.name) continue;
      this.clients.set(name, runtime.dial(address, identity, IGNORE_ANSWERS));
    }
  }

  /** Sends a message of the log to its addressee, if that is connected. */
  send(message: RaftMessage): void {
    this.clients.get(replicaName(message.to))?.sendEncoded(this.frames.encode(message));
  }

  /** Sends to one member by name, if it is connected. */
  sendTo(name: string, message: PeerMessage): void {
    this.clients.get(name)?.send(message);
  }

  /** Sends to every other member that is connected. */
  broadcast(message: PeerMessage): void {
    for (const client of this.clients.values()) client.send(message);
  }

  /** Bytes sent and received by the connections that this replica dialed. */
  traffic(): Traffic {
    const total = { bytesSent: 0, bytesReceived: 0 };
    for (const client of this.clients.values()) {
      const { bytesSent, bytesReceived } = client.traffic();
      total.bytesSent += bytesSent;
      total.bytesReceived += bytesReceived;
    }
    return total;
  }

  /** Closes all connections. */
  stop(): void {
    for (const client of this.clients.values()) client.stop();
  }
}

/** Replicas answer over the connections that they dial themselves. */
const IGNORE_ANSWERS = {
  onOpen: () => undefined,
  onMessage: () => undefined,
  onClose: () => undefined,
};
