/**
 * Entries that are large for a message. Batches, snapshots and queues whose number of entries is bounded, and not their bytes,
 * keep a member that is behind from ever catching up, and grow without bound meanwhile.
 */
import test from 'ava';
import { runLargeEntries } from '../../lab/sim/large-entries.js';

for (const seed of [1, 2, 3, 4, 5, 6]) {
  test(`members behind, lost disks, one-way cuts and stalled disks under large entries: seed ${seed}`, async (t) => {
    const { violations, acknowledged } = await runLargeEntries(seed);
    t.deepEqual(violations, []);
    t.true(acknowledged > 0);
  });
}
