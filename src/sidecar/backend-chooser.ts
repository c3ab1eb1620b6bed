/** Chooses the back end for an attempt, by key or by expected time. */
import { rangeOf } from '../directory/key-ranges.js';
import type { BackendInstance } from '../directory/directory-state.js';
import { PACED_FRAME_BYTES } from '../link/link-pacer.js';
import { policyIsOn } from '../policy-switches.js';
import type { BackendView } from './backend-view.js';
import type { DirectoryTable } from './directory-table.js';

/** Bytes a ms of expected time is worth when they would cross zones. */
const CROSS_ZONE_BYTES_PER_MS = policyIsOn('zone-preference') ? 50 : 500;

/** Largest part of the expected time that chance adds, so that daemons do not all choose the same one. */
const CHANCE_SHARE = 0.15;

/** Time in ms that is added to a back end that failed a moment ago or is leaving. */
const LAST_RESORT_MS = 1_000_000;

/** What a choice is made for. */
export interface ChoiceRequest {
  readonly service: string;
  /** Key of the request, or null where the service is not divided by key. */
  readonly key: number | null;
  /** Back ends that have refused or failed this request. */
  readonly excluded: ReadonlySet<string>;
  /** Expected size of the answer, in bytes. */
  readonly answerBytes: number;
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

  private quickest({ service, excluded, answerBytes }: ChoiceRequest): BackendInstance | null {
    let best: BackendInstance | null = null;
    let bestMs = Infinity;
    for (const instance of this.ports.table.instancesOf(service)) {
      if (excluded.has(instance.id)) continue;
      const expectedMs = this.expectedMs(instance, answerBytes);
      if (expectedMs >= bestMs) continue;
      best = instance;
      bestMs = expectedMs;
    }
    return best;
  }

  private expectedMs(instance: BackendInstance, answerBytes: number): number {
    const { zone, nowMs, random } = this.ports;
    const view = this.ports.view(instance.id);
    const now = nowMs();
    const accepting = instance.condition === 'ready' && view.status?.accepting !== false;
    const lastResort = !accepting || view.avoided(now) ? LAST_RESORT_MS : 0;
    const crossing = instance.zone === zone ? 0 : answerBytes / CROSS_ZONE_BYTES_PER_MS;
    const expected = view.expectedMs(instance.slots, now) * (1 + random() * CHANCE_SHARE);
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
    const waitMs = answerBytes < PACED_FRAME_BYTES ? 0 : view.sendWaitMs(nowMs);
    return waitMs + answerBytes / this.ports.linkBytesPerMs;
  }
}
