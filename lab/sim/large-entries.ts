/**
 * A simulated directory whose changes are large for its messages, while members are behind, lose their disks or are cut off one
 * way, and disks stall. Sizes are scaled down from those of a machine; their proportions are kept.
 */
import type { ReplicaLimits } from '../../src/consensus/replica-limits.js';
import { DirectoryWorld } from './directory-world.js';
import type { DirectoryFault, SimDirectorySize } from './sim-directory.js';
import type { NetworkPeaks } from './sim-network.js';

const KIB = 1_024;

/** Limits of each replica. */
const LIMITS: ReplicaLimits = {
  cachedLogBytes: 256 * KIB,
  logBytes: 256 * KIB,
  messageBytes: 16 * KIB,
  inFlightBytes: 64 * KIB,
  queuedBytes: 512 * KIB,
  uncommittedBytes: 512 * KIB,
  stateBytes: 2_048 * KIB,
  changeBytes: 128 * KIB,
  retainedChangeBytes: 128 * KIB,
  watcherQueueBytes: 512 * KIB,
};

/** Largest frame. Only a batch or a snapshot that is not bounded in bytes is larger. */
const MAX_FRAME_BYTES = 160 * KIB;

const SIZE: SimDirectorySize = {
  replicas: 5,
  seeds: 3,
  toleratedLosses: 2,
  snapshotEveryEntries: 2_048,
  limits: LIMITS,
  maxFrameBytes: MAX_FRAME_BYTES,
};

/** Characters of small and of large changes; the largest exceed a message. */
const MAX_SMALL_CHARACTERS = 600;
const MIN_LARGE_CHARACTERS = 2_000;
const MAX_LARGE_CHARACTERS = 40_000;
const LARGE_SHARE = 0.5;

/** Items among which changes choose; together they exceed a frame. */
const ITEMS = 24;

const READY_MS = 4_000;
const CHANGE_INTERVAL_MS = 40;
const CHANGES_UNTIL_MS = 26_000;

/** Times of the faults; each replica that lost its disk has caught up before the next fault of its kind. */
const FAULT_INTERVAL_MS = 7_000;
const MIN_FAULT_MS = 2_000;
const FAULT_MS_SPREAD = 3_500;
const FAULTS: readonly DirectoryFault[] = ['freeze', 'crash', 'lose-disk', 'cut', 'mute', 'deaf'];

const STALL_INTERVAL_MS = 1_700;
const MAX_STALL_MS = 1_500;

/** Time at which every replica must have caught up. */
const SETTLED_MS = 40_000;

/** Result of one seed. */
export interface LargeEntriesResult {
  readonly violations: readonly string[];
  /** Number of items with an acknowledged change. */
  readonly acknowledged: number;
  readonly peaks: NetworkPeaks;
}

/** Runs one seed. */
export async function runLargeEntries(seed: number): Promise<LargeEntriesResult> {
  const world = new DirectoryWorld(seed, SIZE);
  await world.start();
  await world.runUntil(READY_MS);
  scheduleChanges(world);
  scheduleFaults(world);
  await world.runUntil(SETTLED_MS);
  world.checkFinalState();
  checkMembers(world);
  const { peaks } = world.directory.network;
  checkPeaks(world, peaks);
  return { violations: [...new Set(world.violations)], acknowledged: world.acknowledged.size, peaks };
}

function scheduleChanges(world: DirectoryWorld): void {
  const { queue, random } = world;
  for (let atMs = READY_MS; atMs < CHANGES_UNTIL_MS; atMs += CHANGE_INTERVAL_MS) {
    queue.at(atMs, () => {
      const isLarge = random.fraction() < LARGE_SHARE;
      const characters = isLarge
        ? MIN_LARGE_CHARACTERS + random.below(MAX_LARGE_CHARACTERS - MIN_LARGE_CHARACTERS)
        : random.below(MAX_SMALL_CHARACTERS);
      world.change(`item-${random.below(ITEMS)}`, characters);
    });
  }
}

/** One replica at a time has a fault; disks of all stall beside it. */
function scheduleFaults(world: DirectoryWorld): void {
  const { queue, random, replicas } = world;
  for (let atMs = READY_MS + 500; atMs < CHANGES_UNTIL_MS - FAULT_MS_SPREAD; atMs += FAULT_INTERVAL_MS) {
    queue.at(atMs, () => {
      const lastsMs = MIN_FAULT_MS + random.below(FAULT_MS_SPREAD);
      world.injectFault(random.pick(FAULTS), random.pick(replicas), lastsMs);
    });
  }
  for (let atMs = READY_MS; atMs < CHANGES_UNTIL_MS; atMs += STALL_INTERVAL_MS) {
    queue.at(atMs, () => {
      random.pick(replicas).disk.stallNextSync(random.below(MAX_STALL_MS));
    });
  }
}

/** Checks that every replica has applied what the leader has committed, and that no other state differs. */
function checkMembers({ replicas, violations, directory }: DirectoryWorld): void {
  const leader = directory.leader();
  const goal = leader?.consensus?.core.commitIndex ?? Infinity;
  for (const { name, node } of replicas) {
    const applied = node?.consensus?.appliedIndex ?? 0;
    if (applied < goal) violations.push(`${name} has applied ${applied} of ${goal} entries at the end`);
    for (const item of leader?.state.items.values() ?? []) {
      const own = node?.state.items.get(`${item.kind}/${item.name}`);
      if (own?.version !== item.version) violations.push(`${name} has ${item.name} in another version`);
    }
  }
}

/** Size of messages in proportion to that of their entries as the limits count it. */
const FRAMING_SHARE = 1.25;

/** Heartbeats and answers that are held back by a cut beside entries. */
const HELD_HEARTBEAT_BYTES = 64 * KIB;

function checkPeaks({ violations }: DirectoryWorld, peaks: NetworkPeaks): void {
  const entryBytes = MAX_LARGE_CHARACTERS;
  const frameBytes = FRAMING_SHARE * Math.max(LIMITS.messageBytes, entryBytes);
  if (peaks.frameBytes > frameBytes) violations.push(`a frame has ${peaks.frameBytes} bytes`);
  const underWayBytes = FRAMING_SHARE * (LIMITS.inFlightBytes + entryBytes) + HELD_HEARTBEAT_BYTES;
  if (peaks.underWayBytes > underWayBytes)
    violations.push(`${peaks.underWayBytes} bytes are on their way to one replica`);
  if (peaks.closedForSize > 0) violations.push('connections were closed for the size of a frame');
}
