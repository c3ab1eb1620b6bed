/** `aldertide control`: a control replica with its operator interface. */
import type { Registry } from 'prom-client';
import type { ControlSettings } from '../config/daemon-settings.js';
import { ControlNode } from '../control/control-node.js';
import { OperatorApi } from '../control/operator-api.js';
import { Ok, type Result } from '../result.js';
import type { Logger } from '../telemetry/logger.js';
import { createRegistry, exposeValue } from '../telemetry/metrics.js';
import type { RunningDaemon } from './daemon-command.js';

/** Starts a control replica with its operator interface. */
export async function startControl(
  settings: ControlSettings,
  token: string,
  logger: Logger,
  onFatal: (error: unknown) => void,
): Promise<Result<RunningDaemon, string>> {
  const node = await ControlNode.start(settings, token, logger, onFatal);
  if (node.err) return node;
  const registry = createRegistry();
  exposeControl(registry, node.val);
  const api = await OperatorApi.start(node.val, token, registry, settings.operator);
  if (api.err) return api;
  const stop = async (): Promise<void> => {
    await api.val.stop();
    await node.val.stop();
  };
  return Ok({ stop });
}

function exposeControl(registry: Registry, node: ControlNode): void {
  exposeValue(registry, 'raft_term', 'Current term', () => node.consensus?.core.term ?? 0);
  exposeValue(registry, 'raft_is_leader', '1 when this replica leads', () => Number(node.leading));
  exposeValue(
    registry,
    'raft_commit_index',
    'Newest committed entry',
    () => node.consensus?.core.commitIndex ?? 0,
  );
  exposeValue(
    registry,
    'raft_applied_index',
    'Newest applied entry',
    () => node.consensus?.appliedIndex ?? 0,
  );
  exposeValue(registry, 'log_bytes', 'Size of the log on disk', () => node.logBytes);
  exposeValue(registry, 'log_syncs', 'Syncs of the log', () => node.consensus?.counters.syncs ?? 0);
  exposeValue(
    registry,
    'log_entries',
    'Entries persisted',
    () => node.consensus?.counters.entriesPersisted ?? 0,
  );
  exposeValue(
    registry,
    'snapshots_taken',
    'Snapshots taken',
    () => node.consensus?.counters.snapshotsTaken ?? 0,
  );
  exposeValue(registry, 'sessions_open', 'Open sessions', () => node.state.sessions.size);
  exposeValue(registry, 'session_renewals', 'Renewals answered', () => node.sessions.counters.renewals);
  exposeValue(registry, 'sessions_expired', 'Sessions ended by time', () => node.sessions.counters.expired);
  exposeValue(registry, 'watchers', 'Daemons that watch this replica', () => node.hub.list().length);
  exposeValue(
    registry,
    'configuration_revision',
    'Configuration in force',
    () => node.state.configuration.revision,
  );
  exposeValue(registry, 'connections_refused', 'Connections refused', () => node.counters.refusedConnections);
  exposeValue(
    registry,
    'messages_unreadable',
    'Messages dropped',
    () => node.gateway.unreadableMessages + node.counters.unreadablePeerMessages,
  );
  exposeValue(registry, 'peer_bytes_sent', 'Bytes to other replicas', () => node.peerTraffic().bytesSent);
  exposeValue(registry, 'daemon_bytes_sent', 'Bytes to agents and routers', () => node.daemonBytesSent);
}
