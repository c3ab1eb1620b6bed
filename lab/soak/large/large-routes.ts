/** Routes and traffic of a large soak. */
import type { StandInRoute } from '../../../platform/stand-in-wire.js';
import type { CallerRoute } from './host-messages.js';

/** Host name of all routes. */
export const SOAK_HOST = 'large-soak.example';

/** Time limit of requests, in s. */
const TIMEOUT_S = 2.5;

/** A route, the service that it leads to, and its share of the requests. */
interface LargeRoute extends CallerRoute {
  readonly name: string;
  readonly service: string;
}

const ROUTES: readonly LargeRoute[] = [
  { name: 'plain-get', service: 'plain', prefix: '/plain/get/', keyed: false, repeatable: true, share: 0.5 },
  {
    name: 'plain-post',
    service: 'plain',
    prefix: '/plain/post/',
    keyed: false,
    repeatable: false,
    share: 0.15,
  },
  { name: 'keyed-get', service: 'keyed', prefix: '/keyed/get/', keyed: true, repeatable: true, share: 0.25 },
  { name: 'small-get', service: 'small', prefix: '/small/get/', keyed: false, repeatable: true, share: 0.1 },
];

/** Route that a change of the configuration leads to the service with the fewest back ends. */
export const NARROWED_ROUTE = 'plain-get';
const NARROW_SERVICE = 'small';

/** Returns the routes of callers. */
export function callerRoutes(): readonly CallerRoute[] {
  return ROUTES.map(({ prefix, keyed, repeatable, share }) => ({ prefix, keyed, repeatable, share }));
}

/** Returns the configured routes; while narrowed, most requests go to the service with the fewest back ends. */
export function configuredRoutes(version: number, narrowed = false): StandInRoute[] {
  return ROUTES.map(({ name, prefix, repeatable, service }) => ({
    name,
    host: SOAK_HOST,
    prefix,
    kind: repeatable ? 'safe' : 'non_idempotent',
    service: narrowed && name === NARROWED_ROUTE ? NARROW_SERVICE : service,
    version,
    timeoutSeconds: TIMEOUT_S,
  }));
}
