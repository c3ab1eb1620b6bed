/** The machines of a soak: the real programs as processes, their settings files, relays and back ends. */
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { SocketAddress } from '../../src/model/socket-address.js';
import { renderSettings, STAND_IN_COLD_START, STAND_IN_PORTS } from '../../platform/stand-in-wire.js';
import { ManagedProcess } from '../fleet/managed-process.js';
import { pause } from '../pause.js';
import type { Random } from '../random.js';
import {
  NO_CALLS_HELD_UP,
  SoakBackend,
  WELL_BEHAVED,
  type HeldUpCalls,
  type Misbehaviour,
} from './soak-backend.js';
import type { SoakJudge } from './soak-judge.js';
import { SoakNetwork } from './soak-network.js';
import type { DirectoryMachine, SidecarMachine, SoakPlan } from './soak-plan.js';

const MS_PER_SECOND = 1_000;

/** Memory that a daemon may take, as its deploy file says. */
const NODE_OPTIONS = ['--max-old-space-size=160', '--max-semi-space-size=1', '--optimize-for-size'];

/** Runs the program on a clock that can stand still. */
const SUSPENDABLE = fileURLToPath(new URL('./suspendable-program.js', import.meta.url));

/** Time in ms after which a back end that a request has ended is followed by another. */
const BACK_MS = 1_500;

/** Loopback networks of the soaks that may run side by side. */
const NETWORKS = 200;

/** A process and the machine it runs on. */
export interface SoakMachine {
  readonly name: string;
  readonly ip: string;
  readonly advertisedIp: string;
  readonly process: ManagedProcess;
  /** Null beside back ends. */
  readonly dataFolder: string | null;
  /** Whether a trouble has it at present. */
  troubled: boolean;
}

/** Where a fleet finds its programs and writes its files. */
export interface SoakPlaces {
  /** The platform's program, bundled. */
  readonly program: string;
  readonly folder: string;
}

/** A fleet. */
export class SoakFleet {
  readonly directories: SoakMachine[] = [];
  readonly sidecars: SoakMachine[] = [];
  readonly network: SoakNetwork;
  /** Back ends that are up, by machine. */
  readonly backends = new Map<string, SoakBackend>();
  private readonly byIp = new Map<string, string>();
  private lives = 0;
  private isDown = false;

  constructor(
    readonly plan: SoakPlan,
    private readonly places: SoakPlaces,
    private readonly judge: SoakJudge,
    private readonly random: Random,
  ) {
    this.network = new SoakNetwork((ip) => this.byIp.get(ip) ?? null);
    mkdirSync(places.folder, { recursive: true });
    for (const machine of plan.directories) this.directories.push(this.addMachine(machine, true));
    for (const machine of plan.sidecars) this.sidecars.push(this.addMachine(machine, false));
  }

  /** Where the operator reaches the replicas. */
  get operatorAddresses(): SocketAddress[] {
    return this.directories.map(({ advertisedIp }) => ({ host: advertisedIp, port: STAND_IN_PORTS.control }));
  }

  /** Starts relays, daemons and back ends. */
  async up(): Promise<void> {
    for (const { name, advertisedIp, ip } of this.directories) {
      await this.network.relay(name, advertisedIp, ip, STAND_IN_PORTS.replicas);
      await this.network.relay(name, advertisedIp, ip, STAND_IN_PORTS.control);
    }
    for (const { name, advertisedIp, ip } of this.sidecars) {
      await this.network.relay(name, advertisedIp, ip, STAND_IN_PORTS.links);
    }
    for (const machine of [...this.directories, ...this.sidecars]) this.start(machine, true);
    for (const machine of this.plan.sidecars) await this.startBackend(machine);
  }

  /** Ends everything that was started, by its pid. */
  async down(): Promise<void> {
    this.isDown = true;
    for (const backend of this.backends.values()) await backend.crash();
    await Promise.all(
      [...this.directories, ...this.sidecars].map(async ({ process }) => await process.kill()),
    );
    this.network.close();
  }

  /** Starts a daemon with settings written anew. */
  start(machine: SoakMachine, firstStart = false): void {
    writeFileSync(this.settingsFile(machine.name), this.settingsOf(machine, firstStart));
    machine.process.start();
  }

  /** Starts a new life of the back end of a machine. */
  async startBackend(machine: SidecarMachine): Promise<void> {
    const ip = this.ipOf(machine.number, 0);
    this.lives += 1;
    const life = `${machine.name}-life-${this.lives}`;
    const backend: SoakBackend = new SoakBackend({
      // Every other life goes by the id that its machine's back ends share.
      id: this.lives % 2 === 0 ? machine.name : life,
      life,
      service: machine.service,
      zone: machine.zone,
      coldMs: this.backends.has(machine.name) ? STAND_IN_COLD_START.cold_start_s * MS_PER_SECOND : 0,
      keyed: this.plan.services.find(({ name }) => name === machine.service)?.keyed === true,
      grantMode: this.plan.grantMode,
      address: { host: ip, port: STAND_IN_PORTS.backend },
      control: { host: ip, port: STAND_IN_PORTS.control },
      judge: this.judge,
      random: this.random,
      onEndingRequest: () => void this.endBackend(machine, backend),
    });
    await backend.start();
    this.backends.set(machine.name, backend);
  }

  /** A back end has ended under a request, and is back after a while unless another has taken its place. */
  private async endBackend(machine: SidecarMachine, backend: SoakBackend): Promise<void> {
    await backend.crash();
    await pause(BACK_MS);
    if (!this.isDown && this.backends.get(machine.name) === backend) await this.startBackend(machine);
  }

  /** Has all back ends misbehave, or behave again. */
  misbehave(misbehaviour: Misbehaviour = WELL_BEHAVED): void {
    for (const backend of this.backends.values()) backend.misbehaviour = misbehaviour;
  }

  /** Has calls to all back ends be held up, or none. */
  holdUpCalls(heldUp: HeldUpCalls = NO_CALLS_HELD_UP): void {
    for (const backend of this.backends.values()) backend.heldUp = heldUp;
  }

  /** The directory that said last that it leads, or one of them. */
  leader(): SoakMachine | undefined {
    const named = this.directories.map((machine) => ({ machine, term: this.lastTermLed(machine.name) }));
    return named.sort((left, right) => right.term - left.term)[0]?.machine;
  }

  private lastTermLed(name: string): number {
    const lines = readFileSync(this.logFile(name), 'utf8').split('\n');
    const led = lines.findLast((line) => line.includes('"role":"leader"'));
    const term = /"term":(\d+)/.exec(led ?? '')?.[1];
    return term === undefined ? -1 : Number(term);
  }

  private addMachine({ name, number }: DirectoryMachine, hasDisk: boolean): SoakMachine {
    const ip = this.ipOf(number, 0);
    this.byIp.set(ip, name);
    const role = hasDisk ? 'directory' : 'sidecar';
    const environment = { ALDERTIDE_SETTINGS: this.settingsFile(name) };
    const command = [...NODE_OPTIONS, SUSPENDABLE, this.places.program, role];
    const process = new ManagedProcess(name, command, this.logFile(name), environment);
    const dataFolder = hasDisk ? join(this.places.folder, `${name}-data`) : null;
    if (dataFolder !== null) mkdirSync(dataFolder, { recursive: true });
    return { name, ip, advertisedIp: this.ipOf(number, 1), process, dataFolder, troubled: false };
  }

  private settingsOf(machine: SoakMachine, firstStart: boolean): string {
    const { plan } = this;
    const sidecar = plan.sidecars.find(({ name }) => name === machine.name);
    const directory = plan.directories.find(({ name }) => name === machine.name);
    const backend = { host: machine.ip, port: STAND_IN_PORTS.backend };
    return renderSettings({
      name: machine.name,
      zone: sidecar?.zone ?? directory?.zone ?? '',
      zones: [...new Set(plan.sidecars.map(({ zone }) => zone))],
      ip: machine.ip,
      advertisedIp: machine.advertisedIp,
      seeds: this.operatorAddresses,
      firstStart,
      toleratedLosses: plan.toleratedLosses,
      grantMode: plan.grantMode,
      backend: sidecar === undefined ? null : { address: backend, service: sidecar.service },
      dataFolder: machine.dataFolder,
    });
  }

  /** Side 0 holds the daemons, side 1 the relays in front of them. */
  private ipOf(number: number, side: 0 | 1): string {
    return `127.${20 + side}.${1 + (this.plan.seed % NETWORKS)}.${number}`;
  }

  private settingsFile(name: string): string {
    return join(this.places.folder, `${name}.toml`);
  }

  private logFile(name: string): string {
    return join(this.places.folder, `${name}.log`);
  }
}
