/**
 * Processes of a large soak: the real programs, linked directly over loopback, and the hosts of callers and back ends.
 */
import { fork, type ChildProcess } from 'node:child_process';
import { mkdirSync, writeFileSync } from 'node:fs';
import { request as httpRequest } from 'node:http';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { PATHS, renderSettings, STAND_IN_PORTS } from '../../../platform/stand-in-wire.js';
import type { SocketAddress } from '../../../src/model/socket-address.js';
import { DAEMON_NODE_OPTIONS } from '../../fleet/daemon-options.js';
import { ManagedProcess } from '../../fleet/managed-process.js';
import type { DirectoryMachine, SidecarMachine } from '../soak-plan.js';
import type { HostedBackend, HostOrder, HostReport } from './host-messages.js';
import type { LargeSoakPlan } from './large-plan.js';
import { callerRoutes } from './large-routes.js';

const CALLER_HOST = fileURLToPath(new URL('./caller-host.js', import.meta.url));
const BUSY_PROCESS = fileURLToPath(new URL('./busy-process.js', import.meta.url));
const BACKEND_HOST = fileURLToPath(new URL('./backend-host.js', import.meta.url));

/** Number of processes that play callers, and of those that play back ends. */
const CALLER_HOSTS = 3;
const BACKEND_HOSTS = 3;

/** Bandwidth of a sidecar's network link, in Mbit/s. */
const LINK_MBPS = 11;

/** Time in ms after which a host that does not end by itself is killed. */
const HOST_END_TIMEOUT_MS = 3_000;

const READINESS_TIMEOUT_MS = 1_000;
const OK_STATUS = 200;

/** Number of loopback networks, for soaks that run one after the other. */
const NETWORKS = 200;

/** A machine with its daemon process. */
export interface LargeMachine {
  readonly name: string;
  readonly process: ManagedProcess;
  start(firstStart?: boolean): void;
}

/** Paths of the program and of the files that a fleet writes. */
export interface LargeSoakPaths {
  readonly program: string;
  readonly folder: string;
}

/** All processes of a large soak. */
export class LargeFleet {
  readonly directories: readonly LargeMachine[];
  readonly sidecars: readonly LargeMachine[];
  private readonly callers: ChildProcess[] = [];
  private readonly backends: ChildProcess[] = [];
  private readonly busy: ChildProcess[] = [];

  constructor(
    private readonly plan: LargeSoakPlan,
    private readonly paths: LargeSoakPaths,
    private readonly onReport: (report: HostReport) => void,
  ) {
    mkdirSync(paths.folder, { recursive: true });
    this.directories = plan.directoryMachines.map((machine) => this.addDaemon(machine, null));
    this.sidecars = plan.sidecarMachines.map((machine) => this.addDaemon(machine, machine));
  }

  /** Addresses at which the operator reaches the replicas. */
  get operatorAddresses(): SocketAddress[] {
    return this.plan.directoryMachines.map(({ number }) => this.address(number, STAND_IN_PORTS.control));
  }

  /** Pids of all daemons. */
  get pids(): number[] {
    return [...this.directories, ...this.sidecars].flatMap(({ process: { pid } }) => pid ?? []);
  }

  /** Starts all daemons and back ends. */
  up(): void {
    for (const machine of [...this.directories, ...this.sidecars]) machine.start(true);
    const backends = this.plan.sidecarMachines.map((machine) => this.backendOf(machine));
    for (let at = 0; at < BACKEND_HOSTS; at += 1) {
      const host = this.startHost(BACKEND_HOST);
      this.backends.push(host);
      const hosted = backends.filter((_, index) => index % BACKEND_HOSTS === at);
      const { seed, grantMode, slots } = this.plan;
      host.send({ kind: 'serve', seed: seed + at, grantMode, slots, backends: hosted } satisfies HostOrder);
    }
  }

  /** Starts processes that compete with the daemons for the processor. */
  startBusyProcesses(count: number): void {
    for (let at = 0; at < count; at += 1) this.busy.push(fork(BUSY_PROCESS, { stdio: 'ignore' }));
  }

  /** Starts the traffic of all callers. */
  startTraffic(): void {
    const { seed, requestsPerSecond, sidecarMachines } = this.plan;
    const machines = sidecarMachines.map(({ name, number }) => {
      return { machine: name, address: this.address(number, STAND_IN_PORTS.callers) };
    });
    for (let at = 0; at < CALLER_HOSTS; at += 1) {
      const host = this.startHost(CALLER_HOST);
      this.callers.push(host);
      const order = {
        kind: 'send',
        seed: seed + at,
        host: `c${at}`,
        perSecond: requestsPerSecond / CALLER_HOSTS,
        machines,
        routes: callerRoutes(),
      } satisfies HostOrder;
      host.send(order);
    }
  }

  /** Sends an order to all hosts of back ends. */
  orderBackends(order: HostOrder): void {
    for (const host of this.backends) if (host.connected) host.send(order);
  }

  /** Returns whether a sidecar states that it is ready. */
  async isReady({ number }: SidecarMachine): Promise<boolean> {
    const options = {
      ...this.address(number, STAND_IN_PORTS.readiness),
      path: PATHS.readiness,
      agent: false,
    };
    return await new Promise((resolve) => {
      const call = httpRequest(options, (answer) => {
        answer.resume();
        resolve(answer.statusCode === OK_STATUS);
      });
      call.setTimeout(READINESS_TIMEOUT_MS, () => call.destroy());
      call.on('error', () => {
        resolve(false);
      });
      call.end();
    });
  }

  /** Ends the callers, after their last report. */
  async endTraffic(): Promise<void> {
    await Promise.all(this.callers.map(endHost));
  }

  /** Ends everything that was started; processes are killed by their pid. */
  async down(): Promise<void> {
    for (const process of this.busy) process.kill('SIGKILL');
    await Promise.all([...this.callers, ...this.backends].map(endHost));
    await Promise.all(
      [...this.directories, ...this.sidecars].map(async ({ process }) => await process.kill()),
    );
  }

  private startHost(module: string): ChildProcess {
    const host = fork(module, { stdio: ['ignore', 'inherit', 'inherit', 'ipc'] });
    host.on('message', (report) => {
      this.onReport(report as HostReport);
    });
    return host;
  }

  private backendOf({ name, service, zone, number }: SidecarMachine): HostedBackend {
    const keyed = this.plan.services.find((known) => known.name === service)?.keyed === true;
    const address = this.address(number, STAND_IN_PORTS.backend);
    const control = this.address(number, STAND_IN_PORTS.control);
    return { machine: name, service, zone, keyed, address, control };
  }

  private addDaemon({ name, zone, number }: DirectoryMachine, sidecar: SidecarMachine | null): LargeMachine {
    const file = join(this.paths.folder, `${name}.toml`);
    const log = join(this.paths.folder, `${name}.log`);
    const role = sidecar === null ? 'directory' : 'sidecar';
    const command = [...DAEMON_NODE_OPTIONS, this.paths.program, role];
    const process = new ManagedProcess(name, command, log, { ALDERTIDE_SETTINGS: file });
    const dataFolder = sidecar === null ? join(this.paths.folder, `${name}-data`) : null;
    if (dataFolder !== null) mkdirSync(dataFolder, { recursive: true });
    const { host: ip } = this.address(number, 0);
    const backend = { address: { host: ip, port: STAND_IN_PORTS.backend }, service: sidecar?.service ?? '' };
    const settings = {
      name,
      zone,
      zones: [...new Set(this.plan.sidecarMachines.map((machine) => machine.zone))],
      ip,
      advertisedIp: ip,
      seeds: this.operatorAddresses.slice(0, 3),
      toleratedLosses: Math.floor((this.plan.directories - 1) / 2),
      grantMode: this.plan.grantMode,
      backend: sidecar === null ? null : backend,
      dataFolder,
      ...(sidecar === null ? {} : { linkMbps: LINK_MBPS }),
    };
    const start = (firstStart = false): void => {
      writeFileSync(file, renderSettings({ ...settings, firstStart }));
      process.start();
    };
    return { name, process, start };
  }

  private address(number: number, port: number): SocketAddress {
    return { host: `127.30.${1 + (this.plan.seed % NETWORKS)}.${number}`, port };
  }
}

async function endHost(host: ChildProcess): Promise<void> {
  if (host.exitCode !== null || host.signalCode !== null) return;
  const ended = new Promise((resolve) => host.once('exit', resolve));
  if (host.connected) host.send({ kind: 'end' } satisfies HostOrder);
  const timer = setTimeout(() => host.kill('SIGKILL'), HOST_END_TIMEOUT_MS);
  await ended;
  clearTimeout(timer);
}
