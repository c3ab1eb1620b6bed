/** Guards against limits that permit what no peer and no watcher can read, because it exceeds the largest frame. */
import test from 'ava';
import { replicaLimits } from '../../src/consensus/replica-limits.js';
import { MAX_FRAME_BYTES } from '../../src/transport/frame-codec.js';

const GIB = 1024 * 1024 * 1024;

/** An entry holds a change as its source text, escaped, and as its definitions. */
const ENTRY_BYTES_PER_CHANGE_BYTE = 3;

test('a change and a state within the limits fit a frame, whatever the memory', (t) => {
  for (const memory of [1, 2, 4, 16, 64, 512]) {
    const limits = replicaLimits(memory * GIB, (memory * GIB) / 2);
    t.true(limits.changeBytes * ENTRY_BYTES_PER_CHANGE_BYTE <= MAX_FRAME_BYTES, `a change at ${memory} GiB`);
    t.true(limits.stateBytes <= MAX_FRAME_BYTES, `a state at ${memory} GiB`);
  }
});
