/** Guards against limits that permit what no peer and no watcher can read, because it exceeds the largest frame. */
import test from 'ava';
import { replicaLimits } from '../../src/consensus/replica-limits.js';
import { MAX_FRAME_BYTES } from '../../src/transport/frame-codec.js';

const GIB = 1024 * 1024 * 1024;

/**
 * Bytes of an entry's frame for each byte of a change: its source text, escaped, and its definitions. Ordinary routes take 3.2, texts
 * of backslashes 3.0; small services take 13, but the number of values of a change is bounded.
 */
const ENTRY_BYTES_PER_CHANGE_BYTE = 4;

test('a change and a state within the limits fit a frame, whatever the memory', (t) => {
  for (const memory of [1, 2, 4, 16, 64, 512]) {
    const limits = replicaLimits(memory * GIB, (memory * GIB) / 2);
    t.true(limits.changeBytes * ENTRY_BYTES_PER_CHANGE_BYTE <= MAX_FRAME_BYTES, `a change at ${memory} GiB`);
    t.true(limits.stateBytes <= MAX_FRAME_BYTES, `a state at ${memory} GiB`);
  }
});
