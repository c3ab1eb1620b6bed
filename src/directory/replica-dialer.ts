/** Outbound connections from one directory replica to others, which are identified by their addresses. */
import { RaftFrames } from '../consensus/raft-frames.js';
import { replicaName, type RaftMessage } from '../consensus/raft-types.js';
import type { Client, ClientIdentity, Runtime } from '../runtime/runtime.js';
import { parseAddress } from './replica-address.js';

/** Handlers of outbound connections: nothing is received there, since replicas answer on connections they dial. */
const NO_OP_HANDLERS = {
  onOpen: () => undefined,
  onMessage: () => undefined,
  onClose: () => undefined,
};

/** Dials each replica when the first message is sent to it. */
export class ReplicaDialer {
  private readonly clients = new Map<string, Client>();
  private readonly frames = new RaftFrames();

  constructor(
    private readonly runtime: Runtime,
    private readonly identity: ClientIdentity,
  ) {}

  /** Sends a consensus message to its recipient. */
  send(message: RaftMessage): void {
    const address = replicaName(message.to);
    if (address !== this.identity.name) this.clientTo(address)?.sendEncoded(this.frames.encode(message));
  }

  /** Sends a message to the replica at `address`; messages are dropped while it is not connected. */
  sendTo(address: string, message: unknown): void {
    if (address === this.identity.name) return;
    this.clientTo(address)?.send(message);
  }

  /** Closes the connections to all replicas except those at `addresses`. */
  closeAllExcept(addresses: ReadonlySet<string>): void {
    for (const [address, client] of this.clients) {
      if (addresses.has(address)) continue;
      client.stop();
      this.clients.delete(address);
    }
  }

  /** Closes all connections. */
  stop(): void {
    this.closeAllExcept(new Set());
  }

  private clientTo(address: string): Client | null {
    const known = this.clients.get(address);
    if (known !== undefined) return known;
    const parsed = parseAddress(address);
    if (parsed === null) return null;
    const client = this.runtime.dial(parsed, this.identity, NO_OP_HANDLERS);
    this.clients.set(address, client);
    return client;
  }
}
