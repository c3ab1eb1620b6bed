/** Chooses the back end for an attempt, by key or by expected time. */
import { rangeOf } from '../directory/key-ranges.js';
import type { BackendInstance } from '../directory/directory-state.js';
import { MIN_PACED_FRAME_BYTES } from '../link/link-pacer.js';
import { policyIsOn } from '../policy-switches.js';
import type { BackendView } from './backend-view.js';
import type { DirectoryTable } from './directory-table.js';

/** Bytes a ms of expected time is worth when they would cross zones. */
const CROSS_ZONE_BYTES_PER_MS = policyIsOn('zone-preference') ? 50 : 500;

/** Largest part of the expected time that chance adds, so that daemons do not all choose the same one. */
const CHANCE_SHARE = 0.15;

/** Time in ms that is added to a back end that failed a moment ago or is leaving. */
const LAST_RESORT_MS = 1_000_000;

/** Time in ms that is added to a candidate that did not answer its probe; it goes before those that failed. */
const UNANSWERED_MS = 100_000;

/**
 * Back ends of the caller's zone that are asked how busy they are. Most of the gain over a choice by chance comes with
 * the second one (Mitzenmacher, "The Power of Two Choices", 2001); other numbers than these two were not measured here.
 */
const NEAR_CANDIDATES = 3;

/** Back ends of other zones that are asked when none of the near ones has room: about one for each other zone. */
const FAR_CANDIDATES = 4;

/** Part of its places up to which a back end is taken to have room by what was told a while ago: others come as well. */
const KNOWN_ROOM_SHARE = 0.7;

/** What a choice is made for. */
export interface ChoiceRequest {
  readonly service: string;
  /** Key of the request, or null where the service is not divided by key. */
  readonly key: number | null;
  /** Back ends that have refused or failed this request. */
  readonly excluded: ReadonlySet<string>;
  /** Expected size of the answer, in bytes. */
  readonly answerBytes: number;
  /** Time that the work usually takes, in ms; null where it is not known. */
  readonly workMs: number | null;
  /** Back ends to choose from; null stands for all of the service. */
  readonly candidates: readonly BackendInstance[] | null;
  /** Candidates that have left a probe unanswered. */
  readonly unanswered: ReadonlySet<string>;
}

/** What the chooser needs of its daemon. */
export interface ChooserPorts {
  readonly table: DirectoryTable;
  readonly zone: string;
  /** Address of this daemon; answers of the back end beside it do not pass the network link. */
  readonly daemonAddress: string;
  /** What the network link of a daemon carries, in bytes per ms. */
  readonly linkBytesPerMs: number;
  readonly view: (instance: string) => BackendView;
  readonly nowMs: () => number;
  /** From 0 to below 1. */
  readonly random: () => number;
}

/** Chooses back ends. */
export class BackendChooser {
  constructor(private readonly ports: ChooserPorts) {}

  /** The back end to try next; null when there is none. */
  choose(request: ChoiceRequest): BackendInstance | null {
    const definition = this.ports.table.service(request.service);
    if (definition?.keyed === true && request.key !== null) return this.ownerOf(request.service, request.key);
    return this.quickest(request);
  }

  /** While a range moves, whoever releases it refuses, and the one it moves to waits for it. */
  private ownerOf(service: string, key: number): BackendInstance | null {
    const { table } = this.ports;
    const range = rangeOf(table.rangesOf(service), key);
    if (range === null) return null;
    const id = range.owner;
    return id === null ? null : (table.instance(id) ?? null);
  }

  /** Where the range of a key is moving to; null when it is not moving. */
  targetOf(service: string, key: number): BackendInstance | null {
    const { table } = this.ports;
    const target = rangeOf(table.rangesOf(service), key)?.movingTo ?? null;
    return target === null ? null : (table.instance(target) ?? null);
  }

  /**
   * A few back ends by chance, those in the caller's zone first; those that would be a last resort only if there are no
   * others. Where a zone has few, the others are compared with them from the start.
   */
  nearCandidates(service: string, excluded: ReadonlySet<string>): readonly BackendInstance[] {
    const near = this.sample(service, excluded, NEAR_CANDIDATES, ({ zone }) => zone === this.ports.zone);
    const missing = policyIsOn('known-first') ? NEAR_CANDIDATES - near.length : 0;
    if (missing === 0) return near;
    return [...near, ...this.sample(service, excluded, missing, ({ zone }) => zone !== this.ports.zone)];
  }

  /** A few back ends in other zones, by chance. */
  farCandidates(service: string, excluded: ReadonlySet<string>): readonly BackendInstance[] {
    return this.sample(service, excluded, FAR_CANDIDATES, ({ zone }) => zone !== this.ports.zone);
  }

  /** Whether one of the back ends would take a request at once. */
  hasRoom(instances: readonly BackendInstance[]): boolean {
    const now = this.ports.nowMs();
    return instances.some(
      (instance) =>
        !this.isLastResort(instance, now) && this.ports.view(instance.id).hasRoom(instance.slots, now),
    );
  }

  /** Whether one of the back ends is known to take a request at once, without being asked. */
  knowsRoom(instances: readonly BackendInstance[]): boolean {
    const now = this.ports.nowMs();
    return instances.some((instance) => {
      const view = this.ports.view(instance.id);
      const full = view.busy(now) >= instance.slots * KNOWN_ROOM_SHARE;
      return view.known(now) && !full && this.hasRoom([instance]);
    });
  }

  private sample(
    service: string,
    excluded: ReadonlySet<string>,
    count: number,
    fits: (instance: BackendInstance) => boolean,
  ): readonly BackendInstance[] {
    const now = this.ports.nowMs();
    const fitting = this.ports.table
      .instancesOf(service)
      .filter((instance) => !excluded.has(instance.id) && fits(instance));
    const sound = fitting.filter((instance) => !this.isLastResort(instance, now));
    return drawSome(sound.length > 0 ? sound : fitting, count, this.ports.random);
  }

  private isLastResort(instance: BackendInstance, nowMs: number): boolean {
    const view = this.ports.view(instance.id);
    return instance.condition !== 'ready' || !view.accepting(nowMs) || view.avoided(nowMs);
  }

  private quickest(request: ChoiceRequest): BackendInstance | null {
    const { service, excluded, candidates, unanswered } = request;
    let best: BackendInstance | null = null;
    let bestMs = Infinity;
    for (const instance of candidates ?? this.ports.table.instancesOf(service)) {
      if (excluded.has(instance.id)) continue;
      const unansweredMs = unanswered.has(instance.id) ? UNANSWERED_MS : 0;
      const expectedMs = this.expectedMs(instance, request) + unansweredMs;
      if (expectedMs >= bestMs) continue;
      best = instance;
      bestMs = expectedMs;
    }
    return best;
  }

  private expectedMs(instance: BackendInstance, { answerBytes, workMs }: ChoiceRequest): number {
    const { zone, nowMs, random } = this.ports;
    const view = this.ports.view(instance.id);
    const now = nowMs();
    const lastResort = this.isLastResort(instance, now) ? LAST_RESORT_MS : 0;
    const crossing = instance.zone === zone ? 0 : answerBytes / CROSS_ZONE_BYTES_PER_MS;
    const expected = view.expectedMs(instance.slots, now, workMs) * (1 + random() * CHANCE_SHARE);
    return expected + crossing + this.sendingMs(instance, answerBytes, view, now) + lastResort;
  }

  /** Time in ms that the answer will need on the network link of the back end's daemon. */
  private sendingMs(
    { daemonAddress }: BackendInstance,
    answerBytes: number,
    view: BackendView,
    nowMs: number,
  ): number {
    if (daemonAddress === this.ports.daemonAddress) return 0;
    const waitMs = answerBytes < MIN_PACED_FRAME_BYTES ? 0 : view.sendWaitMs(nowMs);
    return waitMs + answerBytes / this.ports.linkBytesPerMs;
  }
}

/** Draws some members by chance, each at most once. */
function drawSome<T>(members: readonly T[], count: number, random: () => number): readonly T[] {
  const left = [...members];
  const drawn: T[] = [];
  while (drawn.length < count && left.length > 0) {
    drawn.push(...left.splice(Math.floor(random() * left.length), 1));
  }
  return drawn;
}
