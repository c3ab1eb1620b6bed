/** Plans the processes, addresses, relays and settings files of a deployment on one machine. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { randomBytes } from 'node:crypto';
import { join } from 'node:path';
import { stringify } from 'yaml';
import type { SocketAddress } from '../../src/model/socket-address.js';
import { buildConfiguration, type Deployment, type DeployedService, type ZoneMember } from './deployment.js';
import { findFreePorts } from './ports.js';
import type { RelayLink } from './relay.js';

/** Role of a process of a fleet. */
export type ProcessRole = 'control' | 'agent' | 'router' | 'backend';

/** Process to start. */
export interface PlannedProcess {
  readonly name: string;
  readonly zone: string;
  readonly role: ProcessRole;
  /** Program and arguments after `node`. */
  readonly arguments: readonly string[];
  /** Data folder of the process; null when it has none. */
  readonly dataFolder: string | null;
}

/** Relay to start. */
export interface PlannedRelay {
  readonly link: RelayLink;
  readonly listen: SocketAddress;
  readonly target: SocketAddress;
}

/** Back end and its agent, which run on the same machine. */
export interface PlannedBackend {
  readonly service: string;
  readonly name: string;
  readonly agent: string;
  readonly journal: string;
}

/** Plan of a whole fleet. */
export interface FleetPlan {
  readonly folder: string;
  readonly tokenFile: string;
  readonly token: string;
  readonly processes: readonly PlannedProcess[];
  readonly relays: readonly PlannedRelay[];
  readonly backends: readonly PlannedBackend[];
  /** Address of the operator interface of each control replica. */
  readonly operators: ReadonlyMap<string, SocketAddress>;
  /** Address at which callers reach each router, through a relay. */
  readonly callerAddresses: ReadonlyMap<string, SocketAddress>;
  /** Address on which each router listens. */
  readonly routerAddresses: ReadonlyMap<string, SocketAddress>;
  readonly configuration: unknown;
}

/** Paths of the programs that a fleet starts. */
export interface ProgramPaths {
  readonly aldertide: string;
  readonly lab: string;
}

const TOKEN_BYTES = 24;

/** Name that represents the callers in relays. */
export const CALLERS = 'callers';

/** Plans a fleet and writes its settings files into `folder`. */
export async function planFleet(
  deployment: Deployment,
  folder: string,
  seed: number,
  programs: ProgramPaths,
): Promise<FleetPlan> {
  mkdirSync(folder, { recursive: true });
  const planner = new FleetPlanner(deployment, folder, seed, programs);
  return await planner.plan();
}

class FleetPlanner {
  private readonly token = randomBytes(TOKEN_BYTES).toString('hex');
  private readonly tokenFile: string;
  private readonly relays: PlannedRelay[] = [];
  private readonly processes: PlannedProcess[] = [];
  private free: SocketAddress[] = [];

  constructor(
    private readonly deployment: Deployment,
    private readonly folder: string,
    private readonly seed: number,
    private readonly programs: ProgramPaths,
  ) {
    this.tokenFile = join(folder, 'token');
  }

  async plan(): Promise<FleetPlan> {
    writeFileSync(this.tokenFile, `${this.token}\n`, { mode: 0o600 });
    this.free = await findFreePorts(this.countPorts());
    const { control, routers, services } = this.deployment;
    const controlAddresses = this.takeAddresses(control);
    const operators = this.takeAddresses(control);
    const routerAddresses = this.takeAddresses(routers);
    const backendMembers = Object.values(services).flatMap((service) => service.backends);
    const backendAddresses = this.takeAddresses(backendMembers);
    for (const replica of control) this.planControl(replica, controlAddresses, operators);
    const backends = this.planBackends(backendAddresses, controlAddresses);
    for (const router of routers)
      this.planRouter(router, routerAddresses, backendAddresses, controlAddresses);
    const callerAddresses = this.planCallers(routerAddresses);
    const { folder, token, tokenFile, processes, relays } = this;
    const configuration = buildConfiguration(this.deployment, (backend) =>
      addressOf(backendAddresses, backend),
    );
    writeFileSync(join(folder, 'configuration.yaml'), stringify(configuration));
    return {
      folder,
      token,
      tokenFile,
      processes,
      relays,
      backends,
      operators,
      callerAddresses,
      routerAddresses,
      configuration,
    };
  }

  private countPorts(): number {
    const { control, routers, services } = this.deployment;
    const backends = Object.values(services).flatMap((service) => service.backends).length;
    const controlLinks = control.length * (control.length + routers.length + backends);
    const routerLinks = routers.length * (backends + 1);
    const listeners = 2 * control.length + routers.length + 3 * backends;
    return controlLinks + routerLinks + listeners;
  }

  private takeAddress(): SocketAddress {
    const address = this.free.pop();
    if (address === undefined) throw new Error('invariant broken: too few ports were planned');
    return address;
  }

  private takeAddresses(placed: readonly ZoneMember[]): Map<string, SocketAddress> {
    return new Map(placed.map(({ name }) => [name, this.takeAddress()]));
  }

  /** Adds a relay and returns the address at which the dialing process reaches its target. */
  private addRelay(from: ZoneMember, to: ZoneMember, target: SocketAddress): SocketAddress {
    const listen = this.takeAddress();
    const delayMs = from.zone === to.zone ? 0 : this.deployment.delays.betweenZonesMs;
    this.relays.push({ link: { from: from.name, to: to.name, delayMs }, listen, target });
    return listen;
  }

  private controlMembersFor(from: ZoneMember, addresses: ReadonlyMap<string, SocketAddress>): object[] {
    return this.deployment.control.map((replica) => {
      const target = addressOf(addresses, replica.name);
      const address = replica.name === from.name ? target : this.addRelay(from, replica, target);
      return { name: replica.name, address };
    });
  }

  private settings(name: string, content: object): string {
    const file = join(this.folder, `${name}.yaml`);
    writeFileSync(file, stringify(content));
    return file;
  }

  private daemon(
    role: 'control' | 'agent' | 'router',
    placed: ZoneMember,
    settings: object,
    dataFolder: string | null,
  ): void {
    const { name, zone } = placed;
    const file = this.settings(name, { name, zone, tokenFile: this.tokenFile, ...settings });
    const programArguments = [this.programs.aldertide, role, '--settings', file];
    this.processes.push({ name, zone, role, arguments: programArguments, dataFolder });
  }

  private planControl(
    replica: ZoneMember,
    addresses: ReadonlyMap<string, SocketAddress>,
    operators: ReadonlyMap<string, SocketAddress>,
  ): void {
    const dataFolder = join(this.folder, `${replica.name}-data`);
    const settings = {
      dataFolder,
      listen: addressOf(addresses, replica.name),
      operator: addressOf(operators, replica.name),
      members: this.controlMembersFor(replica, addresses),
      timing: { sessionTermMs: this.deployment.sessionTermMs },
    };
    this.daemon('control', replica, settings, dataFolder);
  }

  private planBackends(
    addresses: ReadonlyMap<string, SocketAddress>,
    control: ReadonlyMap<string, SocketAddress>,
  ): PlannedBackend[] {
    return Object.entries(this.deployment.services).flatMap(([serviceName, service]) => {
      return service.backends.map((backend) =>
        this.planBackend(serviceName, service, backend, addresses, control),
      );
    });
  }

  private planBackend(
    serviceName: string,
    service: DeployedService,
    backend: ZoneMember,
    addresses: ReadonlyMap<string, SocketAddress>,
    control: ReadonlyMap<string, SocketAddress>,
  ): PlannedBackend {
    const address = addressOf(addresses, backend.name);
    const journal = join(this.folder, `${backend.name}.journal`);
    this.processes.push({
      name: backend.name,
      zone: backend.zone,
      role: 'backend',
      arguments: this.backendArguments(serviceName, service, backend, address, journal),
      dataFolder: null,
    });
    const agent = { name: `agent-${backend.name}`, zone: backend.zone };
    const settings = {
      listen: this.takeAddress(),
      management: this.takeAddress(),
      control: this.controlMembersFor(agent, control),
      service: serviceName,
      backend: backend.name,
      backendAddress: address,
      renewIntervalMs: Math.round(this.deployment.sessionTermMs / 4),
    };
    this.daemon('agent', agent, settings, null);
    return { service: serviceName, name: backend.name, agent: agent.name, journal };
  }

  private backendArguments(
    serviceName: string,
    service: DeployedService,
    backend: ZoneMember,
    address: SocketAddress,
    journal: string,
  ): string[] {
    const { slots, repeatHorizonMs } = service.configuration;
    const position = service.backends.indexOf(backend);
    const options: Record<string, unknown> = {
      name: backend.name,
      service: serviceName,
      host: address.host,
      port: address.port,
      slots: slots ?? 6,
      'work-ms': service.workMs,
      'cold-ms': service.coldMs,
      'cold-factor': service.coldFactor,
      'repeat-horizon-ms': repeatHorizonMs ?? 30_000,
      health: service.health,
      seed: this.seed * 100 + position,
      journal,
    };
    const flags = Object.entries(options).flatMap(([option, value]) => [`--${option}`, String(value)]);
    return [this.programs.lab, 'backend', ...flags];
  }

  private planRouter(
    router: ZoneMember,
    routerAddresses: ReadonlyMap<string, SocketAddress>,
    backendAddresses: ReadonlyMap<string, SocketAddress>,
    control: ReadonlyMap<string, SocketAddress>,
  ): void {
    const backendMembers = Object.values(this.deployment.services).flatMap((service) => service.backends);
    const relayAddresses = backendMembers.map((backend) => {
      return [backend.name, this.addRelay(router, backend, addressOf(backendAddresses, backend.name))];
    });
    const settings = {
      listen: addressOf(routerAddresses, router.name),
      control: this.controlMembersFor(router, control),
      routers: this.deployment.routers.length,
      backendAddresses: Object.fromEntries(relayAddresses) as unknown,
    };
    this.daemon('router', router, settings, null);
  }

  private planCallers(routerAddresses: ReadonlyMap<string, SocketAddress>): Map<string, SocketAddress> {
    const { routers, delays } = this.deployment;
    return new Map(
      routers.map((router) => {
        const listen = this.takeAddress();
        const target = addressOf(routerAddresses, router.name);
        const link = { from: CALLERS, to: router.name, delayMs: delays.toClientsMs };
        this.relays.push({ link, listen, target });
        return [router.name, listen];
      }),
    );
  }
}

function addressOf(addresses: ReadonlyMap<string, SocketAddress>, name: string): SocketAddress {
  const address = addresses.get(name);
  if (address === undefined) throw new Error(`invariant broken: no address for ${name}`);
  return address;
}
