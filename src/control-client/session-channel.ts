/** An agent's way to the leader: finds it, and follows it when it changes. */
import type { NamedAddress } from '../config/daemon-settings.js';
import { controlNoticeSchema, type ControlNotice, type DaemonRequest } from '../control/daemon-messages.js';
import { MessageClient, type ClientIdentity } from '../transport/message-client.js';

/** Pause before another replica is tried, in ms. */
const SWITCH_PAUSE_MS = 50;

/** Time in ms without any notice after which another replica is tried. */
const SILENCE_MS = 1_000;

/** A connection to whichever replica leads. */
export class SessionChannel {
  private client: MessageClient;
  private position = 0;
  private readonly silenceTimer: NodeJS.Timeout;
  private switchTimer: NodeJS.Timeout | null = null;
  private lastNoticeMs = performance.now();

  constructor(
    private readonly identity: ClientIdentity,
    private readonly control: readonly NamedAddress[],
    private readonly onNotice: (notice: ControlNotice) => void,
    private readonly onOpen: () => void,
  ) {
    this.client = this.dial();
    this.silenceTimer = setInterval(() => {
      if (performance.now() - this.lastNoticeMs > SILENCE_MS) this.switchTo(this.position + 1);
    }, SILENCE_MS / 2);
  }

  /** Sends to the present replica; returns false when there is no connection. */
  send(request: DaemonRequest): boolean {
    return this.client.send(request);
  }

  /** Bytes over the present connection. */
  traffic(): { readonly bytesSent: number; readonly bytesReceived: number } {
    return this.client.traffic();
  }

  /** Closes for good. */
  stop(): void {
    clearInterval(this.silenceTimer);
    if (this.switchTimer !== null) clearTimeout(this.switchTimer);
    this.client.stop();
  }

  private dial(): MessageClient {
    const { address } = this.control[this.position % this.control.length] ?? missingControl();
    return new MessageClient(address, this.identity, {
      onOpen: () => {
        this.onOpen();
      },
      onMessage: (message) => {
        this.receive(message);
      },
      onClose: () => {
        this.switchTo(this.position + 1);
      },
    });
  }

  private receive(message: unknown): void {
    if (!controlNoticeSchema.safeParse(message).success) return;
    const notice = message as ControlNotice;
    if (notice.kind === 'not-leader') {
      const known = this.control.findIndex((replica) => replica.name === notice.leader);
      this.switchTo(known >= 0 ? known : this.position + 1);
      return;
    }
    this.lastNoticeMs = performance.now();
    this.onNotice(notice);
  }

  private switchTo(position: number): void {
    if (this.switchTimer !== null) return;
    this.switchTimer = setTimeout(() => {
      this.switchTimer = null;
      this.lastNoticeMs = performance.now();
      this.client.stop();
      this.position = position;
      this.client = this.dial();
    }, SWITCH_PAUSE_MS);
  }
}

function missingControl(): never {
  throw new Error('invariant broken: the settings name no control replica');
}
