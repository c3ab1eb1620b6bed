/** Log events and latency observations of a directory replica. */
import type { Replica } from '../consensus/replica.js';
import type { ProposalDurations } from '../control/proposal-times.js';
import { reportCrashes } from '../quarantine/crash-report.js';
import type { EventLog } from '../telemetry/event-log.js';
import type { Latencies } from '../telemetry/latencies.js';
import type { DirectoryChange } from './directory-commands.js';

/** Duration in ms from which a configuration change is logged with its steps. */
const SLOW_CHANGE_MS = 200;

/** Latency label of configuration changes. */
const CONFIGURATION_LABEL = 'configuration';

/** Writes the log events and latency observations of one replica. */
export class DirectoryReporter {
  constructor(
    private readonly log: EventLog,
    private readonly latencies: Latencies,
  ) {}

  /** Logs what a replica recovered at process start, so that a replica that lost entries can be recognized. */
  recovered({ core }: Replica): void {
    const { lastIndex, term, commitIndex: snapshotIndex, membership } = core;
    const voters = membership.voters.length;
    this.log.event('replica-recovered', { lastIndex, term, snapshotIndex, voters });
  }

  /** Records how long each step of an operator's change of `items` items took, and logs slow changes. */
  changed(items: number, { queueMs, syncMs, quorumMs }: ProposalDurations): void {
    this.latencies.observe('change-queue', CONFIGURATION_LABEL, queueMs);
    this.latencies.observe('change-sync', CONFIGURATION_LABEL, syncMs);
    this.latencies.observe('change-quorum', CONFIGURATION_LABEL, quorumMs);
    const total = Math.round(queueMs + syncMs + quorumMs);
    if (total < SLOW_CHANGE_MS) return;
    this.log.event('change-slow', {
      items,
      total,
      queueMs: Math.round(queueMs),
      syncMs: Math.round(syncMs),
      quorumMs: Math.round(quorumMs),
    });
  }

  /** Logs requests that are held or cleared because back ends ended while running them. */
  crashRecords(changes: readonly DirectoryChange[]): void {
    for (const change of changes) {
      if (change.kind !== 'crash-records') continue;
      for (const report of reportCrashes(change.changed)) this.log.event('request-held', { ...report });
      for (const fingerprint of change.removed) this.log.event('request-cleared', { fingerprint });
    }
  }
}
