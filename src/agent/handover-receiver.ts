/** The new owner's side of handover: keeps the windows of claimed keys until the shards are granted. */
import type { Claim } from '../backend-contract/grant-messages.js';
import type { Listener, Runtime } from '../runtime/runtime.js';
import { handoverRequestSchema, type HandoverRequest } from './handover-messages.js';

/** Windows that may wait for their grant. */
const MAX_WAITING_WINDOWS = 4_096;

/** Accepts windows from other agents. */
export class HandoverReceiver {
  readonly server: Listener;
  private readonly windows = new Map<string, readonly Claim[]>();

  /** `ready` tells whether this agent's back end can take shards at present. */
  constructor(
    runtime: Runtime,
    token: string,
    private readonly backend: string,
    private readonly ready: () => boolean,
  ) {
    this.server = runtime.serve(token, {
      onPeer: (_hello, connection) => ({
        onMessage: (message) => {
          const parsed = handoverRequestSchema.safeParse(message);
          if (!parsed.success) {
            connection.close('unreadable message');
            return;
          }
          const accepted = this.accept(parsed.data);
          connection.send({ kind: 'handover-answer', requestId: parsed.data.requestId, accepted });
        },
        onClose: () => undefined,
      }),
      onRefused: () => undefined,
    });
  }

  /** Takes the window that was handed over with a shard whose old owner had `epoch`. */
  take(service: string, shard: number, epoch: number): readonly Claim[] {
    const key = windowKey(service, shard, epoch);
    const window = this.windows.get(key) ?? [];
    this.windows.delete(key);
    return window;
  }

  /** Forgets all windows; the session that they were meant for has ended. */
  clear(): void {
    this.windows.clear();
  }

  private accept(request: HandoverRequest): boolean {
    if (request.target !== this.backend || !this.ready()) return false;
    if (request.kind === 'handover-prepare') return true;
    if (this.windows.size >= MAX_WAITING_WINDOWS) return false;
    this.windows.set(windowKey(request.service, request.shard, request.epoch), request.window);
    return true;
  }
}

function windowKey(service: string, shard: number, epoch: number): string {
  return `${service}/${shard}/${epoch}`;
}
