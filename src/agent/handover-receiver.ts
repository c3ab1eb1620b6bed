/** New owner's side of a handover: stores the windows of claimed keys until the shards are granted. */
import type { Claim } from '../backend-contract/grant-messages.js';
import type { Listener, Runtime } from '../runtime/runtime.js';
import { handoverRequestSchema, type HandoverRequest } from './handover-messages.js';

/** Maximum number of windows stored until their grant. */
const MAX_STORED_WINDOWS = 4_096;

/** Accepts windows from other agents. */
export class HandoverReceiver {
  readonly server: Listener;
  private readonly windows = new Map<string, readonly Claim[]>();

  /** `ready` returns whether this agent's back end can currently receive shards. */
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

  /** Removes and returns the window handed over with a shard; `epoch` is that of the previous owner. */
  takeWindow(service: string, shard: number, epoch: number): readonly Claim[] {
    const key = windowKey(service, shard, epoch);
    const window = this.windows.get(key) ?? [];
    this.windows.delete(key);
    return window;
  }

  /** Discards all windows when the session that they were sent for has ended. */
  clear(): void {
    this.windows.clear();
  }

  private accept(request: HandoverRequest): boolean {
    if (request.target !== this.backend || !this.ready()) return false;
    if (request.kind === 'handover-prepare') return true;
    if (this.windows.size >= MAX_STORED_WINDOWS) return false;
    this.windows.set(windowKey(request.service, request.shard, request.epoch), request.window);
    return true;
  }
}

function windowKey(service: string, shard: number, epoch: number): string {
  return `${service}/${shard}/${epoch}`;
}
