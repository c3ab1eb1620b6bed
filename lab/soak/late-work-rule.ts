/**
 * Rule on work for callers that have left: only few requests reach a back end long after their caller has left, and the
 * work on most of those that were running ends soon after it. The calls may come in any order. Times are in ms of one
 * clock.
 */

/** Time in ms after the caller has left within which its request may still reach a back end, or be worked on. */
export const LATE_MS = 500;

/** Number of late arrivals that are allowed in a run. */
const MAX_LATE_ARRIVALS = 3;

/** Share of the interrupted runs that may go on too long, and number of runs from which on it is checked. */
const MAX_CONTINUED_SHARE = 0.25;
const MIN_INTERRUPTED_RUNS = 8;

/** Maximum number of late arrivals that are described. */
const MAX_EXAMPLES = 5;

/** Arrival of a request at a back end. */
export interface ObservedArrival {
  readonly requestId: string;
  readonly backend: string;
  /** Earliest time at which it may have arrived, as seen by the back end. */
  readonly atMs: number;
}

/** Run that a back end ended, by itself or because its connection was closed. */
export interface ObservedRun {
  readonly requestId: string;
  readonly backend: string;
  readonly startedMs: number;
  readonly endedMs: number;
  /** Time at which the work would have ended by itself. */
  readonly plannedEndMs: number;
}

/** A request whose caller left. */
interface Leave {
  readonly atMs: number;
  /** Machine whose daemon the caller used. */
  readonly machine: string;
}

/** An arrival later than allowed. */
export interface LateArrival extends ObservedArrival {
  readonly machine: string;
  readonly lateMs: number;
}

/** Result of the rule. */
export interface LateWorkResult {
  /** Callers that left before they had an answer. */
  readonly left: number;
  readonly lateArrivals: readonly LateArrival[];
  /** Runs that would have lasted longer than allowed after the caller had left, and those of them that did. */
  readonly interruptedRuns: number;
  readonly continuedRuns: number;
  readonly violations: readonly string[];
}

/** Collects what callers and back ends observe. */
export class LateWorkRule {
  private readonly leaves = new Map<string, Leave>();
  private readonly arrivals: ObservedArrival[] = [];
  private readonly runs: ObservedRun[] = [];

  constructor(
    /** Whether neither the machine nor what it depends on was disturbed shortly before a time. */
    private readonly isInTouch: (machine: string, atMs: number) => boolean = () => true,
  ) {}

  /** Records that a caller has left before it had an answer. */
  callerLeft(requestId: string, machine: string, atMs: number): void {
    this.leaves.set(requestId, { machine, atMs });
  }

  /** Records that a request has reached a back end. */
  arrived(arrival: ObservedArrival): void {
    this.arrivals.push(arrival);
  }

  /** Records the end of a run. */
  ended(run: ObservedRun): void {
    this.runs.push(run);
  }

  /** Returns what was found; `isCounted` selects by the time at which the caller left. */
  result(isCounted: (leftMs: number) => boolean = () => true): LateWorkResult {
    const counted = (leave: Leave | undefined): leave is Leave =>
      leave !== undefined && isCounted(leave.atMs);
    const lateArrivals = this.arrivals.flatMap((arrival) => {
      const leave = this.leaves.get(arrival.requestId);
      return counted(leave) ? this.lateArrival(arrival, leave) : [];
    });
    const interrupted = this.runs.filter((run) => {
      const leave = this.leaves.get(run.requestId);
      return counted(leave) && this.wouldLast(run, leave);
    });
    const continued = interrupted.filter(({ requestId, endedMs }) => {
      return endedMs - (this.leaves.get(requestId)?.atMs ?? endedMs) > LATE_MS;
    });
    const left = [...this.leaves.values()].filter(counted).length;
    const counts = { left, interruptedRuns: interrupted.length, continuedRuns: continued.length };
    return { ...counts, lateArrivals, violations: violationsOf(lateArrivals, counts) };
  }

  private lateArrival(arrival: ObservedArrival, { machine, atMs }: Leave): LateArrival[] {
    const lateMs = arrival.atMs - atMs;
    const isLate = lateMs > LATE_MS && this.areInTouch(machine, arrival.backend, arrival.atMs);
    return isLate ? [{ ...arrival, machine, lateMs }] : [];
  }

  private wouldLast({ backend, startedMs, plannedEndMs }: ObservedRun, leave: Leave): boolean {
    const isInterrupted = startedMs <= leave.atMs && plannedEndMs > leave.atMs + LATE_MS;
    return isInterrupted && this.areInTouch(leave.machine, backend, leave.atMs + LATE_MS);
  }

  private areInTouch(machine: string, backend: string, atMs: number): boolean {
    return this.isInTouch(machine, atMs) && this.isInTouch(backend, atMs);
  }
}

function violationsOf(
  lateArrivals: readonly LateArrival[],
  { interruptedRuns, continuedRuns }: { interruptedRuns: number; continuedRuns: number },
): string[] {
  const violations: string[] = [];
  if (lateArrivals.length > MAX_LATE_ARRIVALS) {
    const examples = lateArrivals.slice(0, MAX_EXAMPLES).map(({ requestId, machine, backend, lateMs }) => {
      return `${requestId} from ${machine} reached ${backend} ${Math.round(lateMs)} ms after its caller had left`;
    });
    violations.push(`${lateArrivals.length} late arrivals: ${examples.join('; ')}`);
  }
  if (interruptedRuns >= MIN_INTERRUPTED_RUNS && continuedRuns > interruptedRuns * MAX_CONTINUED_SHARE)
    violations.push(`${continuedRuns} of ${interruptedRuns} runs went on after their callers had left`);
  return violations;
}
