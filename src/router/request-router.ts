/** Takes a caller's request to the back end that owns its key, within its deadline. */
import { clockMs } from '../runtime/clock.js';
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { REQUEST_HEADERS } from '../backend-contract/grant-messages.js';
import type { ServiceConfiguration } from '../config/configuration.js';
import { decideAfterFailure, OWNER_RETRY_AFTER_MS, type AttemptFailure } from './attempt-policy.js';
import type { BackendState } from './backend-state.js';
import { CONNECTION_HEADERS } from '../sidecar/header-dialect.js';
import { forwardAttempt, type AttemptResult } from './forward-attempt.js';
import { shardOfKey } from '../model/shard.js';
import type { IdentifiedRequest } from '../quarantine/request-fingerprint.js';
import type { Clearance, GuardedBackend, GuardedRun } from './run-guard.js';
import { refusal, refusalResponse, type Refusal, type RefusalCode } from './refusal.js';
import { takeBody, type RequestBody } from './request-body.js';
import { deadlineBudgetMs, idempotencyKey, isRepeatable, parsePath, requestKey } from './request-key.js';
import type { RetryBudget } from './retry-budget.js';
import type { RouterState } from './router-state.js';
import { selectAny, selectOwner, type NoTarget, type Target } from './target-selection.js';

/** A request on its way. */
interface Flow {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly serviceName: string;
  readonly service: ServiceConfiguration;
  /** Key that decides the owner; null when any back end may serve. */
  readonly key: string | null;
  readonly repeatable: boolean;
  readonly deadlineMs: number;
  readonly headers: string[];
  readonly body: RequestBody;
  /** What tells it from other requests; null where its body is streamed and cannot be known. */
  readonly identity: IdentifiedRequest | null;
  readonly budget: RetryBudget;
  readonly tried: Set<string>;
  attempts: number;
  /** Time in ms that was spent waiting for an owner. */
  waitedMs: number;
}

/** How a request ended, for counters. */
export type FlowEnd = 'answered' | 'cut' | 'caller-gone' | RefusalCode;

/** Routes requests by the state of one router. */
export class RequestRouter {
  constructor(private readonly state: RouterState) {}

  /** Handles one request to its end. */
  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const startedMs = clockMs();
    this.state.requestStarted();
    const prepared = await this.prepare(request, response, startedMs);
    const end = 'code' in prepared ? this.refuse(response, prepared) : await this.run(prepared);
    this.state.requestEnded(end, clockMs() - startedMs);
  }

  private async prepare(
    request: IncomingMessage,
    response: ServerResponse,
    startedMs: number,
  ): Promise<Flow | Refusal> {
    if (this.state.table.index === 0)
      return refusal('not-ready', 'no table from control yet', OWNER_RETRY_AFTER_MS);
    const path = parsePath(request.url ?? '/');
    const service = this.state.table.services.get(path.service);
    if (service === undefined) return refusal('unknown-service', path.service, null);
    const { headers } = request;
    const repeatable = isRepeatable(service, request.method ?? 'GET', path.rest);
    const key = service.key === undefined ? null : requestKey(service.key, path, headers);
    if (service.division === 'keyed' && key === null)
      return refusal('missing-key', describeKey(service), null);
    const body = await takeBody(request);
    if (body === null) return refusal('malformed-request', 'the body broke off', null);
    const requestedKey = service.division === 'keyed' ? key : null;
    const identity = identityOf(request, body, requestedKey);
    if (identity !== null && this.state.guard.judge(identity).stage === 'quarantined') return quarantined();
    const budget = this.state.budgetOf(path.service);
    budget.requestStarted();
    return {
      request,
      response,
      serviceName: path.service,
      service,
      key: requestedKey ?? claimKey(repeatable, idempotencyKey(headers)),
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

  private async run(flow: Flow): Promise<FlowEnd> {
    for (;;) {
      const target = this.select(flow);
      if (typeof target === 'string') {
        const given = await this.awaitOwner(flow, target);
        if (given !== null) return this.refuse(flow.response, given);
        continue;
      }
      const end = await this.attempt(flow, target);
      if (end !== null) return end;
    }
  }

  private select(flow: Flow): Target | NoTarget {
    if (flow.key !== null) return selectOwner(this.state.view, flow.serviceName, flow.service, flow.key);
    return selectAny(this.state.view, flow.serviceName, flow.tried);
  }

  /** Waits a short time for a newer table; returns how the request ends when there is none. */
  private async awaitOwner(flow: Flow, reason: NoTarget): Promise<Refusal | null> {
    const updated = !this.isKnownDown(flow) && (await this.pause(flow, this.state.settings.ownerWaitMs));
    return updated
      ? null
      : refusal(reason, `${flow.serviceName} has no owner for this key`, OWNER_RETRY_AFTER_MS);
  }

  /** Whether the owner was down for longer than requests wait: then they are refused at once. */
  private isKnownDown(flow: Flow): boolean {
    if (flow.key === null) return false;
    const shard = shardOfKey(flow.serviceName, flow.key, flow.service.shards);
    const owner = this.state.table.row(flow.serviceName, shard)?.owner ?? null;
    const downSinceMs = owner === null ? null : (this.state.backends.peek(owner)?.health.downSinceMs ?? null);
    return downSinceMs !== null && clockMs() - downSinceMs > this.state.settings.ownerWaitMs;
  }

  /** Waits for a newer table for at most `ms`, within the owner wait and the deadline. */
  private async pause(flow: Flow, ms: number): Promise<boolean> {
    const startedMs = clockMs();
    const leftMs = this.state.settings.ownerWaitMs - flow.waitedMs;
    const updated = await this.state.waiters.next(Math.min(ms, leftMs, flow.deadlineMs - startedMs));
    flow.waitedMs += clockMs() - startedMs;
    return updated;
  }

  /** Makes one attempt; null when the request goes on. */
  private async attempt(flow: Flow, target: Target): Promise<FlowEnd | null> {
    const backend = this.state.backends.get(flow.service, target.backend);
    if (backend === null)
      return this.refuse(flow.response, refusal('no-owner', target.backend, OWNER_RETRY_AFTER_MS));
    const guarded = { name: target.backend, service: flow.serviceName, address: backend.address };
    const clearance = await this.clear(flow, guarded);
    if (clearance.kind === 'refused') return this.refuse(flow.response, this.notCleared(flow));
    const noSlot = await this.takeSlot(flow, backend, target.backend, clearance);
    if (noSlot !== null) {
      this.state.guard.giveBack(clearance, false);
      if (noSlot === 'deadline-passed')
        return await this.afterFailure(flow, { kind: 'deadline-passed', sent: false });
      return this.refuse(flow.response, noSlot);
    }
    const startedMs = clockMs();
    flow.attempts += 1;
    flow.tried.add(target.backend);
    const request = this.attemptRequest(flow, target);
    const alone = backend.limiter.inFlight === 1;
    const result = await forwardAttempt(backend.pool, request, flow.response);
    backend.limiter.release(clockMs() - startedMs);
    await this.tellGuard(flow, guarded, result, { startedMs, alone, clearance });
    if (result.kind === 'failed') {
      this.observeFailure(backend, result.failure);
      return await this.afterFailure(flow, result.failure);
    }
    if (result.kind === 'answered') backend.health.answered();
    return result.kind;
  }

  /** Waits for a slot; returns why there is none, or why it is not used. */
  private async takeSlot(
    flow: Flow,
    { limiter }: BackendState,
    name: string,
    clearance: Clearance,
  ): Promise<Refusal | 'deadline-passed' | null> {
    const slot = await limiter.acquire(flow.deadlineMs - clockMs());
    if (slot.kind === 'deadline-passed') return 'deadline-passed';
    if (slot.kind === 'refused') return refusal('overloaded', `${name} has no free slot`, slot.retryAfterMs);
    // Back ends may have ended under it while it waited.
    if (clearance.kind !== 'free' || !this.isHeld(flow)) return null;
    limiter.releaseUnused();
    return this.notCleared(flow);
  }

  /** A suspect waits for its permit; a stream cannot be recognized, and is not held up. */
  private async clear({ identity, deadlineMs }: Flow, backend: GuardedBackend): Promise<Clearance> {
    if (identity === null) return { kind: 'free' };
    return await this.state.guard.acquire(identity, backend, deadlineMs);
  }

  private notCleared(flow: Flow): Refusal {
    if (this.isQuarantined(flow)) return quarantined();
    return refusal('overloaded', 'it runs alone, one run at a time', OWNER_RETRY_AFTER_MS);
  }

  /** The caller is told of a failure only when other routers know what there is to know: it comes back at once. */
  private async tellGuard(
    flow: Flow,
    backend: GuardedBackend,
    result: AttemptResult,
    how: Pick<GuardedRun, 'startedMs' | 'alone' | 'clearance'>,
  ): Promise<void> {
    const { identity } = flow;
    if (identity === null) return;
    const run = { ...how, requestId: requestIdOf(flow.request), request: identity };
    const { guard } = this.state;
    const isBroken =
      result.kind === 'cut' || (result.kind === 'failed' && result.failure.kind === 'no-answer');
    if (isBroken) await guard.broke(run, backend);
    else if (result.kind === 'answered') guard.answered(run, backend, result.statusCode);
    else guard.giveBack(how.clearance, result.kind !== 'failed' || result.failure.kind !== 'not-sent');
  }

  private attemptRequest(flow: Flow, target: Target): Parameters<typeof forwardAttempt>[1] {
    const budgetMs = Math.max(1, flow.deadlineMs - clockMs());
    const headers = [...flow.headers, REQUEST_HEADERS.deadline, String(Math.floor(budgetMs))];
    headers.push(REQUEST_HEADERS.attempt, randomUUID());
    if (target.fence !== null) {
      headers.push(REQUEST_HEADERS.shard, String(target.fence.shard));
      headers.push(REQUEST_HEADERS.epoch, String(target.fence.epoch));
    }
    const { method = 'GET', url = '/' } = flow.request;
    return { method, path: url, headers, body: flow.body.content, budgetMs };
  }

  private observeFailure(backend: BackendState, failure: AttemptFailure): void {
    const nowMs = clockMs();
    switch (failure.kind) {
      case 'refused':
        backend.health.answered();
        break;
      case 'not-sent':
        backend.health.connectionRefused(nowMs);
        break;
      case 'no-answer':
        backend.health.unansweredRequest(nowMs);
        break;
      case 'deadline-passed':
        if (failure.sent) backend.health.unansweredRequest(nowMs);
        break;
    }
  }

  private async afterFailure(flow: Flow, failure: AttemptFailure): Promise<FlowEnd | null> {
    const decision = decideAfterFailure(failure, {
      repeatable: flow.repeatable && !this.isQuarantined(flow),
      bodyAvailable: flow.body.repeatable,
      attempts: flow.attempts,
      remainingMs: flow.deadlineMs - clockMs(),
      takeRetry: () => flow.budget.tryTake(),
    });
    if (decision.kind === 'end') return this.refuse(flow.response, decision.refusal);
    this.state.retried();
    await this.pause(flow, decision.pauseMs);
    if (flow.waitedMs < this.state.settings.ownerWaitMs) return null;
    return this.refuse(
      flow.response,
      refusal('no-owner', `${flow.serviceName} is changing owner`, OWNER_RETRY_AFTER_MS),
    );
  }

  private isQuarantined({ identity }: Flow): boolean {
    return identity !== null && this.state.guard.judge(identity).stage === 'quarantined';
  }

  /** Whether it may run by permit only, or not at all. */
  private isHeld({ identity }: Flow): boolean {
    return identity !== null && this.state.guard.judge(identity).stage !== 'free';
  }

  private refuse(response: ServerResponse, given: Refusal): FlowEnd {
    if (response.headersSent || response.destroyed) return 'caller-gone';
    const { status, headers, body } = refusalResponse(given);
    response.writeHead(status, headers);
    response.end(body);
    return given.code;
  }
}

const REQUEST_ID_HEADER = 'x-request-id';

function quarantined(): Refusal {
  return refusal('quarantined', 'it has ended the back ends that ran it', null);
}

function requestIdOf({ headers }: IncomingMessage): string {
  const id = headers[REQUEST_ID_HEADER];
  return typeof id === 'string' ? id : '';
}

function identityOf(
  { method = 'GET', url = '/', rawHeaders }: IncomingMessage,
  { content }: RequestBody,
  key: string | null,
): IdentifiedRequest | null {
  if (content !== null && !Buffer.isBuffer(content)) return null;
  // The host names the router that was called; the same request may come to another one next.
  return { method, host: null, path: url, headers: rawHeaders, key, body: content ?? Buffer.alloc(0) };
}

/** A request that may not be repeated goes where its idempotency key is claimed, also in a spread service. */
function claimKey(repeatable: boolean, key: string | null): string | null {
  return repeatable ? null : key;
}

function describeKey(service: ServiceConfiguration): string {
  return `the key is taken from ${JSON.stringify(service.key)}`;
}

/** Headers of the caller for the back end, without those of the connection and those that the router sets. */
function forwardedHeaders(rawHeaders: readonly string[]): string[] {
  const kept: string[] = [];
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    const name = rawHeaders[at]?.toLowerCase() ?? '';
    const isRouters = name.startsWith('aldertide-') || name === 'expect';
    if (CONNECTION_HEADERS.has(name) || isRouters) continue;
    kept.push(name, rawHeaders[at + 1] ?? '');
  }
  return kept;
}
