/** Metrics of a directory replica. */
import { countCrashRecordsByStage } from '../quarantine/crash-report.js';
import type { DaemonMetrics } from '../telemetry/daemon-metrics.js';
import type { DirectoryNode } from './directory-node.js';

/** Registers the metrics of a replica. */
export function exposeDirectoryMetrics(metrics: DaemonMetrics, node: DirectoryNode): void {
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
