/** Shared state of one router: table, back ends, retry budgets and counters. */
import { clockMs } from '../runtime/clock.js';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RouterSettings } from '../config/daemon-settings.js';
import { WatchedTable } from '../control-client/watched-table.js';
import { BackendStates } from './backend-state.js';
import { BackendHealth } from './backend-health.js';
import { CallerConnections } from './caller-connections.js';
import { createProcessMemory } from '../runtime/client-memory.js';
import type { UploadLimits } from './upload-stream.js';
import type { RequestEnd } from './request-router.js';
import { RetryBudget } from './retry-budget.js';
import { RunGuard, type RunGuardPorts } from './run-guard.js';
import { TableWaiters } from './table-waiters.js';
import type { RoutingView } from './target-selection.js';

/** Counters of a router. */
export interface RouterCounters {
  started: number;
  retries: number;
  readonly ended: Map<RequestEnd, number>;
}

/** Runtime, control connection and log that a router uses. */
export type RouterPorts = Pick<RunGuardPorts, 'runtime' | 'send' | 'log'>;

/** State of one router. */
export class RouterState {
  readonly table = new WatchedTable();
  readonly tableWaiters = new TableWaiters();
  readonly backends: BackendStates;
  readonly callers: CallerConnections;
  readonly counters: RouterCounters = { started: 0, retries: 0, ended: new Map() };
  readonly routingView: RoutingView;
  /** Bounds of the bodies that callers send. */
  readonly uploadLimits: UploadLimits;
  /** Restricts requests that back ends have crashed on. */
  readonly guard: RunGuard;
  private readonly budgets = new Map<string, RetryBudget>();
  private available = new Map<string, readonly string[]>();
  private readonly randomGenerator = xoroshiro128plus(Date.now());

  constructor(
    readonly settings: RouterSettings,
    private readonly observeDurationMs: (ms: number) => void,
    ports: RouterPorts,
  ) {
    this.callers = new CallerConnections(ports.log);
    this.uploadLimits = { memory: createProcessMemory().clients, stallMs: settings.callerStallMs };
    this.guard = new RunGuard({
      ...ports,
      quarantine: this.table.quarantine,
      sessionOf: (backend) => this.table.sessionOf(backend)?.id ?? null,
    });
    this.backends = new BackendStates(
      settings.routers,
      settings.maxQueuedPerBackend,
      settings.backendAddresses,
      ports.log,
      (backend) => this.table.sessionOf(backend)?.id ?? 0,
    );
    this.routingView = {
      row: (service, shard) => this.table.row(service, shard),
      availableBackends: (service) => this.available.get(service) ?? [],
      admits: (backend) => this.admits(backend),
      hasTurn: (backend) => this.hasTurn(backend),
      loadOf: (backend) => this.loadOf(backend),
      random: (limit) => uniformInt(this.randomGenerator, 0, limit - 1),
    };
  }

  /** Number of requests that have started and not ended. */
  get inFlight(): number {
    const ended = [...this.counters.ended.values()].reduce((sum, count) => sum + count, 0);
    return this.counters.started - ended;
  }

  /** Handles a table change: recomputes the available back ends and wakes the waiting requests. */
  tableChanged(): void {
    this.available = this.availableByService();
    this.backends.resize(this.table.services);
    for (const session of this.table.sessions.values()) this.resetOnNewSession(session.backend, session.id);
    this.tableWaiters.notifyUpdated();
  }

  /** Returns the retry budget of a service, creating it if needed. */
  budgetOf(service: string): RetryBudget {
    const existing = this.budgets.get(service);
    if (existing !== undefined) return existing;
    const budget = new RetryBudget();
    this.budgets.set(service, budget);
    return budget;
  }

  /** Counts a started request. */
  requestStarted(): void {
    this.counters.started += 1;
  }

  /** Counts an ended request and observes its duration. */
  requestEnded(end: RequestEnd, ms: number): void {
    this.counters.ended.set(end, (this.counters.ended.get(end) ?? 0) + 1);
    this.observeDurationMs(ms);
  }

  /** Counts a retry. */
  countRetry(): void {
    this.counters.retries += 1;
  }

  private admits(backend: string): boolean {
    const state = this.backends.peek(backend);
    return state === undefined || (!state.statements.closed && state.health.admits(clockMs()));
  }

  private hasTurn(backend: string): boolean {
    const statements = this.backends.peek(backend)?.statements;
    return statements === undefined || (!statements.leaving && statements.delayMs(0) <= 0);
  }

  private loadOf(backend: string): number {
    const limiter = this.backends.peek(backend)?.limiter;
    return limiter === undefined ? 0 : limiter.inFlight + limiter.queued;
  }

  private availableByService(): Map<string, readonly string[]> {
    const available = new Map<string, string[]>();
    for (const { service, backend } of this.table.sessions.values()) {
      const configured = this.table.services.get(service)?.backends[backend] !== undefined;
      if (!configured || this.table.draining.has(backend)) continue;
      const backends = available.get(service) ?? [];
      available.set(service, backends);
      backends.push(backend);
    }
    return available;
  }

  /** Resets what was observed of a back end on a new session, since it concerns the previous incarnation. */
  private resetOnNewSession(backend: string, session: number): void {
    const state = this.backends.peek(backend);
    if (state === undefined || state.session === session) return;
    state.session = session;
    state.health = new BackendHealth();
    state.statements.startSession();
  }
}
