/**
 * Admission control for one back end. At most as many requests are in flight as it has slots; the others are queued by
 * priority, each until its own expiry time.
 */

import { callWaitMs } from './slot-policy.js';

/** A request for a slot. */
export interface SlotRequest {
  /** Priority; lower values go first. */
  readonly priority: number;
  /** Order among requests of the same priority; lower values go first. */
  readonly order: number;
  /** Number of slots that must stay free for other requests when this one starts; it may change while it waits. */
  readonly reserve: number;
  /** Time in ms of the daemon's clock at which the request leaves the queue. */
  readonly expiresMs: number;
  /** Expected slot time in ms of a call, which a running request waits for; missing for new work. */
  readonly callWorkMs?: number;
  /** Called when a slot is granted; it must be returned with `leave`. */
  start(): void;
  /** Called when the request has expired, or would expire before it got a slot. */
  expire(): void;
}

/** State of the back end that admission depends on. */
export interface AdmissionPorts {
  /** Returns the time in ms until a request may start behind `ahead` others; 0 if the rate is not limited. */
  delayMs(ahead: number): number;
  /** Returns the current processing time as a factor of the usual one. */
  pace(): number;
  /** Returns the number of slots that new work leaves to calls. */
  callReserve(): number;
  /** Returns the expected times in ms until the requests that hold slots end. */
  remainingRunsMs(): readonly number[];
}

const DEFAULT_PORTS: AdmissionPorts = {
  delayMs: () => 0,
  pace: () => 1,
  callReserve: () => 0,
  remainingRunsMs: () => [],
};

/** Weight of the newest sample in the mean service time. */
const EWMA_WEIGHT = 0.1;

/** Service time in ms that is assumed before the first sample. */
const INITIAL_SERVICE_MS = 50;

function precedes(left: SlotRequest, right: SlotRequest): boolean {
  if (left.priority !== right.priority) return left.priority < right.priority;
  return left.order < right.order;
}

/** Slots of one back end, and the queue for them. */
export class Admission {
  private running = 0;
  private runningCalls = 0;
  private paused = false;
  private readonly waiting: SlotRequest[] = [];
  /** Mean service time in ms, normalized to the usual pace. */
  private meanServiceMs = INITIAL_SERVICE_MS;

  constructor(
    private slotCount: number,
    private readonly ports: AdmissionPorts = DEFAULT_PORTS,
  ) {}

  /** Number of requests that hold a slot. */
  get runningCount(): number {
    return this.running;
  }

  /** Number of queued requests. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Number of slots. */
  get slots(): number {
    return this.slotCount;
  }

  /** Expected time in ms for which a request holds its slot: the recent mean at the current pace. */
  get serviceMs(): number {
    return this.meanServiceMs * this.ports.pace();
  }

  /** Sets the number of slots. */
  resize(slots: number): void {
    this.slotCount = slots;
    this.grantFreeSlots();
  }

  /** Whether no request is in flight and one may be sent now. */
  get isIdle(): boolean {
    return this.running === 0 && this.ports.delayMs(0) <= 0;
  }

  /** Grants no slots until `resume`, except by `startBypassingQueue`. */
  pause(): void {
    this.paused = true;
  }

  /** Grants slots to queued requests again. */
  resume(): void {
    this.paused = false;
    this.grantFreeSlots();
  }

  /** Starts a request ahead of the queue, also while paused. */
  startBypassingQueue(request: SlotRequest): void {
    this.grantSlot(request);
  }

  /** Grants a slot, queues the request, or expires it at once if its expected wait is too long. */
  apply(request: SlotRequest, nowMs: number): void {
    // Queued requests that may start now go first, so that the new one does not overtake them.
    this.grantFreeSlots();
    if (this.hasSlotFor(request)) {
      this.grantSlot(request);
      return;
    }
    const ahead = this.waiting.filter((other) => !precedes(request, other));
    const expectedMs = Math.max(this.slotWaitMs(request, ahead), this.ports.delayMs(ahead.length));
    if (nowMs + expectedMs > request.expiresMs) {
      request.expire();
      return;
    }
    this.insert(request);
    this.expireUnreachable(nowMs);
  }

  /**
   * Returns the expected time in ms until a request gets a slot behind others. For a call it is estimated slot by slot,
   * because slots that were filled together become free together, and a call that is refused in time can still be served
   * elsewhere.
   */
  private slotWaitMs({ callWorkMs }: SlotRequest, ahead: readonly SlotRequest[]): number {
    const { serviceMs, slotCount } = this;
    if (callWorkMs === undefined) return (serviceMs * (ahead.length + 1)) / (slotCount + 1);
    const aheadMs = ahead.map((other) => other.callWorkMs ?? serviceMs);
    return callWaitMs(this.ports.remainingRunsMs(), aheadMs);
  }

  /** Returns a slot that a call or new work held for `usedMs`, measured at the current pace. */
  leave(usedMs: number, wasCall = false): void {
    this.running -= 1;
    if (wasCall) this.runningCalls -= 1;
    this.meanServiceMs += (usedMs / this.ports.pace() - this.meanServiceMs) * EWMA_WEIGHT;
    this.grantFreeSlots();
  }

  /** Removes a request from the queue. */
  withdraw(request: SlotRequest): void {
    const at = this.waiting.indexOf(request);
    if (at >= 0) this.waiting.splice(at, 1);
  }

  /** Expires queued requests whose time has passed. */
  expireBefore(nowMs: number): void {
    this.expireWhile(() => this.waiting.find(({ expiresMs }) => expiresMs <= nowMs));
  }

  /** Expires all queued requests. */
  expireAll(): void {
    for (const request of this.waiting.splice(0)) request.expire();
  }

  private grantSlot(request: SlotRequest): void {
    this.running += 1;
    if (request.callWorkMs !== undefined) this.runningCalls += 1;
    request.start();
  }

  private insert(request: SlotRequest): void {
    const at = this.waiting.findIndex((other) => precedes(request, other));
    if (at < 0) this.waiting.push(request);
    else this.waiting.splice(at, 0, request);
  }

  /**
   * Expires queued requests whose turn at the limited rate would come too late, because others have gone ahead of them.
   * A request that expires may queue again with another order.
   */
  private expireUnreachable(nowMs: number): void {
    this.expireWhile(() => {
      if (this.ports.delayMs(0) <= 0) return undefined;
      return this.waiting.find(({ expiresMs }, ahead) => nowMs + this.ports.delayMs(ahead) > expiresMs);
    });
  }

  /** Expires one request at a time: a callback may queue a request again, which may start others. */
  private expireWhile(findNext: () => SlotRequest | undefined): void {
    for (let request = findNext(); request !== undefined; request = findNext()) {
      this.withdraw(request);
      request.expire();
    }
  }

  private hasSlotFor(request: SlotRequest): boolean {
    if (this.paused || this.running >= this.slotCount) return false;
    return this.running + this.reserveFor(request) < this.slotCount && this.ports.delayMs(0) <= 0;
  }

  /** Returns the number of slots to leave free; calls that run use up what is kept for them. */
  private reserveFor({ reserve, callWorkMs }: SlotRequest): number {
    if (callWorkMs !== undefined) return reserve;
    return Math.max(reserve, this.ports.callReserve() - this.runningCalls);
  }

  /** Grants free slots to the queued requests that may start now. */
  grantFreeSlots(): void {
    for (;;) {
      const next = this.waiting.find((request) => this.hasSlotFor(request));
      if (next === undefined) return;
      this.withdraw(next);
      this.grantSlot(next);
    }
  }
}
