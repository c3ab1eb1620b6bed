/** Selects the back end for an attempt: the owner of its key, or the one with the shortest expected time. */
import { rangeOf } from '../directory/key-ranges.js';
import type { BackendInstance } from '../directory/directory-state.js';
import { MIN_PACED_FRAME_BYTES } from '../link/link-pacer.js';
import { policyIsOn } from '../policy-switches.js';
import type { BackendView } from './backend-view.js';
import type { DirectoryTable } from './directory-table.js';
import { linkWaitMs } from './link-admission.js';
import type { StatedLeaves } from './stated-leaves.js';

/** Answer bytes sent across zones that weigh as much as 1 ms of expected time. */
const CROSS_ZONE_BYTES_PER_MS = policyIsOn('zone-preference') ? 50 : 500;

/** Maximum random share added to the expected time, so that sidecars do not all select the same back end. */
const MAX_RANDOM_SHARE = 0.15;

/** Penalty in ms for a back end that failed recently or is leaving. */
const LAST_RESORT_PENALTY_MS = 1_000_000;

/** Penalty in ms for a candidate that did not answer its probe; it is still preferred to one that failed. */
const UNANSWERED_PENALTY_MS = 100_000;

/**
 * Number of back ends in the caller's zone that are probed for their load. Most of the gain over a random choice comes
 * with the second one (Mitzenmacher, "The Power of Two Choices", 2001).
 */
const NEAR_CANDIDATES = 3;

/** Back ends in other zones that are probed when no near one has a free slot: about one for each other zone. */
const FAR_CANDIDATES = 4;

/**
 * Share of slots in use up to which an unprobed back end counts as free; the margin allows for other sidecars'
 * requests.
 */
const MAX_KNOWN_FREE_SHARE = 0.7;

/**
 * Wait in ms for the network link, once the work is done, up to which a link counts as free: a few slices of other
 * answers.
 */
const MAX_FREE_LINK_WAIT_MS = 40;

/**
 * Share of the time until a link has sent its queue that counts even if it ends before the work, since answers that
 * other sidecars request meanwhile join the longer queue, too.
 */
const LINK_QUEUE_SHARE = 0.3;

/** What the answer to a request is expected to need. */
export interface AnswerDemand {
  /** Estimated size of the answer, in bytes. */
  readonly answerBytes: number;
  /** Estimated work time in ms; null if unknown. */
  readonly workMs: number | null;
}

/** Demand of a request whose answer is small, for which the network link never matters. */
const SMALL_ANSWER: AnswerDemand = { answerBytes: 0, workMs: null };

/** Request for which a back end is selected. */
export interface ChoiceRequest extends AnswerDemand {
  readonly service: string;
  /** Key of the request; null if the service is not keyed. */
  readonly key: number | null;
  /** Back ends that have refused or failed this request. */
  readonly excluded: ReadonlySet<string>;
  /** Back ends to select from; null for all of the service. */
  readonly candidates: readonly BackendInstance[] | null;
  /** Candidates that did not answer a probe. */
  readonly unanswered: ReadonlySet<string>;
}

/** Dependencies that the sidecar provides to the chooser. */
export interface ChooserPorts {
  readonly table: DirectoryTable;
  readonly zone: string;
  /** Address of this sidecar; answers of its local back end do not use the network link. */
  readonly daemonAddress: string;
  /** Bandwidth of a sidecar's network link, in bytes per ms. */
  readonly linkBytesPerMs: number;
  readonly view: (instance: string) => BackendView;
  readonly statedLeaves: StatedLeaves;
  readonly nowMs: () => number;
  /** Returns a random number from 0 up to, but not including, 1. */
  readonly random: () => number;
}

/** Selects back ends by key ownership or by expected time. */
export class BackendChooser {
  constructor(private readonly ports: ChooserPorts) {}

  /** Returns the back end for the next attempt; null if there is none. */
  choose(request: ChoiceRequest): BackendInstance | null {
    const definition = this.ports.table.service(request.service);
    if (definition?.keyed === true && request.key !== null) return this.ownerOf(request.service, request.key);
    return this.shortestExpected(request);
  }

  /** Returns the owner of a key. During a handover the previous owner refuses, and the new one waits for its grant. */
  private ownerOf(service: string, key: number): BackendInstance | null {
    const { table } = this.ports;
    const range = rangeOf(table.rangesOf(service), key);
    if (range === null) return null;
    return this.openInstance(range.owner);
  }

  /** Returns the back end to which the range of a key is moving; null if it is not moving. */
  moveTargetOf(service: string, key: number): BackendInstance | null {
    const { table } = this.ports;
    return this.openInstance(rangeOf(table.rangesOf(service), key)?.movingTo ?? null);
  }

  /** Returns a registered back end that may receive requests; null if it is unknown or closed. */
  private openInstance(id: string | null): BackendInstance | null {
    if (id === null || this.isClosed(id, this.ports.nowMs())) return null;
    return this.ports.table.instance(id) ?? null;
  }

  /**
   * Returns a random sample of the back ends in the caller's zone, filled up from other zones where this zone has too
   * few. Back ends that are a last resort are included only if there are no others.
   */
  nearCandidates(service: string, excluded: ReadonlySet<string>): readonly BackendInstance[] {
    const near = this.sample(service, excluded, NEAR_CANDIDATES, ({ zone }) => zone === this.ports.zone);
    const missingCount = policyIsOn('known-first') ? NEAR_CANDIDATES - near.length : 0;
    if (missingCount === 0) return near;
    return [...near, ...this.sample(service, excluded, missingCount, ({ zone }) => zone !== this.ports.zone)];
  }

  /** Returns a random sample of the back ends in other zones. */
  farCandidates(service: string, excluded: ReadonlySet<string>): readonly BackendInstance[] {
    return this.sample(service, excluded, FAR_CANDIDATES, ({ zone }) => zone !== this.ports.zone);
  }

  /** Whether one of the back ends would run a request at once and send its answer without a wait, as far as is known. */
  hasCapacity(instances: readonly BackendInstance[], demand = SMALL_ANSWER): boolean {
    const now = this.ports.nowMs();
    return instances.some((instance) => this.isFree(instance, demand, now));
  }

  /** Whether a fresh status of one of the back ends shows a free slot and a free link, so that no probe is needed. */
  hasKnownCapacity(instances: readonly BackendInstance[], demand = SMALL_ANSWER): boolean {
    const now = this.ports.nowMs();
    return instances.some((instance) => {
      const view = this.ports.view(instance.id);
      const full = view.busy(now) >= instance.slots * MAX_KNOWN_FREE_SHARE;
      return view.hasFreshStatus(now) && !full && this.isFree(instance, demand, now);
    });
  }

  private isFree(instance: BackendInstance, demand: AnswerDemand, nowMs: number): boolean {
    const view = this.ports.view(instance.id);
    if (this.isLastResort(instance, nowMs) || !view.hasCapacity(instance.slots, nowMs)) return false;
    const readyInMs = view.expectedMs(instance.slots, nowMs, demand.workMs);
    return linkWaitMs(readyInMs, this.linkQueueMs(instance, demand, nowMs)) <= MAX_FREE_LINK_WAIT_MS;
  }

  private sample(
    service: string,
    excluded: ReadonlySet<string>,
    count: number,
    matches: (instance: BackendInstance) => boolean,
  ): readonly BackendInstance[] {
    const now = this.ports.nowMs();
    const matching = this.ports.table
      .instancesOf(service)
      .filter(
        (instance) => !excluded.has(instance.id) && matches(instance) && !this.isClosed(instance.id, now),
      );
    const healthy = matching.filter((instance) => !this.isLastResort(instance, now));
    return sampleWithoutReplacement(healthy.length > 0 ? healthy : matching, count, this.ports.random);
  }

  /** Whether a back end has left, or its sidecar has reported another incarnation in its place. */
  private isClosed(id: string, nowMs: number): boolean {
    const { statedLeaves, view } = this.ports;
    return statedLeaves.isClosed(id) || view(id).isReplaced(nowMs);
  }

  private isLastResort(instance: BackendInstance, nowMs: number): boolean {
    const view = this.ports.view(instance.id);
    if (this.ports.statedLeaves.isLeaving(instance.id)) return true;
    return instance.condition !== 'ready' || !view.accepting(nowMs) || view.isBackingOff(nowMs);
  }

  private shortestExpected(request: ChoiceRequest): BackendInstance | null {
    const { service, excluded, candidates, unanswered } = request;
    const nowMs = this.ports.nowMs();
    let best: BackendInstance | null = null;
    let bestMs = Infinity;
    for (const instance of candidates ?? this.ports.table.instancesOf(service)) {
      if (excluded.has(instance.id) || this.isClosed(instance.id, nowMs)) continue;
      const penaltyMs = unanswered.has(instance.id) ? UNANSWERED_PENALTY_MS : 0;
      const expectedMs = this.expectedMs(instance, request, nowMs) + penaltyMs;
      if (expectedMs >= bestMs) continue;
      best = instance;
      bestMs = expectedMs;
    }
    return best;
  }

  /** Expected time in ms until the link has sent the answer, with penalties. */
  private expectedMs(instance: BackendInstance, demand: AnswerDemand, nowMs: number): number {
    const { zone, random } = this.ports;
    const view = this.ports.view(instance.id);
    const lastResortMs = this.isLastResort(instance, nowMs) ? LAST_RESORT_PENALTY_MS : 0;
    const crossZoneMs = instance.zone === zone ? 0 : demand.answerBytes / CROSS_ZONE_BYTES_PER_MS;
    const readyInMs = view.expectedMs(instance.slots, nowMs, demand.workMs);
    const queueMs = this.linkQueueMs(instance, demand, nowMs);
    const waitMs = linkWaitMs(readyInMs, queueMs) + queueMs * LINK_QUEUE_SHARE;
    const randomizedMs = (readyInMs + waitMs) * (1 + random() * MAX_RANDOM_SHARE);
    return randomizedMs + crossZoneMs + this.sendingMs(instance, demand) + lastResortMs;
  }

  /** Time in ms until the network link beside the back end has sent what is ahead of the answer. */
  private linkQueueMs(instance: BackendInstance, { answerBytes }: AnswerDemand, nowMs: number): number {
    if (this.isLocal(instance) || answerBytes < MIN_PACED_FRAME_BYTES) return 0;
    return this.ports.view(instance.id).sendWaitMs(nowMs, this.ports.linkBytesPerMs);
  }

  /** Time in ms that the answer itself takes on that link. */
  private sendingMs(instance: BackendInstance, { answerBytes }: AnswerDemand): number {
    return this.isLocal(instance) ? 0 : answerBytes / this.ports.linkBytesPerMs;
  }

  private isLocal({ daemonAddress }: BackendInstance): boolean {
    return daemonAddress === this.ports.daemonAddress;
  }
}

/** Draws `count` random members without replacement, or all if there are fewer. */
function sampleWithoutReplacement<T>(
  members: readonly T[],
  count: number,
  random: () => number,
): readonly T[] {
  const left = [...members];
  const drawn: T[] = [];
  while (drawn.length < count && left.length > 0) {
    drawn.push(...left.splice(Math.floor(random() * left.length), 1));
  }
  return drawn;
}
