/** The machines of a soak: the real programs as processes, their settings files, relays and back ends. */
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { SocketAddress } from '../../src/model/socket-address.js';
import { renderSettings, STAND_IN_COLD_START, STAND_IN_PORTS } from '../../platform/stand-in-wire.js';
import { DAEMON_NODE_OPTIONS } from '../fleet/daemon-options.js';
import { ManagedProcess } from '../fleet/managed-process.js';
import { pause } from '../pause.js';
import type { Random } from '../random.js';
import {
  NO_DELAYED_CALLS,
  SoakBackend,
  NO_ANSWER_FAULTS,
  type DelayedCalls,
  type AnswerFaults,
} from './soak-backend.js';
import { StallLog } from './large/stall-log.js';
import type { SoakJudge } from './soak-judge.js';
import { SoakNetwork } from './soak-network.js';
import type { DirectoryMachine, SidecarMachine, SoakPlan } from './soak-plan.js';

const MS_PER_SECOND = 1_000;

/** Module that runs the program on a clock that can be suspended. */
const SUSPENDABLE_PROGRAM = fileURLToPath(new URL('./suspendable-program.js', import.meta.url));

/** Time in ms after which a back end that a request crashed is restarted. */
const CRASH_RESTART_MS = 1_500;

/** Number of loopback networks, for soaks that run in parallel. */
const NETWORKS = 200;

/** Second number of the loopback addresses of most soaks. */
const USUAL_NETWORK_GROUP = 20;

/** A machine of a soak and its daemon process. */
export interface SoakMachine {
  readonly name: string;
  readonly ip: string;
  readonly advertisedIp: string;
  readonly process: ManagedProcess;
  /** Null on machines of back ends. */
  readonly dataFolder: string | null;
  /** Whether a trouble affects the machine at present. */
  troubled: boolean;
}

/** Paths of the program and of the files that a fleet writes. */
export interface SoakPaths {
  /** Bundled program of the platform. */
  readonly program: string;
  readonly folder: string;
}

/** All machines of a soak. */
export class SoakFleet {
  readonly directories: SoakMachine[] = [];
  readonly sidecars: SoakMachine[] = [];
  readonly network: SoakNetwork;
  /** Latest back end of each machine. */
  readonly backends = new Map<string, SoakBackend>();
  /** Latest start of a back end of each machine; the next one follows it. */
  private readonly backendStarts = new Map<string, Promise<void>>();
  private readonly namesByIp = new Map<string, string>();
  /** Stalls of the process of the soak, in which callers and back ends run. */
  readonly stalls = new StallLog(() => performance.now());
  private lives = 0;
  private isDown = false;

  constructor(
    readonly plan: SoakPlan,
    private readonly paths: SoakPaths,
    private readonly judge: SoakJudge,
    private readonly random: Random,
  ) {
    this.network = new SoakNetwork((ip) => this.namesByIp.get(ip) ?? null);
    mkdirSync(paths.folder, { recursive: true });
    for (const machine of plan.directories) this.directories.push(this.addMachine(machine, true));
    for (const machine of plan.sidecars) this.sidecars.push(this.addMachine(machine, false));
  }

  /** Addresses at which the operator reaches the replicas. */
  get operatorAddresses(): SocketAddress[] {
    return this.directories.map(({ advertisedIp }) => ({ host: advertisedIp, port: STAND_IN_PORTS.control }));
  }

  /** Starts relays, daemons and back ends. */
  async up(): Promise<void> {
    this.stalls.start();
    if (this.plan.isRelayed) await this.startRelays();
    for (const machine of [...this.directories, ...this.sidecars]) this.start(machine, true);
    for (const machine of this.plan.sidecars) await this.startBackend(machine);
  }

  private async startRelays(): Promise<void> {
    for (const { name, advertisedIp, ip } of this.directories) {
      await this.network.relay(name, advertisedIp, ip, STAND_IN_PORTS.replicas);
      await this.network.relay(name, advertisedIp, ip, STAND_IN_PORTS.control);
    }
    for (const { name, advertisedIp, ip } of this.sidecars) {
      await this.network.relay(name, advertisedIp, ip, STAND_IN_PORTS.links);
    }
  }

  /** Stops everything that was started; processes are killed by their pid. */
  async down(): Promise<void> {
    this.isDown = true;
    this.stalls.stop();
    for (const backend of this.backends.values()) await backend.crash();
    await Promise.all(
      [...this.directories, ...this.sidecars].map(async ({ process }) => await process.kill()),
    );
    this.network.close();
  }

  /** Starts a daemon after rewriting its settings, unless an overlapping trouble has started it already. */
  start(machine: SoakMachine, firstStart = false): void {
    if (machine.process.running) return;
    writeFileSync(this.settingsFile(machine.name), this.settingsOf(machine, firstStart));
    machine.process.start();
  }

  /** Excuses the daemon of a machine, after a restart or a freeze, from the leaves that it has passed on. */
  excuse({ name }: SoakMachine): void {
    this.judge.toldLeaves.excuse(name);
  }

  /**
   * Starts a new incarnation of the back end of a machine, whose heartbeats may be held back from the first on. The one before
   * it crashes if it is still up: both have the same address.
   */
  async startBackend(
    machine: SidecarMachine,
    options: { readonly holdsHeartbeats?: boolean } = {},
  ): Promise<void> {
    const before = this.backendStarts.get(machine.name) ?? Promise.resolve();
    const start = before.then(async () => {
      await this.backends.get(machine.name)?.crash();
      await this.addBackend(machine, options.holdsHeartbeats ?? false);
    });
    this.backendStarts.set(machine.name, start);
    await start;
  }

  private async addBackend(machine: SidecarMachine, holdsHeartbeats: boolean): Promise<void> {
    const ip = this.ipOf(machine.number, 0);
    this.lives += 1;
    const life = `${machine.name}-life-${this.lives}`;
    const backend: SoakBackend = new SoakBackend({
      // Every second incarnation uses the id that the back ends of its machine share.
      id: this.lives % 2 === 0 ? machine.name : life,
      life,
      machine: machine.name,
      service: machine.service,
      slots: this.plan.slots,
      zone: machine.zone,
      coldMs: this.backends.has(machine.name) ? STAND_IN_COLD_START.cold_start_s * MS_PER_SECOND : 0,
      keyed: this.plan.services.find(({ name }) => name === machine.service)?.keyed === true,
      grantMode: this.plan.grantMode,
      address: { host: ip, port: STAND_IN_PORTS.backend },
      control: { host: ip, port: STAND_IN_PORTS.control },
      judge: this.judge,
      random: this.random,
      stalls: this.stalls,
      onCrashingRequest: () => void this.restartCrashedBackend(machine, backend),
    });
    if (holdsHeartbeats) backend.holdHeartbeats();
    await backend.start();
    this.backends.set(machine.name, backend);
  }

  /** Crashes a back end and restarts it after a delay, unless another one has replaced it. */
  private async restartCrashedBackend(machine: SidecarMachine, backend: SoakBackend): Promise<void> {
    await backend.crash();
    await pause(CRASH_RESTART_MS);
    if (!this.isDown && this.backends.get(machine.name) === backend) await this.startBackend(machine);
  }

  /** Sets the answer faults of all back ends; without an argument, removes them. */
  setAnswerFaults(faults: AnswerFaults = NO_ANSWER_FAULTS): void {
    for (const backend of this.backends.values()) backend.answerFaults = faults;
  }

  /** Sets the delayed calls of all back ends; without an argument, delays none. */
  setDelayedCalls(calls: DelayedCalls = NO_DELAYED_CALLS): void {
    for (const backend of this.backends.values()) backend.delayedCalls = calls;
  }

  /** Returns the directory that logged leadership of the highest term, or any of them. */
  leader(): SoakMachine | undefined {
    const machines = this.directories.map((machine) => ({ machine, term: this.lastLedTerm(machine.name) }));
    return machines.sort((left, right) => right.term - left.term)[0]?.machine;
  }

  private lastLedTerm(name: string): number {
    const lines = readFileSync(this.logFile(name), 'utf8').split('\n');
    const leaderLine = lines.findLast((line) => line.includes('"role":"leader"'));
    const term = /"term":(\d+)/.exec(leaderLine ?? '')?.[1];
    return term === undefined ? -1 : Number(term);
  }

  private addMachine({ name, number }: DirectoryMachine, hasDisk: boolean): SoakMachine {
    const ip = this.ipOf(number, 0);
    this.namesByIp.set(ip, name);
    const role = hasDisk ? 'directory' : 'sidecar';
    const environment = { ALDERTIDE_SETTINGS: this.settingsFile(name) };
    const command = [...DAEMON_NODE_OPTIONS, SUSPENDABLE_PROGRAM, this.paths.program, role];
    const process = new ManagedProcess(name, command, this.logFile(name), environment);
    const dataFolder = hasDisk ? join(this.paths.folder, `${name}-data`) : null;
    if (dataFolder !== null) mkdirSync(dataFolder, { recursive: true });
    return {
      name,
      ip,
      advertisedIp: this.ipOf(number, this.plan.isRelayed ? 1 : 0),
      process,
      dataFolder,
      troubled: false,
    };
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
      ...(sidecar === undefined || plan.linkMbps === undefined ? {} : { linkMbps: plan.linkMbps }),
      ...(plan.memoryMb === undefined ? {} : { memoryMb: plan.memoryMb }),
      ...(sidecar === undefined && plan.hasMetrics === true
        ? { metrics: `${STAND_IN_PORTS.metrics}/metrics` }
        : {}),
    });
  }

  /** Daemons use addresses of side 0, the relays in front of them those of side 1. */
  private ipOf(number: number, side: 0 | 1): string {
    return `127.${(this.plan.networkGroup ?? USUAL_NETWORK_GROUP) + side}.${1 + (this.plan.seed % NETWORKS)}.${number}`;
  }

  private settingsFile(name: string): string {
    return join(this.paths.folder, `${name}.toml`);
  }

  private logFile(name: string): string {
    return join(this.paths.folder, `${name}.log`);
  }
}
