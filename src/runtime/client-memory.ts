/**
 * Accounts for the bytes that a process holds for its clients, so that their number is bounded by the machine's memory whatever
 * clients announce, and however small the pieces are in which they send. Whoever stores bytes of a client takes a share first.
 */

/** Parts of a machine's memory that a process holds for its own clients, and for requests that other daemons forward to it. */
const CLIENT_SHARE = 0.1;
const FORWARDED_SHARE = 0.05;

/** Memory of a machine in bytes where it is not known. */
const DEFAULT_MACHINE_BYTES = 256 * 1024 * 1024;

/** Time in ms without progress after which a client's bytes give way to those of others. */
const STALLED_MS = 1_000;

/** Bytes held for one request of a client. */
export class MemoryShare {
  private held = 0;
  private progressMs: number;
  private evictable = true;

  constructor(
    private readonly memory: ClientMemory,
    private readonly nowMs: () => number,
    private readonly onEvicted: () => void,
  ) {
    this.progressMs = nowMs();
  }

  /** Number of bytes held. */
  get bytes(): number {
    return this.held;
  }

  /** Time in ms since the client made progress; null if the bytes are in use and cannot be given up. */
  get stalledMs(): number | null {
    return this.evictable ? this.nowMs() - this.progressMs : null;
  }

  /** Holds `bytes` in all from now on; false if there is no room for them, and the share is as it was. */
  resize(bytes: number): boolean {
    this.progressMs = this.nowMs();
    if (!this.memory.reserve(this, bytes - this.held)) return false;
    this.held = bytes;
    return true;
  }

  /** The bytes are whole and in use: they are held until `release`. */
  keep(): void {
    this.evictable = false;
  }

  /** Gives the bytes up. */
  release(): void {
    this.memory.forget(this);
    this.held = 0;
  }

  /** Gives the bytes up, because others need the room. */
  evict(): void {
    this.release();
    this.onEvicted();
  }
}

/** Accounts of one process. They are apart, so that a request that a daemon forwards to itself does not compete with itself. */
export interface ProcessMemory {
  /** Bytes of clients: callers, operators and the back end's calls. */
  readonly clients: ClientMemory;
  /** Bodies of requests that daemons have forwarded to this one. */
  readonly forwarded: ClientMemory;
}

/** Creates the accounts of a process on a machine with this memory in bytes; null if it is not known. */
export function createProcessMemory(machineBytes: number | null = null): ProcessMemory {
  const bytes = machineBytes ?? DEFAULT_MACHINE_BYTES;
  return {
    clients: new ClientMemory(bytes * CLIENT_SHARE),
    forwarded: new ClientMemory(bytes * FORWARDED_SHARE),
  };
}

/** The bytes that one process holds for its clients. */
export class ClientMemory {
  private readonly shares = new Set<MemoryShare>();
  private total = 0;
  /** Number of requests that were refused or given up for want of memory. */
  refused = 0;

  constructor(
    /** Bytes that may be held in all. */
    readonly limitBytes = DEFAULT_MACHINE_BYTES * CLIENT_SHARE,
    private readonly nowMs: () => number = () => performance.now(),
  ) {}

  /** Bytes held. */
  get usedBytes(): number {
    return this.total;
  }

  /** Opens a share of no bytes. `onEvicted` is called if it is given up for others because its client makes no progress. */
  open(onEvicted: () => void): MemoryShare {
    return new MemoryShare(this, this.nowMs, onEvicted);
  }

  /**
   * Reserves further bytes for a share. One that is alone gets what it needs: its size has a limit of its own, and no other client
   * is affected. Otherwise clients that have made no progress give way, the one that has stalled for longest first.
   */
  reserve(share: MemoryShare, further: number): boolean {
    while (further > 0 && this.total + further > this.limitBytes && this.total > share.bytes) {
      const stalled = this.longestStalled(share);
      if (stalled === null) {
        this.refused += 1;
        return false;
      }
      this.refused += 1;
      stalled.evict();
    }
    this.total += further;
    this.shares.add(share);
    return true;
  }

  /** Takes the bytes of a share out of the account. */
  forget(share: MemoryShare): void {
    if (this.shares.delete(share)) this.total -= share.bytes;
  }

  private longestStalled(except: MemoryShare): MemoryShare | null {
    let longest: MemoryShare | null = null;
    let longestMs = STALLED_MS;
    for (const share of this.shares) {
      const { stalledMs } = share;
      if (share === except || stalledMs === null || stalledMs < longestMs) continue;
      longest = share;
      longestMs = stalledMs;
    }
    return longest;
  }
}
