/**
 * Planned work of a run, and the disruptions beside it: signals to daemons, changes of the configuration and machines that
 * were disrupted unplanned. Times are in ms of one clock.
 */

/** Bounds of the deployment in which planned work is judged. */
export interface PlannedWorkBounds {
  /** Time that a daemon has after SIGTERM. */
  readonly graceMs: number;
  /** Time from the acknowledgement of a configuration until all daemons apply it. */
  readonly applyMs: number;
  /** Time that a disruption excuses its machine after its end. */
  readonly contactMs: number;
}

/** Signals that begin planned work at a daemon. */
export type PlannedSignal = 'SIGTERM' | 'SIGHUP';

/** A span of time; `toMs` is infinite while it lasts. */
export interface Span {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Span in ms in which the grace time, the time to apply a configuration and a delay still have effects. */
export const AFTERMATH_MS = 1_000;

interface Signal {
  readonly machine: string;
  readonly signal: PlannedSignal;
  readonly atMs: number;
}

/** A change of the configuration, until and after its acknowledgement. */
interface Change {
  readonly sentMs: number;
  acknowledgedMs: number;
  /** Time limits that the change sets, in ms by route. */
  readonly timeoutsMs: ReadonlyMap<string, number>;
}

/** A disruption of a machine. */
interface Disruption {
  readonly machine: string;
  readonly fromMs: number;
  toMs: number;
}

/** Records planned work and disruptions. */
export class PlannedWorkLog {
  private readonly signals: Signal[] = [];
  private readonly changes: Change[] = [];
  private readonly disruptions: Disruption[] = [];
  private readonly delays: { readonly machine: string | null; readonly span: Span }[] = [];

  constructor(readonly bounds: PlannedWorkBounds) {}

  /** Records a signal to the daemon of a machine. */
  signalSent(machine: string, signal: PlannedSignal, atMs: number): void {
    this.signals.push({ machine, signal, atMs });
  }

  /** Records that a change is sent; returns the call that records its acknowledgement. */
  changeSent(timeoutsMs: ReadonlyMap<string, number>, sentMs: number): (atMs: number) => void {
    const change: Change = { sentMs, acknowledgedMs: Infinity, timeoutsMs };
    this.changes.push(change);
    return (atMs) => {
      change.acknowledgedMs = atMs;
    };
  }

  /** Records that a machine is disrupted; returns the call that records the end of the disruption. */
  disrupted(machine: string, fromMs: number): (atMs: number) => void {
    const disruption: Disruption = { machine, fromMs, toMs: Infinity };
    this.disruptions.push(disruption);
    return (atMs) => {
      disruption.toMs = atMs;
    };
  }

  /** Records that a busy machine delayed the processes of a machine of the soak; of all of them with null. */
  delayed(machine: string | null, fromMs: number, toMs: number): void {
    this.delays.push({ machine, span: { fromMs, toMs } });
  }

  /** Returns the SIGTERM in whose span a time lies; null for none. */
  stopAround(machine: string, atMs: number): number | null {
    const stop = this.signals.findLast(({ machine: stopped, signal, atMs: fromMs }) => {
      const toMs = fromMs + this.bounds.graceMs + AFTERMATH_MS;
      return stopped === machine && signal === 'SIGTERM' && fromMs <= atMs && atMs <= toMs;
    });
    return stop?.atMs ?? null;
  }

  /** Whether a request was sent until the end of a reload's span, and closed after the reload's signal. */
  isAroundReload(machine: string, sentMs: number, closedMs: number): boolean {
    return this.signals.some(({ machine: reloaded, signal, atMs }) => {
      const isSentInTime = sentMs <= atMs + this.bounds.applyMs;
      return reloaded === machine && signal === 'SIGHUP' && isSentInTime && closedMs >= atMs;
    });
  }

  /** Spans around changes of the configuration, joined where they overlap. */
  changeSpans(): Span[] {
    const spans = this.changes
      .map(({ sentMs, acknowledgedMs }) => {
        return { fromMs: sentMs, toMs: acknowledgedMs + this.bounds.applyMs + AFTERMATH_MS };
      })
      .sort((left, right) => left.fromMs - right.fromMs);
    const joined: Span[] = [];
    for (const span of spans) {
      const last = joined.at(-1);
      if (last === undefined || span.fromMs > last.toMs) joined.push(span);
      else joined[joined.length - 1] = { fromMs: last.fromMs, toMs: Math.max(last.toMs, span.toMs) };
    }
    return joined;
  }

  /** Whether a machine was disrupted between the contact time before a request and its end. */
  wasDisrupted(machine: string, sentMs: number, endMs: number): boolean {
    return this.disruptions.some(({ machine: disrupted, fromMs, toMs }) => {
      return disrupted === machine && fromMs <= endMs && toMs >= sentMs - this.bounds.contactMs;
    });
  }

  /** Whether the processes of a machine were delayed from shortly before a request until its end. */
  wasDelayed(machine: string, sentMs: number, endMs: number): boolean {
    return this.delays.some(({ machine: delayed, span }) => {
      const isInvolved = delayed === null || delayed === machine;
      return isInvolved && span.fromMs <= endMs && span.toMs >= sentMs - AFTERMATH_MS;
    });
  }

  /** Returns the smallest time limit of a route that may be in force for a request sent at `sentMs`; infinite for none. */
  timeoutMs(route: string, sentMs: number): number {
    const changes = this.changes.filter(({ timeoutsMs }) => timeoutsMs.has(route));
    const isReplaced = (at: number): boolean => {
      return changes
        .slice(at + 1)
        .some(({ acknowledgedMs }) => acknowledgedMs + this.bounds.applyMs <= sentMs);
    };
    const inForce = changes.filter((change, at) => change.sentMs <= sentMs && !isReplaced(at));
    return Math.min(...inForce.map(({ timeoutsMs }) => timeoutsMs.get(route) ?? Infinity));
  }
}
