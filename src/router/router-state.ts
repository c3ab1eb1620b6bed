/** The shared state of one router: table, back ends, budgets, counters. */
import { clockMs } from '../runtime/clock.js';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RouterSettings } from '../config/daemon-settings.js';
import { WatchedTable } from '../control-client/watched-table.js';
import { BackendStates } from './backend-state.js';
import { BackendHealth } from './backend-health.js';
import type { FlowEnd } from './request-router.js';
import { RetryBudget } from './retry-budget.js';
import { RunGuard, type RunGuardPorts } from './run-guard.js';
import { TableWaiters } from './table-waiters.js';
import type { RoutingView } from './target-selection.js';

/** Counters of a router. */
export interface RouterCounters {
  started: number;
  retries: number;
  readonly ended: Map<FlowEnd, number>;
}

/** How a router reaches control and its log. */
export type RouterPorts = Pick<RunGuardPorts, 'runtime' | 'send' | 'log'>;

/** State of one router. */
export class RouterState {
  readonly table = new WatchedTable();
  readonly waiters = new TableWaiters();
  readonly backends: BackendStates;
  readonly counters: RouterCounters = { started: 0, retries: 0, ended: new Map() };
  readonly view: RoutingView;
  /** Knows requests under which back ends end. */
  readonly guard: RunGuard;
  private readonly budgets = new Map<string, RetryBudget>();
  private available = new Map<string, readonly string[]>();
  private readonly generator = xoroshiro128plus(Date.now());

  constructor(
    readonly settings: RouterSettings,
    private readonly observeMs: (ms: number) => void,
    ports: RouterPorts,
  ) {
    this.guard = new RunGuard({
      ...ports,
      quarantine: this.table.quarantine,
      sessionOf: (backend) => this.table.sessionOf(backend)?.id ?? null,
    });
    this.backends = new BackendStates(
      settings.routers,
      settings.maxQueuedPerBackend,
      settings.backendAddresses,
    );
    this.view = {
      row: (service, shard) => this.table.row(service, shard),
      availableBackends: (service) => this.available.get(service) ?? [],
      admits: (backend) => this.backends.peek(backend)?.health.admits(clockMs()) ?? true,
      loadOf: (backend) => this.loadOf(backend),
      random: (limit) => uniformInt(this.generator, 0, limit - 1),
    };
  }

  /** Requests that have started and not ended. */
  get inFlight(): number {
    const ended = [...this.counters.ended.values()].reduce((sum, count) => sum + count, 0);
    return this.counters.started - ended;
  }

  /** The table has changed: works out who is available and wakes the requests that wait. */
  tableChanged(): void {
    this.available = this.availableByService();
    this.backends.resize(this.table.services);
    for (const session of this.table.sessions.values()) this.noteSession(session.backend, session.id);
    this.waiters.updated();
  }

  /** The retry budget of a service. */
  budgetOf(service: string): RetryBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) return known;
    const budget = new RetryBudget();
    this.budgets.set(service, budget);
    return budget;
  }

  /** Counts a request. */
  requestStarted(): void {
    this.counters.started += 1;
  }

  /** Counts the end of a request and its time. */
  requestEnded(end: FlowEnd, ms: number): void {
    this.counters.ended.set(end, (this.counters.ended.get(end) ?? 0) + 1);
    this.observeMs(ms);
  }

  /** Counts a retry. */
  retried(): void {
    this.counters.retries += 1;
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

  /** A new session means a new life of the back end: what was seen of the earlier one no longer counts. */
  private noteSession(backend: string, session: number): void {
    const state = this.backends.peek(backend);
    if (state === undefined || state.session === session) return;
    state.session = session;
    state.health = new BackendHealth();
  }
}
