/** Metrics of a sidecar. */
import { countCrashRecordsByStage } from '../quarantine/crash-report.js';
import type { DaemonMetrics } from '../telemetry/daemon-metrics.js';
import type { SidecarNode } from './sidecar-node.js';

/** Value of the limit metric while there is no limit. */
const NO_LIMIT = -1;

/** Registers the metrics of a sidecar. */
export function exposeSidecar(metrics: DaemonMetrics, node: SidecarNode): void {
  const { counters, gateway } = node;
  metrics.family('requests', 'Requests of callers, by outcome', 'outcome', () => [
    ['answered', counters.answered],
    ['not-run', counters.notRun],
    ['unknown', counters.unknown],
    ['cancelled', counters.cancelled],
    ['left-unread', counters.leftUnread],
    ['quarantined', counters.quarantined],
  ]);
  metrics.family('answer_faults', 'Answers that did not reach their callers whole, by reason', 'reason', () =>
    Object.entries(counters.answerFaults),
  );
  metrics.family(
    'requests_unanswered',
    'Requests whose connections this daemon closed without a whole answer, by cause',
    'cause',
    () => Object.entries(counters.unanswered),
  );
  metrics.value('attempts', 'Attempts at other daemons', () => counters.attempts);
  metrics.value('repeats', 'Second arrivals at back ends', () => counters.repeats);
  metrics.family('request_refusals', 'Ended requests, by how many daemons had refused them', 'refusals', () =>
    Object.entries(counters.byRefusals),
  );
  metrics.value('returned', 'Requests whose caller had been refused before', () => counters.returned);
  metrics.value(
    'returned_answered',
    'Of these, requests that were answered',
    () => counters.returnedAnswered,
  );
  metrics.value(
    'unreadable_link_times',
    'Refusals whose time until a network link has room could not be read',
    () => counters.unreadableLinkTimes,
  );
  metrics.value('probes', 'Questions how busy a back end is', () => node.prober.sent);
  metrics.value(
    'probes_unanswered',
    'Choices made before all probed daemons had answered',
    () => node.prober.unanswered,
  );
  metrics.family('gateway_refusals', 'Requests refused beside the back end, by reason', 'reason', () =>
    Object.entries(gateway.counters.refused),
  );
  metrics.family('gateway_cancelled', 'Requests whose caller left, by what they were doing', 'state', () =>
    Object.entries(gateway.counters.cancelled),
  );
  metrics.labeled(
    'process_delays',
    'Checks of how late the process runs, by phase and least delay in ms',
    ['phase', 'least_ms'],
    () => [...node.delay.counts].map(([key, count]) => [key.split(' '), count] as const),
  );
  metrics.value('links_idle_closed', 'Links closed because they were not used', () => node.idleLinks);
  exposeCalls(metrics, node);
  metrics.value(
    'gateway_link_refusals',
    'Of these, requests whose answer would have waited too long for the network link',
    () => gateway.counters.refusedForLink,
  );
  metrics.value(
    'link_wait_ms',
    'Time that the network link needs for the large answers that are queued or expected',
    () => gateway.forecast.sendWaitMs,
  );
  metrics.value('backend_runs', 'Requests sent to the back end', () => gateway.counters.runs);
  metrics.value('backend_answers', 'Whole answers of the back end', () => gateway.counters.answered);
  metrics.value(
    'backend_pace',
    'How long work takes there now, as a factor on the usual',
    () => gateway.forecast.pace.at(node.nowMs).now,
  );
  metrics.value(
    'backend_unreadable_figures',
    'Figures of its load that could not be read',
    () => gateway.forecast.unreadablePaceReports,
  );
  metrics.value(
    'backend_limit_per_s',
    'Requests a second that it accepts; -1 while it names no limit',
    () => gateway.pacing.limitPerSecond ?? NO_LIMIT,
  );
  metrics.value(
    'backend_limit_unknown',
    '1 while requests go one at a time, because it may have named a limit before this daemon started',
    () => Number(!gateway.pacing.isLimitKnown),
  );
  metrics.value(
    'backend_sent_recently',
    'Requests sent to it in the last 4 s',
    () => gateway.pacing.recentlySent,
  );
  metrics.value(
    'backend_unreadable_limits',
    'Limits of its requests that could not be read',
    () => gateway.pacing.unreadableLimits,
  );
  metrics.value(
    'backend_end_probes',
    'Probes that confirmed, or did not, the ends of answers that only the end of their connection delimits',
    () => gateway.endConfirmation.probes,
  );
  metrics.value('backend_ends', 'Times that it ended by itself under requests', () => node.crashes.ends);
  metrics.value('suspects_waiting', 'Requests that wait to run alone', () => gateway.suspects.waitingCount);
  metrics.family('crash_records', 'Requests under which back ends end, by stage', 'stage', () =>
    countCrashRecordsByStage(node.table.quarantine.all.values()),
  );
  metrics.value('backend_broken', 'Runs without a whole answer', () => gateway.counters.broken);
  metrics.family('backend_slot_ms', 'Slot time in ms, by what it was spent for', 'use', () =>
    Object.entries(gateway.counters.slotMs),
  );
  metrics.value('backend_running', 'Requests at the back end', () => gateway.admission.runningCount);
  metrics.value('backend_waiting', 'Requests that wait for a place', () => gateway.admission.waitingCount);
  metrics.value(
    'backend_waiting_late',
    'Of these, requests that will be late',
    () => gateway.lateWaitLimiter.waiting,
  );
  metrics.family('late_waits', 'Ended waits of late requests, by how they ended', 'outcome', () =>
    Object.entries(gateway.lateWaitLimiter.counters),
  );
  metrics.value(
    'backend_late_reserve',
    'Places that late requests leave free; 0 while no request comes that can be in time',
    () => gateway.forecast.lateReserve,
  );
  metrics.value('backend_slots', 'Places at the back end', () => gateway.admission.slots);
  metrics.value('backend_connections_opened', 'Connections opened to it', () => node.backendClient.opened);
  metrics.labeled('link_bytes', 'Bytes exchanged with other daemons', ['kind', 'scope'], () =>
    node.linkBytes.totals().map(({ kind, scope, bytes }) => [[kind, scope], bytes] as const),
  );
  metrics.value('table_index', 'Index of the table in force', () => node.table.index);
  metrics.value('directory_connected', '1 while a replica is followed', () =>
    Number(node.directory.connected),
  );
  metrics.value('lease_left_ms', 'Time left of the lease', () => Math.max(0, node.leaseLeftMs));
  metrics.value('ready', '1 while callers may come', () => Number(node.notReadyReason === null));
}

/** Registers the metrics of calls: those that the local back end makes, and those that it serves. */
function exposeCalls(metrics: DaemonMetrics, { gateway }: SidecarNode): void {
  metrics.family(
    'calls_identified',
    'Requests identified as calls of the local back end, by result',
    'result',
    () => Object.entries(gateway.runningRequests.counters),
  );
  metrics.value(
    'backend_calls',
    'Requests to the back end that a running request elsewhere waits for',
    () => gateway.counters.calls,
  );
  metrics.value('backend_running_calls', 'Calls at the back end', () => gateway.runningRequests.callCount);
  metrics.value(
    'backend_unreadable_calls',
    'Requests whose relation to a waiting request could not be read',
    () => gateway.counters.unreadableCalls,
  );
  metrics.value(
    'refused_for_calls',
    'Requests refused early because calls that they need fail',
    () => gateway.callShortages.refused,
  );
  metrics.value('backend_call_slots', 'Slots that recent calls need', () => gateway.forecast.callSlots);
  metrics.value(
    'backend_call_reserve',
    'Slots that new work leaves to calls',
    () => gateway.forecast.callReserve,
  );
}
