/**
 * Judges a soak while it runs, from what callers, back ends and the operator see on their sockets. Pure: times are
 * given in ms of one clock, and the same calls give the same verdict.
 */
import type { HeldRange } from '../../src/sidecar/backend-report.js';
import { overlaps } from '../../src/directory/key-ranges.js';
import { rangeName } from '../../src/sidecar/key-grants.js';
import type { TimedRange } from './held-keys.js';

/** What must hold. */
export type SoakPromise =
  | 'at-most-once'
  | 'not-run'
  | 'whole-answer'
  | 'one-owner'
  | 'fence-rises'
  | 'drain'
  | 'planned-stop'
  | 'configuration-kept'
  | 'configuration-in-force'
  | 'change-in-time'
  | 'recovery'
  | 'evacuation'
  | 'contained-request'
  | 'cold-start';

/** A promise that was broken. */
export interface SoakViolation {
  readonly promise: SoakPromise;
  readonly atMs: number;
  readonly detail: string;
}

const MS_PER_SECOND = 1_000;

/** Time in ms for which two back ends may be seen to hold the same keys when neither begins work on them. */
const OVERLAP_LIMIT_MS = 500;

/** Ends after which a request is known to end what runs it, time in ms for all to know, and runs that may follow. */
const ENDS_THAT_TELL = 3;
const CONTACT_MS = 3_000;
const RUNS_ALLOWED = 3;

/** A request that a back end begins to run. */
export interface RunStart {
  readonly requestId: string;
  readonly backend: string;
  readonly service: string;
  readonly key: number | null;
  readonly repeatable: boolean;
}

/** A back end that is up, and what it holds. */
interface Holder {
  readonly service: string;
  readonly ranges: readonly TimedRange[];
}

/** Two back ends that hold keys together. */
interface Overlap {
  readonly sinceMs: number;
  reported: boolean;
  /** Keys that each of the two began work on since. */
  readonly begun: Map<string, Set<number>>;
}

/** The judge. */
export class SoakJudge {
  readonly violations: SoakViolation[] = [];
  private readonly runs = new Map<string, number>();
  private readonly refused = new Map<string, number>();
  private readonly holders = new Map<string, Holder>();
  /** Highest fence seen at any back end, by service and key span as it was granted. */
  private readonly fences = new Map<string, { backend: string; range: HeldRange }[]>();
  private readonly overlaps = new Map<string, Overlap>();
  private readonly drainedSince = new Map<string, number>();
  /** When evacuations were acknowledged, by zone; those that were taken back are not here. */
  private readonly evacuatedSince = new Map<string, number>();
  /** When requests reached each cold back end in the last second. */
  private readonly coldArrivals = new Map<string, number[]>();
  /** Ends under requests that end what runs them, and runs of them long after the third, by path. */
  private readonly endsUnder = new Map<string, number[]>();
  private readonly runsAfter = new Map<string, number>();
  /** Newest acknowledged version of each item, and when it was acknowledged. */
  private readonly acknowledged = new Map<string, { version: number; atMs: number }>();

  constructor(
    private readonly drainMs: number,
    private readonly applyMs: number,
    private readonly evacuationMs = Infinity,
    /** Whether nothing has been amiss for long enough that every daemon must have been reached. */
    private readonly inTouch: () => boolean = () => true,
  ) {}

  /** A back end begins to run a request. */
  runStarted(run: RunStart, nowMs: number): void {
    const runs = (this.runs.get(run.requestId) ?? 0) + 1;
    this.runs.set(run.requestId, runs);
    if (runs > 1 && !run.repeatable) this.report('at-most-once', nowMs, `${run.requestId} ran ${runs} times`);
    if (!run.repeatable && this.refused.has(run.requestId)) {
      this.report('not-run', nowMs, `${run.requestId} ran at ${run.backend} after its refusal`);
    }
    if (run.key !== null) this.judgeOwner(run.backend, run.key, nowMs);
  }

  /** A back end has ended under a request that ends what runs it. */
  endedUnder(path: string, nowMs: number): void {
    this.endsUnder.set(path, [...(this.endsUnder.get(path) ?? []), nowMs]);
  }

  /** Such a request begins to run: long after it has ended three back ends only so many more may follow. */
  endingRequestRun(path: string, nowMs: number): void {
    const thirdMs = this.endsUnder.get(path)?.[ENDS_THAT_TELL - 1];
    if (thirdMs === undefined || nowMs - thirdMs <= CONTACT_MS || !this.inTouch()) return;
    const runs = (this.runsAfter.get(path) ?? 0) + 1;
    this.runsAfter.set(path, runs);
    if (runs <= RUNS_ALLOWED) return;
    this.report('contained-request', nowMs, `${path} ran ${runs} times long after its third end`);
  }

  /** Whether a back end has begun to run a request. */
  hasRun(requestId: string): boolean {
    return this.runs.has(requestId);
  }

  /** A request reaches a back end, whether it is run or not. */
  arrived(backend: string, nowMs: number): void {
    const since = this.drainedSince.get(backend);
    if (since === undefined || nowMs - since <= this.drainMs) return;
    this.report('drain', nowMs, `${backend} is sent work ${Math.round(nowMs - since)} ms after its leave`);
  }

  /** A request reaches a back end of a zone. */
  arrivedInZone(backend: string, zone: string, nowMs: number): void {
    const since = this.evacuatedSince.get(zone) ?? Infinity;
    if (nowMs - since <= this.evacuationMs || !this.inTouch()) return;
    this.report(
      'evacuation',
      nowMs,
      `${backend} is sent work ${Math.round(nowMs - since)} ms after its zone's evacuation`,
    );
  }

  /** A request reaches a back end that is cold and may be sent `most` in a second. */
  arrivedCold(backend: string, most: number, nowMs: number): void {
    const recent = (this.coldArrivals.get(backend) ?? []).filter((atMs) => atMs > nowMs - MS_PER_SECOND);
    recent.push(nowMs);
    this.coldArrivals.set(backend, recent);
    if (recent.length > most)
      this.report('cold-start', nowMs, `${backend} is cold and got ${recent.length} requests in a second`);
  }

  /** The evacuation of a zone was acknowledged. */
  evacuationAcknowledged(zone: string, nowMs: number): void {
    this.evacuatedSince.set(zone, nowMs);
  }

  /** The evacuation of a zone is about to be taken back. */
  evacuationEnds(zone: string): void {
    this.evacuatedSince.delete(zone);
  }

  /** A back end was told that its leave is known. */
  drainAcknowledged(backend: string, nowMs: number): void {
    if (!this.drainedSince.has(backend)) this.drainedSince.set(backend, nowMs);
  }

  /** A caller is promised that its request was not run and never will be. */
  refusedAsNotRun(requestId: string, repeatable: boolean, nowMs: number): void {
    this.refused.set(requestId, nowMs);
    if (!repeatable && this.runs.has(requestId)) {
      this.report('not-run', nowMs, `${requestId} had run when it was refused`);
    }
  }

  /** A caller got a success that is not the whole answer to its request. */
  wrongAnswer(requestId: string, detail: string, nowMs: number): void {
    this.report('whole-answer', nowMs, `${requestId}: ${detail}`);
  }

  /** A planned stop closed a connection on a request that had been taken. */
  cutByPlannedStop(requestId: string, machine: string, nowMs: number): void {
    this.report('planned-stop', nowMs, `${requestId} was cut when ${machine} stopped as planned`);
  }

  /** What a back end holds from now on, each range until its own time. */
  holds(backend: string, service: string, ranges: readonly TimedRange[], nowMs: number): void {
    const known = this.holders.get(backend);
    const before = known?.ranges ?? [];
    this.holders.set(backend, { service, ranges });
    for (const range of ranges)
      if (!before.some((other) => isPartOf(range, other))) this.judgeFence(backend, service, range, nowMs);
    this.look(nowMs);
  }

  /** A back end has ended. */
  ended(backend: string): void {
    this.holders.delete(backend);
    for (const pair of this.overlaps.keys())
      if (pair.split('|').includes(backend)) this.overlaps.delete(pair);
  }

  /** The operator's change of an item was acknowledged. */
  changeAcknowledged(item: string, version: number, nowMs: number): void {
    if ((this.acknowledged.get(item)?.version ?? 0) < version) {
      this.acknowledged.set(item, { version, atMs: nowMs });
    }
  }

  /** The operator read versions; the read was sent at `sentMs`. At the end of a soak nothing is excused by time. */
  changesRead(versions: ReadonlyMap<string, number>, sentMs: number, nowMs: number, atEnd: boolean): void {
    for (const [item, { version, atMs }] of this.acknowledged) {
      const read = versions.get(item) ?? 0;
      if (read >= version || (!atEnd && sentMs - atMs <= this.applyMs)) continue;
      this.report('configuration-kept', nowMs, `${item} is read as ${read}, ${version} was acknowledged`);
    }
  }

  /** An order had no acknowledgement within its bound of calm. */
  changeOverdue(detail: string, nowMs: number): void {
    this.report('change-in-time', nowMs, detail);
  }

  /** A daemon in touch refuses a route whose version was acknowledged long ago. */
  routeUnknown(daemon: string, route: string, nowMs: number): void {
    this.report('configuration-in-force', nowMs, `${daemon} does not know ${route}`);
  }

  /** Too few requests were answered after all troubles had ended. */
  notRecovered(detail: string, nowMs: number): void {
    this.report('recovery', nowMs, detail);
  }

  /** Looks for back ends that hold keys together; called every few ms. */
  look(nowMs: number): void {
    const holders = [...this.holders];
    holders.forEach(([left, leftHolder], at) => {
      for (const [right, rightHolder] of holders.slice(at + 1)) {
        if (leftHolder.service !== rightHolder.service) continue;
        this.lookAtPair(`${left}|${right}`, leftHolder, rightHolder, nowMs);
      }
    });
  }

  private lookAtPair(pair: string, left: Holder, right: Holder, nowMs: number): void {
    const held = heldAt(right, nowMs);
    if (!heldAt(left, nowMs).some((range) => held.some((other) => overlaps(range, other)))) {
      this.overlaps.delete(pair);
      return;
    }
    const overlap = this.overlaps.get(pair) ?? { sinceMs: nowMs, reported: false, begun: new Map() };
    this.overlaps.set(pair, overlap);
    if (overlap.reported || nowMs - overlap.sinceMs <= OVERLAP_LIMIT_MS) return;
    overlap.reported = true;
    this.report('one-owner', nowMs, `${pair} hold the same keys for more than ${OVERLAP_LIMIT_MS} ms`);
  }

  private judgeOwner(backend: string, key: number, nowMs: number): void {
    this.look(nowMs);
    for (const [pair, overlap] of this.overlaps) {
      const names = pair.split('|');
      const other = names.find((name) => name !== backend);
      if (!names.includes(backend) || other === undefined || !this.holdsKey(other, key, nowMs)) continue;
      const begun = overlap.begun.get(backend) ?? new Set();
      overlap.begun.set(backend, begun.add(key));
      if (overlap.reported || overlap.begun.get(other)?.has(key) !== true) continue;
      overlap.reported = true;
      this.report('one-owner', nowMs, `${pair} both begin work on key ${key}`);
    }
  }

  private holdsKey(backend: string, key: number, nowMs: number): boolean {
    const holder = this.holders.get(backend);
    if (holder === undefined) return false;
    return heldAt(holder, nowMs).some(({ from, to }) => key >= from && key <= to);
  }

  /** A key is taken under a fence above every fence with which others held it. */
  private judgeFence(backend: string, service: string, range: HeldRange, nowMs: number): void {
    const known = this.fences.get(service) ?? [];
    const above = known.find((other) => {
      return other.backend !== backend && other.range.fence >= range.fence && overlaps(other.range, range);
    });
    if (above !== undefined) {
      const detail = `${backend} takes ${rangeName(range)} after ${above.backend} held ${rangeName(above.range)}`;
      this.report('fence-rises', nowMs, detail);
    }
    this.fences.set(service, [...known, { backend, range }]);
  }

  private report(promise: SoakPromise, atMs: number, detail: string): void {
    this.violations.push({ promise, atMs: Math.round(atMs), detail });
  }
}

function heldAt({ ranges }: Holder, nowMs: number): readonly TimedRange[] {
  return ranges.filter(({ untilMs }) => nowMs < untilMs);
}

/** Whether a range is what a cut has left of another one, or is that one. */
function isPartOf(range: HeldRange, whole: HeldRange): boolean {
  return range.fence === whole.fence && range.from >= whole.from && range.to <= whole.to;
}
