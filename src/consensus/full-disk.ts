/**
 * Retries writes while the disk is full. Until space is available the replica makes no progress: to its peers it
 * appears frozen, and it has acknowledged nothing that is not on its disk.
 */
import { pause } from '../runtime/pause.js';
import type { Runtime } from '../runtime/runtime.js';

/** Delay before a failed write is retried, in ms. */
const RETRY_DELAY_MS = 200;

/** Error codes of a full disk and of an exhausted quota. */
const FULL_DISK_CODES: ReadonlySet<string> = new Set(['ENOSPC', 'EDQUOT']);

/** Runs an idempotent write, retrying while the disk is full; throws any other error. */
export async function retryWhileDiskFull(runtime: Runtime, write: () => Promise<void>): Promise<void> {
  for (;;) {
    try {
      await write();
      return;
    } catch (error) {
      if (!FULL_DISK_CODES.has((error as NodeJS.ErrnoException).code ?? '')) throw error;
    }
    await pause(runtime, RETRY_DELAY_MS);
  }
}
