/**
 * Forwards a caller's request: selects a back end, sends the request to its sidecar, and decides whether to make
 * another attempt when there is no answer. Attempts that a sidecar refused are not charged to the retry
 * allowance. A further attempt after one that reached a back end is charged and, if that one may have run, is made only
 * for requests that are safe to run again.
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
import type { EventFields, EventLog } from '../telemetry/event-log.js';
import type { Latencies } from '../telemetry/latencies.js';
import { AnswerAssembly } from './answer-assembly.js';
import { MIN_WINDOW_BYTES, type AnswerWindow, type AnswerWindows } from './answer-windows.js';
import type { BackendChooser } from './backend-chooser.js';
import type { BackendProber } from './backend-prober.js';
import type { BackendView } from './backend-view.js';
import type { StatedLeaves } from './stated-leaves.js';
import { QUARANTINE_REASON, type CallerRequest, type CallerSink } from './caller-request.js';
import { countRefusals, type ForwarderCounters } from './forwarder-counters.js';
import { nestedHeadOf, type EndedCall } from './nested-calls.js';
import { RequestClock } from './request-clock.js';

/**
 * Initial and maximum pause in ms before the next selection when no back end can be used and no table change arrives.
 * The pause doubles each time, because each selection may send the request over the network again.
 */
const INITIAL_RESELECTION_PAUSE_MS = 25;
const MAX_RESELECTION_PAUSE_MS = 200;

/** Refusals by sidecars after which the request ends without having run. */
const MAX_REFUSALS = 24;

/**
 * Busy refusals after which no further sidecar is tried. Each of them was the least busy of several candidates, so the
 * service is considered full, and further attempts would delay other requests.
 */
const MAX_BUSY_REFUSALS = 3;

/**
 * Refusals up to which one because of a network link does not count as busy while another link is known to be idle. By
 * then, what is known of the links has proved wrong twice as often as it takes for a full service.
 */
const MAX_REFUSALS_WITH_IDLE_LINK = 6;

/**
 * Refusals because of a request limit after which no further sidecar is tried. They say less about the others than busy
 * refusals do.
 */
const MAX_RATE_LIMITED_REFUSALS = 6;

/**
 * Quarantine refusals after which no further back end is tried; allows a few attempts per version that may be deployed.
 */
const MAX_QUARANTINE_REFUSALS = 4;

/** Minimum retry-after time in ms: an earlier retry would be refused as well. */
const MIN_RETRY_AFTER_MS = 50;

/** Minimum retry-after time of a refused request, as a share of the target latency. */
const RETRY_AFTER_TARGET_SHARE = policyIsOn('retry-hints') ? 0.5 : 0.25;

/**
 * Lowest HTTP status whose answers are left out of the work time, since a failure may end earlier than the work would.
 */
const MIN_FAILURE_STATUS = 500;

/**
 * Time in ms before the deadline at which a request that may still be queued at a sidecar is withdrawn, so that its
 * caller learns in time that it was not run; and the maximum share of the remaining time that this may take.
 */
const WITHDRAW_LEAD_MS = 25;
const MAX_WITHDRAW_LEAD_SHARE = 0.1;

/** Dependencies that the sidecar provides to a forwarded request. */
export interface ForwarderPorts {
  readonly runtime: Runtime;
  readonly log: EventLog;
  readonly chooser: BackendChooser;
  readonly statedLeaves: StatedLeaves;
  readonly prober: BackendProber;
  readonly view: (instance: string) => BackendView;
  /** Room for answers at this daemon. */
  readonly windows: AnswerWindows;
  readonly linkTo: (instance: BackendInstance) => Link;
  /** Whether a request may be sent to a second back end; false once it is known to crash back ends. */
  readonly mayRepeat: (request: CallerRequest) => boolean;
  /** Charges a further attempt to the retry allowance of the service; false if the allowance is used up. */
  readonly takeRepeat: (service: string) => boolean;
  /** Log index of the directory table in use. */
  readonly tableIndex: () => number;
  readonly latencies: Latencies;
  /** Called when a request that another one waits for has ended. */
  readonly onCallEnded: (call: EndedCall) => void;
}

/** A caller's request in flight, with all its attempts. */
export class ForwardedRequest {
  private readonly clock: RequestClock;
  private readonly excluded = new Set<string>();
  /** Back ends that did not answer the most recent probes. */
  private unanswered: ReadonlySet<string> = new Set();
  private currentAttempt: LinkRequest | null = null;
  private currentWindow: AnswerWindow | null = null;
  /** The answer that is stored until it is whole; null if there is none. */
  private assembly: AnswerAssembly | null = null;
  private receivedBytes = 0;
  private currentInstance: BackendInstance | null = null;
  private cancelReselection: CancelTimer | null = null;
  private cancelProbes: CancelTimer | null = null;
  private cancelTimeout: CancelTimer | null = null;
  /** Number of attempts that may have reached a back end. */
  private arrivals = 0;
  private lastSentMs = 0;
  /** Timing of the answered attempt; null before an answer. */
  private timing: AnswerTiming | null = null;
  private refusals = 0;
  private busyRefusals = 0;
  /** Whether the newest refusal was for want of a slot or of room on a link, and the other back ends are known to have none. */
  private knowsNoRoom = false;
  private rateLimitedRefusals = 0;
  private quarantineRefusals = 0;
  private nextReselectionPauseMs = INITIAL_RESELECTION_PAUSE_MS;
  private streaming = false;
  private done = false;
  /** Whether the current attempt may have reached a back end. */
  private currentMayRun = false;
  /** Whether an attempt that has ended may have run. */
  private mayHaveRun = false;
  /** Whether too little time is left for a further attempt. */
  private withdrawn = false;
  private lastReason = 'no back end is known';
  /** Shortest retry-after time of the refusals, in ms; null before the first. */
  private shortestRetryAfterMs: number | null = null;
  /** The same of the refusals because of a network link. */
  private shortestLinkRetryAfterMs: number | null = null;

  constructor(
    private readonly request: CallerRequest,
    private readonly sink: CallerSink,
    private readonly ports: ForwarderPorts,
    private readonly counters: ForwarderCounters,
  ) {
    this.clock = new RequestClock(request, () => ports.runtime.nowMs());
  }

  /** Time in ms until the deadline. */
  get leftMs(): number {
    return this.clock.leftMs;
  }

  /** Starts the first attempt. */
  start(): void {
    if (this.done) return;
    const { leftMs } = this;
    if (leftMs <= 0) {
      this.endNotRun('the deadline had passed');
      return;
    }
    const leadMs = Math.min(WITHDRAW_LEAD_MS, leftMs * MAX_WITHDRAW_LEAD_SHARE);
    this.cancelTimeout = this.ports.runtime.after(leftMs - leadMs, () => {
      this.withdrawBeforeDeadline(leadMs);
    });
    this.startAttempt();
  }

  /** Cancels the request after its caller has disconnected. */
  cancel(): void {
    this.currentWindow?.close();
    if (this.done) return;
    this.finish();
    this.counters.cancelled += 1;
    // A parent that ends early for reasons of its own says nothing about the service that it called.
    if (this.clock.targetLeftMs < 0) this.reportCallEnded(false);
    this.log('caller-gone', {});
  }

  /** Ends the request because its daemon stops; one that may have run has an unknown outcome. */
  endAtStop(): void {
    if (this.done) return;
    if (this.streaming) this.breakOff('the daemon stops');
    else this.endAtDeadline();
  }

  /** Starts the next attempt at once if the request is waiting for a change of the table. */
  tableChanged(): void {
    if (this.done || this.cancelReselection === null) return;
    this.cancelReselection();
    this.cancelReselection = null;
    this.startAttempt();
  }

  private startAttempt(): void {
    if (this.request.key !== null || !policyIsOn('probed-choice')) {
      this.attemptAt(this.choose());
      return;
    }
    this.attemptWithProbes();
  }

  /**
   * Selects among a sample of the back ends in this zone, and adds other zones only when none of them has a free slot.
   */
  private attemptWithProbes(): void {
    const { chooser, prober } = this.ports;
    const { service, route } = this.request;
    const near = chooser.nearCandidates(service, this.excluded);
    if (policyIsOn('known-first') && chooser.hasKnownCapacity(near, route)) {
      prober.refresh(near);
      this.attemptAt(this.choose(near));
      return;
    }
    this.probeThen(near, () => {
      if (chooser.hasCapacity(near, route)) {
        this.attemptAt(this.choose(near));
        return;
      }
      const far = chooser.farCandidates(service, this.excluded);
      const all = [...near, ...far];
      this.probeThen(chooser.hasKnownCapacity(far, route) ? [] : far, () => {
        this.attemptAt(this.choose(all));
      });
    });
  }

  /**
   * Probes back ends without a fresh status, then calls `then`. A request that has been refused before does not wait
   * for the answers again.
   */
  private probeThen(instances: readonly BackendInstance[], then: () => void): void {
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
      this.scheduleReselection();
      return;
    }
    const link = this.ports.linkTo(instance);
    if (link.unreachable) {
      this.lastReason = 'the daemon beside the back end cannot be reached';
      this.excluded.add(instance.id);
      this.scheduleReselection();
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
    const target = chooser.moveTargetOf(service, key);
    return target === null || this.excluded.has(target.id) ? null : target;
  }

  /** Schedules another selection after a pause or the next change of the table, since no back end can be used now. */
  private scheduleReselection(): void {
    const searchTimeMs = this.clock.searchTimeMs;
    if (searchTimeMs <= 0 || this.refusals >= MAX_REFUSALS) {
      this.endWithoutSlot();
      return;
    }
    if (this.request.parent === null || this.choose() === null) this.excluded.clear();
    const pauseMs = Math.min(this.nextReselectionPauseMs, searchTimeMs + 1);
    this.nextReselectionPauseMs = Math.min(this.nextReselectionPauseMs * 2, MAX_RESELECTION_PAUSE_MS);
    this.cancelReselection = this.ports.runtime.after(pauseMs, () => {
      this.cancelReselection = null;
      this.startAttempt();
    });
  }

  private send(instance: BackendInstance, link: Link): void {
    const view = this.ports.view(instance.id);
    this.counters.attempts += 1;
    this.currentInstance = instance;
    this.currentMayRun = true;
    const { requestId, method, path, headers, body, key, route, spentMs, parent } = this.request;
    view.recordSent(route.answerBytes);
    const { knownLimitPerSecond } = view;
    this.lastSentMs = this.ports.runtime.nowMs();
    this.receivedBytes = 0;
    const window = this.ports.windows.open(route.answerBytes);
    this.currentWindow = window;
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
      windowBytes: window.bytes,
      ...(knownLimitPerSecond === null ? {} : { knownLimitPerSecond }),
      ...(parent === null ? {} : { nested: nestedHeadOf(parent, this.lastSentMs) }),
    };
    this.currentAttempt = link.request(head, body, {
      onRefusal: (refusal) => {
        this.refused(instance, view, refusal);
      },
      onFailure: (failure) => {
        this.failed(instance, view, failure);
      },
      onAnswer: (answer, chunk) => {
        this.answered(instance, view, answer, chunk, window);
      },
      onBody: (chunk) => {
        if (this.done) return;
        if (this.assembly === null) this.sink.body(chunk, this.whenTaken(window, chunk));
        else this.store(this.assembly, chunk, window);
      },
      onEnd: () => {
        this.ended(view, window);
      },
      onLost: (sent) => {
        this.lost(instance, view, sent);
      },
    });
  }

  /** Records a part of an answer; returns what is to be called once the caller's connection has taken it. */
  private whenTaken(window: AnswerWindow, { length }: Buffer): () => void {
    this.receivedBytes += length;
    window.recordReceived(length);
    return () => {
      window.recordTaken(length);
      this.currentAttempt?.grant(length);
    };
  }

  /** Stores a part of an answer until it is whole; there is room again for as many bytes on the link. */
  private store(assembly: AnswerAssembly, part: Buffer, window: AnswerWindow): void {
    this.receivedBytes += part.length;
    window.recordReceived(part.length);
    assembly.add(part);
    this.currentAttempt?.grant(part.length);
  }

  // ---- outcomes of an attempt

  private answered(
    instance: BackendInstance,
    view: BackendView,
    head: AnswerHead,
    body: Buffer,
    window: AnswerWindow,
  ): void {
    this.recordStatus(instance, view, head.status);
    view.recordSuccess();
    if (head.leaving === true) this.ports.statedLeaves.record(instance.id, this.request.requestId);
    this.timing = head.timing;
    if (this.done) return;
    if (head.moreFollows) {
      this.begin(head, body, window);
      return;
    }
    const onTaken = this.whenTaken(window, body);
    const isSmall = body.length <= MIN_WINDOW_BYTES;
    if (isSmall) this.currentWindow?.close();
    this.attemptEnded(view);
    this.request.route.recordAnswerSize(body.length);
    if (policyIsOn('told-pace')) this.recordWork(head);
    this.complete();
    this.sink.answer(head, body, isSmall ? undefined : onTaken);
  }

  /**
   * Passes the start of an answer on, unless requests wait behind it and there is room to store it until it is whole. An answer alone
   * on its connection is not stored, since its caller would get it later by the time that it takes on the way to the caller.
   */
  private begin(head: AnswerHead, start: Buffer, window: AnswerWindow): void {
    const { contentLength } = head;
    if (contentLength !== null && this.sink.hasRequestsBehind() && window.reserveWhole(contentLength)) {
      this.assembly = new AnswerAssembly(head);
      this.store(this.assembly, start, window);
      return;
    }
    this.streaming = true;
    this.sink.answer(head, start, this.whenTaken(window, start));
  }

  private recordWork({ statusCode, timing, status }: AnswerHead): void {
    if (statusCode >= MIN_FAILURE_STATUS) return;
    this.request.route.recordWork(timing.backendMs / (status?.pace ?? 1));
  }

  private ended(view: BackendView, window: AnswerWindow): void {
    const { assembly } = this;
    this.assembly = null;
    this.attemptEnded(view);
    if (this.done) return;
    this.request.route.recordAnswerSize(this.receivedBytes);
    this.complete();
    if (assembly === null) {
      this.sink.end();
      return;
    }
    const { head, body } = assembly.whole();
    this.sink.answer(head, body, () => {
      window.recordTaken(body.length);
    });
  }

  private refused(instance: BackendInstance, view: BackendView, refusal: RefusalHead): void {
    this.recordStatus(instance, view, refusal.status);
    this.attemptEnded(view);
    if (this.done) return;
    this.currentMayRun = false;
    this.refusals += 1;
    if (refusal.arrived) this.arrivals += 1;
    this.lastReason = `refused: ${refusal.reason}`;
    this.shortestRetryAfterMs = Math.min(this.shortestRetryAfterMs ?? Infinity, refusal.retryAfterMs);
    const isForLink = this.isForLink(refusal);
    this.knowsNoRoom = refusal.reason === 'busy' && !this.mayHaveRoomElsewhere(instance);
    if (isForLink) this.recordLinkRefusal(refusal);
    const knowsIdleLink = isForLink && this.knowsIdleLink(instance);
    const countsAsBusy = refusal.reason === 'busy' && !knowsIdleLink;
    if (countsAsBusy) this.busyRefusals += 1;
    if (refusal.reason === 'rate-limited') this.rateLimitedRefusals += 1;
    if (refusal.reason === 'unreachable') view.recordFailure(this.ports.runtime.nowMs());
    this.excluded.add(instance.id);
    this.retryAfterRefusal(refusal, countsAsBusy);
  }

  /** Whether a network link was the cause. A time that is not readable is ignored and counted. */
  private isForLink({ linkFreeInMs }: RefusalHead): boolean {
    if (linkFreeInMs === undefined) return false;
    const readable = Number.isFinite(linkFreeInMs) && linkFreeInMs >= 0;
    if (!readable) this.counters.unreadableLinkTimes += 1;
    return readable;
  }

  private recordLinkRefusal({ reason, retryAfterMs }: RefusalHead): void {
    this.lastReason = `refused: ${reason} (network link)`;
    this.shortestLinkRetryAfterMs = Math.min(this.shortestLinkRetryAfterMs ?? Infinity, retryAfterMs);
  }

  /** Whether another back end is known to have a free slot and an idle link, so that the service is not full. */
  private knowsIdleLink(instance: BackendInstance): boolean {
    if (this.refusals >= MAX_REFUSALS_WITH_IDLE_LINK) return false;
    return this.ports.chooser.hasKnownCapacity(this.candidatesBeside(instance), this.request.route);
  }

  /** Whether nothing that is known shows that all other back ends of a sample, or the links to them, are full. */
  private mayHaveRoomElsewhere(instance: BackendInstance): boolean {
    return this.ports.chooser.hasCapacity(this.candidatesBeside(instance), this.request.route);
  }

  private candidatesBeside({ id }: BackendInstance): readonly BackendInstance[] {
    const { chooser } = this.ports;
    const { service } = this.request;
    const excluded = new Set([...this.excluded, id]);
    return [...chooser.nearCandidates(service, excluded), ...chooser.farCandidates(service, excluded)];
  }

  private retryAfterRefusal(refusal: RefusalHead, countsAsBusy: boolean): void {
    const attemptsExhausted = this.refusals >= MAX_REFUSALS || this.withdrawn;
    if (refusal.reason === 'quarantined') {
      this.retryAfterQuarantine(attemptsExhausted);
      return;
    }
    const isLack = refusal.reason === 'busy' || refusal.reason === 'rate-limited';
    if (this.request.parent !== null && isLack && !attemptsExhausted) {
      this.continueSearchOfCall(countsAsBusy || refusal.reason === 'rate-limited');
      return;
    }
    if (attemptsExhausted || this.isServiceFull() || (refusal.arrived && !this.takeRepeatAllowance())) {
      this.endWithoutSlot();
      return;
    }
    if (this.choose() !== null) this.startAttempt();
    else if (isLack) this.endWithoutSlot();
    else this.scheduleReselection();
  }

  /**
   * A call is sent to further back ends while its parent has time, because its failure wastes the work of its parent. It
   * pauses after as many refusals as make the service count as full, so that calls do not occupy the daemons of a full
   * service with refusals. A refusal that does not count as busy ends no round.
   */
  private continueSearchOfCall(isCounted: boolean): void {
    const roundEnded = isCounted && (this.busyRefusals + this.rateLimitedRefusals) % MAX_BUSY_REFUSALS === 0;
    if (roundEnded || this.choose() === null) this.scheduleReselection();
    else this.startAttempt();
  }

  /** Tries further back ends, since one that runs another software version may accept the request. */
  private retryAfterQuarantine(attemptsExhausted: boolean): void {
    this.quarantineRefusals += 1;
    const mayTryAnother = !attemptsExhausted && this.quarantineRefusals < MAX_QUARANTINE_REFUSALS;
    if (mayTryAnother && this.choose() !== null) this.startAttempt();
    else if (this.mayHaveRun) this.endUnknown(this.lastReason, false);
    else this.endQuarantined();
  }

  /**
   * Whether the whole service is considered full: enough sidecars had no slot or turn, or one had no room and the others are known
   * to have none. Asking these as well costs an overloaded service more processor time than the few requests are worth that
   * get a slot.
   */
  private isServiceFull(): boolean {
    if (!policyIsOn('bounded-refusals')) return false;
    if (this.knowsNoRoom || this.busyRefusals >= MAX_BUSY_REFUSALS) return true;
    return this.rateLimitedRefusals >= MAX_RATE_LIMITED_REFUSALS;
  }

  private failed(instance: BackendInstance, view: BackendView, failure: FailureHead): void {
    this.recordStatus(instance, view, failure.status);
    this.attemptEnded(view);
    if (failure.reason !== 'deadline') view.recordFailure(this.ports.runtime.nowMs());
    this.retryAfterPossibleRun(
      instance,
      `the back end's answer: ${failure.reason}`,
      failure.reason === 'deadline',
    );
  }

  private lost(instance: BackendInstance, view: BackendView, sent: boolean): void {
    this.attemptEnded(view);
    view.recordLinkLost();
    view.recordFailure(this.ports.runtime.nowMs());
    if (sent || this.streaming) {
      this.retryAfterPossibleRun(
        instance,
        'the connection to the daemon beside the back end was lost',
        false,
      );
      return;
    }
    if (this.done) return;
    this.currentMayRun = false;
    this.refusals += 1;
    this.lastReason = 'the daemon beside the back end cannot be reached';
    this.excluded.add(instance.id);
    if (this.withdrawn) this.endWithoutSlot();
    else if (this.choose() === null) this.scheduleReselection();
    else this.startAttempt();
  }

  private retryAfterPossibleRun(instance: BackendInstance, reason: string, timedOut: boolean): void {
    if (this.done) return;
    this.mayHaveRun = true;
    this.arrivals += 1;
    this.lastReason = reason;
    if (this.streaming) {
      this.breakOff(reason);
      return;
    }
    const repeatable = this.request.route.definition.kind !== 'non-idempotent';
    // Repeating a request that is known to crash back ends would crash another one.
    const mayRepeat = repeatable && this.ports.mayRepeat(this.request);
    if (timedOut || !mayRepeat || this.withdrawn || !this.takeRepeatAllowance()) {
      this.endUnknown(reason, timedOut);
      return;
    }
    this.counters.repeats += 1;
    this.excluded.add(instance.id);
    this.log('request-repeated', { instance: instance.id, reason, arrivals: this.arrivals });
    if (this.choose() === null) this.scheduleReselection();
    else this.startAttempt();
  }

  private takeRepeatAllowance(): boolean {
    const { route, service } = this.request;
    return this.arrivals < route.definition.maxAttempts && this.ports.takeRepeat(service);
  }

  // ---- ends

  private withdrawBeforeDeadline(leadMs: number): void {
    if (this.done) return;
    this.withdrawn = true;
    this.cancelTimeout = this.ports.runtime.after(leadMs, () => {
      this.endAtDeadline();
    });
    if (this.currentAttempt === null) this.endWithoutSlot();
    else this.currentAttempt.withdraw();
  }

  private endAtDeadline(): void {
    if (this.done) return;
    if (this.streaming) this.awaitLateRest();
    else if (this.currentMayRun || this.mayHaveRun) this.endUnknown('the time was up', true);
    else this.endNotRun('the time was up');
  }

  private awaitLateRest(): void {
    this.sink.overdue(() => {
      if (!this.done) this.breakOff('the time was up');
    });
  }

  /** Ends an answer that has begun without its rest. */
  private breakOff(reason: string): void {
    this.finish();
    this.log('answer-broken-off', { instance: this.currentInstance?.id, reason });
    this.sink.abort();
  }

  private endWithoutSlot(): void {
    if (this.mayHaveRun) this.endUnknown(this.lastReason, false);
    else this.endNotRun(this.lastReason);
  }

  private endNotRun(reason: string): void {
    this.finish();
    this.counters.notRun += 1;
    this.countOutcome(false);
    this.log('request-not-run', { reason, refusals: this.refusals });
    this.sink.fail({ kind: 'not-run', reason, retryAfterMs: this.retryAfterMs() });
  }

  /** A network link states when it has room; a later retry would have less of its target left to wait for the link. */
  private retryAfterMs(): number {
    if (!policyIsOn('retry-hints') || this.shortestLinkRetryAfterMs === null) return this.slotRetryAfterMs();
    return Math.max(MIN_RETRY_AFTER_MS, this.shortestLinkRetryAfterMs);
  }

  private slotRetryAfterMs(): number {
    const targetShareMs = this.request.route.definition.targetLatencyMs * RETRY_AFTER_TARGET_SHARE;
    const requestedMs = policyIsOn('retry-hints') ? (this.shortestRetryAfterMs ?? 0) : 0;
    return Math.max(MIN_RETRY_AFTER_MS, targetShareMs, requestedMs);
  }

  private endQuarantined(): void {
    this.finish();
    this.counters.quarantined += 1;
    this.countOutcome(false);
    this.log('request-quarantined', { refusals: this.refusals });
    this.sink.fail({ kind: 'quarantined', reason: QUARANTINE_REASON });
  }

  private endUnknown(reason: string, timedOut: boolean): void {
    this.finish();
    this.counters.unknown += 1;
    this.countOutcome(false);
    this.log('request-unknown', { reason, arrivals: this.arrivals, instance: this.currentInstance?.id });
    this.sink.fail({ kind: 'unknown', reason, timedOut });
  }

  private complete(): void {
    this.finish();
    this.counters.answered += 1;
    this.countOutcome(true);
    const { service, arrivedMs, spentMs } = this.request;
    const { log, latencies, runtime } = this.ports;
    latencies.observe('request', service, runtime.nowMs() - arrivedMs);
    latencies.observe('choice', service, this.lastSentMs - arrivedMs);
    const late = this.clock.targetLeftMs < spentMs;
    const sentMs = Math.round(this.lastSentMs - arrivedMs);
    const instance = this.currentInstance?.id;
    const fields = (): EventFields => this.fields({ instance, spentMs, late, sentMs, ...this.timing });
    // Late answers are exceptional, so they are logged like failures, whose rate limit is higher than that of routine
    // lines.
    if (late) log.failure('request-answered', fields());
    else log.routine('request-answered', fields);
  }

  private countOutcome(answered: boolean): void {
    countRefusals(this.counters, this.refusals);
    this.reportCallEnded(answered);
    if (this.request.spentMs === 0) return;
    this.counters.returned += 1;
    if (answered) this.counters.returnedAnswered += 1;
  }

  private reportCallEnded(answered: boolean): void {
    const { parent, service, route, arrivedMs } = this.request;
    if (parent === null) return;
    const elapsedMs = this.ports.runtime.nowMs() - arrivedMs;
    const targetMs = route.definition.targetLatencyMs;
    this.ports.onCallEnded({ parent, service, answered, elapsedMs, targetMs });
  }

  /** Marks the request as done, stops its timers and cancels the current attempt. */
  private finish(): void {
    this.done = true;
    this.cancelTimeout?.();
    this.cancelReselection?.();
    this.cancelReselection = null;
    this.cancelProbes?.();
    this.cancelProbes = null;
    if (this.currentAttempt === null || this.currentInstance === null) return;
    this.currentAttempt.cancel();
    this.attemptEnded(this.ports.view(this.currentInstance.id));
  }

  private attemptEnded(view: BackendView): void {
    if (this.currentAttempt === null) return;
    this.currentAttempt = null;
    if (this.assembly === null) this.currentWindow?.end();
    else this.currentWindow?.close();
    this.assembly = null;
    view.recordEnded();
  }

  /**
   * Records the status that a sidecar reports. After a restart it may be that of another incarnation, which shows that
   * this one has ended; the directory may not have told so yet.
   */
  private recordStatus(instance: BackendInstance, view: BackendView, status: StatusHead | null): void {
    if (status === null) return;
    const nowMs = this.ports.runtime.nowMs();
    if (status.instance === instance.id) {
      view.recordStatus(status, nowMs);
      return;
    }
    view.recordReplaced(nowMs);
    this.ports.view(status.instance).recordStatus(status, nowMs);
  }

  private log(event: string, fields: Readonly<Record<string, unknown>>): void {
    this.ports.log.failure(event, this.fields(fields));
  }

  private fields(fields: Readonly<Record<string, unknown>>): Readonly<Record<string, unknown>> {
    const { requestId, route, service, key, arrivedMs } = this.request;
    const elapsedMs = Math.round(this.ports.runtime.nowMs() - arrivedMs);
    const call = this.callFields();
    return {
      requestId,
      route: route.name,
      service,
      key,
      elapsedMs,
      tableIndex: this.ports.tableIndex(),
      ...call,
      ...fields,
    };
  }

  private callFields(): Readonly<Record<string, unknown>> {
    const { parent } = this.request;
    if (parent === null) return {};
    const { priority, remainingMs } = nestedHeadOf(parent, this.ports.runtime.nowMs());
    const { request, criterion } = parent;
    const parentLeftMs = Math.round(remainingMs);
    return { parent: request.requestId, parentBy: criterion, inheritedPriority: priority, parentLeftMs };
  }
}
