/**
 * Bytes that a daemon exchanges with other daemons, by kind of message and by whether they cross a zone. Each daemon
 * counts the frames of its links when it sends them, so the sum over all daemons counts every frame once. Directory
 * replicas do not count, so a daemon counts both directions of its directory connection.
 */
import { FRAME_KIND, type FrameKind } from './link-frame.js';

/** Whether bytes leave the machine or the zone; `unknown` while the peer's zone is not known. */
export type ByteScope = 'machine' | 'zone' | 'cross-zone' | 'unknown';

/** Kind of a message, as counted. */
export type ByteKind =
  | 'request'
  | 'answer'
  | 'refusal'
  | 'failure'
  /** Bodies of requests and answers. */
  | 'body'
  | 'probe'
  | 'status'
  /** Liveness checks. */
  | 'heartbeat'
  /** Hello, goodbye, cancellation, withdrawal. */
  | 'control'
  | 'directory-table'
  | 'directory-change'
  /** Notice of a replica that it has contact with a leader. */
  | 'directory-alive'
  /** Other notices of a replica, which answer requests. */
  | 'directory-notice'
  | 'directory-request';

/** Counts the bytes of one connection. */
export interface ByteMeter {
  /** Counts a sent frame; `startBytes` are those before the body. */
  recordSent(kind: FrameKind, startBytes: number, bodyBytes: number): void;
}

const KIND_OF_FRAME: ReadonlyMap<FrameKind, ByteKind> = new Map([
  [FRAME_KIND.request, 'request'],
  [FRAME_KIND.answer, 'answer'],
  [FRAME_KIND.refusal, 'refusal'],
  [FRAME_KIND.failure, 'failure'],
  [FRAME_KIND.body, 'body'],
  [FRAME_KIND.end, 'body'],
  [FRAME_KIND.probe, 'probe'],
  [FRAME_KIND.status, 'status'],
  [FRAME_KIND.ping, 'heartbeat'],
  [FRAME_KIND.pong, 'heartbeat'],
]);

/** Bytes by scope, then by kind; only those that are not 0. */
export type ByteTotals = Partial<Record<ByteScope, Partial<Record<ByteKind, number>>>>;

/** Total bytes of one kind and scope. */
interface ByteCount {
  readonly kind: ByteKind;
  readonly scope: ByteScope;
  bytes: number;
  /** Total at the last call of `takeNew`. */
  takenBytes: number;
}

/** Byte counters of one daemon. */
export class LinkBytes {
  private readonly counts = new Map<string, ByteCount>();

  /** Counts bytes. */
  add(kind: ByteKind, scope: ByteScope, bytes: number): void {
    if (bytes === 0) return;
    const name = `${kind} ${scope}`;
    const existing = this.counts.get(name);
    if (existing === undefined) this.counts.set(name, { kind, scope, bytes, takenBytes: 0 });
    else existing.bytes += bytes;
  }

  /** Returns a meter that reads the scope of its connection at each frame, since a peer's zone may become known later. */
  meter(scope: () => ByteScope): ByteMeter {
    return {
      recordSent: (kind, startBytes, bodyBytes) => {
        const present = scope();
        this.add(KIND_OF_FRAME.get(kind) ?? 'control', present, startBytes);
        this.add('body', present, bodyBytes);
      },
    };
  }

  /** Returns the totals since the start. */
  totals(): readonly { readonly kind: ByteKind; readonly scope: ByteScope; readonly bytes: number }[] {
    return [...this.counts.values()];
  }

  /** Returns the bytes counted since the last call; null if there are none. */
  takeNew(): ByteTotals | null {
    const taken: ByteTotals = {};
    for (const count of this.counts.values()) {
      const newBytes = count.bytes - count.takenBytes;
      if (newBytes === 0) continue;
      count.takenBytes = count.bytes;
      (taken[count.scope] ??= {})[count.kind] = newBytes;
    }
    return Object.keys(taken).length > 0 ? taken : null;
  }
}
