/** Finds the route of a request by host and longest path prefix, and deals its requests out by weight. */
import { UsualDeadline } from './usual-deadline.js';
import type { ConfigurationItem, RouteDefinition } from '../directory/directory-state.js';

/** Bytes of an answer that are assumed before any was seen. */
const ASSUMED_ANSWER_BYTES = 2_000;

/** Weight of the newest answer in the mean size. */
const NEWEST_WEIGHT = 0.1;

/** A route in force, and what was seen of it. */
export class Route {
  /** Recent mean size of an answer, in bytes. */
  answerBytes = ASSUMED_ANSWER_BYTES;
  /** Recent mean time of its work at the usual pace, in ms; null before any was seen. */
  workMs: number | null = null;
  /** Deadlines of its requests. */
  deadlines = new UsualDeadline();
  private readonly credits: number[];

  constructor(
    readonly name: string,
    readonly definition: RouteDefinition,
  ) {
    this.credits = definition.destinations.map(() => 0);
  }

  /** The service that the next request goes to; services take turns in exact proportion to their weights. */
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

  /** The route was changed; its requests are the same. */
  keepWhatWasSeen(earlier: Route): void {
    this.answerBytes = earlier.answerBytes;
    this.workMs = earlier.workMs;
    this.deadlines = earlier.deadlines;
  }

  /** An answer of this size was seen. */
  noteAnswer(bytes: number): void {
    this.answerBytes += (bytes - this.answerBytes) * NEWEST_WEIGHT;
  }

  /** Work took so long, reduced to the usual pace. */
  noteWork(ms: number): void {
    const mean = this.workMs ?? ms;
    this.workMs = mean + (ms - mean) * NEWEST_WEIGHT;
  }
}

/** The routes of one host, by their path prefixes. */
interface HostRoutes {
  readonly byPrefix: Map<string, Route>;
  /** Lengths of the prefixes, the longest first; there are few, however many routes. */
  lengths: readonly number[];
}

/** The routes of one configuration. */
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

  /** The route of a request, or null. `host` may carry a port; `path` may carry a query. */
  find(host: string, path: string): Route | null {
    const routes = this.byHost.get(normalHost(host));
    if (routes === undefined) return null;
    const query = path.indexOf('?');
    const plain = query < 0 ? path : path.slice(0, query);
    for (const length of routes.lengths) {
      const route = length <= plain.length ? routes.byPrefix.get(plain.slice(0, length)) : undefined;
      if (route !== undefined) return route;
    }
    return null;
  }

  /** Where two routes have one host and prefix, the first one stands. */
  private add(name: string, definition: RouteDefinition, earlier: RouteTable | undefined): void {
    const host = normalHost(definition.host);
    const known = earlier?.byName.get(name);
    const route = known?.definition === definition ? known : new Route(name, definition);
    if (known !== undefined && normalHost(known.definition.host) === host) route.keepWhatWasSeen(known);
    this.byName.set(name, route);
    const routes = this.byHost.get(host) ?? { byPrefix: new Map<string, Route>(), lengths: [] };
    this.byHost.set(host, routes);
    if (!routes.byPrefix.has(definition.pathPrefix)) routes.byPrefix.set(definition.pathPrefix, route);
  }
}

function normalHost(host: string): string {
  const port = host.lastIndexOf(':');
  const name = port > host.lastIndexOf(']') ? host.slice(0, port) : host;
  return name.toLowerCase();
}
