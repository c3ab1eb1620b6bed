/** Connections from one directory replica to others, which are named by their addresses. */
import { RaftFrames } from '../consensus/raft-frames.js';
import { replicaName, type RaftMessage } from '../consensus/raft-types.js';
import type { Client, ClientIdentity, Runtime } from '../runtime/runtime.js';
import { parseAddress } from './replica-address.js';

/** Replicas answer over the connections that they dial themselves. */
const IGNORE_ANSWERS = {
  onOpen: () => undefined,
  onMessage: () => undefined,
  onClose: () => undefined,
};

/** Dials a replica when the first message goes to it. */
export class ReplicaDialer {
  private readonly clients = new Map<string, Client>();
  private readonly frames = new RaftFrames();

  constructor(
    private readonly runtime: Runtime,
    private readonly identity: ClientIdentity,
  ) {}

  /** Sends a message of the log to its addressee. */
  send(message: RaftMessage): void {
    const address = replicaName(message.to);
    if (address !== this.identity.name) this.clientTo(address)?.sendEncoded(this.frames.encode(message));
  }

  /** Sends to the replica at an address; what is sent while it is not connected is dropped. */
  sendTo(address: string, message: unknown): void {
    if (address === this.identity.name) return;
    this.clientTo(address)?.send(message);
  }

  /** Closes the connections to all replicas but these. */
  keepOnly(addresses: ReadonlySet<string>): void {
    for (const [address, client] of this.clients) {
      if (addresses.has(address)) continue;
      client.stop();
      this.clients.delete(address);
    }
  }

  /** Closes all connections. */
  stop(): void {
    this.keepOnly(new Set());
  }

  private clientTo(address: string): Client | null {
    const known = this.clients.get(address);
    if (known !== undefined) return known;
    const parsed = parseAddress(address);
    if (parsed === null) return null;
    const client = this.runtime.dial(parsed, this.identity, IGNORE_ANSWERS);
    this.clients.set(address, client);
    return client;
  }
}
