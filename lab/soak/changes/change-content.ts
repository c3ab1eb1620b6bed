/** Configurations of a soak of changes: what each change sets, derived from its version and seed. */
import { STAND_IN_LIMITS, type StandInRoute } from '../../../platform/stand-in-wire.js';
import { Random } from '../../random.js';

/** Host of all routes, and the service that serves them. */
export const CHANGE_HOST = 'changes.example';
const SERVICE = 'plain';

/** Route that every change sets, with the version in its prefix, so that requests tell which version is in force. */
const MARKER = 'marker';

/** Route that no change removes, for requests beside the changes. */
const STEADY: Pick<StandInRoute, 'name' | 'prefix'> = { name: 'steady', prefix: '/steady/' };

/** Characters by which the size of a route varies. */
const MIN_PADDING = 60;
const MAX_PADDING = 420;

/** Number of routes among which small changes choose. */
const SMALL_CHANGE_ROUTES = 64;

/** Ways in which a change is invalid. */
export const INVALID_KINDS = ['unknown-service', 'not-json', 'not-a-route', 'version-not-above'] as const;

/** A way in which a change is invalid. */
export type InvalidKind = (typeof INVALID_KINDS)[number];

/** Content of a change, without its base. */
export interface ChangeContent {
  readonly method: 'PUT' | 'PATCH';
  readonly version: number;
  /** Routes that the change sets beside the marker. */
  readonly routes: number;
  readonly seed: number;
}

/** A change as an operator sends it. */
export interface OperatorChange extends ChangeContent {
  readonly base: number;
  /** Null for a valid change. */
  readonly invalid: InvalidKind | null;
}

/** Routes by name, each with its path prefix. */
export type RoutePrefixes = ReadonlyMap<string, string>;

/** Prefix of the marker's path under a version. */
export function markerPrefix(version: number): string {
  return `/v${version}/`;
}

/** Prefix of a route that every version has. */
export const STEADY_PREFIX = STEADY.prefix;

/** Returns the routes after a change. */
export function routesAfter(before: RoutePrefixes, change: ChangeContent): RoutePrefixes {
  const after = new Map(change.method === 'PUT' ? [] : before);
  for (const name of removedRoutes(change)) after.delete(name);
  for (const { name, prefix } of setRoutes(change)) after.set(name, prefix);
  return after;
}

/** Renders the body of a change. */
export function changeBody(change: OperatorChange): string {
  const { invalid, method } = change;
  const version = invalid === 'version-not-above' ? change.base : change.version;
  const routes = Object.fromEntries(
    setRoutes(change).map(({ name, prefix, padding }) => [name, routeValue(prefix, padding, invalid)]),
  );
  const services = {
    [SERVICE]: { health_path: '/_health', max_connections: 100, sharded: false, warm_s: 1 },
  };
  const body =
    method === 'PUT'
      ? { version, routes, services, limits: STAND_IN_LIMITS }
      : { version, upsert: { routes }, remove: { routes: removedRoutes(change) } };
  const text = JSON.stringify(body);
  return invalid === 'not-json' ? text.slice(0, -1) : text;
}

interface SetRoute {
  readonly name: string;
  readonly prefix: string;
  readonly padding: string;
}

function setRoutes({ method, version, routes, seed }: ChangeContent): SetRoute[] {
  const random = new Random(seed);
  const set: SetRoute[] = [{ name: MARKER, prefix: markerPrefix(version), padding: '' }];
  if (method === 'PUT') set.push({ ...STEADY, padding: '' });
  for (let at = 0; at < routes; at += 1) {
    const number = method === 'PUT' ? at : random.below(SMALL_CHANGE_ROUTES);
    const padding = 'x'.repeat(MIN_PADDING + random.below(MAX_PADDING - MIN_PADDING));
    set.push({ name: `route-${number}`, prefix: `/route-${number}/${version}/`, padding });
  }
  return set;
}

/** A small change removes one route, unless it also sets it. */
function removedRoutes(change: ChangeContent): string[] {
  if (change.method === 'PUT') return [];
  const name = `route-${new Random(change.seed + 1).below(SMALL_CHANGE_ROUTES)}`;
  return setRoutes(change).some((route) => route.name === name) ? [] : [name];
}

function routeValue(prefix: string, padding: string, invalid: InvalidKind | null): unknown {
  return {
    host: CHANGE_HOST,
    path_prefix: invalid === 'not-a-route' ? prefix.slice(1) : prefix,
    route_type: 'safe',
    timeout_s: 2,
    target_latency_s: 0.5,
    priority: 1,
    service: invalid === 'unknown-service' ? 'nowhere' : SERVICE,
    max_attempts: 2,
    note: padding,
  };
}
