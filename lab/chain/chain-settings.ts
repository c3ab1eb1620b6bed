/** The directory of a simulated chain: its routes, services and back ends. */
import {
  FIRST_KEY,
  LAST_KEY,
  type BackendInstance,
  type ConfigurationItem,
  type DirectorySnapshot,
  type KeyRange,
  type RouteDefinition,
} from '../../src/directory/directory-state.js';
import type { ChainSpec } from './chain-spec.js';

/** A back end and its daemon. */
export interface ChainMachine {
  readonly id: string;
  readonly service: string;
  readonly slots: number;
}

/** Machines of a chain, and the directory that all daemons get. */
export interface ChainSettings {
  readonly machines: readonly ChainMachine[];
  readonly directory: DirectorySnapshot;
}

/** Host of all routes. */
export const CHAIN_HOST = 'chain.example';

/** Returns the path of a caller's request to a service. */
export function callerPath(service: string): string {
  return `/callers/${service}/`;
}

/** Returns the path of a call to a service. */
export function callPath(service: string): string {
  return `/calls/${service}/`;
}

/** Returns the machines and the directory of a chain. */
export function makeSettings(spec: ChainSpec): ChainSettings {
  const machines = spec.services.flatMap(({ name, backends, slots }) =>
    Array.from({ length: backends }, (_, at) => ({ id: `${name}-${at}`, service: name, slots })),
  );
  const instances = machines.map(({ id, service, slots }, at): BackendInstance => {
    return {
      id,
      service,
      zone: 'zone',
      daemonAddress: id,
      slots,
      condition: 'ready',
      version: '',
      session: at + 1,
    };
  });
  const items = spec.services.flatMap((service): ConfigurationItem[] => [
    {
      kind: 'service',
      name: service.name,
      version: 1,
      source: null,
      definition: {
        maxConnections: 100,
        keyed: service.keyed,
        grantMode: null,
        coldStart: null,
        healthPath: null,
      },
    },
    route(`callers-${service.name}`, {
      pathPrefix: callerPath(service.name),
      timeoutMs: service.deadlineMs,
      targetLatencyMs: service.targetMs,
      service: service.name,
    }),
    route(`calls-${service.name}`, {
      pathPrefix: callPath(service.name),
      timeoutMs: spec.call.deadlineMs,
      targetLatencyMs: spec.call.targetMs,
      service: service.name,
    }),
  ]);
  const keyed = spec.services.filter((service) => service.keyed);
  const ranges = keyed.map(({ name }) => ({ service: name, ranges: divideKeys(machines, name) }));
  const directory = { items, revision: 1, configured: true, accepted: [], instances, ranges };
  return { machines, directory };
}

/** Divides the keys equally among the back ends of a service. */
function divideKeys(machines: readonly ChainMachine[], service: string): KeyRange[] {
  const owners = machines.filter((place) => place.service === service);
  const startOf = (at: number): number =>
    FIRST_KEY + Math.floor(((LAST_KEY - FIRST_KEY + 1) * at) / owners.length);
  return owners.map(({ id }, at) => {
    const span = { from: startOf(at), to: startOf(at + 1) - 1 };
    return { ...span, owner: id, session: at + 1, fence: 1, movingTo: null, handover: '' };
  });
}

interface RouteSpec extends Pick<RouteDefinition, 'pathPrefix' | 'timeoutMs' | 'targetLatencyMs'> {
  readonly service: string;
}

function route(name: string, { service, ...spec }: RouteSpec): ConfigurationItem {
  const destinations = [{ service, weight: 1 }];
  const definition: RouteDefinition = {
    ...spec,
    host: CHAIN_HOST,
    kind: 'non-idempotent',
    priority: 1,
    maxAttempts: 2,
    destinations,
  };
  return { kind: 'route', name, version: 1, source: null, definition };
}
