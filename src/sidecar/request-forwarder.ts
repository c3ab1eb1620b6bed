/**
 * Takes a caller's request to a back end: chooses one, passes the request to the daemon beside it, and decides what
 * follows when that brings no answer. A refusal between daemons costs nothing; a second arrival at a back end is
 * taken from the retry allowance, and only for requests that may run again.
 */
import type { BackendInstance } from '../directory/directory-state.js';
import type { Link, LinkRequest } from '../link/link-client.js';
import type {
  AnswerHead,
  AnswerTiming,
  FailureHead,
  RefusalHead,
  RequestHead,
  StatusHead,
} from '../link/link-messages.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import { policyIsOn } from '../policy-switches.js';
import type { EventLog } from '../telemetry/event-log.js';
import type { Latencies } from '../telemetry/latencies.js';
import type { BackendChooser } from './backend-chooser.js';
import type { BackendProber } from './backend-prober.js';
import type { BackendView } from './backend-view.js';
import { QUARANTINE_REASON, type CallerRequest, type CallerSink } from './caller-request.js';
import { noteRefusals, type ForwarderCounters } from './forwarder-counters.js';
import { RequestClock } from './request-clock.js';

/**
 * Pause in ms before an owner or a place is looked for again, when nothing announces a change. It doubles each time,
 * since every look may pass the request over the network, up to the longest.
 */
const LOOK_AGAIN_MS = 25;
const LONGEST_LOOK_PAUSE_MS = 200;

/** Refusals by other daemons after which a request ends as refused. */
const MAX_REFUSALS = 24;

/**
 * Refusals as busy after which a request is not taken to another daemon: each was the least busy of several that were
 * looked at, so the service is full, and every further look costs others' time.
 */
const MAX_BUSY_REFUSALS = 3;

/** Refusals of a quarantined request after which no further back end is asked: some for each version there may be. */
const MAX_QUARANTINE_REFUSALS = 4;

/** Sooner than this no answer to a refused request can differ, in ms. */
const LEAST_RETRY_AFTER_MS = 50;

/** Part of the target latency after which a refused caller is told to come back at the soonest. */
const RETRY_AFTER_SHARE = policyIsOn('retry-hints') ? 0.5 : 0.25;

/** Answers from this status on tell of a failure, which may have come sooner than the work would have ended. */
const FIRST_FAILURE_STATUS = 500;

/**
 * Time in ms before its end at which a request that may still wait beside a back end is taken back, so that its caller
 * is told in time that it was not run; and the part of its time that this may be at most.
 */
const WITHDRAW_LEAD_MS = 25;
const LONGEST_LEAD_SHARE = 0.1;

/** What a forwarder needs of its daemon. */
export interface ForwarderPorts {
  readonly runtime: Runtime;
  readonly log: EventLog;
  readonly chooser: BackendChooser;
  readonly prober: BackendProber;
  readonly view: (instance: string) => BackendView;
  readonly linkTo: (instance: BackendInstance) => Link;
  /** Whether a request may still be sent to a second back end; false once it is known to end them. */
  readonly mayRepeat: (request: CallerRequest) => boolean;
  /** Takes a second arrival from the allowance of the service. */
  readonly takeRepeat: (service: string) => boolean;
  /** Index of the table in force. */
  readonly tableIndex: () => number;
  readonly latencies: Latencies;
}

/** One request on its way. */
export class ForwardedRequest {
  private readonly clock: RequestClock;
  private readonly excluded = new Set<string>();
  /** Back ends that have left the last probes unanswered. */
  private unanswered: ReadonlySet<string> = new Set();
  private current: LinkRequest | null = null;
  private currentInstance: BackendInstance | null = null;
  private cancelPause: CancelTimer | null = null;
  private cancelProbes: CancelTimer | null = null;
  private cancelTimeout: CancelTimer | null = null;
  private arrivals = 0;
  private lastSentMs = 0;
  /** How the time of the answered attempt was spent; null before an answer. */
  private timing: AnswerTiming | null = null;
  private refusals = 0;
  private busyRefusals = 0;
  private quarantineRefusals = 0;
  private nextLookPauseMs = LOOK_AGAIN_MS;
  private streaming = false;
  private done = false;
  /** Whether the present attempt may have reached a back end. */
  private mayRun = false;
  /** Whether any attempt may have run. */
  private mayHaveRun = false;
  /** Whether so little time is left that no further attempt is made. */
  private withdrawn = false;
  private lastReason = 'no back end is known';
  /** When the last refusal said to come back, in ms; null before any did. */
  private toldRetryAfterMs: number | null = null;

  constructor(
    private readonly request: CallerRequest,
    private readonly sink: CallerSink,
    private readonly ports: ForwarderPorts,
    private readonly counters: ForwarderCounters,
  ) {
    this.clock = new RequestClock(request, () => ports.runtime.nowMs());
  }

  /** Starts the first attempt. */
  start(): void {
    const leftMs = this.clock.leftMs;
    if (leftMs <= 0) {
      this.giveUpNotRun('the deadline had passed');
      return;
    }
    const leadMs = Math.min(WITHDRAW_LEAD_MS, leftMs * LONGEST_LEAD_SHARE);
    this.cancelTimeout = this.ports.runtime.after(leftMs - leadMs, () => {
      this.nearlyTimeUp(leadMs);
    });
    this.attempt();
  }

  /** The caller has gone. */
  cancel(): void {
    if (this.done) return;
    this.finish();
    this.counters.cancelled += 1;
    this.log('caller-gone', {});
  }

  /** The table has changed: an attempt that waits for that goes on. */
  tableChanged(): void {
    if (this.done || this.cancelPause === null) return;
    this.cancelPause();
    this.cancelPause = null;
    this.attempt();
  }

  private attempt(): void {
    if (this.request.key !== null || !policyIsOn('probed-choice')) {
      this.attemptAt(this.choose());
      return;
    }
    this.attemptSampled();
  }

  /** Looks at a few back ends of this zone, and at others only when none of these has room. */
  private attemptSampled(): void {
    const { chooser, prober } = this.ports;
    const { service } = this.request;
    const near = chooser.nearCandidates(service, this.excluded);
    if (policyIsOn('known-first') && chooser.knowsRoom(near)) {
      prober.refresh(near);
      this.attemptAt(this.choose(near));
      return;
    }
    this.learn(near, () => {
      if (chooser.hasRoom(near)) {
        this.attemptAt(this.choose(near));
        return;
      }
      const far = chooser.farCandidates(service, this.excluded);
      const all = [...near, ...far];
      this.learn(chooser.knowsRoom(far) ? [] : far, () => {
        this.attemptAt(this.choose(all));
      });
    });
  }

  /** Asks back ends whose state is not known. A request that was refused before does not wait for that once more. */
  private learn(instances: readonly BackendInstance[], then: () => void): void {
    if (policyIsOn('known-first') && this.refusals > 0) {
      this.ports.prober.refresh(instances);
      then();
      return;
    }
    let answered = false;
    const cancel = this.ports.prober.probe(instances, (unanswered) => {
      answered = true;
      this.cancelProbes = null;
      this.unanswered = unanswered;
      then();
    });
    if (!answered) this.cancelProbes = cancel;
  }

  private attemptAt(instance: BackendInstance | null): void {
    if (instance === null) {
      this.lookAgain();
      return;
    }
    const link = this.ports.linkTo(instance);
    if (link.unreachable) {
      this.lastReason = 'the daemon beside the back end cannot be reached';
      this.excluded.add(instance.id);
      this.lookAgain();
      return;
    }
    this.send(instance, link);
  }

  private choose(candidates: readonly BackendInstance[] | null = null): BackendInstance | null {
    const { service, key, route } = this.request;
    const { chooser } = this.ports;
    const { excluded, unanswered } = this;
    const { answerBytes, workMs } = route;
    const choice = { service, key, excluded, unanswered, answerBytes, workMs, candidates };
    const chosen = chooser.choose(choice);
    if (key === null || chosen === null || !this.excluded.has(chosen.id)) return chosen;
    const target = chooser.targetOf(service, key);
    return target === null || this.excluded.has(target.id) ? null : target;
  }

  /** Nothing can be tried now: waits for a change of the table, or a moment, and tries anew. */
  private lookAgain(): void {
    const lookingTimeMs = this.clock.lookingTimeMs;
    if (lookingTimeMs <= 0 || this.refusals >= MAX_REFUSALS) {
      this.endWithoutPlace();
      return;
    }
    this.excluded.clear();
    const pauseMs = Math.min(this.nextLookPauseMs, lookingTimeMs + 1);
    this.nextLookPauseMs = Math.min(this.nextLookPauseMs * 2, LONGEST_LOOK_PAUSE_MS);
    this.cancelPause = this.ports.runtime.after(pauseMs, () => {
      this.cancelPause = null;
      this.attempt();
    });
  }

  private send(instance: BackendInstance, link: Link): void {
    const view = this.ports.view(instance.id);
    this.counters.attempts += 1;
    this.currentInstance = instance;
    this.mayRun = true;
    view.noteSent();
    const { requestId, method, path, headers, body, key, route, spentMs } = this.request;
    this.lastSentMs = this.ports.runtime.nowMs();
    const head: RequestHead = {
      requestId,
      method,
      path,
      headers,
      instance: instance.id,
      key,
      route: route.name,
      priority: route.definition.priority,
      repeatable: route.definition.kind !== 'non-idempotent',
      remainingMs: this.clock.leftMs,
      patienceMs: Math.max(0, this.clock.patienceMs),
      targetLeftMs: this.clock.targetLeftMs,
      spentMs,
    };
    this.current = link.request(head, body, {
      onRefusal: (refusal) => {
        this.refused(instance, view, refusal);
      },
      onFailure: (failure) => {
        this.failed(instance, view, failure);
      },
      onAnswer: (answer, chunk) => {
        this.answered(view, answer, chunk);
      },
      onBody: (chunk) => {
        if (!this.done) this.sink.body(chunk);
      },
      onEnd: () => {
        this.ended(view);
      },
      onLost: (sent) => {
        this.lost(instance, view, sent);
      },
    });
  }

  // ---- outcomes of an attempt

  private answered(view: BackendView, head: AnswerHead, body: Buffer): void {
    this.noteStatus(view, head.status);
    view.noteSuccess();
    this.timing = head.timing;
    if (this.done) return;
    if (head.moreFollows) {
      this.streaming = true;
      this.sink.answer(head, body);
      return;
    }
    this.attemptEnded(view);
    this.request.route.noteAnswer(body.length);
    if (policyIsOn('told-pace')) this.noteWork(head);
    this.complete();
    this.sink.answer(head, body);
  }

  private noteWork({ statusCode, timing, status }: AnswerHead): void {
    if (statusCode >= FIRST_FAILURE_STATUS) return;
    this.request.route.noteWork(timing.backendMs / (status?.pace ?? 1));
  }

  private ended(view: BackendView): void {
    this.attemptEnded(view);
    if (this.done) return;
    this.complete();
    this.sink.end();
  }

  private refused(instance: BackendInstance, view: BackendView, refusal: RefusalHead): void {
    this.noteStatus(view, refusal.status);
    this.attemptEnded(view);
    if (this.done) return;
    this.mayRun = false;
    this.refusals += 1;
    if (refusal.arrived) this.arrivals += 1;
    this.lastReason = `refused: ${refusal.reason}`;
    this.toldRetryAfterMs = refusal.retryAfterMs;
    if (refusal.reason === 'busy') this.busyRefusals += 1;
    if (refusal.reason === 'unreachable') view.noteFailure(this.ports.runtime.nowMs());
    this.excluded.add(instance.id);
    this.retryAfterRefusal(refusal);
  }

  private retryAfterRefusal(refusal: RefusalHead): void {
    const outOfTime = this.refusals >= MAX_REFUSALS || this.withdrawn;
    if (refusal.reason === 'quarantined') {
      this.afterQuarantine(outOfTime);
      return;
    }
    if (outOfTime || this.isFull() || (refusal.arrived && !this.mayArriveAgain())) {
      this.endWithoutPlace();
      return;
    }
    if (this.choose() !== null) this.attempt();
    else if (refusal.reason === 'busy') this.endWithoutPlace();
    else this.lookAgain();
  }

  /** Back ends of another version of the software may take it; where there are none its end is final. */
  private afterQuarantine(outOfTime: boolean): void {
    this.quarantineRefusals += 1;
    const mayLookOn = !outOfTime && this.quarantineRefusals < MAX_QUARANTINE_REFUSALS;
    if (mayLookOn && this.choose() !== null) this.attempt();
    else if (this.mayHaveRun) this.giveUpUnknown(this.lastReason, false);
    else this.giveUpQuarantined();
  }

  /** Whether so many daemons were busy that the service is taken to have no room. */
  private isFull(): boolean {
    return policyIsOn('bounded-refusals') && this.busyRefusals >= MAX_BUSY_REFUSALS;
  }

  private failed(instance: BackendInstance, view: BackendView, failure: FailureHead): void {
    this.noteStatus(view, failure.status);
    this.attemptEnded(view);
    if (failure.reason !== 'deadline') view.noteFailure(this.ports.runtime.nowMs());
    this.afterPossibleRun(
      instance,
      `the back end's answer: ${failure.reason}`,
      failure.reason === 'deadline',
    );
  }

  private lost(instance: BackendInstance, view: BackendView, sent: boolean): void {
    this.attemptEnded(view);
    view.noteFailure(this.ports.runtime.nowMs());
    if (sent || this.streaming) {
      this.afterPossibleRun(instance, 'the connection to the daemon beside the back end was lost', false);
      return;
    }
    if (this.done) return;
    this.mayRun = false;
    this.refusals += 1;
    this.lastReason = 'the daemon beside the back end cannot be reached';
    this.excluded.add(instance.id);
    if (this.withdrawn) this.endWithoutPlace();
    else if (this.choose() === null) this.lookAgain();
    else this.attempt();
  }

  private afterPossibleRun(instance: BackendInstance, reason: string, timedOut: boolean): void {
    if (this.done) return;
    this.mayHaveRun = true;
    this.arrivals += 1;
    this.lastReason = reason;
    if (this.streaming) {
      this.finish();
      this.log('answer-broken-off', { instance: instance.id, reason });
      this.sink.breakOff();
      return;
    }
    const repeatable = this.request.route.definition.kind !== 'non-idempotent';
    // A repeat of what is known to end back ends would end the next one.
    const mayRepeat = repeatable && this.ports.mayRepeat(this.request);
    if (timedOut || !mayRepeat || this.withdrawn || !this.mayArriveAgain()) {
      this.giveUpUnknown(reason, timedOut);
      return;
    }
    this.counters.repeats += 1;
    this.excluded.add(instance.id);
    this.log('request-repeated', { instance: instance.id, reason, arrivals: this.arrivals });
    if (this.choose() === null) this.lookAgain();
    else this.attempt();
  }

  private mayArriveAgain(): boolean {
    const { route, service } = this.request;
    return this.arrivals < route.definition.maxAttempts && this.ports.takeRepeat(service);
  }

  // ---- ends

  private nearlyTimeUp(leadMs: number): void {
    if (this.done) return;
    this.withdrawn = true;
    this.cancelTimeout = this.ports.runtime.after(leadMs, () => {
      this.timeUp();
    });
    if (this.current === null) this.endWithoutPlace();
    else this.current.withdraw();
  }

  private timeUp(): void {
    if (this.done) return;
    if (this.streaming) {
      this.finish();
      this.sink.breakOff();
      return;
    }
    if (this.mayRun || this.mayHaveRun) this.giveUpUnknown('the time was up', true);
    else this.giveUpNotRun('the time was up');
  }

  private endWithoutPlace(): void {
    if (this.mayHaveRun) this.giveUpUnknown(this.lastReason, false);
    else this.giveUpNotRun(this.lastReason);
  }

  private giveUpNotRun(reason: string): void {
    this.finish();
    this.counters.notRun += 1;
    this.countEnd(false);
    const usualMs = this.request.route.definition.targetLatencyMs * RETRY_AFTER_SHARE;
    const toldMs = policyIsOn('retry-hints') ? (this.toldRetryAfterMs ?? 0) : 0;
    const retryAfterMs = Math.max(LEAST_RETRY_AFTER_MS, usualMs, toldMs);
    this.log('request-not-run', { reason, refusals: this.refusals });
    this.sink.giveUp({ kind: 'not-run', reason, retryAfterMs });
  }

  private giveUpQuarantined(): void {
    this.finish();
    this.counters.quarantined += 1;
    this.countEnd(false);
    this.log('request-quarantined', { refusals: this.refusals });
    this.sink.giveUp({ kind: 'quarantined', reason: QUARANTINE_REASON });
  }

  private giveUpUnknown(reason: string, timedOut: boolean): void {
    this.finish();
    this.counters.unknown += 1;
    this.countEnd(false);
    this.log('request-unknown', { reason, arrivals: this.arrivals, instance: this.currentInstance?.id });
    this.sink.giveUp({ kind: 'unknown', reason, timedOut });
  }

  private complete(): void {
    this.finish();
    this.counters.answered += 1;
    this.countEnd(true);
    const { service, arrivedMs, spentMs } = this.request;
    const { log, latencies, runtime } = this.ports;
    latencies.observe('request', service, runtime.nowMs() - arrivedMs);
    latencies.observe('choice', service, this.lastSentMs - arrivedMs);
    const late = this.clock.targetLeftMs < spentMs;
    const sentMs = Math.round(this.lastSentMs - arrivedMs);
    const instance = this.currentInstance?.id;
    const fields = this.fields({ instance, spentMs, late, sentMs, ...this.timing });
    // A late answer is out of the ordinary, so its line is kept while there is room for any.
    if (late) log.failure('request-answered', fields);
    else log.routine('request-answered', fields);
  }

  private countEnd(answered: boolean): void {
    noteRefusals(this.counters, this.refusals);
    if (this.request.spentMs === 0) return;
    this.counters.returned += 1;
    if (answered) this.counters.returnedAnswered += 1;
  }

  /** The present attempt, if any, is taken back. */
  private finish(): void {
    this.done = true;
    this.cancelTimeout?.();
    this.cancelPause?.();
    this.cancelPause = null;
    this.cancelProbes?.();
    this.cancelProbes = null;
    if (this.current === null || this.currentInstance === null) return;
    this.current.cancel();
    this.attemptEnded(this.ports.view(this.currentInstance.id));
  }

  private attemptEnded(view: BackendView): void {
    if (this.current === null) return;
    this.current = null;
    view.noteEnded();
  }

  private noteStatus(view: BackendView, status: StatusHead | null): void {
    if (status !== null) view.noteStatus(status, this.ports.runtime.nowMs());
  }

  private log(event: string, fields: Readonly<Record<string, unknown>>): void {
    this.ports.log.failure(event, this.fields(fields));
  }

  private fields(fields: Readonly<Record<string, unknown>>): Readonly<Record<string, unknown>> {
    const { requestId, route, service, key, arrivedMs } = this.request;
    const elapsedMs = Math.round(this.ports.runtime.nowMs() - arrivedMs);
    return {
      requestId,
      route: route.name,
      service,
      key,
      elapsedMs,
      tableIndex: this.ports.tableIndex(),
      ...fields,
    };
  }
}
