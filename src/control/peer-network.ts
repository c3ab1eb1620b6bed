/** Connections from this control replica to its peers. */
import type { NamedAddress } from '../config/daemon-settings.js';
import { RaftFrames } from '../consensus/raft-frames.js';
import { replicaName, type RaftMessage } from '../consensus/raft-types.js';
import type { FormationMessage } from '../consensus/formation-core.js';
import type { Client, ClientIdentity, Runtime, Traffic } from '../runtime/runtime.js';

/** Request to the leader to add the sender as a member. */
export interface JoinRequest {
  readonly kind: 'join-request';
  readonly id: string;
}

/** Message between control replicas. */
export type PeerMessage = RaftMessage | FormationMessage | JoinRequest;

/** Dials every other member and sends messages by member name. */
export class PeerNetwork {
  private readonly clients = new Map<string, Client>();
  private readonly frames = new RaftFrames();

  constructor(runtime: Runtime, identity: ClientIdentity, members: readonly NamedAddress[]) {
    for (const { name, address } of members) {
      if (name === identity.name) continue;
      this.clients.set(name, runtime.dial(address, identity, IGNORE_INCOMING));
    }
  }

  /** Sends a Raft message to its receiver, if it is connected. */
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

  /** Returns the bytes sent and received over the connections that this replica dialed. */
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

/** Incoming messages are ignored, since replicas answer over the connections that they dial themselves. */
const IGNORE_INCOMING = {
  onOpen: () => undefined,
  onMessage: () => undefined,
  onClose: () => undefined,
};
