/** The old owner's side of handover: asks the new owner's agent and sends it the window of claimed keys. */
import type { Claim } from '../backend-contract/grant-messages.js';
import { formatAddress, type SocketAddress } from '../model/socket-address.js';
import type { Client, ClientIdentity, Runtime } from '../runtime/runtime.js';
import { handoverAnswerSchema } from './handover-messages.js';

/** Time in ms in which the other agent must answer. */
const ANSWER_TIMEOUT_MS = 1_000;

/** Time in ms after which an unused connection to another agent is closed. */
const IDLE_MS = 30_000;

/** Pause before a message is offered again to a connection that is being opened, in ms. */
const SEND_RETRY_MS = 20;

/** A shard on its way. */
export interface Handover {
  readonly service: string;
  readonly shard: number;
  readonly epoch: number;
  readonly target: string;
}

interface Peer {
  readonly client: Client;
  readonly waiting: Map<number, (accepted: boolean) => void>;
  lastUsedMs: number;
}

/** Connections to other agents. */
export class HandoverSender {
  private readonly peers = new Map<string, Peer>();
  private nextRequestId = 1;

  constructor(
    private readonly runtime: Runtime,
    private readonly identity: ClientIdentity,
  ) {}

  /** Whether the new owner's agent is there and ready. */
  async prepare(address: SocketAddress, handover: Handover): Promise<boolean> {
    return await this.ask(address, (requestId) => ({ kind: 'handover-prepare', requestId, ...handover }));
  }

  /** Whether the new owner's agent holds the window now. */
  async sendWindow(address: SocketAddress, handover: Handover, window: readonly Claim[]): Promise<boolean> {
    return await this.ask(address, (requestId) => ({
      kind: 'handover-window',
      requestId,
      ...handover,
      window,
    }));
  }

  /** Closes connections that were not used lately. */
  closeIdle(): void {
    const nowMs = this.runtime.nowMs();
    for (const [key, peer] of this.peers) {
      if (nowMs - peer.lastUsedMs < IDLE_MS) continue;
      peer.client.stop();
      this.peers.delete(key);
    }
  }

  /** Closes all connections. */
  stop(): void {
    for (const peer of this.peers.values()) peer.client.stop();
    this.peers.clear();
  }

  private async ask(address: SocketAddress, message: (requestId: number) => unknown): Promise<boolean> {
    const peer = this.peerAt(address);
    const requestId = this.nextRequestId;
    this.nextRequestId += 1;
    return await new Promise((resolve) => {
      const settle = (accepted: boolean): void => {
        cancelTimer();
        cancelRetry();
        peer.waiting.delete(requestId);
        resolve(accepted);
      };
      const cancelTimer = this.runtime.after(ANSWER_TIMEOUT_MS, () => {
        settle(false);
      });
      peer.waiting.set(requestId, settle);
      // A connection that is still being opened drops messages, so the first send may have to be repeated.
      const cancelRetry = this.runtime.every(SEND_RETRY_MS, () => {
        if (peer.client.send(message(requestId))) cancelRetry();
      });
      if (peer.client.send(message(requestId))) cancelRetry();
    });
  }

  private peerAt(address: SocketAddress): Peer {
    const key = formatAddress(address);
    const known = this.peers.get(key);
    if (known !== undefined) {
      known.lastUsedMs = this.runtime.nowMs();
      return known;
    }
    const waiting = new Map<number, (accepted: boolean) => void>();
    const client = this.runtime.dial(address, this.identity, {
      onOpen: () => undefined,
      onMessage: (message) => {
        const answer = handoverAnswerSchema.safeParse(message);
        if (answer.success) waiting.get(answer.data.requestId)?.(answer.data.accepted);
      },
      onClose: () => {
        for (const settle of waiting.values()) settle(false);
      },
    });
    const peer = { client, waiting, lastUsedMs: this.runtime.nowMs() };
    this.peers.set(key, peer);
    return peer;
  }
}
