/** A process that holds many hollow daemons: the real agents and table watches, without requests. */
import { memoryUsage, cpuUsage } from 'node:process';
import { AgentNode } from '../../src/agent/agent-node.js';
import { agentSettingsSchema } from '../../src/config/daemon-settings.js';
import { monotonicMs } from '../../src/runtime/clock.js';
import { ControlWatch } from '../../src/control-client/control-watch.js';
import { WatchedTable } from '../../src/control-client/watched-table.js';
import { nodeRuntime } from '../../src/runtime/node-runtime.js';
import { createLogger } from '../../src/telemetry/logger.js';
import { HollowBackend } from './hollow-backend.js';
import type {
  BackendFailed,
  GrantsInstalled,
  HollowAgent,
  HollowHostSettings,
  HollowReading,
  HollowRequest,
  HollowRouter,
  HotShards,
  LossRepaired,
  RevisionSeen,
} from './hollow-options.js';
import { LossTracker } from './loss-tracker.js';

/** Pause between looks at the tables of agents, in ms. */
const LOOK_MS = 25;

interface RunningAgent {
  readonly service: string;
  readonly node: AgentNode;
  readonly backend: HollowBackend;
}

interface RunningRouter {
  readonly name: string;
  readonly table: WatchedTable;
  readonly watch: ControlWatch;
  readonly losses: LossTracker;
}

/** The daemons of one process. */
export class HollowHost {
  private readonly agents = new Map<string, RunningAgent>();
  private readonly routers: RunningRouter[] = [];
  private readonly revisions: RevisionSeen[] = [];
  private readonly repairs: LossRepaired[] = [];
  private readonly grants: GrantsInstalled[] = [];
  private readonly failures: BackendFailed[] = [];
  private readonly newestRevision = new Map<string, number>();
  private readonly hot = new Map<string, ReadonlySet<number>>();
  /** Bytes of agents that were stopped. */
  private readonly closed = { bytesSent: 0, bytesReceived: 0 };

  constructor(private readonly settings: HollowHostSettings) {}

  /** Starts everything. */
  async start(): Promise<void> {
    for (const router of this.settings.routers) this.startRouter(router);
    for (const agent of this.settings.agents) await this.startAgent(agent);
    setInterval(() => {
      this.noteAgentRevisions();
    }, LOOK_MS);
  }

  /** Does what the driver asks; returns a reading when that was asked for. */
  async handle(request: HollowRequest): Promise<HollowReading | null> {
    switch (request.kind) {
      case 'fail':
        for (const { losses } of this.routers) losses.awaitLossOf(request.backend);
        await this.fail(request.backend);
        return null;
      case 'revive':
        await this.revive(request.backend);
        return null;
      case 'shift':
        this.shift(request.hot);
        return null;
      case 'read':
        return this.read();
      case 'start':
        return null;
    }
  }

  private async startAgent(agent: HollowAgent): Promise<void> {
    const { token, control, renewIntervalMs, requestsPerShard } = this.settings;
    const settings = agentSettingsSchema.parse({
      ...agent,
      tokenFile: 'none',
      management: agent.listen,
      backendAddress: agent.listen,
      control,
      renewIntervalMs,
    });
    const noShards: ReadonlySet<number> = new Set();
    const makeBackend = (instance: string): HollowBackend =>
      new HollowBackend(
        instance,
        requestsPerShard,
        () => this.hot.get(agent.service) ?? noShards,
        (shards) => {
          this.grants.push({ service: agent.service, shards, atMs: monotonicMs() });
        },
      );
    let backend: HollowBackend | null = null;
    const logger = createLogger('agent', agent.name, 'error');
    const started = await AgentNode.start(settings, token, logger, (instance) => {
      backend = makeBackend(instance);
      return backend;
    });
    if (started.err) throw new Error(started.val);
    if (backend === null) throw new Error('invariant broken: the agent made no port to its back end');
    this.agents.set(agent.backend, { service: agent.service, node: started.val, backend });
  }

  private startRouter({ name, zone }: HollowRouter): void {
    const { token, control } = this.settings;
    const table = new WatchedTable();
    const losses = new LossTracker(table, (backend, session) => {
      this.repairs.push({ router: name, backend, session, atMs: monotonicMs() });
    });
    const watch = new ControlWatch(
      nodeRuntime,
      table,
      { role: 'router', name, zone, token },
      control,
      null,
      () => {
        this.noteRevision(name, table.revision);
        losses.update();
      },
    );
    this.routers.push({ name, table, watch, losses });
  }

  private async fail(backend: string): Promise<void> {
    const agent = this.agents.get(backend);
    if (agent === undefined) return;
    this.agents.delete(backend);
    const { service } = agent;
    this.failures.push({ service, backend, shards: agent.backend.grantedShards, atMs: monotonicMs() });
    const { bytesSent, bytesReceived } = agent.node.traffic();
    this.closed.bytesSent += bytesSent;
    this.closed.bytesReceived += bytesReceived;
    await agent.node.abandon();
  }

  private async revive(backend: string): Promise<void> {
    const agent = this.settings.agents.find((candidate) => candidate.backend === backend);
    if (agent !== undefined && !this.agents.has(backend)) await this.startAgent(agent);
  }

  private shift(hot: HotShards): void {
    for (const [service, shards] of hot) this.hot.set(service, new Set(shards));
  }

  private noteRevision(daemon: string, revision: number): void {
    if ((this.newestRevision.get(daemon) ?? 0) >= revision) return;
    this.newestRevision.set(daemon, revision);
    this.revisions.push({ daemon, revision, atMs: monotonicMs() });
  }

  private noteAgentRevisions(): void {
    for (const { node } of this.agents.values()) this.noteRevision(node.name, node.table.revision);
  }

  private read(): HollowReading {
    const running = [
      ...[...this.agents.values()].map(({ node }) => node.traffic()),
      ...this.routers.map(({ watch }) => watch.traffic()),
    ];
    const { user, system } = cpuUsage();
    const agents = [...this.agents.values()];
    return {
      role: this.settings.routers.length > 0 ? 'routers' : 'agents',
      daemons: this.settings.agents.length + this.settings.routers.length,
      sessions: agents.filter(({ node }) => node.session !== null).length,
      tables: this.routers.filter(({ table }) => table.index > 0).length,
      bytesSent: running.reduce((sum, { bytesSent }) => sum + bytesSent, this.closed.bytesSent),
      bytesReceived: running.reduce(
        (sum, { bytesReceived }) => sum + bytesReceived,
        this.closed.bytesReceived,
      ),
      cpuMicroseconds: user + system,
      memoryBytes: memoryUsage.rss(),
      atMs: monotonicMs(),
      revisions: this.revisions.splice(0),
      repairs: this.repairs.splice(0),
      grants: this.grants.splice(0),
      failures: this.failures.splice(0),
      grantedShards: agents.reduce((sum, { backend }) => sum + backend.grantedShards.length, 0),
    };
  }
}
