/** Previous owner's side of a handover: checks that the new owner's agent is ready and sends the claimed keys. */
import type { Claim } from '../backend-contract/grant-messages.js';
import { formatAddress, type SocketAddress } from '../model/socket-address.js';
import type { Client, ClientIdentity, Runtime } from '../runtime/runtime.js';
import { handoverAnswerSchema } from './handover-messages.js';

/** Time in ms within which the other agent must answer. */
const ANSWER_TIMEOUT_MS = 1_000;

/** Time in ms after which an idle connection to another agent is closed. */
const IDLE_TIMEOUT_MS = 30_000;

/** Interval between attempts to send a message while its connection is being opened, in ms. */
const SEND_RETRY_INTERVAL_MS = 20;

/** Shard being handed over. */
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

  /** Whether the new owner's agent is reachable and ready to receive the shard. */
  async prepare(address: SocketAddress, handover: Handover): Promise<boolean> {
    return await this.request(address, (requestId) => ({ kind: 'handover-prepare', requestId, ...handover }));
  }

  /** Sends the window; returns whether the new owner's agent has accepted it. */
  async sendWindow(address: SocketAddress, handover: Handover, window: readonly Claim[]): Promise<boolean> {
    return await this.request(address, (requestId) => ({
      kind: 'handover-window',
      requestId,
      ...handover,
      window,
    }));
  }

  /** Closes idle connections. */
  closeIdle(): void {
    const nowMs = this.runtime.nowMs();
    for (const [key, peer] of this.peers) {
      if (nowMs - peer.lastUsedMs < IDLE_TIMEOUT_MS) continue;
      peer.client.stop();
      this.peers.delete(key);
    }
  }

  /** Closes all connections. */
  stop(): void {
    for (const peer of this.peers.values()) peer.client.stop();
    this.peers.clear();
  }

  private async request(address: SocketAddress, message: (requestId: number) => unknown): Promise<boolean> {
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
      // A connection that is still being opened drops messages, so the send may have to be repeated.
      const cancelRetry = this.runtime.every(SEND_RETRY_INTERVAL_MS, () => {
        if (peer.client.send(message(requestId))) cancelRetry();
      });
      if (peer.client.send(message(requestId))) cancelRetry();
    });
  }

  private peerAt(address: SocketAddress): Peer {
    const key = formatAddress(address);
    const existing = this.peers.get(key);
    if (existing !== undefined) {
      existing.lastUsedMs = this.runtime.nowMs();
      return existing;
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
