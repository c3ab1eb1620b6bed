/** What a directory replica tells of itself in its log and its latencies. */
import type { Replica } from '../consensus/replica.js';
import type { ProposalDurations } from '../control/proposal-times.js';
import { reportCrashes } from '../quarantine/crash-report.js';
import type { EventLog } from '../telemetry/event-log.js';
import type { Latencies } from '../telemetry/latencies.js';
import type { DirectoryChange } from './directory-commands.js';

/** Time in ms from which on a change is written to the log with its steps. */
const SLOW_CHANGE_MS = 200;

/** Label of changes of the configuration in the latencies. */
const CHANGES = 'configuration';

/** Reports of one replica. */
export class DirectoryReports {
  constructor(
    private readonly log: EventLog,
    private readonly latencies: Latencies,
  ) {}

  /** What a replica held when its process began: one that came back with less than it had shows it here. */
  recovered({ core }: Replica): void {
    const { lastIndex, term, commitIndex: snapshotIndex, membership } = core;
    const voters = membership.voters.length;
    this.log.event('replica-recovered', { lastIndex, term, snapshotIndex, voters });
  }

  /** Where the time of an operator's change of so many items went, so that a slow one can be explained. */
  changed(items: number, { queueMs, syncMs, quorumMs }: ProposalDurations): void {
    this.latencies.observe('change-queue', CHANGES, queueMs);
    this.latencies.observe('change-sync', CHANGES, syncMs);
    this.latencies.observe('change-quorum', CHANGES, quorumMs);
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

  /** Requests under which back ends end, as changes hold them or let them go. */
  crashRecords(changes: readonly DirectoryChange[]): void {
    for (const change of changes) {
      if (change.kind !== 'crash-records') continue;
      for (const report of reportCrashes(change.changed)) this.log.event('request-held', { ...report });
      for (const fingerprint of change.removed) this.log.event('request-cleared', { fingerprint });
    }
  }
}
