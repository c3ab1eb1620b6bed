/** Periodic event on what a sidecar does and how late it runs, to tell a lack of processor time from a full link or full slots. */
import type { LinkPacer } from '../link/link-pacer.js';
import type { EventFields } from '../telemetry/event-log.js';
import type { ProcessDelay } from '../telemetry/process-delay.js';
import type { ForwarderCounters } from './forwarder-counters.js';
import type { BackendGateway } from './backend-gateway.js';

/** Interval in ms between events. */
export const DAEMON_LOAD_INTERVAL_MS = 2_000;

const US_PER_MS = 1_000;

/** What the events are built from. */
export interface DaemonLoadSources {
  readonly delay: ProcessDelay;
  readonly callers: ForwarderCounters;
  readonly gateway: BackendGateway;
  /** Paces large answers; null if the network link is fast. */
  readonly pacer: LinkPacer | null;
}

/** Totals since the start of the daemon. */
type Totals = Readonly<
  Record<
    | 'processorMs'
    | 'answered'
    | 'notRun'
    | 'attempts'
    | 'received'
    | 'calls'
    | 'runs'
    | 'refused'
    | 'refusedForLink',
    number
  >
>;

/** Builds the events of one daemon, each with what has been added since the previous one. */
export class DaemonLoad {
  private previous: Totals;

  constructor(private readonly sources: DaemonLoadSources) {
    this.previous = this.totals();
  }

  /** Returns the fields of the next event. */
  takeFields(): EventFields {
    const { delay, gateway, pacer } = this.sources;
    const totals = this.totals();
    const { previous } = this;
    this.previous = totals;
    const added = Object.fromEntries(
      Object.entries(totals).map(([name, total]) => [name, total - previous[name as keyof Totals]]),
    );
    return {
      ...added,
      delay: delay.takeSummary(),
      running: gateway.admission.runningCount,
      waiting: gateway.admission.waitingCount,
      linkWaitMs: Math.round(gateway.forecast.sendWaitMs),
      link: pacer === null ? null : { backlogMs: Math.round(pacer.backlogMs), ...pacer.takeSentFrames() },
    };
  }

  private totals(): Totals {
    const { callers, gateway } = this.sources;
    const { user, system } = process.cpuUsage();
    const { requests: received, calls, runs, refusedForLink } = gateway.counters;
    const refused = Object.values(gateway.counters.refused).reduce((sum, count) => sum + count, 0);
    const { answered, notRun, attempts } = callers;
    const processorMs = Math.round((user + system) / US_PER_MS);
    return { processorMs, answered, notRun, attempts, received, calls, runs, refused, refusedForLink };
  }
}
