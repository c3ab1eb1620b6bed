/**
 * Replays uneven demand for keys against the planning loop of the directory's leader, in virtual time. Owners are rows of
 * slots; a request that would miss its target is refused. One seed gives one result.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { Proposals } from '../../src/control/proposals.js';
import type { DirectoryCommand, DirectoryOutcome } from '../../src/directory/directory-commands.js';
import { applyDirectoryCommand } from '../../src/directory/directory-machine.js';
import { emptyDirectoryState, itemKey } from '../../src/directory/directory-state.js';
import { KEYS_PER_BUCKET, bucketOf } from '../../src/directory/key-load.js';
import { rangeOf, unownedRanges } from '../../src/directory/key-ranges.js';
import { RangePlanningLoop } from '../../src/directory/range-planning-loop.js';
import { LoadMeter } from '../../src/sidecar/load-meter.js';
import { RouteAverages } from '../../src/sidecar/route-averages.js';
import { ManualTime } from '../sidecar/manual-runtime.js';

const SERVICE = 's';
const ROUTE = 'r';
const KEYS = 65_536;
const OWNERS = 34;
const SLOTS = 8;
const SPEEDS = [0.55, 1.2, 1.2, 1.2];
const REQUESTS_PER_MS = 0.689;
const WORK_MS = 190;
const TARGET_MS = 611;
const THINGS = 60_000;
const ZIPF_EXPONENT = 0.59;
const SWING_MS = 15_000;
const HOT_SHARE = 0.44;
const HOT_KEYS = 60;
const HOT_FROM_MS = 3_000;
const HOT_CHANGE_MS = 5_000;
const REPORT_MS = 700;
const REPORT_WITH_QUEUE_MS = 300;
const MOVE_PAUSE_MS = 900;
const COLD_MS = 2_000;
const COLD_FACTOR = 3.9;
const STEP_MS = 100;
/** Time in ms before the first request in which the loop assigns all keys. */
const LEAD_MS = 4_000;
/** A key that returns to an owner within this time in ms of leaving it has moved back and forth. */
const RETURN_MS = 20_000;

/** Load to replay; by default the uneven load of the measured deployment. */
export interface ReplayOptions {
  readonly seed: number;
  readonly durationMs?: number;
  /** Mean demand relative to the measured deployment. */
  readonly demand?: number;
  /** Whether demand is uneven: busy keys lie close together and a few hot keys change. */
  readonly uneven?: boolean;
  /** Time that work takes at an owner relative to its usual speed. */
  readonly slowdown?: (owner: number, nowMs: number) => number;
}

/** Result of a replay. */
export interface ReplayResult {
  readonly served: number;
  /** Shares of requests refused or late because their keys were moving, and because slots were missing. */
  readonly lostToMoves: number;
  readonly lostToLoad: number;
  /** Keys moved as a multiple of all keys, and those of them that returned to a recent owner. */
  readonly moved: number;
  readonly returned: number;
}

interface Run {
  readonly key: number;
  readonly startMs: number;
  readonly endMs: number;
  readonly offeredMs: number;
}

class Owner {
  readonly meter = new LoadMeter();
  readonly slotMs = new RouteAverages();
  readonly slotsFreeMs: number[] = new Array<number>(SLOTS).fill(0);
  runs: Run[] = [];
  nextReportMs: number;

  constructor(
    readonly index: number,
    readonly speed: number,
  ) {
    this.nextReportMs = (index * REPORT_MS) / OWNERS;
  }

  get id(): string {
    return `o${String(this.index).padStart(2, '0')}`;
  }

  /** Serves a request on arrival or refuses it; returns whether its answer is in time. */
  serve(key: number, arrivedMs: number, notBeforeMs: number, factor: number): boolean {
    const expectedMs = this.slotMs.averageOf(ROUTE, WORK_MS);
    this.meter.add(key, expectedMs);
    const freeMs = Math.min(...this.slotsFreeMs);
    const startMs = Math.max(freeMs, notBeforeMs);
    if (freeMs > arrivedMs && startMs - arrivedMs + expectedMs > TARGET_MS) return false;
    const endMs = startMs + (WORK_MS * factor) / this.speed;
    this.slotsFreeMs[this.slotsFreeMs.indexOf(freeMs)] = endMs;
    this.runs.push({ key, startMs, endMs, offeredMs: expectedMs });
    return endMs - arrivedMs <= TARGET_MS;
  }

  finish(nowMs: number): void {
    for (const { key, startMs, endMs, offeredMs } of this.runs.filter((run) => run.endMs <= nowMs)) {
      this.slotMs.record(ROUTE, endMs - startMs);
      this.meter.add(key, endMs - startMs - offeredMs);
    }
    this.runs = this.runs.filter(({ endMs }) => endMs > nowMs);
  }

  isReportDue(nowMs: number): boolean {
    const hasQueue = this.runs.some(({ startMs }) => startMs > nowMs);
    return nowMs >= this.nextReportMs - (hasQueue ? REPORT_MS - REPORT_WITH_QUEUE_MS : 0);
  }
}

class Replay {
  private readonly time = new ManualTime();
  private readonly state = emptyDirectoryState();
  private readonly owners = Array.from({ length: OWNERS }, (_, at) => new Owner(at, SPEEDS[at % 4] ?? 1));
  private readonly byId = new Map(this.owners.map((owner) => [owner.id, owner]));
  private readonly random: RandomGenerator;
  private readonly cumulative = zipf();
  private hotKeys: number[] = [];
  private hotChanges = 0;
  private index = 1;
  private readonly ownedSinceMs = new Float64Array(KEYS / KEYS_PER_BUCKET).fill(-Infinity);
  private readonly moveEndMs = new Map<number, number>();
  /** Time in ms at which each bucket last left each owner. */
  private readonly leftMs = new Map<string, number>();
  private readonly counts = { all: 0, served: 0, moves: 0, load: 0, moved: 0, returned: 0 };
  private readonly proposals = new Proposals<DirectoryCommand, DirectoryOutcome>(
    this.time.runtime,
    (id, command) => {
      this.proposals.applied(id, this.apply(command));
    },
  );
  private readonly loop = new RangePlanningLoop(
    () => this.state,
    this.proposals,
    () => undefined,
  );

  constructor(private readonly options: ReplayOptions) {
    this.random = xoroshiro128plus(options.seed);
    const definition = { keyed: true, grantMode: 'heartbeat', maxConnections: 590, coldStart: null } as const;
    const item = { name: SERVICE, version: 1, source: null, kind: 'service' } as const;
    this.state.items.set(itemKey('service', SERVICE), {
      ...item,
      definition: { ...definition, healthPath: null },
    });
    this.state.ranges.set(SERVICE, unownedRanges());
    for (const { id } of this.owners) {
      const instance = { id, service: SERVICE, zone: 'z', daemonAddress: `${id}:1`, slots: SLOTS } as const;
      this.apply({ kind: 'register', instance: { ...instance, condition: 'ready', version: '' } });
    }
    this.time.nowMs = -LEAD_MS;
  }

  async run(): Promise<ReplayResult> {
    const { durationMs = 45_000 } = this.options;
    let arrivalMs = 0;
    while (this.time.nowMs < durationMs) {
      const { nowMs } = this.time;
      for (; arrivalMs < nowMs; arrivalMs += this.gapMs(arrivalMs)) this.request(arrivalMs);
      this.completeMoves(nowMs);
      if (nowMs >= 0) for (const owner of this.owners) this.report(owner, nowMs);
      this.loop.run(nowMs);
      // The loop's proposal is settled in microtasks.
      await new Promise(setImmediate);
      this.time.pass(STEP_MS);
    }
    const { all, served, moves, load, moved, returned } = this.counts;
    return {
      served: served / all,
      lostToMoves: moves / all,
      lostToLoad: load / all,
      moved: moved / KEYS,
      returned: returned / KEYS,
    };
  }

  private gapMs(nowMs: number): number {
    const swing = 1 + 0.55 * Math.sin((2 * Math.PI * nowMs) / SWING_MS);
    const rate = REQUESTS_PER_MS * (this.options.demand ?? 1) * swing;
    return -Math.log(1 - uniformFloat64(this.random)) / rate;
  }

  private nextKey(nowMs: number): number {
    const drawn = uniformFloat64(this.random);
    if (this.options.uneven === false) return Math.floor(drawn * KEYS);
    if (nowMs >= HOT_FROM_MS && uniformFloat64(this.random) < HOT_SHARE) {
      return this.hotKeys[Math.floor(drawn * HOT_KEYS)] ?? 0;
    }
    let low = 0;
    let high = THINGS - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.cumulative[middle] ?? 1) < drawn) low = middle + 1;
      else high = middle;
    }
    return Math.floor((low * KEYS) / THINGS);
  }

  private request(nowMs: number): void {
    if (Math.floor(nowMs / HOT_CHANGE_MS) >= this.hotChanges) this.changeHotKeys();
    const key = this.nextKey(nowMs);
    const range = rangeOf(this.state.ranges.get(SERVICE) ?? [], key);
    const owner = this.byId.get(range?.movingTo ?? range?.owner ?? '');
    if (range === null || owner === undefined) throw new Error(`no owner of key ${String(key)}`);
    this.counts.all += 1;
    const availableMs = range.movingTo === null ? nowMs : (this.moveEndMs.get(range.from) ?? nowMs);
    owner.finish(nowMs);
    if (availableMs - nowMs + WORK_MS > TARGET_MS) {
      this.counts.moves += 1;
      return;
    }
    const sinceMs = range.movingTo === null ? (this.ownedSinceMs[bucketOf(key)] ?? 0) : availableMs;
    const warmth = Math.min(1, (Math.max(nowMs, availableMs) - sinceMs) / COLD_MS);
    const cold = COLD_FACTOR - (COLD_FACTOR - 1) * warmth;
    const slowdown = this.options.slowdown?.(owner.index, nowMs) ?? 1;
    if (owner.serve(key, nowMs, availableMs, cold * slowdown)) this.counts.served += 1;
    else if (warmth < 1) this.counts.moves += 1;
    else this.counts.load += 1;
  }

  private changeHotKeys(): void {
    this.hotChanges += 1;
    this.hotKeys = Array.from({ length: HOT_KEYS }, () => Math.floor(uniformFloat64(this.random) * KEYS));
  }

  private report(owner: Owner, nowMs: number): void {
    owner.finish(nowMs);
    if (!owner.isReportDue(nowMs)) return;
    owner.nextReportMs = nowMs + REPORT_MS;
    this.loop.reportLoad(SERVICE, owner.meter.take(), nowMs);
  }

  private apply(command: DirectoryCommand): DirectoryOutcome {
    this.index += 1;
    const { outcome } = applyDirectoryCommand(this.state, command, this.index);
    for (const { from, movingTo } of this.state.ranges.get(SERVICE) ?? []) {
      if (movingTo === null) this.moveEndMs.delete(from);
      else if (!this.moveEndMs.has(from)) this.moveEndMs.set(from, this.time.nowMs + MOVE_PAUSE_MS);
    }
    return outcome;
  }

  private completeMoves(nowMs: number): void {
    for (const { from, to, owner, movingTo, fence } of this.state.ranges.get(SERVICE) ?? []) {
      if (movingTo === null || owner === null || nowMs < (this.moveEndMs.get(from) ?? nowMs)) continue;
      this.apply({ kind: 'complete-range-move', service: SERVICE, from, to, owner, fence, handover: '' });
      this.counts.moved += to - from + 1;
      for (let bucket = bucketOf(from); bucket <= bucketOf(to); bucket += 1) {
        this.ownedSinceMs[bucket] = nowMs;
        this.leftMs.set(`${owner}/${String(bucket)}`, nowMs);
        const leftMs = this.leftMs.get(`${movingTo}/${String(bucket)}`) ?? -Infinity;
        if (nowMs - leftMs < RETURN_MS) this.counts.returned += KEYS_PER_BUCKET;
      }
    }
  }
}

/** Cumulative probabilities of the things by rank. */
function zipf(): Float64Array {
  const cumulative = new Float64Array(THINGS);
  let sum = 0;
  for (let rank = 0; rank < THINGS; rank += 1) {
    sum += (rank + 1) ** -ZIPF_EXPONENT;
    cumulative[rank] = sum;
  }
  return cumulative.map((value) => value / sum);
}

/** Replays a load against the planning loop. */
export async function replayBalance(options: ReplayOptions): Promise<ReplayResult> {
  return await new Replay(options).run();
}

/** Formats a result with three decimals, for the log of a test. */
export function formatReplay(name: string, result: ReplayResult): string {
  const figures = Object.entries(result).map(
    ([figure, value]) => `${figure} ${(value as number).toFixed(3)}`,
  );
  return `${name}: ${figures.join(', ')}`;
}
