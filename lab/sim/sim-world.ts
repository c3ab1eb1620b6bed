/** One simulated deployment: the real daemons on virtual time, network and disks, with callers and operators. */
import { AgentNode } from '../../src/agent/agent-node.js';
import { configurationSchema, type ConfigurationDocument } from '../../src/config/configuration.js';
import {
  agentSettingsSchema,
  controlSettingsSchema,
  type NamedAddress,
} from '../../src/config/daemon-settings.js';
import type { CommandOutcome, ControlCommand } from '../../src/control/commands.js';
import { ControlNode } from '../../src/control/control-node.js';
import type { SocketAddress } from '../../src/model/socket-address.js';
import type { Runtime } from '../../src/runtime/runtime.js';
import type { Logger } from '../../src/telemetry/logger.js';
import type { JournalRecord } from '../journal.js';
import { Random } from '../random.js';
import { EventQueue } from './event-queue.js';
import {
  AcknowledgedConfigurations,
  AppliedEntries,
  findMultipleOwners,
  type SimViolation,
} from './invariants.js';
import { SIM_SIZE, type Scenario } from './scenarios.js';
import { SimBackend } from './sim-backend.js';
import { SimCallers } from './sim-callers.js';
import { SimDisk, type SimReplicaStore } from './sim-disk.js';
import { diskFaults, grantTableFactory, createLeaseTable, type GuardName } from './sim-guards.js';
import { SimNetwork } from './sim-network.js';
import { SimProcess } from './sim-process.js';
import { SimRouter } from './sim-router.js';
import { simRuntime } from './sim-runtime.js';

/** Name of the only service. */
export const SERVICE = 'stock';

const SHARDS = 6;
const SESSION_TERM_MS = 1_500;
const TOKEN = 'simulation-token-0123';
const SNAPSHOT_INTERVAL_ENTRIES = 25;
const MAX_WALL_OFFSET_MS = 100;
const OPERATOR_TIMEOUT_MS = 3_000;
const PORT = 1;

/** One control replica across all its incarnations. */
export interface SimControl {
  readonly name: string;
  readonly process: SimProcess;
  readonly disk: SimDisk;
  node: ControlNode | null;
  store: SimReplicaStore | null;
}

/** One machine that runs a back end and its agent. */
export interface SimMachine {
  readonly backend: SimBackend;
  readonly agentProcess: SimProcess;
  agent: AgentNode | null;
}

/** Parameters of a world. */
export interface WorldOptions {
  readonly scenario: Scenario;
  readonly seed: number;
  /** Guard that is disabled, or null. */
  readonly withoutGuard: GuardName | null;
  /** Receives each line of the trace; null disables tracing. */
  readonly trace: ((line: string) => void) | null;
}

/** A simulated deployment. */
export class SimWorld {
  readonly queue = new EventQueue();
  readonly random: Random;
  readonly network: SimNetwork;
  readonly control: SimControl[];
  readonly machines: SimMachine[];
  readonly routers: SimRouter[] = [];
  readonly callers: SimCallers;
  readonly journal: JournalRecord[] = [];
  readonly violations: SimViolation[] = [];
  readonly configurations = new AcknowledgedConfigurations();
  private readonly appliedEntries = new AppliedEntries();
  private readonly backends: ReadonlyMap<string, SimBackend>;
  private readonly routerProcesses: SimProcess[];
  private readonly operator: SimProcess;
  private nextIdNumber = 0;

  constructor(readonly options: WorldOptions) {
    this.random = new Random(options.seed);
    this.network = new SimNetwork(this.random, {
      delayMs: [0.2, 2.5],
      lossShare: 0.01,
      duplicateShare: 0.01,
      maxReorderDelayMs: 4,
      workMsPerKilobyte: 0,
    });
    this.control = Array.from({ length: SIM_SIZE.control }, (_, at) => this.createControl(at));
    this.machines = Array.from({ length: SIM_SIZE.machines }, (_, at) => this.createMachine(at));
    this.backends = new Map(this.machines.map(({ backend }) => [backend.name, backend]));
    this.routerProcesses = Array.from({ length: SIM_SIZE.routers }, (_, at) =>
      this.createProcess(`router-${at}`),
    );
    this.operator = this.createProcess('operator');
    this.operator.start();
    this.callers = this.createCallers();
  }

  /** Starts every process. */
  async start(): Promise<void> {
    for (const control of this.control) await this.startControl(control);
    for (const machine of this.machines) await this.startMachine(machine);
    this.routerProcesses.forEach((_, at) => {
      this.startRouter(at);
    });
    this.trace('all processes are started');
  }

  /** Writes a line to the trace. */
  trace(line: string): void {
    this.options.trace?.(`${this.queue.nowMs.toFixed(3)} ${line}`);
  }

  /** Records a broken invariant; null is ignored. */
  recordViolation(violation: SimViolation | null): void {
    if (violation === null) return;
    this.trace(`VIOLATION ${violation.invariant}: ${violation.detail}`);
    this.violations.push(violation);
  }

  // ---- processes

  /** Starts an incarnation of a control replica. */
  async startControl(control: SimControl): Promise<void> {
    const { name, process, disk } = control;
    process.start();
    const store = disk.open(process) as SimReplicaStore;
    control.store = store;
    const started = await ControlNode.startWith({
      settings: this.controlSettings(name),
      token: TOKEN,
      runtime: this.runtime(process),
      storage: store,
      logger: this.logger(name),
      onFatal: (error) => {
        throw error;
      },
      onApplied: (entry) => {
        this.recordViolation(this.appliedEntries.recordApplied(name, entry));
      },
      ...this.leaseTableOverride(),
    });
    control.node = started.unwrap();
    this.trace(`${name} starts as ${store.owner.identity}`);
  }

  /** Crashes a control replica and discards its disk if `loseDisk` is set. */
  crashControl(control: SimControl, loseDisk: boolean): void {
    control.store?.crash();
    control.node = null;
    this.crash(control.process);
    if (loseDisk) control.disk.loseContent();
  }

  /** Starts a back end and its agent. */
  async startMachine(machine: SimMachine): Promise<void> {
    machine.backend.start();
    await this.startAgent(machine);
  }

  /** Starts an incarnation of an agent. */
  async startAgent(machine: SimMachine): Promise<void> {
    const { agentProcess, backend } = machine;
    agentProcess.start();
    const settings = agentSettingsSchema.parse({
      name: agentProcess.name,
      zone: 'zone',
      tokenFile: 'none',
      listen: addressOf(agentProcess.name),
      management: addressOf(agentProcess.name),
      backendAddress: addressOf(backend.name),
      control: this.members(),
      service: SERVICE,
      backend: backend.name,
      renewIntervalMs: SESSION_TERM_MS / 4,
    });
    const started = await AgentNode.start(
      settings,
      TOKEN,
      this.logger(agentProcess.name),
      (instance) => backend.createPort(agentProcess, instance),
      this.runtime(agentProcess),
    );
    machine.agent = started.unwrap();
  }

  /** Starts an incarnation of a router. */
  startRouter(at: number): void {
    const process = this.routerProcesses[at];
    if (process === undefined) return;
    process.start();
    const incarnation = this.nextId();
    const router: SimRouter = new SimRouter(
      process.name,
      process,
      this.runtime(process),
      this.network,
      this.members(),
      this.backends,
      () => {
        this.recordViolation(this.configurations.recordInForce(incarnation, router.table.revision));
      },
    );
    this.routers[at] = router;
  }

  /** Crashes a process and breaks its connections. */
  crash(process: SimProcess): void {
    process.crash();
    this.network.breakConnectionsOf(process);
  }

  /** Returns the control replica that considers itself leader; the one with the newest term if there are several. */
  leader(): SimControl | undefined {
    const leaders = this.control.filter(({ node, process }) => process.alive && node?.leading === true);
    return leaders.reduce<SimControl | undefined>((newest, control) => {
      return termOf(control) > (newest === undefined ? -1 : termOf(newest)) ? control : newest;
    }, undefined);
  }

  // ---- operators

  /** Submits a command to the leader, as an operator does; resolves to null if no answer arrives in time. */
  async submit(command: ControlCommand): Promise<CommandOutcome | null> {
    const leader = this.leader();
    if (leader === undefined) return null;
    return await new Promise((resolve) => {
      leader.process.schedule(this.network.drawDelayMs(), () => {
        void leader.node?.propose(command).then((result) => {
          this.operator.schedule(this.network.drawDelayMs(), () => {
            resolve(result.ok ? result.val : null);
          });
        });
      });
      this.operator.schedule(OPERATOR_TIMEOUT_MS, () => {
        resolve(null);
      });
    });
  }

  /** Submits a configuration and records its acknowledgement. */
  async configure(
    submissionId: string,
    baseRevision: number,
    deadlineMs: number,
  ): Promise<CommandOutcome | null> {
    const document = this.document(deadlineMs);
    const outcome = await this.submit({ kind: 'configure', submissionId, baseRevision, document });
    if (outcome?.kind === 'configured') {
      this.trace(`${submissionId} is acknowledged as revision ${outcome.revision}`);
      this.recordViolation(this.configurations.recordAcknowledged(submissionId, outcome.revision));
    }
    return outcome;
  }

  /** Waits for `ms` of true time. */
  async sleep(ms: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.operator.schedule(ms, resolve);
    });
  }

  /** Checks the invariants that must hold at every moment. */
  checkInvariants(): void {
    const servable = this.machines
      .filter(({ backend }) => backend.process.alive)
      .map(({ backend }) => ({ backend: backend.name, shards: backend.grants.servableShards() }));
    for (const violation of findMultipleOwners(servable)) this.recordViolation(violation);
  }

  // ---- construction

  private createProcess(name: string): SimProcess {
    const { maxClockDrift } = this.options.scenario;
    const rate = 1 + (this.random.fraction() * 2 - 1) * maxClockDrift;
    const startMs = this.random.below(1_000_000);
    const wallOffsetMs = (this.random.fraction() * 2 - 1) * MAX_WALL_OFFSET_MS;
    return new SimProcess(name, this.queue, { startMs, rate, wallOffsetMs });
  }

  private createControl(at: number): SimControl {
    const name = `control-${at}`;
    const faults = diskFaults(this.options.withoutGuard);
    const disk = new SimDisk(name, () => this.nextId(), this.random, faults);
    return { name, process: this.createProcess(name), disk, node: null, store: null };
  }

  /** A back end and its agent share a clock, since they run on the same machine. */
  private createMachine(at: number): SimMachine {
    const process = this.createProcess(`backend-${at}`);
    const agentProcess = process.onSameMachine(`agent-${at}`);
    const createGrants = grantTableFactory(this.options.withoutGuard);
    const backend = new SimBackend(
      `backend-${at}`,
      SERVICE,
      process,
      this.random,
      createGrants,
      (execution) => {
        this.journal.push(execution);
      },
    );
    return { backend, agentProcess, agent: null };
  }

  private createCallers(): SimCallers {
    const process = this.createProcess('callers');
    process.start();
    return new SimCallers(process, this.network, this.random, {
      service: SERVICE,
      shards: SHARDS,
      routers: () => this.routers,
      record: (sending) => {
        this.trace(`${sending.sendingId} ${sending.key} ends as ${sending.outcome} ${sending.detail}`);
        this.journal.push(sending);
      },
    });
  }

  private leaseTableOverride(): { leases: NonNullable<ReturnType<typeof createLeaseTable>> } | object {
    const leases = createLeaseTable(this.options.withoutGuard, SESSION_TERM_MS);
    return leases === undefined ? {} : { leases };
  }

  private runtime(process: SimProcess): Runtime {
    return simRuntime(process, this.network, () => this.nextId());
  }

  private nextId(): string {
    this.nextIdNumber += 1;
    return `id-${this.nextIdNumber}`;
  }

  private members(): NamedAddress[] {
    return this.control.map(({ name }) => ({ name, address: addressOf(name) }));
  }

  private controlSettings(name: string): Parameters<typeof ControlNode.startWith>[0]['settings'] {
    return controlSettingsSchema.parse({
      name,
      zone: 'zone',
      tokenFile: 'none',
      dataFolder: 'none',
      listen: addressOf(name),
      operator: addressOf(name),
      members: this.members(),
      timing: { sessionTermMs: SESSION_TERM_MS },
      snapshotEveryEntries: SNAPSHOT_INTERVAL_ENTRIES,
    });
  }

  private document(deadlineMs: number): ConfigurationDocument {
    const backends = Object.fromEntries(
      this.machines.map(({ backend }) => [backend.name, { zone: 'zone', address: addressOf(backend.name) }]),
    );
    const service = {
      division: 'keyed',
      key: { from: 'path', segment: 0 },
      shards: SHARDS,
      slots: 6,
      connections: 130,
      deadlineMs,
      backends,
    };
    return configurationSchema.parse({ version: 1, services: { [SERVICE]: service } });
  }

  private logger(name: string): Logger {
    const write = (message: string, details: object = {}): void => {
      this.trace(`${name}: ${message} ${JSON.stringify(details)}`);
    };
    return { info: write, warn: write, error: write };
  }
}

function termOf(control: SimControl): number {
  return control.node?.consensus?.core.term ?? 0;
}

const SUBNETS: Readonly<Record<string, number>> = { control: 1, agent: 2, backend: 3 };

/** Address of a process called `kind-number`. */
function addressOf(name: string): SocketAddress {
  const [kind = '', number = '0'] = name.split('-');
  return { host: `10.0.${SUBNETS[kind] ?? 0}.${number}`, port: PORT };
}
