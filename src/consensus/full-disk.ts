/**
 * A disk that is full refuses writes and may have room again later. Until then a replica does nothing at all: to
 * others it looks like one that is frozen, and it has promised nothing that is not on its disk.
 */
import { pause } from '../runtime/pause.js';
import type { Runtime } from '../runtime/runtime.js';

/** Pause before a refused write is repeated, in ms. */
const REPEAT_PAUSE_MS = 200;

/** Codes of errors of a disk without room. */
const FULL_DISK_CODES: ReadonlySet<string> = new Set(['ENOSPC', 'EDQUOT']);

/** Does a write that can be repeated, until the disk has room for it; other errors are thrown. */
export async function whenDiskHasRoom(runtime: Runtime, write: () => Promise<void>): Promise<void> {
  for (;;) {
    try {
      await write();
      return;
    } catch (error) {
      if (!FULL_DISK_CODES.has((error as NodeJS.ErrnoException).code ?? '')) throw error;
    }
    await pause(runtime, REPEAT_PAUSE_MS);
  }
}
