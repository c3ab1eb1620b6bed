/** Metrics of a directory replica. */
import { readReplicaUsage } from '../consensus/replica-usage.js';
import { countCrashRecordsByStage } from '../quarantine/crash-report.js';
import type { DaemonMetrics } from '../telemetry/daemon-metrics.js';
import type { ProcessDelay } from '../telemetry/process-delay.js';
import { readProcessMemory } from '../telemetry/process-memory.js';
import type { DirectoryNode } from './directory-node.js';

/** Registers the metrics of a replica. */
export function exposeDirectoryMetrics(
  metrics: DaemonMetrics,
  node: DirectoryNode,
  delay: ProcessDelay,
): void {
  metrics.value('heap_bytes', 'Heap in use', () => readProcessMemory().heapBytes);
  metrics.value('heap_limit_bytes', 'Heap at which the process ends', () => {
    return readProcessMemory().heapLimitBytes;
  });
  metrics.value('resident_bytes', 'Resident memory', () => readProcessMemory().residentBytes);
  metrics.value('process_delay_ms', 'Longest recent delay of the event loop', () => delay.recentMs);
  metrics.value('raft_term', 'Current term', () => node.consensus?.core.term ?? 0);
  metrics.value('raft_is_leader', '1 when this replica leads', () => Number(node.leading));
  metrics.value('raft_commit_index', 'Newest committed entry', () => node.consensus?.core.commitIndex ?? 0);
  metrics.value('raft_applied_index', 'Newest applied entry', () => node.consensus?.appliedIndex ?? 0);
  metrics.value(
    'raft_voters',
    'Replicas that vote',
    () => node.consensus?.core.membership.voters.length ?? 0,
  );
  metrics.value('raft_is_voter', '1 when this replica votes, by the committed membership', () => {
    const core = node.consensus?.core;
    return Number(core?.committedMembership()?.voters.includes(core.id) ?? false);
  });
  metrics.value('hears_leader', '1 while a leader is heard', () => Number(node.hasRecentLeader));
  metrics.value('log_syncs', 'Syncs of the log', () => node.consensus?.counters.syncs ?? 0);
  metrics.value('log_bytes', 'Size of the log on disk', () => node.consensus?.logBytes ?? 0);
  metrics.value(
    'log_memory_bytes',
    'Log entries kept in memory',
    () => node.consensus?.core.cachedLogBytes ?? 0,
  );
  metrics.value('queued_events', 'Events that wait for the disk', () => node.consensus?.queuedEvents ?? 0);
  metrics.value('queued_bytes', 'Size of the events that wait for the disk', () => {
    return node.consensus?.queuedBytes ?? 0;
  });
  metrics.value('events_dropped', 'Messages and proposals without room behind the disk', () => {
    return node.consensus?.counters.eventsDropped ?? 0;
  });
  metrics.value('disk_delay_ms', 'Delay of the batch in progress', () => node.consensus?.diskDelayMs ?? 0);
  metrics.family('peer_lag_entries', 'Committed entries that a peer lacks, on the leader', 'peer', () =>
    peerLags(node),
  );
  metrics.value('snapshots_taken', 'Snapshots taken', () => node.consensus?.counters.snapshotsTaken ?? 0);
  metrics.value('watchers', 'Daemons that watch this replica', () => node.feed.size);
  metrics.value('backends', 'Registered back ends', () => node.state.instances.size);
  metrics.value('configuration_items', 'Items of the configuration', () => node.state.items.size);
  metrics.value('configuration_revision', 'Version of the whole', () => node.state.revision);
  metrics.family('crash_records', 'Requests under which back ends end, by stage', 'stage', () =>
    countCrashRecordsByStage(node.state.crashRecords.values()),
  );
  const { moveCounters } = node;
  metrics.family('keys_moved', 'Keys whose move to another owner was planned, by cause', 'cause', () => [
    ['balance', moveCounters.balancedKeys] as const,
    ['leaving-owner', moveCounters.drainedKeys] as const,
  ]);
  metrics.value(
    'limited_balance_plans',
    'Planning runs in which a limit on moves for balance was reached',
    () => moveCounters.limitedPlans,
  );
  metrics.family('ranges', 'Ranges of keys, by service', 'service', () =>
    [...node.state.ranges].map(([service, ranges]) => [service, ranges.length] as const),
  );
}

function peerLags({ consensus }: DirectoryNode): (readonly [string, number])[] {
  if (consensus === null) return [];
  const { peers, commitIndex } = readReplicaUsage(consensus, 0);
  return peers.map(({ peer, match }) => [peer, Math.max(0, commitIndex - match)] as const);
}
