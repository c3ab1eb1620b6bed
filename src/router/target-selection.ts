/** Chooses the back end for a request from the table: the owner of its key, or one of many. Pure. */
import type { ServiceConfiguration } from '../config/configuration.js';
import { shardOfKey } from '../model/shard.js';

/** What routing needs of the table. */
export interface RoutingView {
  row(service: string, shard: number): { readonly owner: string | null; readonly epoch: number } | undefined;
  /** Back ends of a service that have an open session and are not leaving. */
  availableBackends(service: string): readonly string[];
  /** Whether a back end can be tried now, by what was seen of it. */
  admits(backend: string): boolean;
  /** Requests in flight and waiting from this router at a back end. */
  loadOf(backend: string): number;
  /** A number from 0 to below `limit`. */
  random(limit: number): number;
}

/** Where a request goes. */
export interface Target {
  readonly backend: string;
  /** The grant that the request relies on; null when any back end may serve it. */
  readonly fence: { readonly shard: number; readonly epoch: number } | null;
}

/** Why there is no target at present. */
export type NoTarget = 'no-owner' | 'owner-unreachable';

/** Chooses by key: the owner, or nobody. */
export function selectOwner(
  view: RoutingView,
  serviceName: string,
  service: ServiceConfiguration,
  key: string,
): Target | NoTarget {
  const shard = shardOfKey(serviceName, key, service.shards);
  const row = view.row(serviceName, shard);
  if (row === undefined || row.owner === null) return 'no-owner';
  if (!view.admits(row.owner)) return 'owner-unreachable';
  return { backend: row.owner, fence: { shard, epoch: row.epoch } };
}

/** Chooses the less loaded of two back ends drawn at random (Mitzenmacher, "The Power of Two Choices"). */
export function selectAny(
  view: RoutingView,
  serviceName: string,
  tried: ReadonlySet<string>,
): Target | NoTarget {
  const available = view.availableBackends(serviceName);
  if (available.length === 0) return 'no-owner';
  const untried = available.filter((backend) => !tried.has(backend));
  const candidates = untried.length > 0 ? [...untried] : [...available];
  const first = drawAdmitted(view, candidates);
  if (first === null) return 'owner-unreachable';
  const second = drawAdmitted(view, candidates);
  const lighter = second === null || view.loadOf(first) <= view.loadOf(second) ? first : second;
  return { backend: lighter, fence: null };
}

/** Draws back ends until one may be tried; those drawn are taken out of `candidates`. */
function drawAdmitted(view: RoutingView, candidates: string[]): string | null {
  while (candidates.length > 0) {
    const [drawn] = candidates.splice(view.random(candidates.length), 1);
    if (drawn !== undefined && view.admits(drawn)) return drawn;
  }
  return null;
}
