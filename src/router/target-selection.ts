/** Selects the back end for a request: the owner of its key, or one of several. Pure functions. */
import type { ServiceConfiguration } from '../config/configuration.js';
import { shardOfKey } from '../model/shard.js';

/** State that target selection reads. */
export interface RoutingView {
  row(service: string, shard: number): { readonly owner: string | null; readonly epoch: number } | undefined;
  /** Back ends of a service that have an open session and are not draining. */
  availableBackends(service: string): readonly string[];
  /** Whether the observed health of a back end allows a request now. */
  admits(backend: string): boolean;
  /** Whether a back end would be sent a request at once: it is not leaving, and its request limit has a free turn. */
  hasTurn(backend: string): boolean;
  /** Number of this router's requests in flight or queued at a back end. */
  loadOf(backend: string): number;
  /** Random integer in [0, `limit`). */
  random(limit: number): number;
}

/** Back end selected for a request. */
export interface Target {
  readonly backend: string;
  /** Grant that the request relies on; null if any back end may serve it. */
  readonly fence: { readonly shard: number; readonly epoch: number } | null;
}

/** Why no target is available. */
export type NoTargetReason = 'no-owner' | 'owner-unreachable';

/** Selects the owner of a key. */
export function selectOwner(
  view: RoutingView,
  serviceName: string,
  service: ServiceConfiguration,
  key: string,
): Target | NoTargetReason {
  const shard = shardOfKey(serviceName, key, service.shards);
  const row = view.row(serviceName, shard);
  if (row === undefined || row.owner === null) return 'no-owner';
  if (!view.admits(row.owner)) return 'owner-unreachable';
  return { backend: row.owner, fence: { shard, epoch: row.epoch } };
}

/** Selects the less loaded of two random back ends, untried ones first (Mitzenmacher, "The Power of Two Choices"). */
export function selectAny(
  view: RoutingView,
  serviceName: string,
  tried: ReadonlySet<string>,
): Target | NoTargetReason {
  const available = view.availableBackends(serviceName);
  if (available.length === 0) return 'no-owner';
  const untried = available.filter((backend) => !tried.has(backend));
  const withTurn = untried.filter((backend) => view.hasTurn(backend));
  const candidates = [...firstNonEmpty(withTurn, untried, available)];
  const first = drawAdmitted(view, candidates);
  if (first === null) return 'owner-unreachable';
  const second = drawAdmitted(view, candidates);
  const lessLoaded = second === null || view.loadOf(first) <= view.loadOf(second) ? first : second;
  return { backend: lessLoaded, fence: null };
}

function firstNonEmpty(...lists: readonly (readonly string[])[]): readonly string[] {
  return lists.find((list) => list.length > 0) ?? [];
}

/** Draws random back ends until one admits a request; drawn ones are removed from `candidates`. */
function drawAdmitted(view: RoutingView, candidates: string[]): string | null {
  while (candidates.length > 0) {
    const [drawn] = candidates.splice(view.random(candidates.length), 1);
    if (drawn !== undefined && view.admits(drawn)) return drawn;
  }
  return null;
}
