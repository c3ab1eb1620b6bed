/**
 * A whole fleet on virtual time: real directory replicas and real sidecars, simulated links, callers and back ends. It
 * shows what daemons do together when a back end ends, most of all under a request that ends every one that runs it.
 */
import type { ConfigurationItem, GrantMode } from '../../../src/directory/directory-state.js';
import { SILENT_EVENT_LOG, type EventLog } from '../../../src/telemetry/event-log.js';
import { Random } from '../../random.js';
import { SoakJudge, type SoakViolation } from '../../soak/soak-judge.js';
import { EventQueue } from '../event-queue.js';
import { SimDirectory } from '../sim-directory.js';
import type { FleetRun } from './fleet-backend.js';
import { FleetCallers, routeOf, type FleetRequestRecord, type FleetTry } from './fleet-callers.js';
import { FleetLinks } from './fleet-links.js';
import { FleetMachine } from './fleet-machine.js';
import type { FleetSpec, FleetTraffic } from './fleet-spec.js';

const REPLICAS = 3;
const TOLERATED_LOSSES = 1;
const ZONES = ['zone-1', 'zone-2'] as const;

/** Bounds that the judge goes by, as the daemons' settings give them, and pause between its looks, in ms. */
const DRAIN_MS = 2_000;
const APPLY_MS = 2_000;
const EVACUATION_MS = 5_000;
const LOOK_MS = 50;

/** When the configuration is there and every back end has its keys, in ms; traffic should begin after that. */
export const FLEET_READY_MS = 6_000;

/** When the first configuration is proposed, and pause until it is proposed again, in ms. */
const CONFIGURE_AT_MS = 2_000;
const CONFIGURE_RETRY_MS = 300;

/** The end of a back end. */
export interface FleetEnd {
  readonly instance: string;
  readonly atMs: number;
  /** Kinds of requests that ran there. */
  readonly under: readonly string[];
}

/** The fleet. */
export class FleetWorld {
  readonly queue = new EventQueue();
  readonly random: Random;
  readonly directory: SimDirectory;
  readonly machines: readonly FleetMachine[];
  readonly callers: FleetCallers;
  readonly runs: FleetRun[] = [];
  private readonly judge = new SoakJudge(DRAIN_MS, APPLY_MS, EVACUATION_MS, () => true);
  /** Version of the software of back ends that start from now on. */
  version = 'v1';
  private readonly grantModes = new Map<string, GrantMode>();
  private configurationVersion = 1;

  constructor(
    seed: number,
    readonly spec: FleetSpec,
    log: EventLog = SILENT_EVENT_LOG,
  ) {
    this.random = new Random(seed);
    const size = {
      replicas: REPLICAS,
      seeds: REPLICAS,
      toleratedLosses: TOLERATED_LOSSES,
      snapshotEveryEntries: 100,
    };
    this.directory = new SimDirectory(this.queue, this.random, size);
    const links = new FleetLinks(this.directory.network);
    const ports = {
      directory: this.directory,
      links,
      log,
      slots: spec.slots,
      backAfterMs: spec.backAfterMs,
      backend: {
        queue: this.queue,
        random: this.random,
        slots: spec.slots,
        judge: this.judge,
        trafficOf: (path: string) => this.trafficOf(path),
        grantMode: (service: string) => this.grantModeOf(service),
        onRun: (run: FleetRun) => this.runs.push(run),
      },
      version: () => this.version,
    };
    this.machines = spec.services.flatMap((service, at) =>
      Array.from({ length: service.backends }, (_, copy) => {
        const zone = ZONES[copy % ZONES.length] ?? ZONES[0];
        return new FleetMachine(`${service.name}-${copy}`, `10.1.${at}.${copy + 1}`, zone, service, ports);
      }),
    );
    this.callers = new FleetCallers(this.queue, this.random, this.machines);
  }

  /** Promises that were broken: owners of keys, runs of what must not be repeated. */
  get violations(): readonly SoakViolation[] {
    return this.judge.violations;
  }

  /** Starts everything, and waits until it is ready for traffic. */
  async start(): Promise<void> {
    await this.directory.start();
    for (const machine of this.machines) {
      await machine.start();
      machine.startBackend();
    }
    this.queue.at(CONFIGURE_AT_MS, () => {
      this.sendUntilTaken(this.items(), () => undefined);
    });
    this.look();
    await this.runUntil(FLEET_READY_MS);
  }

  /** Lets all kinds of requests come until a time, and back ends end by themselves where the spec says so. */
  startTraffic(untilMs: number): void {
    for (const traffic of this.spec.traffic) this.callers.start(traffic, untilMs);
    const everyMs = this.spec.endsByItselfEveryMs;
    if (everyMs === null) return;
    const next = (): void => {
      if (this.queue.nowMs >= untilMs) return;
      // One that works is the harder case: whatever it works on was there when it ended.
      const busy = this.machines.filter(({ backend }) => backend?.busy === true);
      this.random.pick(busy.length > 0 ? busy : this.machines).endBackend();
      this.queue.at(this.queue.nowMs + everyMs, next);
    };
    this.queue.at(this.queue.nowMs + everyMs, next);
  }

  /** Runs events up to a time, each followed by everything that it has set off without time passing. */
  async runUntil(untilMs: number): Promise<void> {
    while (this.queue.runNext(untilMs)) await new Promise((resolve) => setImmediate(resolve));
  }

  /** Cuts a machine off from all replicas, both ways; other machines reach it. */
  cutFromDirectory({ name }: FleetMachine): void {
    const { network, replicas } = this.directory;
    for (const replica of replicas) {
      network.cut(name, replica.process.name);
      network.cut(replica.process.name, name);
    }
  }

  /** What a machine sends to the replicas is held up; it hears them. */
  muteToDirectory({ name }: FleetMachine): void {
    const { network, replicas } = this.directory;
    for (const replica of replicas) network.cut(name, replica.process.name);
  }

  /** What was held up arrives, and from now on the machine hears nothing of the replicas. */
  deafenToDirectory({ name }: FleetMachine): void {
    const { network, replicas } = this.directory;
    for (const { process } of replicas) {
      network.heal(name, process.name);
      network.cut(process.name, name);
    }
  }

  /** All replicas and all daemons lose power at one moment; back ends live on. Each is back after a time of its own. */
  losePower(downMs: () => number): void {
    const { replicas } = this.directory;
    for (const replica of replicas) this.directory.strike('crash', replica, downMs());
    for (const machine of this.machines) {
      if (machine.node === null) continue;
      machine.crash();
      this.queue.at(this.queue.nowMs + downMs(), () => {
        if (machine.node === null) void machine.start();
      });
    }
  }

  /** The operator changes how the keys of a service are granted; back ends go by that once it is acknowledged. */
  changeGrantMode(service: string, grantMode: GrantMode): void {
    this.configurationVersion += 1;
    const version = this.configurationVersion;
    const items = this.items().map((item) => {
      if (item.kind !== 'service' || item.name !== service || item.definition === null) return item;
      return { ...item, version, definition: { ...item.definition, grantMode } };
    });
    this.sendUntilTaken(items, () => {
      if (version === this.configurationVersion) this.grantModes.set(service, grantMode);
    });
  }

  /** The leader begins to move keys of a service; whether there was one. */
  beginMove(service: string, from: number, to: number, target: string): boolean {
    const leader = this.directory.leader();
    void leader?.propose({ kind: 'begin-range-moves', service, moves: [{ from, to, target }] });
    return leader !== null;
  }

  /** The leader ends a registration; the daemon there registers anew. */
  endRegistration(id: string): void {
    const leader = this.directory.leader();
    const session = leader?.state.instances.get(id)?.session;
    if (session !== undefined) void leader?.propose({ kind: 'unregister', sessions: [{ id, session }] });
  }

  /** Ends all cuts. */
  heal(): void {
    this.directory.network.healAll();
  }

  /** Ends of back ends, in the order of time. */
  ends(): readonly FleetEnd[] {
    const ends = new Map<string, { instance: string; atMs: number; under: string[] }>();
    for (const { end, instance, endMs, traffic } of this.runs) {
      if (end !== 'backend-ended') continue;
      const known = ends.get(instance) ?? { instance, atMs: endMs, under: [] };
      ends.set(instance, known);
      known.under.push(traffic);
    }
    return [...ends.values()].sort((left, right) => left.atMs - right.atMs);
  }

  /** Share of the requests of one kind that were served, among those that came in a span of time. */
  servedShare(traffic: string, fromMs = 0, untilMs = Infinity): number {
    const sent = this.requestsOf(traffic).filter(({ atMs }) => atMs >= fromMs && atMs < untilMs);
    return sent.filter(({ served }) => served).length / Math.max(1, sent.length);
  }

  /** Tries that came in at one machine. */
  triesAt(machine: string): readonly FleetTry[] {
    return this.callers.requests.flatMap(({ tries }) => tries.filter((one) => one.machine === machine));
  }

  /** Requests of one kind. */
  requestsOf(traffic: string): readonly FleetRequestRecord[] {
    return this.callers.requests.filter((request) => request.traffic === traffic);
  }

  /** Runs of one kind that began after a time. */
  runsSince(traffic: string, sinceMs: number): readonly FleetRun[] {
    return this.runs.filter((run) => run.traffic === traffic && run.atMs > sinceMs);
  }

  private look(): void {
    this.judge.checkOverlaps(this.queue.nowMs);
    this.queue.at(this.queue.nowMs + LOOK_MS, () => {
      this.look();
    });
  }

  private grantModeOf(service: string): GrantMode {
    const known = this.grantModes.get(service);
    const first = this.spec.services.find(({ name }) => name === service)?.grantMode;
    return known ?? first ?? 'heartbeat';
  }

  private trafficOf(path: string): FleetTraffic {
    const traffic = this.spec.traffic.find(({ name }) => path.startsWith(`/${name}/`));
    if (traffic === undefined) throw new Error(`invariant broken: no requests of ${path}`);
    return traffic;
  }

  /** Sends a change again and again, as an operator does. */
  private sendUntilTaken(items: readonly ConfigurationItem[], onTaken: () => void): void {
    const again = (): void => {
      this.queue.at(this.queue.nowMs + CONFIGURE_RETRY_MS, () => {
        this.sendUntilTaken(items, onTaken);
      });
    };
    const leader = this.directory.leader();
    if (leader === null) {
      again();
      return;
    }
    void leader.propose({ kind: 'configure-items', items }).then((outcome) => {
      if (outcome.ok && outcome.val.kind === 'done') onTaken();
      else again();
    });
  }

  private items(): ConfigurationItem[] {
    const services = this.spec.services.map(({ name, keyed, grantMode }): ConfigurationItem => {
      const definition = { maxConnections: 100, keyed, grantMode, coldStart: null, healthPath: '/health' };
      return { kind: 'service', name, version: 1, source: '', definition };
    });
    const routes = this.spec.traffic.map((traffic): ConfigurationItem => {
      return { kind: 'route', name: traffic.name, version: 1, source: '', definition: routeOf(traffic) };
    });
    return [...services, ...routes];
  }
}
