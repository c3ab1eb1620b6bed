/**
 * The only way to the back end beside this daemon. It decides what may be sent there: the right life of the back end,
 * within its places, while it is not leaving, and with keys that it holds.
 */
import type {
  AnswerTiming,
  FailureHead,
  RefusalReason,
  RequestHead,
  StatusHead,
} from '../link/link-messages.js';
import type { LinkPacer } from '../link/link-pacer.js';
import type { AcceptedRequest, RequestReply } from '../link/link-server.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import { policyIsOn } from '../policy-switches.js';
import type { IdentifiedRequest } from '../quarantine/request-fingerprint.js';
import type { EventLog } from '../telemetry/event-log.js';
import type { Latencies } from '../telemetry/latencies.js';
import { Admission, type Applicant } from './admission.js';
import type { BackendClient, PreparedRun } from './backend-client.js';
import { BackendTrials } from './backend-trials.js';
import type { ColdStartLimit } from './cold-start-limit.js';
import type { CrashGuard } from './crash-guard.js';
import type { AnsweredRun, RunOutcome } from './backend-run.js';
import { gatewayCounters, slotTimeUse } from './gateway-counters.js';
import { headerValue } from './header-dialect.js';
import { LateOutlook, type LateWaitOutcome } from './late-outlook.js';
import {
  isTooLateToStart,
  lateQueueOrder,
  maxLateWaitMs,
  queueOrder,
  maxSlotWaitMs,
  slackTimeMs,
} from './place-policy.js';
import { RunReports } from './run-reports.js';
import { SuspectRuns, type Suspect } from './suspect-runs.js';
import { WorkForecast } from './work-forecast.js';

/** Pause between looks at waiting requests, in ms. */
const STEP_MS = 20;

/** Longest time in ms after which to come back when the queue was too long. */
const LONGEST_RETRY_AFTER_MS = 600;

/** When to come back after a refusal for another reason, in ms; keys and daemons are back by then as a rule. */
const RETRY_AFTER_CHANGE_MS = 350;

/** Longest time in ms for which a request may wait to run alone; most that are cleared are so within a run of theirs. */
const LONGEST_SUSPECT_WAIT_MS = 1_000;

/** What the gateway needs to know of its back end. */
export interface GatewayPorts {
  readonly runtime: Runtime;
  readonly log: EventLog;
  readonly service: string;
  readonly latencies: Latencies;
  /** Paces large answers; null where the network link is fast. */
  readonly pacer: LinkPacer | null;
  readonly backend: BackendClient;
  /** Bounds what is sent while the back end is cold. */
  readonly coldLimit: ColdStartLimit;
  readonly guard: CrashGuard;
  /** Id of the present life; null until it has told about itself. */
  readonly instance: () => string | null;
  /** Whether this daemon was started a moment ago and its back end may not have told about itself yet. */
  readonly awaitsBackend: () => boolean;
  /** When requests stop because the back end leaves or the daemon stops, in ms; infinite while they do not. */
  readonly closesAtMs: () => number;
  /** Whether new requests should rather go elsewhere. */
  readonly leaving: () => boolean;
  /** Whether the back end holds a key now. */
  readonly holdsKey: (key: number) => boolean;
  /** Whether a key belongs here, or will in a moment. */
  readonly ownsKey: (key: number) => boolean;
  /** Slot time was used for a key. */
  readonly onWork: (key: number | null, ms: number) => void;
}

/** A request inside the gateway. */
interface Visit {
  readonly head: RequestHead;
  readonly body: Buffer;
  /** What tells it from other requests. */
  readonly identity: IdentifiedRequest;
  readonly reply: RequestReply;
  readonly arrivedMs: number;
  readonly expiresMs: number;
  applicant: Applicant | null;
  /** Set while it is treated as a suspect. */
  suspect: Suspect | null;
  run: PreparedRun | null;
  /** Whether nothing else has run beside it. */
  alone: boolean;
  startedMs: number;
  /** Slot time in ms that was counted as asked for. */
  offeredMs: number;
  /** Whether it waits now although it will be late. */
  late: boolean;
  done: boolean;
}

/** The gateway to one back end. */
export class BackendGateway {
  readonly counters = gatewayCounters();
  readonly admission: Admission;
  readonly forecast: WorkForecast<Visit>;
  readonly lateOutlook = new LateOutlook();
  readonly suspects: SuspectRuns;
  private readonly reports: RunReports;
  /** Requests that wait for the back end to tell about itself, or for keys. */
  private readonly waiting = new Set<Visit>();
  private readonly running = new Set<Visit>();
  private readonly trials = new BackendTrials();
  private stopped = false;
  private cancelStep: CancelTimer | null = null;

  constructor(private readonly ports: GatewayPorts) {
    const { coldLimit, runtime, pacer, guard } = ports;
    this.reports = new RunReports(guard, runtime);
    this.forecast = new WorkForecast({
      nowMs: () => runtime.nowMs(),
      serviceMs: () => this.admission.serviceMs,
      slots: () => this.admission.slots,
      pacer,
    });
    this.admission = new Admission(1, {
      delayMs: (ahead) => coldLimit.delayMs(ahead, runtime.steadyMs()),
      noteStarted: () => {
        coldLimit.noteSent(runtime.steadyMs());
      },
      pace: () => this.forecast.paceNow,
    });
    this.suspects = new SuspectRuns({
      runtime,
      permits: guard.permits,
      isFree: () => this.admission.isIdle,
      pause: () => {
        this.admission.pause();
      },
      resume: () => {
        this.admission.resume();
      },
    });
  }

  /** Requests that run at the back end. */
  get runningCount(): number {
    return this.running.size;
  }

  /** The back end says how many requests it runs at once. */
  setSlots(slots: number): void {
    this.admission.resize(slots);
  }

  /** How busy the back end is; null while nothing is known of it. */
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
      accepting: !this.ports.leaving() && !this.suspects.isolating,
      sendWaitMs: Math.round(this.forecast.sendWaitMs),
      coldStart: this.ports.coldLimit.outlook(this.ports.runtime.steadyMs()),
      pace: rounded(pace.now),
      meanPace: rounded(pace.mean),
    };
  }

  /** Takes a request of another daemon or of this one. */
  take(head: RequestHead, body: Buffer, reply: RequestReply): AcceptedRequest {
    const nowMs = this.ports.runtime.nowMs();
    const visit: Visit = {
      head,
      body,
      identity: identityOf(head, body),
      reply,
      arrivedMs: nowMs,
      expiresMs: nowMs + this.changeWaitMs(head),
      applicant: null,
      suspect: null,
      run: null,
      alone: false,
      startedMs: 0,
      offeredMs: 0,
      late: false,
      done: false,
    };
    this.counters.requests += 1;
    this.consider(visit);
    return {
      cancel: () => {
        this.cancel(visit);
      },
      withdraw: () => {
        if (visit.run === null) this.withdraw(visit);
      },
    };
  }

  /** Time in ms for which a request may wait for keys, or for the back end to tell about itself. */
  private changeWaitMs(head: RequestHead): number {
    const claim = this.forecast.claimOf(head, null);
    const meanMs = this.forecast.workMs(head.route);
    const inTimeMs = Math.max(head.patienceMs, slackTimeMs(claim, meanMs));
    // A first try that is refused comes back; one that came back has nothing to lose by waiting.
    const hasComeBack = head.spentMs > 0 && policyIsOn('key-patience');
    const waitMs = hasComeBack ? Math.max(inTimeMs, maxLateWaitMs(claim, 0, meanMs)) : inTimeMs;
    return Math.min(Math.max(0, head.remainingMs - meanMs), waitMs);
  }

  /** Another life of the back end has begun; what broke off at the one before says nothing of it. */
  startLife(): void {
    this.trials.startLife();
  }

  /** Something has changed that requests may wait for. */
  reconsider(): void {
    for (const visit of [...this.waiting]) {
      this.waiting.delete(visit);
      this.consider(visit);
    }
    for (const suspect of this.suspects.takeWaiting()) suspect.reconsider();
    this.suspects.step();
  }

  /** Stops everything; what runs is broken off, and its callers' daemons are told so. */
  stop(): void {
    this.stopped = true;
    this.cancelStep?.();
    for (const visit of [...this.waiting]) this.refuse(visit, 'leaving');
    for (const suspect of this.suspects.takeWaiting()) suspect.refuse();
    this.reports.flush();
    this.admission.expireAll();
    for (const { reply } of this.running) {
      reply.fail({ reason: 'broken', detail: 'the daemon stops', status: null });
    }
    this.ports.backend.destroy();
  }

  private consider(visit: Visit): void {
    const { ports } = this;
    const { instance, key } = visit.head;
    const nowMs = ports.runtime.nowMs();
    const present = ports.instance();
    if (nowMs >= ports.closesAtMs()) this.refuse(visit, 'leaving');
    else if (present === null && ports.awaitsBackend()) this.wait(visit, 'unknown-instance');
    else if (present !== instance) this.refuse(visit, 'unknown-instance');
    else if (key !== null && !ports.holdsKey(key)) this.considerKey(visit, key);
    else this.considerRecord(visit, nowMs);
  }

  /** Requests under which back ends have ended run alone, or not at all. */
  private considerRecord(visit: Visit, nowMs: number): void {
    const { stage, fingerprint } = this.ports.guard.judge(visit.identity);
    if (stage === 'quarantined') this.refuse(visit, 'quarantined');
    else if (stage === 'suspect' && fingerprint !== null) this.addSuspect(visit, fingerprint);
    else if (!this.trials.admits(nowMs)) this.refuse(visit, 'unreachable');
    else this.apply(visit, nowMs);
  }

  private addSuspect(visit: Visit, fingerprint: string): void {
    const { head, arrivedMs } = visit;
    const spareTimeMs = Math.max(0, head.remainingMs - this.forecast.workMs(head.route));
    const suspect: Suspect = {
      fingerprint,
      expiresMs: arrivedMs + Math.min(LONGEST_SUSPECT_WAIT_MS, spareTimeMs),
      begin: () => this.beginAlone(visit),
      refuse: () => {
        this.refuse(visit, this.stopped ? 'leaving' : 'busy');
      },
      reconsider: () => {
        visit.suspect = null;
        this.consider(visit);
      },
    };
    visit.suspect = suspect;
    this.suspects.add(suspect);
    this.stepSoon();
  }

  private beginAlone(visit: Visit): boolean {
    this.admission.beginPast({
      priority: visit.head.priority,
      order: 0,
      reserve: 0,
      expiresMs: Infinity,
      start: () => {
        this.start(visit);
      },
      expire: () => undefined,
    });
    return visit.run !== null;
  }

  private considerKey(visit: Visit, key: number): void {
    if (this.ports.ownsKey(key)) this.wait(visit, 'not-owner');
    else this.refuse(visit, 'not-owner');
  }

  private wait(visit: Visit, reason: RefusalReason): void {
    if (this.ports.runtime.nowMs() >= visit.expiresMs) this.refuse(visit, reason);
    else {
      this.waiting.add(visit);
      this.stepSoon();
    }
  }

  private apply(visit: Visit, nowMs: number): void {
    const { head, arrivedMs } = visit;
    const { forecast } = this;
    const meanMs = forecast.workMs(head.route);
    if (forecast.isTooLateForLink(head, visit)) {
      this.refuse(visit, 'busy');
      return;
    }
    const claim = forecast.claimOf(head, visit);
    forecast.expectAnswer(head.route, visit);
    this.countOffered(visit, meanMs);
    let waits = false;
    const applicant: Applicant = {
      priority: forecast.rankOf(head),
      order: queueOrder(claim, arrivedMs, meanMs),
      reserve: slackTimeMs(claim, meanMs) > 0 ? forecast.reserveOf(head) : forecast.lateReserveOf(head),
      expiresMs: nowMs + maxSlotWaitMs(claim, nowMs - arrivedMs, meanMs),
      start: () => {
        this.start(visit);
      },
      expire: () => {
        // A caller that is told at once comes back in time; one that has waited, or come back, gains no more by that.
        if (waits || head.spentMs > 0) this.applyLate(visit);
        else this.refuse(visit, 'busy');
      },
    };
    visit.applicant = applicant;
    this.admission.apply(applicant, nowMs);
    waits = true;
    if (this.admission.waitingCount > 0) this.stepSoon();
  }

  /** Goes on waiting, behind all that can be in time, as long as such waiting brings answers. */
  private applyLate(visit: Visit): void {
    const { head, arrivedMs } = visit;
    const nowMs = this.ports.runtime.nowMs();
    const { forecast } = this;
    const claim = forecast.claimOf(head, visit);
    const waitMs = maxLateWaitMs(claim, nowMs - arrivedMs, forecast.workMs(head.route));
    const missesLink = forecast.hasMissedLink(head, visit, nowMs - arrivedMs);
    const possible = policyIsOn('late-waiting') && !this.stopped && waitMs > 0 && !missesLink;
    if (!possible || !this.lateOutlook.mayWait(waitMs, this.admission.slots, nowMs)) {
      this.refuse(visit, 'busy');
      return;
    }
    this.lateOutlook.begin();
    visit.late = true;
    const applicant: Applicant = {
      priority: head.priority,
      order: lateQueueOrder(claim, arrivedMs),
      reserve: forecast.lateReserveOf(head),
      expiresMs: nowMs + waitMs,
      start: () => {
        this.endLateWait(visit, 'place');
        this.start(visit);
      },
      expire: () => {
        this.endLateWait(visit, 'in-vain');
        this.refuse(visit, 'busy');
      },
    };
    visit.applicant = applicant;
    this.admission.apply(applicant, nowMs);
    if (this.admission.waitingCount > 0) this.stepSoon();
  }

  private endLateWait(visit: Visit, outcome: LateWaitOutcome): void {
    if (!visit.late) return;
    visit.late = false;
    this.lateOutlook.end(outcome, this.ports.runtime.nowMs());
  }

  /** Load counts when it is asked for, so that a back end that is asked for too much does not look just full. */
  private countOffered(visit: Visit, meanMs: number): void {
    if (!policyIsOn('offered-load') || visit.offeredMs > 0) return;
    visit.offeredMs = meanMs;
    this.ports.onWork(visit.head.key, meanMs);
  }

  /** What held when the request came must hold still when it leaves. */
  private start(visit: Visit): void {
    const { ports } = this;
    const { head } = visit;
    const nowMs = ports.runtime.nowMs();
    const stale = nowMs >= ports.closesAtMs() || ports.instance() !== head.instance;
    const keyLost = head.key !== null && !ports.holdsKey(head.key);
    const waitedMs = nowMs - visit.arrivedMs;
    const leftMs = head.remainingMs - waitedMs;
    visit.startedMs = nowMs;
    if (stale || keyLost || this.isTooLate(visit, leftMs, waitedMs)) {
      this.admission.leave(this.admission.serviceMs);
      if (keyLost && !stale) this.considerKey(visit, head.key ?? 0);
      else this.refuse(visit, stale ? 'leaving' : 'busy');
      return;
    }
    if (this.isHeldByRecord(visit)) {
      this.admission.leave(this.admission.serviceMs);
      this.considerRecord(visit, nowMs);
      return;
    }
    ports.latencies.observe('waiting', ports.service, nowMs - visit.arrivedMs);
    visit.alone = this.running.size === 0;
    for (const other of this.running) other.alone = false;
    this.running.add(visit);
    this.counters.runs += 1;
    visit.run = ports.backend.prepare(visit.head, visit.body, leftMs, {
      status: () => this.status(),
      timing: () => this.timingOf(visit),
      reply: this.replyOf(visit),
      onDone: (outcome) => {
        this.finished(visit, outcome);
      },
    });
    visit.run.start();
  }

  /** Whether back ends have ended under it while it waited for a place, so that it may not begin beside others. */
  private isHeldByRecord({ identity, suspect }: Visit): boolean {
    const { stage } = this.ports.guard.judge(identity);
    return stage === 'quarantined' || (stage === 'suspect' && suspect === null);
  }

  private replyOf({ reply }: Visit): RequestReply {
    const fail = (failure: FailureHead): void => {
      this.reports.fail(failure, (head) => {
        reply.fail(head);
      });
    };
    return { ...reply, fail };
  }

  /** Whether the work, or its answer on the network link, would come too late to be worth its place. */
  private isTooLate(visit: Visit, leftMs: number, waitedMs: number): boolean {
    const { head } = visit;
    const workLeftMs = leftMs - this.forecast.sendMs(head.route, visit);
    const tooLate = isTooLateToStart(workLeftMs, this.forecast.workMs(head.route));
    return tooLate || this.forecast.hasMissedLink(head, visit, waitedMs);
  }

  private timingOf({ arrivedMs, startedMs }: Visit): AnswerTiming {
    const backendMs = Math.round(this.ports.runtime.nowMs() - startedMs);
    return { waitedMs: Math.round(startedMs - arrivedMs), backendMs };
  }

  private finished(visit: Visit, outcome: RunOutcome): void {
    if (visit.done) return;
    visit.done = true;
    this.forecast.forgetAnswer(visit);
    this.running.delete(visit);
    const usedMs = this.ports.runtime.nowMs() - visit.startedMs;
    if (outcome.kind === 'answered') this.learn(visit.head.route, usedMs, outcome);
    this.ports.latencies.observe('backend', this.ports.service, usedMs);
    this.ports.onWork(visit.head.key, usedMs - visit.offeredMs);
    this.count(visit, outcome, usedMs);
    this.admission.leave(outcome.kind === 'answered' ? usedMs : Math.max(usedMs, this.admission.serviceMs));
    const { suspect } = visit;
    if (suspect === null) return;
    // Another daemon may try it next only when it is known whether this one has lost its back end.
    this.reports.whenKnown(outcome, () => {
      this.suspects.ended(suspect);
    });
  }

  private learn(route: string, usedMs: number, { bytes, pace }: AnsweredRun): void {
    const { forecast } = this;
    const unreadableBefore = forecast.unreadableFigures;
    forecast.learn({ route, usedMs, bytes, pace });
    // One line is enough: the counter tells how many there were.
    const isFirst = unreadableBefore === 0 && forecast.unreadableFigures > 0;
    if (isFirst) this.ports.log.event('figure-unreadable', { figure: 'pace' });
  }

  private count(visit: Visit, outcome: RunOutcome, usedMs: number): void {
    this.counters.slotMs[slotTimeUse(outcome)] += usedMs;
    if (outcome.kind === 'answered') this.counters.answered += 1;
    if (outcome.kind === 'declined') this.counters.refused.declined += 1;
    if (outcome.kind === 'broken') this.counters.broken += 1;
    this.trials.noteRun(outcome.kind === 'broken');
    const { requestId, instance, key } = visit.head;
    const { identity, alone } = visit;
    const fingerprint = this.reports.report({ requestId, identity, alone, usedMs }, outcome);
    if (outcome.kind === 'answered') return;
    const fields = { requestId, instance, key, outcome, usedMs: Math.round(usedMs), fingerprint };
    this.ports.log.failure('run-ended', fields);
  }

  private refuse(visit: Visit, reason: RefusalReason): void {
    if (visit.done) return;
    visit.done = true;
    this.forecast.forgetAnswer(visit);
    this.counters.refused[reason] += 1;
    const { requestId, instance, key, route } = visit.head;
    const waitedMs = Math.round(this.ports.runtime.nowMs() - visit.arrivedMs);
    const leftMs = Math.round(visit.head.remainingMs - waitedMs);
    const status = this.status();
    const fields = { requestId, reason, instance, key, route, waitedMs, leftMs };
    this.ports.log.failure('request-refused', { ...fields, ...status });
    // Work that finds no place is load of its key as well.
    if (reason === 'busy' && visit.offeredMs === 0) this.ports.onWork(key, this.admission.serviceMs);
    visit.reply.refuse({ reason, arrived: false, retryAfterMs: this.retryAfterMs(reason), status });
  }

  /** When a caller that comes back would find a place in time, in ms. */
  private retryAfterMs(reason: RefusalReason): number {
    if (reason !== 'busy') return RETRY_AFTER_CHANGE_MS;
    const { serviceMs, waitingCount, slots } = this.admission;
    const coldMs = this.ports.coldLimit.delayMs(waitingCount, this.ports.runtime.steadyMs());
    const queueMs = Math.max(coldMs, (serviceMs * (waitingCount + 1)) / slots);
    return Math.round(Math.min(LONGEST_RETRY_AFTER_MS, queueMs));
  }

  private cancel(visit: Visit): void {
    if (visit.done) return;
    this.forgetWaiting(visit);
    if (visit.applicant !== null) this.admission.withdraw(visit.applicant);
    this.endLateWait(visit, 'withdrawn');
    const { run } = visit;
    if (run === null) {
      this.forecast.forgetAnswer(visit);
      visit.done = true;
      return;
    }
    run.cancel();
    this.finished(visit, { kind: 'cancelled' });
  }

  /** The caller's daemon has no more use for it, if it has not begun, and wants to know. */
  private withdraw(visit: Visit): void {
    this.forgetWaiting(visit);
    if (visit.applicant !== null) this.admission.withdraw(visit.applicant);
    this.endLateWait(visit, 'withdrawn');
    this.refuse(visit, 'cancelled');
  }

  private forgetWaiting(visit: Visit): void {
    this.waiting.delete(visit);
    if (visit.suspect !== null && visit.run === null) this.suspects.remove(visit.suspect);
  }

  private oldestRunMs(): number {
    const first = this.running.values().next();
    return first.done === true ? 0 : this.ports.runtime.nowMs() - first.value.startedMs;
  }

  /** Looks at what waits as long as anything does. */
  private stepSoon(): void {
    this.cancelStep ??= this.ports.runtime.after(STEP_MS, () => {
      this.cancelStep = null;
      this.step();
      if (this.waiting.size > 0 || this.admission.waitingCount > 0 || this.suspects.active) this.stepSoon();
    });
  }

  private step(): void {
    const nowMs = this.ports.runtime.nowMs();
    this.admission.fill();
    this.admission.expireBefore(nowMs);
    this.suspects.step();
    for (const visit of [...this.waiting]) {
      if (nowMs < visit.expiresMs && nowMs < this.ports.closesAtMs()) continue;
      this.waiting.delete(visit);
      this.consider(visit);
    }
  }
}

function identityOf({ method, path, headers, key }: RequestHead, body: Buffer): IdentifiedRequest {
  return { method, host: headerValue(headers, 'host'), path, headers, key, body };
}

/** A factor as it travels: two digits say as much as is known. */
function rounded(factor: number): number {
  return Math.round(factor * 100) / 100;
}
