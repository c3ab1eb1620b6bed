/** Routes a caller's request to the back end that owns its key, with retries, within its deadline. */
import { clockMs } from '../runtime/clock.js';
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { REQUEST_HEADERS } from '../backend-contract/grant-messages.js';
import type { ServiceConfiguration } from '../config/configuration.js';
import { decideAfterFailure, OWNER_RETRY_AFTER_MS, type AttemptFailure } from './attempt-policy.js';
import type { BackendState } from './backend-state.js';
import type { CallerAnswer } from './caller-answer.js';
import { CONNECTION_HEADERS } from '../sidecar/header-dialect.js';
import { forwardAttempt, type AttemptRequest, type AttemptResult } from './forward-attempt.js';
import { shardOfKey } from '../model/shard.js';
import type { IdentifiedRequest } from '../quarantine/request-fingerprint.js';
import type { Clearance, GuardedBackend, GuardedRun } from './run-guard.js';
import { createRefusal, refusalResponse, type Refusal, type RefusalCode } from './refusal.js';
import { readRequestBody, type RequestBody } from './request-body.js';
import { deadlineBudgetMs, idempotencyKey, isRepeatable, parsePath, requestKey } from './request-key.js';
import type { RetryBudget } from './retry-budget.js';
import type { RouterState } from './router-state.js';
import type { SlotOutcome } from './slot-limiter.js';
import { selectAny, selectOwner, type NoTargetReason, type Target } from './target-selection.js';

/** State of one request in flight. */
interface RoutedRequest {
  readonly request: IncomingMessage;
  readonly answer: CallerAnswer;
  readonly serviceName: string;
  readonly service: ServiceConfiguration;
  /** Key that determines the owner; null if any back end may serve the request. */
  readonly key: string | null;
  readonly repeatable: boolean;
  readonly deadlineMs: number;
  readonly headers: string[];
  readonly body: RequestBody;
  /** Identity for crash tracking; null if the body is streamed and therefore unknown. */
  readonly identity: IdentifiedRequest | null;
  readonly budget: RetryBudget;
  readonly tried: Set<string>;
  attempts: number;
  /** Total time spent waiting for an owner, in ms. */
  waitedMs: number;
}

/** How a request ended, as counted in the metrics. */
export type RequestEnd = 'answered' | 'cut' | 'caller-gone' | RefusalCode;

/** Routes requests using the state of one router. */
export class RequestRouter {
  constructor(private readonly state: RouterState) {}

  /** Handles one request until it has ended. */
  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const startedMs = clockMs();
    const answer = this.state.callers.answerTo(request, response);
    if (answer === null) return;
    this.state.requestStarted();
    const routed = await this.prepare(answer, startedMs);
    const end = 'code' in routed ? this.refuse(answer, routed) : await this.runInTurn(routed);
    this.state.requestEnded(end, clockMs() - startedMs);
  }

  private async prepare(answer: CallerAnswer, startedMs: number): Promise<RoutedRequest | Refusal> {
    if (this.state.table.index === 0)
      return createRefusal('not-ready', 'no table from control yet', OWNER_RETRY_AFTER_MS);
    const { request } = answer;
    const path = parsePath(request.url ?? '/');
    const service = this.state.table.services.get(path.service);
    if (service === undefined) return createRefusal('unknown-service', path.service, null);
    const { headers } = request;
    const repeatable = isRepeatable(service, request.method ?? 'GET', path.rest);
    const key = service.key === undefined ? null : requestKey(service.key, path, headers);
    if (service.division === 'keyed' && key === null)
      return createRefusal('missing-key', describeKey(service), null);
    const body = await readRequestBody(request, this.state.uploadLimits);
    if (body === null) return createRefusal('malformed-request', 'the body broke off', null);
    const requestedKey = service.division === 'keyed' ? key : null;
    const identity = identifyRequest(request, body, requestedKey);
    if (identity !== null && this.state.guard.quarantineStatus(identity).stage === 'quarantined')
      return quarantineRefusal();
    const budget = this.state.budgetOf(path.service);
    budget.requestStarted();
    return {
      request,
      answer,
      serviceName: path.service,
      service,
      key: requestedKey ?? claimRoutingKey(repeatable, idempotencyKey(headers)),
      repeatable,
      deadlineMs: startedMs + deadlineBudgetMs(service, headers),
      headers: forwardedHeaders(request.rawHeaders),
      body,
      identity,
      budget,
      tried: new Set(),
      attempts: 0,
      waitedMs: 0,
    };
  }

  /** Runs a request once the answers in front of it on its connection are complete. */
  private async runInTurn(routed: RoutedRequest): Promise<RequestEnd> {
    if (!(await routed.answer.turn())) return 'caller-gone';
    if (routed.deadlineMs <= clockMs())
      return this.refuse(
        routed.answer,
        createRefusal('deadline-passed', 'the answers in front took the time', null),
      );
    return await this.run(routed);
  }

  private async run(routed: RoutedRequest): Promise<RequestEnd> {
    for (;;) {
      if (routed.answer.isClosed) return 'caller-gone';
      const target = this.select(routed);
      if (typeof target === 'string') {
        const noOwner = await this.awaitOwner(routed, target);
        if (noOwner !== null) return this.refuse(routed.answer, noOwner);
        continue;
      }
      const end = await this.attempt(routed, target);
      if (end !== null) return end;
    }
  }

  private select(routed: RoutedRequest): Target | NoTargetReason {
    if (routed.key !== null)
      return selectOwner(this.state.routingView, routed.serviceName, routed.service, routed.key);
    return selectAny(this.state.routingView, routed.serviceName, routed.tried);
  }

  /** Waits a short time for a newer table; returns the refusal if none arrives. */
  private async awaitOwner(routed: RoutedRequest, reason: NoTargetReason): Promise<Refusal | null> {
    const updated =
      !this.isOwnerKnownDown(routed) &&
      (await this.awaitTableUpdate(routed, this.state.settings.ownerWaitMs));
    return updated
      ? null
      : createRefusal(reason, `${routed.serviceName} has no owner for this key`, OWNER_RETRY_AFTER_MS);
  }

  /** Whether the owner has been down for longer than the maximum owner wait; requests are then refused at once. */
  private isOwnerKnownDown(routed: RoutedRequest): boolean {
    if (routed.key === null) return false;
    const shard = shardOfKey(routed.serviceName, routed.key, routed.service.shards);
    const owner = this.state.table.row(routed.serviceName, shard)?.owner ?? null;
    const downSinceMs = owner === null ? null : (this.state.backends.peek(owner)?.health.downSinceMs ?? null);
    return downSinceMs !== null && clockMs() - downSinceMs > this.state.settings.ownerWaitMs;
  }

  /** Waits for a newer table for at most `ms`, bounded by the maximum owner wait and the deadline. */
  private async awaitTableUpdate(routed: RoutedRequest, ms: number): Promise<boolean> {
    const startedMs = clockMs();
    const remainingMs = this.state.settings.ownerWaitMs - routed.waitedMs;
    const updated = await this.state.tableWaiters.nextUpdate(
      Math.min(ms, remainingMs, routed.deadlineMs - startedMs),
    );
    routed.waitedMs += clockMs() - startedMs;
    return updated;
  }

  /** Makes one attempt; returns null if the request is to be retried. */
  private async attempt(routed: RoutedRequest, target: Target): Promise<RequestEnd | null> {
    const backend = this.state.backends.get(routed.service, target.backend);
    if (backend === null)
      return this.refuse(routed.answer, createRefusal('no-owner', target.backend, OWNER_RETRY_AFTER_MS));
    const guarded = { name: target.backend, service: routed.serviceName, address: backend.address };
    const clearance = await this.acquireClearance(routed, guarded);
    if (clearance.kind === 'refused') return this.refuse(routed.answer, this.clearanceRefusal(routed));
    const slot = await this.acquireSlot(routed, backend, target.backend, clearance);
    if (typeof slot !== 'number') {
      this.state.guard.releaseClearance(clearance, false);
      if (slot === 'deadline-passed')
        return await this.afterFailure(routed, { kind: 'deadline-passed', sent: false });
      return this.refuse(routed.answer, slot);
    }
    const startedMs = clockMs();
    routed.attempts += 1;
    routed.tried.add(target.backend);
    const request = this.attemptRequest(routed, target, (signals) => {
      backend.statements.recordAnswer(signals, slot);
      backend.limiter.admitWaiting();
    });
    const alone = backend.limiter.inFlight === 1;
    const result = await forwardAttempt(backend.pool, request, routed.answer);
    backend.limiter.release(clockMs() - startedMs);
    await this.reportToGuard(routed, guarded, result, { startedMs, alone, clearance });
    if (result.kind === 'failed') {
      this.recordFailure(backend, result.failure);
      return await this.afterFailure(routed, result.failure);
    }
    if (result.kind === 'answered') backend.health.answered();
    return result.kind;
  }

  /** Waits for a slot; returns the number of the request once it is acquired, otherwise why it was not or is not used. */
  private async acquireSlot(
    routed: RoutedRequest,
    { limiter, statements }: BackendState,
    name: string,
    clearance: Clearance,
  ): Promise<Refusal | 'deadline-passed' | number> {
    const slot = await limiter.acquire(routed.deadlineMs - clockMs());
    if (slot.kind === 'deadline-passed') return 'deadline-passed';
    if (slot.kind === 'refused') return slotRefusal(slot, name, statements.limitPerSecond);
    // Back ends may have ended while running the same request, or have left, during the wait.
    const isRestricted = clearance.kind === 'free' && this.isRestricted(routed);
    if (!isRestricted && !statements.closed) return slot.requestNumber;
    limiter.releaseUnused();
    if (isRestricted) return this.clearanceRefusal(routed);
    return createRefusal('no-owner', `${name} is leaving`, OWNER_RETRY_AFTER_MS);
  }

  /** Waits for a permit if the request is a suspect. A request with a streamed body cannot be identified and passes. */
  private async acquireClearance(
    { identity, deadlineMs }: RoutedRequest,
    backend: GuardedBackend,
  ): Promise<Clearance> {
    if (identity === null) return { kind: 'free' };
    return await this.state.guard.acquire(identity, backend, deadlineMs);
  }

  private clearanceRefusal(routed: RoutedRequest): Refusal {
    if (this.isQuarantined(routed)) return quarantineRefusal();
    return createRefusal('overloaded', 'it runs alone, one run at a time', OWNER_RETRY_AFTER_MS);
  }

  /**
   * Reports the result of an attempt to the guard. Resolves only after the end of a back end is recorded, since the
   * caller retries as soon as it receives the failure, and other routers must have the record of the suspect by then.
   */
  private async reportToGuard(
    routed: RoutedRequest,
    backend: GuardedBackend,
    result: AttemptResult,
    details: Pick<GuardedRun, 'startedMs' | 'alone' | 'clearance'>,
  ): Promise<void> {
    const { identity } = routed;
    if (identity === null) return;
    const run = { ...details, requestId: requestIdOf(routed.request), request: identity };
    const { guard } = this.state;
    if (isInterrupted(result)) await guard.runInterrupted(run, backend);
    else if (result.kind === 'answered') guard.answered(run, backend, result.statusCode);
    else
      guard.releaseClearance(
        details.clearance,
        result.kind !== 'failed' || result.failure.kind !== 'not-sent',
      );
  }

  private attemptRequest(
    routed: RoutedRequest,
    target: Target,
    onSignals: AttemptRequest['onSignals'],
  ): AttemptRequest {
    const budgetMs = Math.max(1, routed.deadlineMs - clockMs());
    const headers = [...routed.headers, REQUEST_HEADERS.deadline, String(Math.floor(budgetMs))];
    headers.push(REQUEST_HEADERS.attempt, randomUUID());
    if (target.fence !== null) {
      headers.push(REQUEST_HEADERS.shard, String(target.fence.shard));
      headers.push(REQUEST_HEADERS.epoch, String(target.fence.epoch));
    }
    const { method = 'GET', url = '/' } = routed.request;
    const { callerStallMs: stallMs } = this.state.settings;
    return { method, path: url, headers, body: routed.body.content, budgetMs, stallMs, onSignals };
  }

  private recordFailure(backend: BackendState, failure: AttemptFailure): void {
    const nowMs = clockMs();
    switch (failure.kind) {
      case 'refused':
        backend.health.answered();
        break;
      case 'not-sent':
        backend.health.recordConnectionRefused(nowMs);
        break;
      case 'broken-answer':
        backend.health.answered();
        break;
      case 'no-answer':
        backend.health.recordUnansweredRequest(nowMs);
        break;
      case 'deadline-passed':
        if (failure.sent && failure.answering !== true) backend.health.recordUnansweredRequest(nowMs);
        break;
    }
  }

  private async afterFailure(routed: RoutedRequest, failure: AttemptFailure): Promise<RequestEnd | null> {
    const decision = decideAfterFailure(failure, {
      repeatable: routed.repeatable && !this.isQuarantined(routed),
      bodyAvailable: routed.body.repeatable,
      attempts: routed.attempts,
      remainingMs: routed.deadlineMs - clockMs(),
      tryConsumeRetry: () => routed.budget.tryConsume(),
    });
    if (decision.kind === 'end') return this.refuse(routed.answer, decision.refusal);
    this.state.countRetry();
    await this.awaitTableUpdate(routed, decision.backoffMs);
    if (routed.waitedMs < this.state.settings.ownerWaitMs) return null;
    return this.refuse(
      routed.answer,
      createRefusal('no-owner', `${routed.serviceName} is changing owner`, OWNER_RETRY_AFTER_MS),
    );
  }

  private isQuarantined({ identity }: RoutedRequest): boolean {
    return identity !== null && this.state.guard.quarantineStatus(identity).stage === 'quarantined';
  }

  /** Whether the request may run only by permit, or not at all. */
  private isRestricted({ identity }: RoutedRequest): boolean {
    return identity !== null && this.state.guard.quarantineStatus(identity).stage !== 'free';
  }

  private refuse(answer: CallerAnswer, refused: Refusal): RequestEnd {
    if (answer.isClosed) return 'caller-gone';
    const { status, headers, body } = refusalResponse(refused);
    answer.give(status, headers, Buffer.from(body));
    return refused.code;
  }
}

/** Whether a run may have ended with its back end. */
function isInterrupted(result: AttemptResult): boolean {
  if (result.kind !== 'failed') return result.kind === 'cut';
  return result.failure.kind === 'no-answer' || result.failure.kind === 'broken-answer';
}

const REQUEST_ID_HEADER = 'x-request-id';

function slotRefusal(
  { retryAfterMs, rateLimited }: Extract<SlotOutcome, { kind: 'refused' }>,
  name: string,
  limitPerSecond: number | null,
): Refusal {
  if (!rateLimited) return createRefusal('overloaded', `${name} has no free slot`, retryAfterMs);
  const limit = limitPerSecond === null ? 'an unknown number of' : String(limitPerSecond);
  return createRefusal('rate-limited', `${name} accepts ${limit} requests a second`, retryAfterMs);
}

function quarantineRefusal(): Refusal {
  return createRefusal('quarantined', 'it has ended the back ends that ran it', null);
}

function requestIdOf({ headers }: IncomingMessage): string {
  const id = headers[REQUEST_ID_HEADER];
  return typeof id === 'string' ? id : '';
}

function identifyRequest(
  { method = 'GET', url = '/', rawHeaders }: IncomingMessage,
  { content }: RequestBody,
  key: string | null,
): IdentifiedRequest | null {
  if (content !== null && !Buffer.isBuffer(content)) return null;
  // The Host header names the router that was called; a retry of the same request may reach another router.
  return { method, host: null, path: url, headers: rawHeaders, key, body: content ?? Buffer.alloc(0) };
}

/**
 * Key by which a non-repeatable request is routed to the back end where its idempotency key is claimed, even in a
 * service without keyed division.
 */
function claimRoutingKey(repeatable: boolean, key: string | null): string | null {
  return repeatable ? null : key;
}

function describeKey(service: ServiceConfiguration): string {
  return `the key is taken from ${JSON.stringify(service.key)}`;
}

/** Returns the caller's headers without connection headers and without those that the router sets itself. */
function forwardedHeaders(rawHeaders: readonly string[]): string[] {
  const forwarded: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]?.toLowerCase() ?? '';
    const isSetByRouter = name.startsWith('aldertide-') || name === 'expect';
    if (CONNECTION_HEADERS.has(name) || isSetByRouter) continue;
    forwarded.push(name, rawHeaders[index + 1] ?? '');
  }
  return forwarded;
}
