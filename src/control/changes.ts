/** Changes made by committed commands, as published to routers and agents. */
import type { ServiceConfiguration } from '../config/configuration.js';
import type { ShardRow } from '../model/shard.js';
import type { CrashRecord } from '../quarantine/crash-records.js';
import type { Session } from './control-state.js';

/** A new configuration revision, given as the services that differ from the previous revision. */
export interface ConfigurationChange {
  readonly kind: 'configuration';
  readonly revision: number;
  /** Services that were added or changed, by name. */
  readonly services: Readonly<Record<string, ServiceConfiguration>>;
  /** Names of services that were removed. */
  readonly removed: readonly string[];
}

/** The new row of a shard and its previous owner. */
export interface ShardChange {
  readonly row: ShardRow;
  readonly formerOwner: string | null;
}

/** One published change. */
export type Change =
  | ConfigurationChange
  | { readonly kind: 'session-opened'; readonly session: Session }
  | { readonly kind: 'session-closed'; readonly session: number; readonly service: string }
  | { readonly kind: 'drain'; readonly backend: string; readonly draining: boolean }
  /** Crash records of requests during which back ends ended; records whose fingerprints are in `removed` are deleted. */
  | {
      readonly kind: 'crash-records';
      readonly changed: readonly CrashRecord[];
      readonly removed: readonly string[];
    }
  | { readonly kind: 'shards'; readonly service: string; readonly shards: readonly ShardChange[] };

/** Part of the state that a daemon watches: one back end of a service. */
export interface WatchScope {
  readonly service: string;
  readonly backend: string;
}

/** Returns the changes within a scope. Revisions are always included, so that all daemons report the same revision. */
export function changesInScope(changes: readonly Change[], scope: WatchScope): Change[] {
  return changes.flatMap((change): Change[] => {
    switch (change.kind) {
      case 'configuration':
        return [configurationInScope(change, scope)];
      case 'session-opened':
        return change.session.service === scope.service ? [change] : [];
      case 'session-closed':
        return change.service === scope.service ? [change] : [];
      case 'drain':
        return change.backend === scope.backend ? [change] : [];
      case 'crash-records':
        return [];
      case 'shards':
        return shardsInScope(change, scope);
    }
  });
}

function configurationInScope(change: ConfigurationChange, scope: WatchScope): ConfigurationChange {
  const service = change.services[scope.service];
  const services = service === undefined ? {} : { [scope.service]: service };
  const removed = change.removed.filter((name) => name === scope.service);
  return { ...change, services, removed };
}

type ShardsChange = Extract<Change, { kind: 'shards' }>;

function shardsInScope(change: ShardsChange, scope: WatchScope): Change[] {
  if (change.service !== scope.service) return [];
  const shards = shardsByBackend(change).get(scope.backend);
  return shards === undefined ? [] : [{ ...change, shards }];
}

/** Cache of the shard changes by back end, computed once per change because every back end of the service needs it. */
const changesByBackend = new WeakMap<ShardsChange, ReadonlyMap<string, readonly ShardChange[]>>();

function shardsByBackend(change: ShardsChange): ReadonlyMap<string, readonly ShardChange[]> {
  const cached = changesByBackend.get(change);
  if (cached !== undefined) return cached;
  const groups = new Map<string, ShardChange[]>();
  for (const shard of change.shards) {
    const { owner, movingTo } = shard.row;
    for (const backend of new Set([owner, movingTo, shard.formerOwner])) {
      if (backend === null) continue;
      const group = groups.get(backend) ?? [];
      groups.set(backend, group);
      group.push(shard);
    }
  }
  changesByBackend.set(change, groups);
  return groups;
}
