/** Status of a control replica and of the deployment, for operators. Contains no secrets. */
import type { ShardRow } from '../model/shard.js';
import type { ControlNode } from './control-node.js';

/** A daemon that watches this replica. */
export interface WatcherStatus {
  readonly role: string;
  readonly name: string;
  readonly zone: string;
  readonly index: number;
  readonly revision: number;
}

/** Status of one back end. */
export interface BackendStatus {
  readonly service: string;
  readonly backend: string;
  readonly session: number | null;
  readonly draining: boolean;
  readonly shards: number;
}

/** Status of one service. */
export interface ServiceStatus {
  readonly service: string;
  readonly shards: number;
  readonly unowned: number;
  readonly moving: number;
  /** Maximum number of shards at a back end divided by the mean; 1 is even. */
  readonly imbalance: number;
  /** Reason why the placement policy could not be followed, known to the leader; null when it was followed. */
  readonly policyProblem: string | null;
}

/** Complete status document. */
export interface ControlStatus {
  readonly replica: string;
  readonly role: string;
  readonly term: number;
  readonly leader: string | null;
  readonly members: { readonly voters: readonly string[]; readonly learners: readonly string[] };
  readonly commitIndex: number;
  readonly appliedIndex: number;
  readonly revision: number;
  readonly services: readonly ServiceStatus[];
  readonly backends: readonly BackendStatus[];
  /** Zones under evacuation, whose back ends are all drained. */
  readonly evacuatedZones: readonly string[];
  readonly watchers: readonly WatcherStatus[];
}

/** Returns the status of a replica. */
export function describeStatus(node: ControlNode): ControlStatus {
  const core = node.consensus?.core;
  const backends = describeBackends(node);
  return {
    replica: node.id,
    role: core?.role ?? 'forming',
    term: core?.term ?? 0,
    leader: node.leaderName,
    members: core?.membership ?? { voters: [], learners: [] },
    commitIndex: core?.commitIndex ?? 0,
    appliedIndex: node.consensus?.appliedIndex ?? 0,
    revision: node.state.configuration.revision,
    services: describeServices(node, backends),
    backends,
    evacuatedZones: [...node.state.evacuatedZones],
    watchers: node.hub.list().map(({ hello, index, revision }) => {
      return { role: hello.role, name: hello.name, zone: hello.zone, index, revision };
    }),
  };
}

function describeBackends(node: ControlNode): BackendStatus[] {
  const { configuration, sessions, draining, shards } = node.state;
  const sessionIds = new Map([...sessions.values()].map(({ backend, id }) => [backend, id]));
  return Object.entries(configuration.document.services).flatMap(([service, { backends }]) => {
    const counts = countByOwner(shards.get(service)?.rows ?? []);
    return Object.keys(backends).map((backend) => ({
      service,
      backend,
      session: sessionIds.get(backend) ?? null,
      draining: draining.has(backend),
      shards: counts.get(backend) ?? 0,
    }));
  });
}

function countByOwner(rows: readonly ShardRow[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { owner } of rows) if (owner !== null) counts.set(owner, (counts.get(owner) ?? 0) + 1);
  return counts;
}

function describeServices(node: ControlNode, backends: readonly BackendStatus[]): ServiceStatus[] {
  return [...node.state.shards].map(([service, { rows }]) => {
    const counts = backends.filter((backend) => backend.service === service).map(({ shards }) => shards);
    const mean = counts.reduce((sum, count) => sum + count, 0) / Math.max(1, counts.length);
    return {
      service,
      shards: rows.length,
      unowned: rows.filter((row) => row.owner === null).length,
      moving: rows.filter((row) => row.movingTo !== null).length,
      imbalance: mean === 0 ? 1 : Math.max(...counts) / mean,
      policyProblem: node.policyProblem(service),
    };
  });
}
