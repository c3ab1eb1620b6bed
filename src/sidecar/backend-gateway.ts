/**
 * Gateway to the local back end: every request to it passes through here. A request is forwarded only if it is
 * addressed to the present incarnation of the back end, a slot is free, the back end is not leaving, and it holds the
 * request's key.
 */
import type {
  AnswerTiming,
  FailureHead,
  RefusalHead,
  RefusalReason,
  RequestHead,
  StatusHead,
} from '../link/link-messages.js';
import type { AcceptedRequest, RequestReply } from '../link/link-server.js';
import type { CancelTimer } from '../runtime/runtime.js';
import { PLANNED_LIMIT_SHARE } from '../placement/reduced-capacities.js';
import { policyIsOn } from '../policy-switches.js';
import { Admission, type SlotRequest } from './admission.js';
import type { BackendSignals } from './backend-signals.js';
import { CircuitBreaker } from './circuit-breaker.js';
import type { AnsweredRun, RunOutcome } from './backend-run.js';
import { createGatewayCounters, slotTimeUse } from './gateway-counters.js';
import type { GatewayPorts } from './gateway-ports.js';
import { createGatewayRequest, type GatewayRequest } from './gateway-request.js';
import { LateWaitLimiter, type LateWaitOutcome } from './late-wait-limiter.js';
import {
  isTooLateToStart,
  lateQueueOrder,
  maxLateWaitMs,
  queueOrder,
  returnOrder,
  maxSlotWaitMs,
  slackTimeMs,
} from './slot-policy.js';
import { RequestPacing } from './request-pacing.js';
import { ReturnReservations } from './return-reservations.js';
import { RunReporter } from './run-reporter.js';
import { SuspectScheduler, type SuspectRequest } from './suspect-scheduler.js';
import { WorkForecast } from './work-forecast.js';

const MS_PER_SECOND = 1_000;

/** Interval in ms at which waiting requests are checked. */
const CHECK_INTERVAL_MS = 20;

/** Upper bound in ms of the retry delay that is sent when the queue is too long. */
const MAX_BUSY_RETRY_AFTER_MS = 600;

/** Minimum time after which a refused caller is to return, as a share of its target; callers are not told a shorter one. */
const RETURN_AFTER_TARGET_SHARE = 0.5;

/**
 * Multiple of the mean work time that is left of the target when a caller returns to reserved room: its work may take
 * longer, and it waits for the next slot.
 */
const RETURN_WORK_FACTOR = 1.7;

/** Retry delay in ms for other refusals; key handovers and daemon restarts have usually completed by then. */
const DEFAULT_RETRY_AFTER_MS = 350;

/**
 * Maximum time in ms for which a suspect request waits to run in isolation. Most suspects that are cleared are cleared
 * within the duration of one of their runs.
 */
const MAX_SUSPECT_WAIT_MS = 1_000;

/** Gateway to one back end. */
export class BackendGateway {
  readonly counters = createGatewayCounters();
  readonly admission: Admission;
  readonly forecast: WorkForecast<GatewayRequest>;
  readonly lateWaitLimiter = new LateWaitLimiter();
  readonly suspects: SuspectScheduler;
  readonly returns = new ReturnReservations();
  readonly pacing: RequestPacing;
  private readonly reporter: RunReporter;
  /** Requests that wait for the back end's first heartbeat, or for their key to be granted. */
  private readonly waiting = new Set<GatewayRequest>();
  private readonly running = new Set<GatewayRequest>();
  private readonly circuitBreaker = new CircuitBreaker();
  private stopped = false;
  private cancelCheck: CancelTimer | null = null;

  constructor(private readonly ports: GatewayPorts) {
    const { runtime, pacer, guard } = ports;
    this.reporter = new RunReporter(guard, runtime);
    this.pacing = new RequestPacing(ports);
    this.forecast = new WorkForecast({
      nowMs: () => runtime.nowMs(),
      serviceMs: () => this.admission.serviceMs,
      slots: () => this.admission.slots,
      pacer,
    });
    this.admission = new Admission(1, {
      delayMs: (ahead) => this.pacing.delayMs(ahead),
      pace: () => this.forecast.currentPace,
    });
    this.suspects = new SuspectScheduler({
      runtime,
      permits: guard.permits,
      canRunAlone: () => this.admission.isIdle,
      pause: () => {
        this.admission.pause();
      },
      resume: () => {
        this.admission.resume();
      },
    });
  }

  /** Number of requests in flight at the back end. */
  get runningCount(): number {
    return this.running.size;
  }

  /** Number of slots to plan with at the request rate that the back end has named; null for all. */
  get usableSlots(): number | null {
    const plannedPerSecond = (this.pacing.limitPerSecond ?? Infinity) * PLANNED_LIMIT_SHARE;
    const usable = (plannedPerSecond * this.admission.serviceMs) / MS_PER_SECOND;
    return usable < this.admission.slots ? usable : null;
  }

  /** Sets the number of requests that the back end runs concurrently. */
  setSlots(slots: number): void {
    this.admission.resize(slots);
  }

  /** Returns the load of the back end; null while no incarnation of it is known. */
  status(): StatusHead | null {
    const instance = this.ports.instance();
    if (instance === null) return null;
    const { runningCount, waitingCount, slots } = this.admission;
    const nowMs = this.ports.runtime.nowMs();
    const pace = this.forecast.pace.at(nowMs);
    return {
      instance,
      running: runningCount,
      waiting: waitingCount + this.waiting.size + this.suspects.waitingCount,
      slots,
      serviceMs: Math.round(Math.max(this.admission.serviceMs, this.oldestRunMs() / 2)),
      accepting: !this.ports.leaving() && !this.suspects.isIsolating,
      sendWaitMs: Math.round(this.forecast.sendWaitMs),
      pacing: this.pacing.estimate(),
      ...this.limitStatus(),
      pace: roundToHundredths(pace.now),
      meanPace: roundToHundredths(pace.mean),
    };
  }

  private limitStatus(): Pick<StatusHead, 'limitPerSecond'> {
    const { isLimitKnown, limitPerSecond } = this.pacing;
    if (isLimitKnown && limitPerSecond === null) return {};
    return { limitPerSecond };
  }

  /** Accepts a request from this daemon or a peer. */
  accept(head: RequestHead, body: Buffer, reply: RequestReply): AcceptedRequest {
    const nowMs = this.ports.runtime.nowMs();
    const request = createGatewayRequest(head, body, reply, nowMs, nowMs + this.maxReadinessWaitMs(head));
    this.counters.requests += 1;
    this.adoptLimit(head);
    this.evaluate(request);
    return {
      cancel: () => {
        this.cancel(request);
      },
      withdraw: () => {
        if (request.run === null) this.withdraw(request);
      },
    };
  }

  private adoptLimit({ instance, knownLimitPerSecond }: RequestHead): void {
    const isCurrent = instance === this.ports.instance();
    if (isCurrent && knownLimitPerSecond !== undefined) this.pacing.adopt(knownLimitPerSecond);
  }

  /** Returns the time in ms for which a request may wait for its key, or for the back end's first heartbeat. */
  private maxReadinessWaitMs(head: RequestHead): number {
    const claim = this.forecast.claimOf(head, null);
    const meanMs = this.forecast.workMs(head.route);
    const inTimeMs = Math.max(head.patienceMs, slackTimeMs(claim, meanMs));
    // The caller retries after a refused first attempt; a request that is itself a retry loses nothing by waiting.
    const isRetry = head.spentMs > 0 && policyIsOn('key-patience');
    const waitMs = isRetry ? Math.max(inTimeMs, maxLateWaitMs(claim, 0, meanMs)) : inTimeMs;
    return Math.min(Math.max(0, head.remainingMs - meanMs), waitMs);
  }

  /**
   * Resets the state of the previous incarnation, which is no evidence about the new one. `isNewToDaemon` states that no
   * previous process of this daemon can have served it.
   */
  startIncarnation(incarnation: string, isNewToDaemon: boolean): void {
    this.circuitBreaker.reset();
    this.pacing.startIncarnation(incarnation, isNewToDaemon);
  }

  /** Re-evaluates the waiting requests after a change of the back end's state, keys or crash records. */
  reevaluateWaiting(): void {
    for (const request of [...this.waiting]) {
      this.waiting.delete(request);
      this.evaluate(request);
    }
    for (const suspect of this.suspects.removeAllWaiting()) suspect.reevaluate();
    this.suspects.check();
  }

  /** Stops the gateway: refuses waiting requests, and fails those in flight towards their callers' daemons. */
  stop(): void {
    this.stopped = true;
    this.cancelCheck?.();
    for (const request of [...this.waiting]) this.refuse(request, 'leaving');
    for (const suspect of this.suspects.removeAllWaiting()) suspect.refuse();
    this.reporter.flush();
    this.admission.expireAll();
    for (const { reply } of this.running) {
      reply.fail({ reason: 'broken', detail: 'the daemon stops', status: null });
    }
    this.ports.backend.destroy();
  }

  private evaluate(request: GatewayRequest): void {
    const { ports } = this;
    const { instance, key } = request.head;
    const nowMs = ports.runtime.nowMs();
    const present = ports.instance();
    if (nowMs >= ports.closesAtMs()) this.refuse(request, 'leaving');
    else if (present === null && ports.awaitsBackend()) this.waitForReadiness(request, 'unknown-instance');
    else if (present !== instance) this.refuse(request, 'unknown-instance');
    else if (key !== null && !ports.holdsKey(key)) this.evaluateKey(request, key);
    else this.evaluateCrashRecord(request, nowMs);
  }

  /** Isolates requests that are suspected of having crashed back ends, and refuses quarantined ones. */
  private evaluateCrashRecord(request: GatewayRequest, nowMs: number): void {
    const { stage, fingerprint } = this.ports.guard.classify(request.identity);
    if (stage === 'quarantined') this.refuse(request, 'quarantined');
    else if (stage === 'suspect' && fingerprint !== null) this.addSuspect(request, fingerprint);
    else if (!this.circuitBreaker.allowRequest(nowMs)) this.refuse(request, 'unreachable');
    else this.apply(request, nowMs);
  }

  private addSuspect(request: GatewayRequest, fingerprint: string): void {
    const { head, arrivedMs } = request;
    const spareTimeMs = Math.max(0, head.remainingMs - this.forecast.workMs(head.route));
    const suspect: SuspectRequest = {
      fingerprint,
      expiresMs: arrivedMs + Math.min(MAX_SUSPECT_WAIT_MS, spareTimeMs),
      start: () => this.startAlone(request),
      refuse: () => {
        this.refuse(request, this.stopped ? 'leaving' : 'busy');
      },
      reevaluate: () => {
        request.suspect = null;
        this.evaluate(request);
      },
    };
    request.suspect = suspect;
    this.suspects.add(suspect);
    this.scheduleCheck();
  }

  private startAlone(request: GatewayRequest): boolean {
    this.admission.startBypassingQueue({
      priority: request.head.priority,
      order: 0,
      reserve: 0,
      expiresMs: Infinity,
      start: () => {
        this.start(request);
      },
      expire: () => undefined,
    });
    return request.run !== null;
  }

  private evaluateKey(request: GatewayRequest, key: number): void {
    if (this.ports.ownsKey(key)) this.waitForReadiness(request, 'not-owner');
    else this.refuse(request, 'not-owner');
  }

  private waitForReadiness(request: GatewayRequest, reason: RefusalReason): void {
    if (this.ports.runtime.nowMs() >= request.expiresMs) this.refuse(request, reason);
    else {
      this.waiting.add(request);
      this.scheduleCheck();
    }
  }

  private apply(request: GatewayRequest, nowMs: number): void {
    const { head, arrivedMs } = request;
    const { forecast } = this;
    const meanMs = forecast.workMs(head.route);
    const onLink = forecast.decideOnLink(head, request, nowMs - arrivedMs);
    if (onLink.kind === 'refuse') {
      this.refuse(request, 'busy', onLink.freeInMs);
      return;
    }
    const claim = forecast.claimOf(head, request);
    forecast.expectAnswer(head.route, request);
    this.recordOfferedLoad(request, meanMs);
    let waits = false;
    const slotRequest: SlotRequest = {
      priority: forecast.rankOf(head),
      order: this.hasReservation(request)
        ? returnOrder(claim, arrivedMs)
        : queueOrder(claim, arrivedMs, meanMs),
      reserve: slackTimeMs(claim, meanMs) > 0 ? forecast.reserveOf(head) : forecast.lateReserveOf(head),
      expiresMs: nowMs + maxSlotWaitMs(claim, nowMs - arrivedMs, meanMs),
      start: () => {
        this.start(request);
      },
      expire: () => {
        // An immediate refusal leaves the caller time to retry. After a wait, or for a retry, it would be of no use.
        if (waits || head.spentMs > 0) this.applyLate(request);
        else this.refuse(request, this.noSlotReason());
      },
    };
    request.slotRequest = slotRequest;
    this.admission.apply(slotRequest, nowMs);
    waits = true;
    if (this.admission.waitingCount > 0) this.scheduleCheck();
  }

  /** Uses the reservation of a caller that returns when it was told to; it is kept while the request waits. */
  private hasReservation(request: GatewayRequest): boolean {
    const { head, arrivedMs } = request;
    request.reserved ||= head.spentMs > 0 && this.returns.claim(head, arrivedMs);
    return request.reserved;
  }

  /** Queues a request behind all that can meet their target latency, while such waits mostly end with a slot. */
  private applyLate(request: GatewayRequest): void {
    const { head, arrivedMs } = request;
    const nowMs = this.ports.runtime.nowMs();
    const { forecast } = this;
    const claim = forecast.claimOf(head, request);
    const waitMs = maxLateWaitMs(claim, nowMs - arrivedMs, forecast.workMs(head.route));
    const onLink = forecast.decideOnLink(head, request, nowMs - arrivedMs);
    if (onLink.kind === 'refuse') {
      this.refuse(request, 'busy', onLink.freeInMs);
      return;
    }
    const mayBeAnswered = policyIsOn('late-waiting') && !this.stopped && waitMs > 0;
    if (!mayBeAnswered || !this.lateWaitLimiter.mayWait(waitMs, this.admission.slots, nowMs)) {
      this.refuse(request, this.noSlotReason());
      return;
    }
    this.lateWaitLimiter.begin();
    request.waitsLate = true;
    const slotRequest: SlotRequest = {
      priority: head.priority,
      order: lateQueueOrder(claim, arrivedMs),
      reserve: forecast.lateReserveOf(head),
      expiresMs: nowMs + waitMs,
      start: () => {
        this.endLateWait(request, 'place');
        this.start(request);
      },
      expire: () => {
        this.endLateWait(request, 'in-vain');
        this.refuse(request, this.noSlotReason());
      },
    };
    request.slotRequest = slotRequest;
    this.admission.apply(slotRequest, nowMs);
    if (this.admission.waitingCount > 0) this.scheduleCheck();
  }

  private endLateWait(request: GatewayRequest, outcome: LateWaitOutcome): void {
    if (!request.waitsLate) return;
    request.waitsLate = false;
    this.lateWaitLimiter.end(outcome, this.ports.runtime.nowMs());
  }

  /**
   * Reports the expected slot time as load on arrival rather than on completion, so that an overloaded back end can be
   * distinguished from one that is fully used.
   */
  private recordOfferedLoad(request: GatewayRequest, meanMs: number): void {
    if (!policyIsOn('offered-load') || request.offeredMs > 0) return;
    request.offeredMs = meanMs;
    this.ports.onWork(request.head.key, meanMs);
  }

  /** Sends a request that has got a slot, after repeating the checks that it passed on arrival. */
  private start(request: GatewayRequest): void {
    if (request.done || request.run !== null) {
      this.ignoreSecondStart(request);
      return;
    }
    const { ports } = this;
    const { head } = request;
    const nowMs = ports.runtime.nowMs();
    const stale = nowMs >= ports.closesAtMs() || ports.instance() !== head.instance;
    const keyLost = head.key !== null && !ports.holdsKey(head.key);
    const waitedMs = nowMs - request.arrivedMs;
    const leftMs = head.remainingMs - waitedMs;
    request.startedMs = nowMs;
    if (stale || keyLost || this.isTooLate(request, leftMs)) {
      this.admission.leave(this.admission.serviceMs);
      if (keyLost && !stale) this.evaluateKey(request, head.key ?? 0);
      else this.refuse(request, stale ? 'leaving' : 'busy');
      return;
    }
    const onLink = this.forecast.decideOnLink(head, request, waitedMs);
    if (onLink.kind === 'refuse') {
      this.admission.leave(this.admission.serviceMs);
      this.refuse(request, 'busy', onLink.freeInMs);
      return;
    }
    if (this.isRestrictedByCrashRecord(request)) {
      this.admission.leave(this.admission.serviceMs);
      this.evaluateCrashRecord(request, nowMs);
      return;
    }
    ports.latencies.observe('waiting', ports.service, nowMs - request.arrivedMs);
    request.alone = this.running.size === 0;
    for (const other of this.running) other.alone = false;
    this.running.add(request);
    this.counters.runs += 1;
    this.forecast.expectAnswer(head.route, request);
    request.sendNumber = this.pacing.recordSent();
    request.run = ports.backend.prepare(request.head, request.body, leftMs, {
      status: () => this.status(),
      timing: () => this.timingOf(request),
      reply: this.replyOf(request),
      onSignals: (signals) => {
        this.receiveSignals(request, signals);
      },
      onDone: (outcome) => {
        this.handleDone(request, outcome);
      },
    });
    request.run.start();
  }

  /** A request that must run at most once is never sent again, whatever the state of the queue. */
  private ignoreSecondStart({ head }: GatewayRequest): void {
    this.ports.log.event('second-start-ignored', { requestId: head.requestId, instance: head.instance });
    this.admission.leave(this.admission.serviceMs);
  }

  /** A late answer of an earlier incarnation says nothing about the present one. */
  private receiveSignals({ head, sendNumber }: GatewayRequest, { limit, leaving }: BackendSignals): void {
    if (head.instance !== this.ports.instance()) return;
    this.pacing.recordStatement(limit, head.requestId, sendNumber);
    this.ports.onAnswer(leaving);
  }

  /** Whether the request was quarantined or became a suspect while it waited, so that it must not run now. */
  private isRestrictedByCrashRecord({ identity, suspect }: GatewayRequest): boolean {
    const { stage } = this.ports.guard.classify(identity);
    return stage === 'quarantined' || (stage === 'suspect' && suspect === null);
  }

  private replyOf({ reply }: GatewayRequest): RequestReply {
    const fail = (failure: FailureHead): void => {
      this.reporter.fail(failure, (head) => {
        reply.fail(head);
      });
    };
    return { ...reply, fail };
  }

  /** Whether the work, or the transfer of its answer over the network link, would end too late to be of use. */
  private isTooLate(request: GatewayRequest, leftMs: number): boolean {
    const { route } = request.head;
    return isTooLateToStart(leftMs - this.forecast.sendMs(route, request), this.forecast.workMs(route));
  }

  private timingOf({ arrivedMs, startedMs }: GatewayRequest): AnswerTiming {
    const backendMs = Math.round(this.ports.runtime.nowMs() - startedMs);
    return { waitedMs: Math.round(startedMs - arrivedMs), backendMs };
  }

  private handleDone(request: GatewayRequest, outcome: RunOutcome): void {
    if (request.done) return;
    request.done = true;
    this.forecast.discardExpectedAnswer(request);
    this.running.delete(request);
    const usedMs = this.ports.runtime.nowMs() - request.startedMs;
    if (outcome.kind === 'answered') this.recordAnswer(request.head.route, usedMs, outcome);
    else if (outcome.kind !== 'declined') this.pacing.recordUnanswered(request.sendNumber);
    this.ports.latencies.observe('backend', this.ports.service, usedMs);
    this.ports.onWork(request.head.key, usedMs - request.offeredMs);
    this.count(request, outcome, usedMs);
    this.admission.leave(outcome.kind === 'answered' ? usedMs : Math.max(usedMs, this.admission.serviceMs));
    const { suspect } = request;
    if (suspect === null) return;
    // The permit is released only after a crash here would have been recorded: then another daemon may run the suspect.
    this.reporter.afterEndCheck(outcome, () => {
      this.suspects.onRunEnded(suspect);
    });
  }

  private recordAnswer(route: string, usedMs: number, { bytes, pace }: AnsweredRun): void {
    const { forecast } = this;
    const unreadableBefore = forecast.unreadablePaceReports;
    forecast.recordAnswer({ route, usedMs, bytes, pace });
    // Only the first one is logged; a counter holds the total.
    const isFirst = unreadableBefore === 0 && forecast.unreadablePaceReports > 0;
    if (isFirst) this.ports.log.event('figure-unreadable', { figure: 'pace' });
  }

  private count(request: GatewayRequest, outcome: RunOutcome, usedMs: number): void {
    this.counters.slotMs[slotTimeUse(outcome)] += usedMs;
    if (outcome.kind === 'answered') this.counters.answered += 1;
    if (outcome.kind === 'declined') this.counters.refused.declined += 1;
    if (outcome.kind === 'broken') this.counters.broken += 1;
    this.circuitBreaker.recordRun(outcome.kind === 'broken');
    const { requestId, instance, key } = request.head;
    const { identity, alone } = request;
    const fingerprint = this.reporter.report({ requestId, identity, alone, usedMs }, outcome);
    if (outcome.kind === 'answered') return;
    const fields = { requestId, instance, key, outcome, usedMs: Math.round(usedMs), fingerprint };
    this.ports.log.failure('run-ended', fields);
  }

  /** Refuses a request; `linkFreeInMs` is given if the network link is the cause. */
  private refuse(request: GatewayRequest, reason: RefusalReason, linkFreeInMs: number | null = null): void {
    if (request.done) return;
    request.done = true;
    this.forecast.discardExpectedAnswer(request);
    this.counters.refused[reason] += 1;
    const { requestId, instance, key, route } = request.head;
    const waitedMs = Math.round(this.ports.runtime.nowMs() - request.arrivedMs);
    const leftMs = Math.round(request.head.remainingMs - waitedMs);
    const status = this.status();
    const cause = this.linkCause(linkFreeInMs);
    const returnInMs = linkFreeInMs === null ? this.reservedReturnMs(request, reason, leftMs) : null;
    const reserved = returnInMs === null ? {} : { returnInMs: Math.round(returnInMs) };
    const fields = { requestId, reason, instance, key, route, waitedMs, leftMs, ...cause, ...reserved };
    this.ports.log.failure('request-refused', { ...fields, ...status });
    // A request that got no slot counts as load of its key, too.
    if (reason === 'busy' && request.offeredMs === 0) this.ports.onWork(key, this.admission.serviceMs);
    const slotRetryAfterMs = reserved.returnInMs ?? this.retryAfterMs(reason);
    const retryAfterMs = Math.max(slotRetryAfterMs, cause.linkFreeInMs ?? 0);
    request.reply.refuse({ reason, arrived: false, retryAfterMs, status, ...cause });
  }

  /**
   * Reserves room for a caller that is refused for want of a slot, and returns when it is to come back; null without a
   * reservation. A request without a key is not reserved for, since its caller may return to another back end.
   */
  private reservedReturnMs({ head }: GatewayRequest, reason: RefusalReason, leftMs: number): number | null {
    if (reason !== 'busy' || head.key === null || !policyIsOn('retry-hints')) return null;
    const { slots, serviceMs } = this.admission;
    const meanMs = this.forecast.workMs(head.route);
    const minDelayMs = Math.max(0, head.targetLeftMs * RETURN_AFTER_TARGET_SHARE);
    // Room that is used after the target would be taken from requests that can still meet theirs.
    const maxDelayMs = Math.min(head.targetLeftMs - RETURN_WORK_FACTOR * meanMs, leftMs - meanMs);
    const refused = { requestId: head.requestId, minDelayMs, maxDelayMs };
    return this.returns.reserve(refused, { slots, serviceMs }, this.ports.runtime.nowMs());
  }

  /** Counts a refusal that the network link caused, and returns its mark. */
  private linkCause(linkFreeInMs: number | null): Pick<RefusalHead, 'linkFreeInMs'> {
    if (linkFreeInMs === null) return {};
    this.counters.refusedForLink += 1;
    return { linkFreeInMs: Math.ceil(linkFreeInMs) };
  }

  /** Returns why a request gets no slot in time. */
  private noSlotReason(): RefusalReason {
    return this.pacing.isLimiting ? 'rate-limited' : 'busy';
  }

  /** Returns the delay in ms after which a retry can expect a slot in time. */
  private retryAfterMs(reason: RefusalReason): number {
    const { serviceMs, waitingCount, slots } = this.admission;
    if (reason === 'rate-limited') return Math.round(this.pacing.retryAfterMs(waitingCount));
    if (reason !== 'busy') return DEFAULT_RETRY_AFTER_MS;
    const queueMs = Math.max(this.pacing.delayMs(waitingCount), (serviceMs * (waitingCount + 1)) / slots);
    return Math.round(Math.min(MAX_BUSY_RETRY_AFTER_MS, queueMs));
  }

  private cancel(request: GatewayRequest): void {
    if (request.done) return;
    this.removeFromQueues(request);
    if (request.slotRequest !== null) this.admission.withdraw(request.slotRequest);
    this.endLateWait(request, 'withdrawn');
    const { run } = request;
    if (run === null) {
      this.forecast.discardExpectedAnswer(request);
      request.done = true;
      return;
    }
    run.cancel();
    this.handleDone(request, { kind: 'cancelled' });
  }

  /** Withdraws a request that has not started, on behalf of the caller's daemon, which expects a refusal. */
  private withdraw(request: GatewayRequest): void {
    this.removeFromQueues(request);
    if (request.slotRequest !== null) this.admission.withdraw(request.slotRequest);
    this.endLateWait(request, 'withdrawn');
    this.refuse(request, 'cancelled');
  }

  private removeFromQueues(request: GatewayRequest): void {
    this.waiting.delete(request);
    if (request.suspect !== null && request.run === null) this.suspects.remove(request.suspect);
  }

  private oldestRunMs(): number {
    const first = this.running.values().next();
    return first.done === true ? 0 : this.ports.runtime.nowMs() - first.value.startedMs;
  }

  /** Schedules checks of the waiting requests for as long as there are any. */
  private scheduleCheck(): void {
    this.cancelCheck ??= this.ports.runtime.after(CHECK_INTERVAL_MS, () => {
      this.cancelCheck = null;
      this.checkWaiting();
      if (this.waiting.size > 0 || this.admission.waitingCount > 0 || this.suspects.hasWork)
        this.scheduleCheck();
    });
  }

  private checkWaiting(): void {
    const nowMs = this.ports.runtime.nowMs();
    this.admission.grantFreeSlots();
    this.admission.expireBefore(nowMs);
    this.suspects.check();
    for (const request of [...this.waiting]) {
      if (nowMs < request.expiresMs && nowMs < this.ports.closesAtMs()) continue;
      this.waiting.delete(request);
      this.evaluate(request);
    }
  }
}

/** Rounds a factor for transmission; more than two decimal places would exceed its precision. */
function roundToHundredths(factor: number): number {
  return Math.round(factor * 100) / 100;
}
