/**
 * Checks a soak while it runs, from what callers, back ends and the operator observe on their sockets. Deterministic: times
 * are given in ms of one clock, and the same calls give the same verdict.
 */
import type { HeldRange } from '../../src/sidecar/backend-report.js';
import { overlaps } from '../../src/directory/key-ranges.js';
import { rangeName } from '../../src/sidecar/key-grants.js';
import type { TimedRange } from './held-keys.js';
import { LateWorkRule } from './late-work-rule.js';
import { RequestLimitRule } from './request-limit-rule.js';
import { ToldLeaveRule } from './told-leave-rule.js';
import type { UnansweredRule } from './unanswered-rule.js';

/** Guarantees that must hold. */
export type SoakRule =
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
  | 'cold-start'
  | 'late-work'
  | 'request-limit'
  | 'told-leave'
  | 'unanswered'
  | 'owed-answer';

/** Violation of a guarantee. */
export interface SoakViolation {
  readonly promise: SoakRule;
  readonly atMs: number;
  readonly detail: string;
}

const MS_PER_SECOND = 1_000;

/** Maximum time in ms for which two back ends may hold the same keys if they do not both begin work on one of them. */
const OVERLAP_LIMIT_MS = 500;

/** Crashes after which a request counts as crashing back ends, time in ms until all daemons know, and runs that may follow. */
const CRASHES_TO_DETECT = 3;
const PROPAGATION_MS = 3_000;
const MAX_LATER_RUNS = 3;

/** Start of a run at a back end. */
export interface RunStart {
  readonly requestId: string;
  readonly backend: string;
  readonly service: string;
  readonly key: number | null;
  readonly repeatable: boolean;
}

/** Ranges that a running back end holds. */
interface Holdings {
  readonly service: string;
  readonly ranges: readonly TimedRange[];
}

/** Two back ends that hold the same keys. */
interface Overlap {
  readonly sinceMs: number;
  reported: boolean;
  /** Keys on which each of the two has begun work since. */
  readonly begun: Map<string, Set<number>>;
}

/** Records what is seen and reports violations. */
export class SoakJudge {
  readonly violations: SoakViolation[] = [];
  /** Observations that break no rule. */
  readonly notes: string[] = [];
  /** Requests beyond the limits that back ends name. */
  readonly requestLimits = new RequestLimitRule((atMs, detail) => {
    this.report('request-limit', atMs, detail);
  });
  /** Requests after leaves that back ends state in their answers. */
  readonly toldLeaves: ToldLeaveRule;
  /** Requests that reach back ends after their callers have left. */
  readonly lateWork: LateWorkRule;
  private readonly runs = new Map<string, number>();
  private readonly refused = new Map<string, number>();
  private readonly holdings = new Map<string, Holdings>();
  /** Every range as it was granted, with its fence and back end, by service. */
  private readonly fences = new Map<string, { backend: string; range: HeldRange }[]>();
  private readonly overlaps = new Map<string, Overlap>();
  private readonly drainedSince = new Map<string, number>();
  /** Times of acknowledged evacuations by zone, without those that were ended. */
  private readonly evacuatedSince = new Map<string, number>();
  /** Times of the requests that reached each cold back end in the last second. */
  private readonly coldArrivals = new Map<string, number[]>();
  /** Times of crashes caused by crashing requests, and number of runs long after the third, by path. */
  private readonly crashTimes = new Map<string, number[]>();
  private readonly laterRuns = new Map<string, number>();
  /** Newest acknowledged version of each item, and the time of its acknowledgement. */
  private readonly acknowledged = new Map<string, { version: number; atMs: number }>();

  constructor(
    private readonly drainMs: number,
    private readonly applyMs: number,
    private readonly evacuationMs = Infinity,
    /** Whether there has been no fault for long enough that every daemon must have been reached. */
    private readonly isSettled: () => boolean = () => true,
    /** Whether there was no fault shortly before a time. */
    wasInTouch: (machine: string, atMs: number) => boolean = () => true,
    /** Requests that end without an answer around planned work; null if they are not judged. */
    readonly unanswered: UnansweredRule | null = null,
  ) {
    this.lateWork = new LateWorkRule(wasInTouch);
    this.toldLeaves = new ToldLeaveRule(drainMs, (atMs, detail) => {
      this.report('told-leave', atMs, detail);
    });
  }

  /** Records that a back end begins to run a request. */
  runStarted(run: RunStart, nowMs: number): void {
    const runs = (this.runs.get(run.requestId) ?? 0) + 1;
    this.runs.set(run.requestId, runs);
    if (runs > 1 && !run.repeatable) this.report('at-most-once', nowMs, `${run.requestId} ran ${runs} times`);
    if (!run.repeatable && this.refused.has(run.requestId)) {
      this.report('not-run', nowMs, `${run.requestId} ran at ${run.backend} after its refusal`);
    }
    if (run.key !== null) this.checkOwner(run.backend, run.key, nowMs);
  }

  /** Records that a crashing request has crashed a back end. */
  crashedUnder(path: string, nowMs: number): void {
    this.crashTimes.set(path, [...(this.crashTimes.get(path) ?? []), nowMs]);
  }

  /** Records the start of a crashing request; long after its third crash at most `MAX_LATER_RUNS` runs may follow. */
  crashingRequestStarted(path: string, nowMs: number): void {
    const detectedMs = this.crashTimes.get(path)?.[CRASHES_TO_DETECT - 1];
    if (detectedMs === undefined || nowMs - detectedMs <= PROPAGATION_MS || !this.isSettled()) return;
    const runs = (this.laterRuns.get(path) ?? 0) + 1;
    this.laterRuns.set(path, runs);
    if (runs <= MAX_LATER_RUNS) return;
    this.report('contained-request', nowMs, `${path} ran ${runs} times long after its third end`);
  }

  /** Returns whether a back end has begun to run a request. */
  hasRun(requestId: string): boolean {
    return this.runs.has(requestId);
  }

  /** Records that a request reaches a back end, whether or not it is run. */
  arrived(backend: string, requestId: string, nowMs: number): void {
    this.requestLimits.arrived(backend, nowMs);
    this.toldLeaves.arrived(backend, requestId, nowMs);
    const since = this.drainedSince.get(backend);
    if (since === undefined || nowMs - since <= this.drainMs) return;
    this.report('drain', nowMs, `${backend} is sent work ${Math.round(nowMs - since)} ms after its leave`);
  }

  /** Records that a request reaches a back end of a zone. */
  arrivedInZone(backend: string, zone: string, nowMs: number): void {
    const since = this.evacuatedSince.get(zone) ?? Infinity;
    if (nowMs - since <= this.evacuationMs || !this.isSettled()) return;
    this.report(
      'evacuation',
      nowMs,
      `${backend} is sent work ${Math.round(nowMs - since)} ms after its zone's evacuation`,
    );
  }

  /** Records that a request reaches a cold back end, which may get `max` requests in a second. */
  arrivedCold(backend: string, max: number, nowMs: number): void {
    const recent = (this.coldArrivals.get(backend) ?? []).filter((atMs) => atMs > nowMs - MS_PER_SECOND);
    recent.push(nowMs);
    this.coldArrivals.set(backend, recent);
    if (recent.length > max)
      this.report('cold-start', nowMs, `${backend} is cold and got ${recent.length} requests in a second`);
  }

  /** Records that the evacuation of a zone was acknowledged. */
  evacuationAcknowledged(zone: string, nowMs: number): void {
    this.evacuatedSince.set(zone, nowMs);
  }

  /** Records that the evacuation of a zone is about to be ended. */
  evacuationEnds(zone: string): void {
    this.evacuatedSince.delete(zone);
  }

  /** Records that the leave of a back end was acknowledged. */
  drainAcknowledged(backend: string, nowMs: number): void {
    if (!this.drainedSince.has(backend)) this.drainedSince.set(backend, nowMs);
  }

  /** Records a refusal that guarantees that the request was not run and never will be. */
  refusedAsNotRun(requestId: string, repeatable: boolean, nowMs: number): void {
    this.refused.set(requestId, nowMs);
    if (!repeatable && this.runs.has(requestId)) {
      this.report('not-run', nowMs, `${requestId} had run when it was refused`);
    }
  }

  /** Reports a success that is not the complete answer to its request. */
  wrongAnswer(requestId: string, detail: string, nowMs: number): void {
    this.report('whole-answer', nowMs, `${requestId}: ${detail}`);
  }

  /** Reports that a planned stop closed the connection of an accepted request. */
  cutByPlannedStop(requestId: string, machine: string, nowMs: number): void {
    this.report('planned-stop', nowMs, `${requestId} was cut when ${machine} stopped as planned`);
  }

  /** Replaces the ranges that a back end holds, each until its own time. */
  holds(backend: string, service: string, ranges: readonly TimedRange[], nowMs: number): void {
    const known = this.holdings.get(backend);
    const before = known?.ranges ?? [];
    this.holdings.set(backend, { service, ranges });
    for (const range of ranges)
      if (!before.some((other) => isPartOf(range, other))) this.checkFence(backend, service, range, nowMs);
    this.checkOverlaps(nowMs);
  }

  /** Records that a back end has ended. */
  ended(backend: string): void {
    this.holdings.delete(backend);
    for (const pair of this.overlaps.keys())
      if (pair.split('|').includes(backend)) this.overlaps.delete(pair);
  }

  /** Records that a change of an item was acknowledged. */
  changeAcknowledged(item: string, version: number, nowMs: number): void {
    if ((this.acknowledged.get(item)?.version ?? 0) < version) {
      this.acknowledged.set(item, { version, atMs: nowMs });
    }
  }

  /** Checks versions that the operator read by a call sent at `sentMs`; at the end of a soak `applyMs` is not allowed for. */
  changesRead(versions: ReadonlyMap<string, number>, sentMs: number, nowMs: number, atEnd: boolean): void {
    for (const [item, { version, atMs }] of this.acknowledged) {
      const read = versions.get(item) ?? 0;
      if (read >= version || (!atEnd && sentMs - atMs <= this.applyMs)) continue;
      this.report('configuration-kept', nowMs, `${item} is read as ${read}, ${version} was acknowledged`);
    }
  }

  /** Reports a change without an acknowledgement within its bound. */
  changeOverdue(detail: string, nowMs: number): void {
    this.report('change-in-time', nowMs, detail);
  }

  /** Reports that a daemon, after enough time without faults, does not know a route acknowledged long ago. */
  routeUnknown(daemon: string, route: string, nowMs: number): void {
    this.report('configuration-in-force', nowMs, `${daemon} does not know ${route}`);
  }

  /** Reports that the fleet did not recover, for example too few answers after all troubles had ended. */
  notRecovered(detail: string, nowMs: number): void {
    this.report('recovery', nowMs, detail);
  }

  /** Reports late work, once at the end. */
  checkLateWork(nowMs: number): void {
    for (const detail of this.lateWork.result().violations) this.report('late-work', nowMs, detail);
  }

  /** Reports requests that ended without an answer, once at the end of a run that began at `startMs`. */
  checkUnanswered(startMs: number, nowMs: number): void {
    for (const { atMs, detail, isViolation } of this.unanswered?.result(startMs, nowMs) ?? []) {
      if (isViolation) this.report('unanswered', atMs, detail);
      else this.notes.push(detail);
    }
  }

  /** Reports a request that ended without the answer that its caller was owed. */
  answerOwed(detail: string, atMs: number): void {
    this.report('owed-answer', atMs, detail);
  }

  /** Checks for back ends that hold the same keys; called every few ms. */
  checkOverlaps(nowMs: number): void {
    const holdings = [...this.holdings];
    holdings.forEach(([left, leftHoldings], at) => {
      for (const [right, rightHoldings] of holdings.slice(at + 1)) {
        if (leftHoldings.service !== rightHoldings.service) continue;
        this.checkPair(`${left}|${right}`, leftHoldings, rightHoldings, nowMs);
      }
    });
  }

  private checkPair(pair: string, left: Holdings, right: Holdings, nowMs: number): void {
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

  private checkOwner(backend: string, key: number, nowMs: number): void {
    this.checkOverlaps(nowMs);
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
    const holdings = this.holdings.get(backend);
    if (holdings === undefined) return false;
    return heldAt(holdings, nowMs).some(({ from, to }) => key >= from && key <= to);
  }

  /** Checks that the fence of a new grant is above every fence under which other back ends held the keys. */
  private checkFence(backend: string, service: string, range: HeldRange, nowMs: number): void {
    const known = this.fences.get(service) ?? [];
    const conflicting = known.find((other) => {
      return other.backend !== backend && other.range.fence >= range.fence && overlaps(other.range, range);
    });
    if (conflicting !== undefined) {
      const detail = `${backend} takes ${rangeName(range)} after ${conflicting.backend} held ${rangeName(conflicting.range)}`;
      this.report('fence-rises', nowMs, detail);
    }
    this.fences.set(service, [...known, { backend, range }]);
  }

  private report(promise: SoakRule, atMs: number, detail: string): void {
    this.violations.push({ promise, atMs: Math.round(atMs), detail });
  }
}

function heldAt({ ranges }: Holdings, nowMs: number): readonly TimedRange[] {
  return ranges.filter(({ untilMs }) => nowMs < untilMs);
}

/** Returns whether a range is part of another one under the same fence, or equal to it. */
function isPartOf(range: HeldRange, whole: HeldRange): boolean {
  return range.fence === whole.fence && range.from >= whole.from && range.to <= whole.to;
}
