/** The smallest deployment for measuring a router: one control replica, one router, a few back ends, no relays. */
import { randomBytes } from 'node:crypto';
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { stringify } from 'yaml';
import { OperatorClient } from '../../src/cli/operator-client.js';
import { formatAddress, type SocketAddress } from '../../src/model/socket-address.js';
import type { ProgramPaths } from '../fleet/fleet-plan.js';
import { ManagedProcess } from '../fleet/managed-process.js';
import { metricValue } from '../metrics-text.js';
import { findFreePorts } from '../fleet/ports.js';

/** Name of the service, whose requests any back end may serve. */
export const SPREAD_SERVICE = 'spread';

/** Name of the service that is divided by key. */
export const KEYED_SERVICE = 'keyed';

const BACKENDS_PER_SERVICE = 3;
const READY_POLL_MS = 100;
const READY_POLLS = 300;
const SHARDS = 64;

interface BenchBackend {
  readonly name: string;
  readonly service: string;
  readonly address: SocketAddress;
}

/** What a process has used. */
export interface ProcessReading {
  readonly cpuSeconds: number;
  readonly memoryBytes: number;
}

/** A running bench deployment. */
export class BenchFleet {
  readonly router: SocketAddress;
  readonly backends: readonly BenchBackend[];
  private readonly processes: ManagedProcess[] = [];
  private readonly control: { readonly listen: SocketAddress; readonly operator: SocketAddress };
  private readonly token = randomBytes(24).toString('hex');

  private constructor(
    private readonly folder: string,
    private readonly programs: ProgramPaths,
    private readonly ports: SocketAddress[],
  ) {
    this.router = this.take();
    this.control = { listen: this.take(), operator: this.take() };
    this.backends = [SPREAD_SERVICE, KEYED_SERVICE].flatMap((service) =>
      Array.from({ length: BACKENDS_PER_SERVICE }, (_, at) => {
        return { name: `${service}-${at + 1}`, service, address: this.take() };
      }),
    );
  }

  /** Starts everything and waits until the router can route. */
  static async start(folder: string, programs: ProgramPaths): Promise<BenchFleet> {
    mkdirSync(folder, { recursive: true });
    const ports = await findFreePorts(3 + BACKENDS_PER_SERVICE * 2 * 3);
    const fleet = new BenchFleet(folder, programs, ports);
    fleet.startAll();
    await fleet.configure();
    await fleet.waitUntilReady();
    return fleet;
  }

  /** Origins of the back ends of a service. */
  origins(service: string): string[] {
    return this.backends
      .filter((backend) => backend.service === service)
      .map(({ address }) => `http://${formatAddress(address)}`);
  }

  /** What the router has used. */
  async readRouter(): Promise<ProcessReading> {
    const response = await request(`http://${formatAddress(this.router)}/-/metrics`);
    const text = await response.body.text();
    const value = (name: string): number => metricValue(text, name);
    return {
      cpuSeconds: value('process_cpu_seconds_total'),
      memoryBytes: value('process_resident_memory_bytes'),
    };
  }

  /** Ends all processes. */
  async end(): Promise<void> {
    await Promise.all(this.processes.map(async (process) => await process.kill()));
  }

  private take(): SocketAddress {
    const port = this.ports.pop();
    if (port === undefined) throw new Error('invariant broken: more ports are needed than were counted');
    return port;
  }

  private startAll(): void {
    writeFileSync(join(this.folder, 'token'), `${this.token}\n`, { mode: 0o600 });
    const members = [{ name: 'control-1', address: this.control.listen }];
    this.daemon('control', 'control-1', {
      dataFolder: join(this.folder, 'control-1-data'),
      ...this.control,
      members,
    });
    for (const backend of this.backends) this.startBackend(backend, members);
    this.daemon('router', 'router-1', { listen: this.router, control: members });
  }

  private startBackend({ name, service, address }: BenchBackend, control: unknown): void {
    const flags = { name, service, host: address.host, port: address.port, slots: 1_000, 'work-ms': 0.01 };
    const given = Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, String(value)]);
    this.start(name, [this.programs.lab, 'backend', ...given]);
    this.daemon('agent', `agent-${name}`, {
      listen: this.take(),
      management: this.take(),
      control,
      service,
      backend: name,
      backendAddress: address,
    });
  }

  private daemon(kind: string, name: string, settings: object): void {
    const file = join(this.folder, `${name}.yaml`);
    writeFileSync(
      file,
      stringify({ name, zone: 'zone', tokenFile: join(this.folder, 'token'), ...settings }),
    );
    this.start(name, [this.programs.aldertide, kind, '--settings', file]);
  }

  private start(name: string, given: readonly string[]): void {
    const process = new ManagedProcess(name, given, join(this.folder, `${name}.log`));
    process.start();
    this.processes.push(process);
  }

  private async configure(): Promise<void> {
    const operator = new OperatorClient([formatAddress(this.control.operator)], this.token);
    const services = Object.fromEntries(
      [SPREAD_SERVICE, KEYED_SERVICE].map((service) => [service, this.describeService(service)]),
    );
    const submission = { submissionId: 'bench', baseRevision: 0, document: { version: 1, services } };
    for (let poll = 0; poll < READY_POLLS; poll += 1) {
      const answer = await operator.call('PUT', 'configuration', submission);
      if (answer.ok) return;
      await sleep(READY_POLL_MS);
    }
    throw new Error('the configuration was not accepted');
  }

  private describeService(service: string): object {
    const own = this.backends.filter((backend) => backend.service === service);
    return {
      division: service,
      ...(service === KEYED_SERVICE ? { key: { from: 'path', segment: 1 } } : {}),
      shards: SHARDS,
      slots: 1_000,
      connections: 1_000,
      backends: Object.fromEntries(own.map(({ name, address }) => [name, { zone: 'zone', address }])),
    };
  }

  private async waitUntilReady(): Promise<void> {
    for (let poll = 0; poll < READY_POLLS; poll += 1) {
      const statuses = await Promise.all(
        [SPREAD_SERVICE, KEYED_SERVICE].flatMap((service) =>
          Array.from({ length: 20 }, (_, key) => this.statusOf(`/${service}/items/${key}`)),
        ),
      );
      if (statuses.every((status) => status === 200)) return;
      await sleep(READY_POLL_MS);
    }
    throw new Error(`the bench deployment did not come up; see ${this.folder}`);
  }

  private async statusOf(path: string): Promise<number> {
    try {
      const response = await request(`http://${formatAddress(this.router)}${path}`);
      await response.body.dump();
      return response.statusCode;
    } catch {
      return 0;
    }
  }
}
