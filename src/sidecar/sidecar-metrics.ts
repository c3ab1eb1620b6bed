/** Metrics of a sidecar. */
import { crashStages } from '../quarantine/crash-report.js';
import type { DaemonMetrics } from '../telemetry/daemon-metrics.js';
import type { SidecarNode } from './sidecar-node.js';

/** Registers the metrics of a sidecar. */
export function exposeSidecar(metrics: DaemonMetrics, node: SidecarNode): void {
  const { counters, gateway } = node;
  metrics.family('requests', 'Requests of callers, by outcome', 'outcome', () => [
    ['answered', counters.answered],
    ['not-run', counters.notRun],
    ['unknown', counters.unknown],
    ['cancelled', counters.cancelled],
    ['quarantined', counters.quarantined],
  ]);
  metrics.value('attempts', 'Attempts sent to other daemons', () => counters.attempts);
  metrics.value('repeats', 'Requests that arrived at back ends a second time', () => counters.repeats);
  metrics.family('request_refusals', 'Completed requests, by number of refusals by daemons', 'refusals', () =>
    Object.entries(counters.byRefusals),
  );
  metrics.value('returned', 'Requests that callers retried after a refusal', () => counters.returned);
  metrics.value('returned_answered', 'Retried requests that were answered', () => counters.returnedAnswered);
  metrics.value('probes', 'Load probes sent to other daemons', () => node.prober.sent);
  metrics.value(
    'probes_unanswered',
    'Back ends chosen before all probed daemons had answered',
    () => node.prober.unanswered,
  );
  metrics.family(
    'gateway_refusals',
    'Requests refused by the gateway to the back end, by reason',
    'reason',
    () => Object.entries(gateway.counters.refused),
  );
  metrics.value('backend_runs', 'Requests sent to the back end', () => gateway.counters.runs);
  metrics.value('backend_answers', 'Complete answers of the back end', () => gateway.counters.answered);
  metrics.value(
    'backend_pace',
    'Present service time of the back end relative to the usual one',
    () => gateway.forecast.pace.at(node.nowMs).now,
  );
  metrics.value(
    'backend_unreadable_figures',
    'Unreadable load figures of the back end',
    () => gateway.forecast.unreadableFigures,
  );
  metrics.value(
    'backend_ends',
    'Unexpected ends of the back end with requests in flight',
    () => node.crashes.ends,
  );
  metrics.value(
    'suspects_waiting',
    'Suspected requests that wait to run alone',
    () => gateway.suspects.waitingCount,
  );
  metrics.family('crash_records', 'Requests during which back ends crash, by stage', 'stage', () =>
    crashStages(node.table.quarantine.all.values()),
  );
  metrics.value(
    'backend_broken',
    'Requests sent to the back end without a complete answer',
    () => gateway.counters.broken,
  );
  metrics.family('backend_slot_ms', 'Slot time in ms, by use', 'use', () =>
    Object.entries(gateway.counters.slotMs),
  );
  metrics.value(
    'backend_running',
    'Requests in flight at the back end',
    () => gateway.admission.runningCount,
  );
  metrics.value('backend_waiting', 'Requests queued for a slot', () => gateway.admission.waitingCount);
  metrics.value(
    'backend_waiting_late',
    'Queued requests that are expected to be late',
    () => gateway.lateOutlook.waiting,
  );
  metrics.family('late_waits', 'Completed waits of late requests, by outcome', 'outcome', () =>
    Object.entries(gateway.lateOutlook.counters),
  );
  metrics.value('backend_slots', 'Slots of the back end', () => gateway.admission.slots);
  metrics.value(
    'backend_connections_opened',
    'Connections opened to the back end',
    () => node.backendClient.opened,
  );
  metrics.value('table_index', 'Index of the directory table in force', () => node.table.index);
  metrics.value('directory_connected', '1 while a directory replica is followed', () =>
    Number(node.directory.connected),
  );
  metrics.value('lease_left_ms', 'Remaining time of the lease in ms', () => Math.max(0, node.leaseLeftMs));
  metrics.value('ready', '1 while the daemon is ready for callers', () =>
    Number(node.notReadyReason === null),
  );
}
