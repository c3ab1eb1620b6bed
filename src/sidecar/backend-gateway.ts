/**
 * Gateway to the local back end: every request to it passes through here. A request is forwarded only if it is
 * addressed to the present incarnation of the back end, a slot is free, the back end is not leaving, and it holds the
 * request's key.
 */
import type {
  AnswerTiming,
  FailureHead,
  NestedHead,
  RefusalHead,
  RefusalReason,
  RequestHead,
  StatusHead,
} from '../link/link-messages.js';
import type { AcceptedRequest, CancelCause, RequestReply } from '../link/link-server.js';
import type { CancelTimer } from '../runtime/runtime.js';
import { PLANNED_LIMIT_SHARE } from '../placement/reduced-capacities.js';
import { policyIsOn } from '../policy-switches.js';
import { Admission, type SlotRequest } from './admission.js';
import { AnswerBuffers } from './answer-buffers.js';
import { isUnusual } from './answer-trace.js';
import type { BackendSignals } from './backend-signals.js';
import { CallShortages, type EarlyRefusal } from './call-shortage.js';
import { CircuitBreaker } from './circuit-breaker.js';
import type { AnsweredRun, RunOutcome } from './backend-run.js';
import { EndConfirmation } from './end-confirmation.js';
import { createGatewayCounters, slotTimeUse } from './gateway-counters.js';
import type { GatewayPorts } from './gateway-ports.js';
import { createGatewayRequest, type GatewayRequest } from './gateway-request.js';
import { LateWaitLimiter, type LateWaitOutcome } from './late-wait-limiter.js';
import { limitsOfCall, readNested, RunningRequests, type EndedCall } from './nested-calls.js';
import {
  callRank,
  isTooLateToStart,
  lateQueueOrder,
  maxLateWaitMs,
  queueOrder,
  maxSlotWaitMs,
  remainingRunMs,
  slackTimeMs,
} from './slot-policy.js';
import { RequestPacing } from './request-pacing.js';
import { ReturnSchedule } from './return-schedule.js';
import { RunReporter } from './run-reporter.js';
import { SuspectScheduler, type SuspectRequest } from './suspect-scheduler.js';
import { WorkForecast } from './work-forecast.js';

const MS_PER_SECOND = 1_000;

/** Interval in ms at which waiting requests are checked. */
const CHECK_INTERVAL_MS = 20;

/** Retry delay in ms for other refusals; key handovers and daemon restarts have usually completed by then. */
const DEFAULT_RETRY_AFTER_MS = 350;

/**
 * Maximum time in ms for which a suspect request waits to run in isolation. Most suspects that are cleared are cleared
 * within the duration of one of their runs.
 */
const MAX_SUSPECT_WAIT_MS = 1_000;

/**
 * Time that a run must have until its daemon stops, as a factor on what such work takes now: a run that is cut off may be
 * repeated elsewhere only if it is repeatable.
 */
const MIN_TIME_FACTOR_AT_STOP = { repeatable: 2, atMostOnce: 4 } as const;

/** Minimum interval in ms between log lines on the slots that late requests leave free. */
const RESERVE_LOG_INTERVAL_MS = 5_000;

/** Why a call, or work that needs calls, was refused as busy; for its log line. */
type RefusalCause = 'queue-too-long' | 'parent-time-up' | 'link-too-slow' | 'calls-failing';

/** Gateway to one back end. */
export class BackendGateway {
  readonly counters = createGatewayCounters();
  /** The requests at the back end, by which its calls are identified. */
  readonly runningRequests = new RunningRequests();
  /** Services whose calls fail, so that work that needs them is refused early. */
  readonly callShortages = new CallShortages();
  readonly admission: Admission;
  readonly forecast: WorkForecast<GatewayRequest>;
  readonly lateWaitLimiter = new LateWaitLimiter();
  readonly suspects: SuspectScheduler;
  readonly pacing: RequestPacing;
  /** Confirms the ends of answers that only the end of their connection delimits. */
  readonly endConfirmation: EndConfirmation;
  private readonly buffers = new AnswerBuffers();
  private readonly reporter: RunReporter;
  /** Requests that wait for the back end's first heartbeat, or for their key to be granted. */
  private readonly waiting = new Set<GatewayRequest>();
  private readonly running = new Set<GatewayRequest>();
  private readonly returns = new ReturnSchedule();
  private readonly circuitBreaker = new CircuitBreaker();
  private stopped = false;
  private cancelCheck: CancelTimer | null = null;
  /** Slots left free by late requests according to the newest log line, and time in ms of the earliest next one. */
  private loggedLateReserve = 0;
  private nextReserveLogMs = -Infinity;

  constructor(private readonly ports: GatewayPorts) {
    const { runtime, pacer, guard } = ports;
    this.endConfirmation = new EndConfirmation(runtime, ports.probeIncarnation);
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
      callReserve: () => this.forecast.callReserve,
      remainingRunsMs: () => this.remainingRunsMs(),
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
    const nested = this.readCall(head);
    const limited = nested === null ? head : limitsOfCall(head, nested);
    const expiresMs = nowMs + this.maxReadinessWaitMs(limited);
    const request = createGatewayRequest(limited, nested, body, reply, nowMs, expiresMs);
    this.counters.requests += 1;
    this.adoptLimit(head);
    this.evaluate(request);
    return {
      cancel: (cause) => {
        this.cancel(request, cause);
      },
      withdraw: () => {
        if (request.run === null) this.withdraw(request);
      },
    };
  }

  /** Returns what a call inherits from its parent; null for new work. */
  private readCall({ nested, requestId, route }: RequestHead): NestedHead | null {
    const read = readNested(nested);
    if (read.err) {
      this.counters.unreadableCalls += 1;
      // Only the first one is logged; a counter holds the total.
      const isFirst = this.counters.unreadableCalls === 1;
      if (isFirst) this.ports.log.event('figure-unreadable', { figure: 'nested', requestId });
      return null;
    }
    if (read.val === null) return null;
    this.counters.calls += 1;
    this.forecast.recordCall(route);
    return read.val;
  }

  /** Records the end of a call that the back end made. */
  recordCallEnded(call: EndedCall): void {
    this.runningRequests.recordEnded(call);
    this.callShortages.recordEnded(call, this.ports.runtime.nowMs());
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
    if (this.isClosedTo(request, nowMs)) this.refuse(request, 'leaving');
    else if (present === null && ports.awaitsBackend()) this.waitForReadiness(request, 'unknown-instance');
    else if (present !== instance) this.refuse(request, 'unknown-instance');
    else if (key !== null && !ports.holdsKey(key)) this.evaluateKey(request, key);
    else this.evaluateCrashRecord(request, nowMs);
  }

  /** Whether no more requests are taken, or this one might not end before the daemon does. */
  private isClosedTo({ head, arrivedMs }: GatewayRequest, nowMs: number): boolean {
    if (nowMs >= this.ports.closesAtMs()) return true;
    const untilEndMs = this.ports.endsAtMs() - nowMs;
    const leftMs = head.remainingMs - (nowMs - arrivedMs);
    if (leftMs <= untilEndMs) return false;
    const factor = MIN_TIME_FACTOR_AT_STOP[head.repeatable ? 'repeatable' : 'atMostOnce'];
    return this.forecast.workMs(head.route) * factor >= untilEndMs;
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
      ...this.callWork(request),
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
    const { head, nested, arrivedMs } = request;
    const { forecast } = this;
    const meanMs = forecast.workMs(head.route);
    const early = nested === null ? this.callShortages.decide(head.route, head.priority, nowMs) : null;
    if (early !== null) {
      this.refuseEarly(request, early);
      return;
    }
    const onLink = forecast.decideOnLink(head, request, nowMs - arrivedMs);
    if (onLink.kind === 'refuse') {
      this.refuseForLink(request, onLink.freeInMs);
      return;
    }
    const claim = forecast.claimOf(head, request);
    forecast.expectAnswer(head.route, request);
    this.recordOfferedLoad(request, meanMs);
    const isInTime = slackTimeMs(claim, meanMs) > 0;
    if (isInTime) forecast.inTime.recordArrival(nowMs);
    this.logLateReserve(nowMs);
    const reserveOf = (): number => this.reserveOf(request, isInTime);
    let waits = false;
    const slotRequest: SlotRequest = {
      priority: nested === null ? forecast.rankOf(head) : callRank(nested.priority),
      order: queueOrder(claim, arrivedMs, meanMs),
      get reserve() {
        return reserveOf();
      },
      expiresMs: nowMs + maxSlotWaitMs(claim, nowMs - arrivedMs, meanMs),
      ...this.callWork(request),
      start: () => {
        this.start(request);
      },
      expire: () => {
        if (nested !== null) {
          // A call waits as long as its parent has time, so a further wait would be of no use.
          this.refuse(request, this.noSlotReason(), waits ? 'parent-time-up' : 'queue-too-long');
          return;
        }
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

  private callWork({ head, nested }: GatewayRequest): Pick<SlotRequest, 'callWorkMs'> {
    return nested === null ? {} : { callWorkMs: this.forecast.workMs(head.route) };
  }

  /** Returns the number of slots that a request leaves free for others; a call leaves none. */
  private reserveOf({ head, nested }: GatewayRequest, isInTime: boolean): number {
    if (nested !== null) return 0;
    return isInTime ? this.forecast.reserveOf(head) : this.forecast.lateReserveOf(head);
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
      this.refuseForLink(request, onLink.freeInMs);
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
      get reserve() {
        return forecast.lateReserveOf(head);
      },
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

  /** Logs whether late requests leave slots free, when that changes. */
  private logLateReserve(nowMs: number): void {
    const { lateReserve: reserve } = this.forecast;
    if (reserve === this.loggedLateReserve || nowMs < this.nextReserveLogMs) return;
    this.loggedLateReserve = reserve;
    this.nextReserveLogMs = nowMs + RESERVE_LOG_INTERVAL_MS;
    this.ports.log.event('late-reserve', { instance: this.ports.instance(), reserve });
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
    const stale = this.isClosedTo(request, nowMs) || ports.instance() !== head.instance;
    const keyLost = head.key !== null && !ports.holdsKey(head.key);
    const waitedMs = nowMs - request.arrivedMs;
    const leftMs = head.remainingMs - waitedMs;
    request.startedMs = nowMs;
    if (stale || keyLost || this.isTooLate(request, leftMs)) {
      this.returnUnusedSlot(request);
      if (keyLost && !stale) this.evaluateKey(request, head.key ?? 0);
      else if (stale) this.refuse(request, 'leaving');
      else this.refuse(request, 'busy', 'parent-time-up');
      return;
    }
    const onLink = this.forecast.decideOnLink(head, request, waitedMs);
    if (onLink.kind === 'refuse') {
      this.returnUnusedSlot(request);
      this.refuseForLink(request, onLink.freeInMs);
      return;
    }
    if (this.isRestrictedByCrashRecord(request)) {
      this.returnUnusedSlot(request);
      this.evaluateCrashRecord(request, nowMs);
      return;
    }
    ports.latencies.observe('waiting', ports.service, nowMs - request.arrivedMs);
    request.alone = this.running.size === 0;
    for (const other of this.running) other.alone = false;
    this.running.add(request);
    this.beginRun(request, leftMs);
    this.counters.runs += 1;
    this.forecast.expectAnswer(head.route, request);
    request.sendNumber = this.pacing.recordSent();
    const { mark } = this.endConfirmation;
    request.run = ports.backend.prepare(request.head, request.body, leftMs, {
      status: () => this.status(),
      timing: () => this.timingOf(request),
      reply: this.replyOf(request),
      buffers: this.buffers,
      onSignals: (signals) => {
        this.endConfirmation.recordAnswer(head.instance, mark);
        this.receiveSignals(request, signals);
      },
      confirmEnd: (done) => this.endConfirmation.confirm(head.instance, done),
      onDone: (outcome) => {
        this.handleDone(request, outcome);
      },
    });
    request.run.start();
  }

  /** Enters a request among those whose calls are identified; calls of a call inherit what it has inherited. */
  private beginRun(request: GatewayRequest, leftMs: number): void {
    const { head, nested, startedMs } = request;
    request.runEntry = {
      requestId: head.requestId,
      route: head.route,
      priority: nested?.priority ?? head.priority,
      deadlineMs: startedMs + leftMs,
      isCall: nested !== null,
    };
    this.runningRequests.begin(request.runEntry);
  }

  /** A request that must run at most once is never sent again, whatever the state of the queue. */
  private ignoreSecondStart(request: GatewayRequest): void {
    const { head } = request;
    this.ports.log.event('second-start-ignored', { requestId: head.requestId, instance: head.instance });
    this.returnSlot(request, this.admission.serviceMs);
  }

  /** Returns the slot of a request that does not run now. Its answer must not count as ahead of those that start next. */
  private returnUnusedSlot(request: GatewayRequest): void {
    this.forecast.discardExpectedAnswer(request);
    this.returnSlot(request, this.admission.serviceMs);
  }

  private returnSlot({ nested }: GatewayRequest, usedMs: number): void {
    this.admission.leave(usedMs, nested !== null);
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

  private replyOf(request: GatewayRequest): RequestReply {
    const { reply } = request;
    const fail = (failure: FailureHead): void => {
      this.reporter.fail(failure, (head) => {
        reply.fail(head);
      });
    };
    return {
      ...reply,
      fail,
      answer: (head, body) => {
        this.forecast.recordPassedOn(request, body.length);
        reply.answer(head, body);
      },
      body: (chunk) => {
        this.forecast.recordPassedOn(request, chunk.length);
        return reply.body(chunk);
      },
    };
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
    if (request.runEntry !== null) this.runningRequests.end(request.runEntry);
    const nowMs = this.ports.runtime.nowMs();
    const usedMs = nowMs - request.startedMs;
    const usedInTimeMs = Math.min(nowMs, deadlineOf(request)) - request.startedMs;
    if (outcome.kind === 'answered') this.recordAnswer(request.head.route, usedInTimeMs, outcome);
    else if (outcome.kind !== 'declined') this.pacing.recordUnanswered(request.sendNumber);
    this.ports.latencies.observe('backend', this.ports.service, usedMs);
    this.ports.onWork(request.head.key, usedMs - request.offeredMs);
    this.count(request, outcome, usedMs);
    this.returnSlot(
      request,
      outcome.kind === 'answered' ? usedInTimeMs : Math.max(usedInTimeMs, this.admission.serviceMs),
    );
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
    this.returns.recordFinished(usedMs, this.ports.runtime.nowMs());
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
    const fingerprint = this.reporter.report({ requestId, instance, identity, alone, usedMs }, outcome);
    if (outcome.kind === 'answered') {
      this.logAnswer(request, outcome);
      return;
    }
    const fields = { requestId, instance, key, outcome, usedMs: Math.round(usedMs), fingerprint };
    this.ports.log.failure('run-ended', fields);
  }

  /** Logs how an answer was delimited and what else came on its connection; only a sample of the usual ones. */
  private logAnswer({ head }: GatewayRequest, { statusCode, trace }: AnsweredRun): void {
    if (trace === undefined) return;
    const { requestId, instance } = head;
    const fields = () => ({ requestId, instance, statusCode, ...trace });
    if (isUnusual(trace)) this.ports.log.failure('answer-received', fields());
    else this.ports.log.routine('answer-received', fields);
  }

  private refuse(request: GatewayRequest, reason: RefusalReason, cause?: RefusalCause): void {
    if (request.done) return;
    const waitedMs = Math.round(this.ports.runtime.nowMs() - request.arrivedMs);
    // A request that got no slot counts as load of its key, too.
    if (reason === 'busy' && request.offeredMs === 0)
      this.ports.onWork(request.head.key, this.admission.serviceMs);
    const retryAfterMs = this.retryAfterMs(reason, request.head, request.head.remainingMs - waitedMs);
    this.refuseWith(request, reason, retryAfterMs, this.callFields(request, waitedMs, cause));
  }

  /** Refuses a request because the network link has no room for its answer until `freeInMs`. */
  private refuseForLink(request: GatewayRequest, freeInMs: number): void {
    if (request.done) return;
    this.counters.refusedForLink += 1;
    const waitedMs = Math.round(this.ports.runtime.nowMs() - request.arrivedMs);
    if (request.offeredMs === 0) this.ports.onWork(request.head.key, this.admission.serviceMs);
    const linkFreeInMs = Math.ceil(freeInMs);
    const detail = this.callFields(request, waitedMs, 'link-too-slow');
    // Slots are free, so the caller may return as soon as the link has room.
    this.refuseWith(request, 'busy', linkFreeInMs, detail, { linkFreeInMs });
  }

  /** Refuses work whose calls would fail. It is no load of its key: this back end has room for it. */
  private refuseEarly(request: GatewayRequest, { calledService, retryAfterMs }: EarlyRefusal): void {
    const cause: RefusalCause = 'calls-failing';
    this.refuseWith(request, 'busy', retryAfterMs, { cause, calledService });
  }

  private refuseWith(
    request: GatewayRequest,
    reason: RefusalReason,
    retryAfterMs: number,
    detail: Readonly<Record<string, unknown>>,
    mark: Pick<RefusalHead, 'linkFreeInMs'> = {},
  ): void {
    request.done = true;
    this.forecast.discardExpectedAnswer(request);
    this.counters.refused[reason] += 1;
    const { requestId, instance, key, route } = request.head;
    const waitedMs = Math.round(this.ports.runtime.nowMs() - request.arrivedMs);
    const leftMs = Math.round(request.head.remainingMs - waitedMs);
    const status = this.status();
    const fields = {
      requestId,
      reason,
      instance,
      key,
      route,
      waitedMs,
      leftMs,
      ...mark,
      ...status,
      ...detail,
    };
    this.ports.log.failure('request-refused', fields);
    request.reply.refuse({ reason, arrived: false, retryAfterMs, status, ...mark });
  }

  private callFields(
    { nested }: GatewayRequest,
    waitedMs: number,
    cause: RefusalCause | undefined,
  ): Readonly<Record<string, unknown>> {
    if (nested === null) return {};
    const parentLeftMs = Math.round(nested.remainingMs - waitedMs);
    const { callReserve } = this.forecast;
    return { inheritedPriority: nested.priority, parentLeftMs, cause, callReserve };
  }

  /** Returns why a request gets no slot in time. */
  private noSlotReason(): RefusalReason {
    return this.pacing.isLimiting ? 'rate-limited' : 'busy';
  }

  /** Returns the delay in ms after which a retry can expect a slot in time. */
  private retryAfterMs(reason: RefusalReason, { route }: RequestHead, leftMs: number): number {
    const { serviceMs, waitingCount, slots } = this.admission;
    if (reason === 'rate-limited') return Math.round(this.pacing.retryAfterMs(waitingCount));
    if (reason !== 'busy') return DEFAULT_RETRY_AFTER_MS;
    if (this.pacing.awaitsTrial) return Math.round(this.pacing.retryAfterMs(waitingCount));
    const firstMs = Math.max(this.pacing.delayMs(waitingCount), (serviceMs * (waitingCount + 1)) / slots);
    const latestMs = maxLateWaitMs({ remainingMs: leftMs }, 0, this.forecast.workMs(route));
    // Until the first answers after a restart, only the requests in flight show how long the work takes.
    const expectedUseMs = Math.max(serviceMs, this.oldestRunMs());
    const bounds = { firstMs, latestMs, expectedUseMs, slots };
    return Math.round(this.returns.nextDelayMs(bounds, this.ports.runtime.nowMs()));
  }

  private cancel(request: GatewayRequest, cause: CancelCause): void {
    if (request.done) return;
    this.reportCancel(request, cause);
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

  /** Reports that a request ends because nobody waits for it any more. */
  private reportCancel({ head, arrivedMs, startedMs, run }: GatewayRequest, cause: CancelCause): void {
    const nowMs = this.ports.runtime.nowMs();
    const ageMs = Math.round(nowMs - arrivedMs);
    const waitedMs = Math.round((run === null ? nowMs : startedMs) - arrivedMs);
    this.counters.cancelled[run === null ? 'waiting' : 'running'] += 1;
    const { requestId, instance } = head;
    const stalledMs = Math.round(this.ports.stalledMs());
    this.ports.log.failure('request-cancelled', {
      requestId,
      instance,
      cause,
      ageMs,
      waitedMs,
      started: run !== null,
      stalledMs,
    });
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

  private remainingRunsMs(): number[] {
    const nowMs = this.ports.runtime.nowMs();
    return [...this.running].map(({ head, startedMs }) =>
      remainingRunMs(this.forecast.workMs(head.route), nowMs - startedMs),
    );
  }

  /** Returns the time in ms for which the oldest run that is not beyond its deadline has run; 0 if there is none. */
  private oldestRunMs(): number {
    const nowMs = this.ports.runtime.nowMs();
    for (const request of this.running) if (nowMs < deadlineOf(request)) return nowMs - request.startedMs;
    return 0;
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

/**
 * Returns the deadline of a run, in ms of the daemon's clock. An answer that has begun may take longer, which is no measure of
 * what other requests take.
 */
function deadlineOf({ runEntry }: GatewayRequest): number {
  return runEntry?.deadlineMs ?? Infinity;
}

/** Rounds a factor for transmission; more than two decimal places would exceed its precision. */
function roundToHundredths(factor: number): number {
  return Math.round(factor * 100) / 100;
}
