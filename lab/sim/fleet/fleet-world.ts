/**
 * A fleet on virtual time: real directory replicas and sidecars, simulated links, callers and back ends. It tests how the
 * daemons react when a back end ends, in particular under a request that ends every back end that runs it.
 */
import type { ConfigurationItem, GrantMode } from '../../../src/directory/directory-state.js';
import { SILENT_EVENT_LOG, type EventLog } from '../../../src/telemetry/event-log.js';
import { Random } from '../../random.js';
import { SoakJudge, type SoakViolation } from '../../soak/soak-judge.js';
import { EventQueue } from '../event-queue.js';
import { SimDirectory } from '../sim-directory.js';
import { readSignals } from '../../../src/sidecar/backend-signals.js';
import { DEFAULT_HEADER_DIALECT, headerValue } from '../../../src/sidecar/header-dialect.js';
import type { AnswerHead } from '../../../src/link/link-messages.js';
import { LIFE_HEADER, type FleetRun } from './fleet-backend.js';
import { FleetCallers, routeOf, type FleetRequestRecord, type FleetAttempt } from './fleet-callers.js';
import { FleetLinks } from './fleet-links.js';
import { FleetMachine } from './fleet-machine.js';
import type { FleetSpec, FleetTraffic } from './fleet-spec.js';

const REPLICAS = 3;
const TOLERATED_LOSSES = 1;
const ZONES = ['zone-1', 'zone-2'] as const;

/** Time limits of the judge, equal to the daemons' settings, and interval between its checks, in ms. */
const DRAIN_MS = 2_000;
const APPLY_MS = 2_000;
const EVACUATION_MS = 5_000;
const CHECK_INTERVAL_MS = 50;

/** Time in ms at which the configuration is in force and every back end holds its keys; earliest start of traffic. */
export const FLEET_READY_MS = 6_000;

/** Time at which the first configuration is proposed, and interval between retries, in ms. */
const CONFIGURE_AT_MS = 2_000;
const CONFIGURE_RETRY_DELAY_MS = 300;

/** Time in ms after which a proposal without an outcome is repeated: its leader may have ended. */
const CONFIGURE_TIMEOUT_MS = 1_000;

/** The end of a back-end incarnation while it was running requests. */
export interface BackendEnd {
  readonly instance: string;
  readonly atMs: number;
  /** Kinds of the requests that it was running. */
  readonly under: readonly string[];
}

/** A simulated fleet. */
export class FleetWorld {
  readonly queue = new EventQueue();
  readonly random: Random;
  readonly directory: SimDirectory;
  readonly machines: readonly FleetMachine[];
  readonly callers: FleetCallers;
  readonly runs: FleetRun[] = [];
  private readonly judge = new SoakJudge(DRAIN_MS, APPLY_MS, EVACUATION_MS, () => true);
  /** Software version of back ends that start from now on. */
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
      restartDelayMs: spec.restartDelayMs,
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
    this.callers = new FleetCallers(this.queue, this.random, this.machines, {
      requestSent: (requestId, machine) => {
        this.judge.toldLeaves.requestSent(requestId, machine, this.queue.nowMs);
      },
      answerReceived: (machine, head) => {
        this.recordSignals(machine, head);
      },
    });
  }

  /** Broken guarantees, such as keys with two owners and repeated runs of non-idempotent requests. */
  get violations(): readonly SoakViolation[] {
    return this.judge.violations;
  }

  /** Starts all daemons and back ends and runs until the fleet is ready for traffic. */
  async start(): Promise<void> {
    await this.directory.start();
    for (const machine of this.machines) {
      await machine.start();
      machine.startBackend();
    }
    this.queue.at(CONFIGURE_AT_MS, () => {
      this.proposeUntilAccepted(this.items(), () => undefined);
    });
    this.checkPeriodically();
    await this.runUntil(FLEET_READY_MS);
  }

  /** Starts traffic of all kinds until `untilMs`, and spontaneous ends of back ends if the spec has them. */
  startTraffic(untilMs: number): void {
    for (const traffic of this.spec.traffic) this.callers.start(traffic, untilMs);
    const intervalMs = this.spec.spontaneousEndIntervalMs;
    if (intervalMs === null) return;
    const next = (): void => {
      if (this.queue.nowMs >= untilMs) return;
      // Prefer a busy back end: the requests in flight there may be suspected of having ended it.
      const busy = this.machines.filter(({ backend }) => backend?.busy === true);
      this.random.pick(busy.length > 0 ? busy : this.machines).endBackend();
      this.queue.at(this.queue.nowMs + intervalMs, next);
    };
    this.queue.at(this.queue.nowMs + intervalMs, next);
  }

  /** Runs events up to `untilMs`, after each also the microtasks and immediates that it queued. */
  async runUntil(untilMs: number): Promise<void> {
    while (this.queue.runNext(untilMs)) await new Promise((resolve) => setImmediate(resolve));
  }

  /** Cuts a machine off from all replicas in both directions; other machines still reach it. */
  cutFromDirectory({ name }: FleetMachine): void {
    const { network, replicas } = this.directory;
    for (const replica of replicas) {
      network.cut(name, replica.process.name);
      network.cut(replica.process.name, name);
    }
  }

  /** Delays everything that a machine sends to the replicas; it still receives from them. */
  blockSendingToDirectory({ name }: FleetMachine): void {
    const { network, replicas } = this.directory;
    for (const replica of replicas) network.cut(name, replica.process.name);
  }

  /** Lets the delayed messages to the replicas arrive, and stops the machine from receiving from them. */
  blockReceivingFromDirectory({ name }: FleetMachine): void {
    const { network, replicas } = this.directory;
    for (const { process } of replicas) {
      network.heal(name, process.name);
      network.cut(process.name, name);
    }
  }

  /** Crashes all replicas and daemons at once; back ends keep running. Each restarts after a separately drawn time. */
  losePower(downMs: () => number): void {
    const { replicas } = this.directory;
    for (const replica of replicas) this.directory.injectFault('crash', replica, downMs());
    for (const machine of this.machines) {
      if (machine.node === null) continue;
      machine.crash();
      this.queue.at(this.queue.nowMs + downMs(), () => {
        if (machine.node === null) void machine.start();
      });
    }
  }

  /**
   * Ends all replicas, daemons and back ends at once. Back ends start after the spec's restart delay, replicas and
   * daemons after separately drawn times.
   */
  loseAllPower(downMs: () => number): void {
    for (const machine of this.machines) machine.endBackend();
    this.losePower(downMs);
  }

  /** Changes the grant mode of a service; back ends follow it once the change is acknowledged. */
  changeGrantMode(service: string, grantMode: GrantMode): void {
    this.configurationVersion += 1;
    const version = this.configurationVersion;
    const items = this.items().map((item) => {
      if (item.kind !== 'service' || item.name !== service || item.definition === null) return item;
      return { ...item, version, definition: { ...item.definition, grantMode } };
    });
    this.proposeUntilAccepted(items, () => {
      if (version === this.configurationVersion) this.grantModes.set(service, grantMode);
    });
  }

  /** Proposes a move of keys of a service to the leader; returns whether there is a leader. */
  beginMove(service: string, from: number, to: number, target: string): boolean {
    const leader = this.directory.leader();
    void leader?.propose({ kind: 'begin-range-moves', service, moves: [{ from, to, target }] });
    return leader !== null;
  }

  /** Proposes the end of a registration to the leader; the daemon concerned registers again. */
  endRegistration(id: string): void {
    const leader = this.directory.leader();
    const session = leader?.state.instances.get(id)?.session;
    if (session !== undefined) void leader?.propose({ kind: 'unregister', sessions: [{ id, session }] });
  }

  /** Cuts a machine off from all other machines of the fleet in both directions; it still reaches the replicas. */
  cutFromMachines({ name }: FleetMachine): void {
    const { network } = this.directory;
    for (const other of this.machines) {
      if (other.name === name) continue;
      network.cut(name, other.name);
      network.cut(other.name, name);
    }
  }

  /** Removes all cuts. */
  heal(): void {
    this.directory.network.healAll();
  }

  /** Ends of busy back ends, ordered by time. */
  ends(): readonly BackendEnd[] {
    const ends = new Map<string, { instance: string; atMs: number; under: string[] }>();
    for (const { end, instance, endMs, traffic } of this.runs) {
      if (end !== 'backend-ended') continue;
      const known = ends.get(instance) ?? { instance, atMs: endMs, under: [] };
      ends.set(instance, known);
      known.under.push(traffic);
    }
    return [...ends.values()].sort((left, right) => left.atMs - right.atMs);
  }

  /** Fraction of served requests of one kind, among those sent in a time span. */
  servedShare(traffic: string, fromMs = 0, untilMs = Infinity): number {
    const sent = this.requestsOf(traffic).filter(({ atMs }) => atMs >= fromMs && atMs < untilMs);
    return sent.filter(({ served }) => served).length / Math.max(1, sent.length);
  }

  /** Callers' attempts at one machine. */
  attemptsAt(machine: string): readonly FleetAttempt[] {
    return this.callers.requests.flatMap(({ attempts }) =>
      attempts.filter((attempt) => attempt.machine === machine),
    );
  }

  /** Requests of one kind. */
  requestsOf(traffic: string): readonly FleetRequestRecord[] {
    return this.callers.requests.filter((request) => request.traffic === traffic);
  }

  /** Runs of one kind of request that started after `sinceMs`. */
  runsSince(traffic: string, sinceMs: number): readonly FleetRun[] {
    return this.runs.filter((run) => run.traffic === traffic && run.atMs > sinceMs);
  }

  private recordSignals(machine: string, { headers }: AnswerHead): void {
    const life = headerValue(headers, LIFE_HEADER);
    if (life === null) return;
    const { limit, leaving } = readSignals(headers, DEFAULT_HEADER_DIALECT);
    const { nowMs } = this.queue;
    if (limit.kind === 'limited') this.judge.requestLimits.told(life, limit.requestsPerSecond, nowMs);
    if (leaving) this.judge.toldLeaves.answerPassedOn(life, machine, nowMs);
  }

  private checkPeriodically(): void {
    this.judge.checkOverlaps(this.queue.nowMs);
    this.queue.at(this.queue.nowMs + CHECK_INTERVAL_MS, () => {
      this.checkPeriodically();
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

  /** Proposes a change until it is accepted, as an operator does. */
  private proposeUntilAccepted(items: readonly ConfigurationItem[], onAccepted: () => void): void {
    let isSettled = false;
    const retry = (): void => {
      if (isSettled) return;
      isSettled = true;
      this.queue.at(this.queue.nowMs + CONFIGURE_RETRY_DELAY_MS, () => {
        this.proposeUntilAccepted(items, onAccepted);
      });
    };
    const leader = this.directory.leader();
    if (leader === null) {
      retry();
      return;
    }
    void leader.propose({ kind: 'configure-items', items }).then((outcome) => {
      const isAccepted = outcome.ok && outcome.val.kind === 'done';
      if (isAccepted && !isSettled) onAccepted();
      else retry();
      isSettled = true;
    });
    this.queue.at(this.queue.nowMs + CONFIGURE_TIMEOUT_MS, retry);
  }

  private items(): ConfigurationItem[] {
    const services = this.spec.services.map((service): ConfigurationItem => {
      const { name, keyed, grantMode, healthPath = '/health' } = service;
      const definition = { maxConnections: 100, keyed, grantMode, coldStart: null, healthPath };
      return { kind: 'service', name, version: 1, source: '', definition };
    });
    const routes = this.spec.traffic.map((traffic): ConfigurationItem => {
      return { kind: 'route', name: traffic.name, version: 1, source: '', definition: routeOf(traffic) };
    });
    return [...services, ...routes];
  }
}
