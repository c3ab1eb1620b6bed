/** What a committed command changed, as it is published to routers and agents. */
import type { ServiceConfiguration } from '../config/configuration.js';
import type { ShardRow } from '../model/shard.js';
import type { CrashRecord } from '../quarantine/crash-records.js';
import type { Session } from './control-state.js';

/** A new configuration revision, as the services that differ from the revision before. */
export interface ConfigurationChange {
  readonly kind: 'configuration';
  readonly revision: number;
  /** Services that were added or changed, by name. */
  readonly services: Readonly<Record<string, ServiceConfiguration>>;
  /** Names of services that were removed. */
  readonly removed: readonly string[];
}

/** A new row of a shard, and who owned it before. */
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
  /** Records of requests under which back ends ended; those whose fingerprints are `removed` hold nothing any more. */
  | {
      readonly kind: 'crash-records';
      readonly changed: readonly CrashRecord[];
      readonly removed: readonly string[];
    }
  | { readonly kind: 'shards'; readonly service: string; readonly shards: readonly ShardChange[] };

/** Part of the state that a daemon watches. */
export interface WatchScope {
  readonly service: string;
  readonly backend: string;
}

/** The part of `changes` that lies in a scope; revisions are always told, so that all daemons count alike. */
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

/** Made once for each change, since every back end of a service asks for its part of it. */
const changesByBackend = new WeakMap<ShardsChange, ReadonlyMap<string, readonly ShardChange[]>>();

function shardsByBackend(change: ShardsChange): ReadonlyMap<string, readonly ShardChange[]> {
  const known = changesByBackend.get(change);
  if (known !== undefined) return known;
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
