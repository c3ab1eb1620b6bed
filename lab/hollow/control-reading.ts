/** Reads the metrics of a control replica. */
import { request } from 'undici';
import { metricValue } from '../metrics-text.js';
import { formatAddress, type SocketAddress } from '../../src/model/socket-address.js';

/** What a replica has used since it was started. */
export interface ControlReading {
  readonly cpuSeconds: number;
  readonly memoryBytes: number;
  readonly isLeader: boolean;
  readonly logEntries: number;
  readonly logSyncs: number;
  readonly logBytes: number;
  readonly renewals: number;
  /** Bytes to the other replicas. */
  readonly peerBytesSent: number;
  /** Bytes to agents and routers. */
  readonly daemonBytesSent: number;
  readonly atMs: number;
}

/** Reads one replica. */
export async function readControl(operator: SocketAddress): Promise<ControlReading> {
  const response = await request(`http://${formatAddress(operator)}/metrics`);
  const text = await response.body.text();
  const value = (name: string): number => metricValue(text, name);
  return {
    cpuSeconds: value('process_cpu_seconds_total'),
    memoryBytes: value('process_resident_memory_bytes'),
    isLeader: value('aldertide_raft_is_leader') === 1,
    logEntries: value('aldertide_log_entries'),
    logSyncs: value('aldertide_log_syncs'),
    logBytes: value('aldertide_log_bytes'),
    renewals: value('aldertide_session_renewals'),
    peerBytesSent: value('aldertide_peer_bytes_sent'),
    daemonBytesSent: value('aldertide_daemon_bytes_sent'),
    atMs: performance.now(),
  };
}
