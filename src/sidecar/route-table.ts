/**
 * Finds the route of a request by host and longest path prefix, and distributes its requests over services by weight.
 */
import { SpentTimeEstimator } from './spent-time-estimator.js';
import type { ConfigurationItem, RouteDefinition } from '../directory/directory-state.js';

/** Answer size in bytes that is assumed before the first answer. */
const DEFAULT_ANSWER_BYTES = 2_000;

/** Weight of the newest sample in the moving averages of answer size and work time. */
const EWMA_WEIGHT = 0.1;

/** A configured route with statistics of its requests. */
export class Route {
  /** Moving average of the answer size, in bytes. */
  answerBytes = DEFAULT_ANSWER_BYTES;
  /** Moving average of the work time at the usual pace, in ms; null before the first sample. */
  workMs: number | null = null;
  /** Estimates from the deadlines of the requests what their callers have spent on earlier attempts. */
  spentTime = new SpentTimeEstimator();
  private readonly credits: number[];

  constructor(
    readonly name: string,
    readonly definition: RouteDefinition,
  ) {
    this.credits = definition.destinations.map(() => 0);
  }

  /** Returns the service for the next request by smooth weighted round robin, in exact proportion to the weights. */
  nextService(): string | null {
    const { destinations } = this.definition;
    const only = destinations[0];
    if (destinations.length === 1 && only !== undefined) return only.service;
    let total = 0;
    let best = -1;
    destinations.forEach(({ weight }, at) => {
      total += weight;
      this.credits[at] = (this.credits[at] ?? 0) + weight;
      if (weight > 0 && (best < 0 || (this.credits[at] ?? 0) > (this.credits[best] ?? 0))) best = at;
    });
    const chosen = destinations[best];
    if (chosen === undefined) return null;
    this.credits[best] = (this.credits[best] ?? 0) - total;
    return chosen.service;
  }

  /** Copies the statistics of the previous version of this route, whose requests are the same. */
  copyStatisticsFrom(earlier: Route): void {
    this.answerBytes = earlier.answerBytes;
    this.workMs = earlier.workMs;
    this.spentTime = earlier.spentTime;
  }

  /** Adds the size of an answer to the average. */
  recordAnswerSize(bytes: number): void {
    this.answerBytes += (bytes - this.answerBytes) * EWMA_WEIGHT;
  }

  /** Adds a work time in ms, scaled to the usual pace, to the average. */
  recordWork(ms: number): void {
    const mean = this.workMs ?? ms;
    this.workMs = mean + (ms - mean) * EWMA_WEIGHT;
  }
}

/** The routes of one host by path prefix. */
interface HostRoutes {
  readonly byPrefix: Map<string, Route>;
  /** Distinct lengths of the prefixes, longest first; few even with many routes. */
  lengths: readonly number[];
}

/**
 * The routes of one configuration. Routes that keep their name and host inherit their statistics from the `earlier`
 * table.
 */
export class RouteTable {
  private readonly byName = new Map<string, Route>();
  private readonly byHost = new Map<string, HostRoutes>();

  constructor(items: Iterable<ConfigurationItem>, earlier?: RouteTable) {
    for (const item of items) {
      if (item.kind === 'route' && item.definition !== null) this.add(item.name, item.definition, earlier);
    }
    for (const routes of this.byHost.values()) {
      const lengths = new Set([...routes.byPrefix.keys()].map((prefix) => prefix.length));
      routes.lengths = [...lengths].sort((left, right) => right - left);
    }
  }

  /** Returns the route of a request, or null. `host` may include a port, `path` a query. */
  find(host: string, path: string): Route | null {
    const routes = this.byHost.get(normalizeHost(host));
    if (routes === undefined) return null;
    const queryStart = path.indexOf('?');
    const pathname = queryStart < 0 ? path : path.slice(0, queryStart);
    for (const length of routes.lengths) {
      const route = length <= pathname.length ? routes.byPrefix.get(pathname.slice(0, length)) : undefined;
      if (route !== undefined) return route;
    }
    return null;
  }

  /** Adds a route. If two routes have the same host and prefix, the first one is used. */
  private add(name: string, definition: RouteDefinition, earlier: RouteTable | undefined): void {
    const host = normalizeHost(definition.host);
    const previous = earlier?.byName.get(name);
    const route = previous?.definition === definition ? previous : new Route(name, definition);
    if (previous !== undefined && normalizeHost(previous.definition.host) === host)
      route.copyStatisticsFrom(previous);
    this.byName.set(name, route);
    const routes = this.byHost.get(host) ?? { byPrefix: new Map<string, Route>(), lengths: [] };
    this.byHost.set(host, routes);
    if (!routes.byPrefix.has(definition.pathPrefix)) routes.byPrefix.set(definition.pathPrefix, route);
  }
}

function normalizeHost(host: string): string {
  const port = host.lastIndexOf(':');
  const name = port > host.lastIndexOf(']') ? host.slice(0, port) : host;
  return name.toLowerCase();
}
