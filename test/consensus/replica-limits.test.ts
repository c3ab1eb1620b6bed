import test from 'ava';
import fc from 'fast-check';
import { replicaLimits, type ReplicaLimits } from '../../src/consensus/replica-limits.js';

const MIB = 1024 * 1024;

/** Whatever a replica may hold at once: both copies of a state that is being written, log, queue and feed. */
function heldBytes(limits: ReplicaLimits): number {
  const { cachedLogBytes, queuedBytes, uncommittedBytes, stateBytes, retainedChangeBytes } = limits;
  return cachedLogBytes + queuedBytes + uncommittedBytes + 2 * stateBytes + retainedChangeBytes;
}

test('what a replica may hold takes less than a fifth of the memory of its machine', (t) => {
  fc.assert(
    fc.property(fc.integer({ min: 64 * MIB, max: 64 * 1024 * MIB }), (machineBytes) => {
      t.true(heldBytes(replicaLimits(machineBytes)) < machineBytes / 5);
    }),
  );
});

test('a heap limit that is small for the machine bounds what a replica holds', (t) => {
  t.deepEqual(replicaLimits(64 * 1024 * MIB, 128 * MIB), replicaLimits(256 * MIB));
});

test('a change fits the state and what may be uncommitted', (t) => {
  const limits = replicaLimits(null);
  t.true(limits.changeBytes <= limits.uncommittedBytes);
  t.true(limits.changeBytes <= limits.stateBytes);
});
