/**
 * Periodic event on the memory of a directory, its log and its peers, to tell apart why it runs out of memory or answers late: a
 * log that grows, a peer that is behind, a disk that stalls, or an event loop that others delay.
 */
import { readReplicaUsage } from '../consensus/replica-usage.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { EventFields, EventLog } from '../telemetry/event-log.js';
import type { ProcessDelay } from '../telemetry/process-delay.js';
import { readProcessMemory } from '../telemetry/process-memory.js';
import type { DirectoryNode } from './directory-node.js';

/** Interval in ms between events. */
const DIRECTORY_LOAD_INTERVAL_MS = 2_000;

const US_PER_MS = 1_000;

/** Totals since the start of the process. */
interface Totals {
  readonly processorMs: number;
  readonly syncs: number;
  readonly diskMs: number;
  readonly entriesPersisted: number;
  readonly eventsDropped: number;
  readonly snapshotsTaken: number;
  readonly snapshotsInstalled: number;
}

/** The part of a directory that its load is read from. */
export type ObservedDirectory = Pick<DirectoryNode, 'consensus' | 'feed'>;

/** Builds the events of one directory, each with what has been added since the previous one. */
export class DirectoryLoad {
  private previous: Totals;

  constructor(
    private readonly runtime: Pick<Runtime, 'nowMs'>,
    private readonly node: ObservedDirectory,
    private readonly delay: ProcessDelay,
  ) {
    this.previous = this.totals();
  }

  /** Returns the fields of the next event. */
  takeFields(): EventFields {
    const totals = this.totals();
    const { previous } = this;
    this.previous = totals;
    const { consensus, feed } = this.node;
    return {
      ...readProcessMemory(),
      delay: this.delay.takeSummary(),
      processorMs: totals.processorMs - previous.processorMs,
      syncs: totals.syncs - previous.syncs,
      diskMs: Math.round(totals.diskMs - previous.diskMs),
      entriesPersisted: totals.entriesPersisted - previous.entriesPersisted,
      eventsDropped: totals.eventsDropped - previous.eventsDropped,
      snapshotsTaken: totals.snapshotsTaken - previous.snapshotsTaken,
      snapshotsInstalled: totals.snapshotsInstalled - previous.snapshotsInstalled,
      watchers: feed.size,
      ...(consensus === null ? {} : readReplicaUsage(consensus, this.runtime.nowMs())),
    };
  }

  private totals(): Totals {
    const { user, system } = process.cpuUsage();
    const counters = this.node.consensus?.counters;
    return {
      processorMs: Math.round((user + system) / US_PER_MS),
      syncs: counters?.syncs ?? 0,
      diskMs: counters?.diskMs ?? 0,
      entriesPersisted: counters?.entriesPersisted ?? 0,
      eventsDropped: counters?.eventsDropped ?? 0,
      snapshotsTaken: counters?.snapshotsTaken ?? 0,
      snapshotsInstalled: counters?.snapshotsInstalled ?? 0,
    };
  }
}

/** Logs the load of a directory periodically. */
export function reportDirectoryLoad(
  runtime: Pick<Runtime, 'nowMs' | 'every'>,
  node: ObservedDirectory,
  delay: ProcessDelay,
  log: EventLog,
): CancelTimer {
  const load = new DirectoryLoad(runtime, node, delay);
  return runtime.every(DIRECTORY_LOAD_INTERVAL_MS, () => {
    log.event('directory-load', load.takeFields());
  });
}
