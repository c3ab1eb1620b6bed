/**
 * One simulated directory: real replicas on virtual time, network and disks, the clients of sidecars that watch it,
 * and an operator. Faults come from a seed; what was acknowledged is held against what is in force at the end.
 */
import type { ConfigurationItem } from '../../src/directory/directory-state.js';
import type { DirectoryNode } from '../../src/directory/directory-node.js';
import { DirectoryClient } from '../../src/sidecar/directory-client.js';
import { DirectoryTable } from '../../src/sidecar/directory-table.js';
import { LeaseKeeper } from '../../src/sidecar/lease-keeper.js';
import { SILENT_EVENT_LOG } from '../../src/telemetry/event-log.js';
import { Random } from '../random.js';
import { EventQueue } from './event-queue.js';
import {
  SIM_TOKEN,
  SimDirectory,
  type DirectoryFault,
  type SimDirectorySize,
  type SimReplica,
} from './sim-directory.js';
import type { SimProcess } from './sim-process.js';
import { simRuntime } from './sim-runtime.js';

const CLIENTS = 3;
const TOLERATED_LOSSES = 2;
const SERVICE = 'stock';

/** The directory of most plays. */
export const USUAL_SIZE: SimDirectorySize = {
  replicas: 5,
  seeds: 3,
  toleratedLosses: TOLERATED_LOSSES,
  snapshotEveryEntries: 25,
};

/** Eleven replicas that have little processor time: what a message costs at 0.4 of a core. */
export const BUSY_SIZE: SimDirectorySize = {
  replicas: 11,
  seeds: 3,
  toleratedLosses: TOLERATED_LOSSES,
  snapshotEveryEntries: 25,
  workMsPerKilobyte: 0.8,
};

/** One sidecar's view, over one life. */
interface SimWatcher {
  readonly name: string;
  readonly process: SimProcess;
  readonly table: DirectoryTable;
  readonly lease: LeaseKeeper;
}

/** A simulated directory. */
export class DirectoryWorld {
  readonly queue = new EventQueue();
  readonly random: Random;
  readonly directory: SimDirectory;
  readonly watchers: SimWatcher[] = [];
  readonly violations: string[] = [];
  /** Highest version of each item that was acknowledged. */
  readonly acknowledged = new Map<string, number>();
  /** Zones whose evacuation was acknowledged, and not its end. */
  private readonly evacuated = new Set<string>();
  private evacuationUnderWay = false;
  /** Whether the newest order has a clear outcome. */
  private evacuationIsCertain = true;
  private nextVersion = 1;
  private readonly orders: SimOrder[] = [];

  constructor(seed: number, size: SimDirectorySize = USUAL_SIZE) {
    this.random = new Random(seed);
    this.directory = new SimDirectory(this.queue, this.random, size);
  }

  /** The replicas. */
  get replicas(): readonly SimReplica[] {
    return this.directory.replicas;
  }

  /** Starts all replicas and watchers. */
  async start(): Promise<void> {
    await this.directory.start();
    for (let at = 0; at < CLIENTS; at += 1) this.startWatcher(`sidecar-${at}`);
  }

  /** Runs events up to a time, each followed by everything that it has set off without time passing. */
  async runUntil(untilMs: number): Promise<void> {
    while (this.queue.runNext(untilMs)) {
      await new Promise((resolve) => setImmediate(resolve));
      this.checkLeaders();
    }
  }

  /** The replica that leads the newest term, if any. */
  leader(): DirectoryNode | null {
    return this.directory.leader();
  }

  /** An operator changes one item; what is acknowledged is remembered. */
  change(name: string): void {
    const leader = this.leader();
    if (leader === null) return;
    const version = this.nextVersion;
    this.nextVersion += 1;
    void leader.propose({ kind: 'configure-items', items: [serviceItem(name, version)] }).then((outcome) => {
      if (outcome.ok && outcome.val.kind === 'done') this.acknowledged.set(name, version);
    });
  }

  /**
   * An operator begins the evacuation of a zone, or ends the one that stands; no further order follows before this one
   * has an outcome.
   */
  evacuate(zone: string): void {
    const leader = this.leader();
    if (leader === null || this.evacuationUnderWay) return;
    const evacuated = !this.evacuated.has(zone);
    this.evacuationUnderWay = true;
    void leader.propose({ kind: 'set-evacuation', zone, evacuated }).then((outcome) => {
      this.evacuationUnderWay = false;
      this.evacuationIsCertain = outcome.ok;
      if (!outcome.ok) return;
      if (evacuated) this.evacuated.add(zone);
      else this.evacuated.delete(zone);
    });
  }

  /** An operator sends one change, to one replica after the other, until it is acknowledged. */
  order(name: string): void {
    const order: SimOrder = {
      name,
      version: this.nextVersion,
      sentMs: this.queue.nowMs,
      acknowledgedMs: null,
    };
    this.nextVersion += 1;
    this.orders.push(order);
    this.sendOrder(order, this.random.below(this.replicas.length), 0);
  }

  /** Lets a fault strike, and repairs it after `lastsMs`. */
  strike(fault: DirectoryFault, replica: SimReplica, lastsMs: number): void {
    this.directory.strike(fault, replica, lastsMs);
  }

  /** All replicas lose power at once, and as many as is tolerated lose their disks as well. */
  losePower(): void {
    const lost = this.random.below(TOLERATED_LOSSES + 1);
    const count = this.replicas.length;
    const first = this.random.below(count);
    this.replicas.forEach((replica, at) => {
      const losesDisk = (at - first + count) % count < lost;
      this.strike(losesDisk ? 'lose-disk' : 'crash', replica, 300 + this.random.below(1_000));
    });
  }

  /** After everything was repaired: one leader, all that was acknowledged, and the same at every watcher. */
  judge(): void {
    const state = this.leader()?.state;
    if (state === undefined) {
      this.violations.push('no replica leads at the end');
      return;
    }
    for (const [name, version] of this.acknowledged) {
      const present = state.items.get(`service/${name}`)?.version ?? 0;
      if (present < version)
        this.violations.push(`${name} ${version} was acknowledged, ${present} is in force`);
    }
    this.judgeEvacuations(state.evacuatedZones);
    for (const { name, table, lease } of this.watchers) {
      if (table.instance(name) === undefined)
        this.violations.push(`${name} is not registered in its own table`);
      if (lease.session === null) this.violations.push(`${name} has no session`);
      const items = [...state.items.values()].filter(({ kind }) => kind === 'service');
      const missing = items.filter((item) => table.service(item.name) === null);
      if (missing.length > 0) this.violations.push(`${name} lacks ${missing.length} items`);
    }
  }

  private judgeEvacuations(present: ReadonlySet<string>): void {
    if (!this.evacuationIsCertain || this.evacuationUnderWay) return;
    const expected = [...this.evacuated].sort().join(',');
    const known = [...present].sort().join(',');
    if (known !== expected) this.violations.push(`evacuated: ${known}, acknowledged: ${expected}`);
    for (const { name, table } of this.watchers) {
      const missing = [...present].filter((zone) => !table.isEvacuated(zone));
      if (missing.length > 0)
        this.violations.push(`${name} knows nothing of the evacuation of ${missing.join()}`);
    }
  }

  /** Orders must be acknowledged within a bound once it is calm; `calmFromMs` is when all had been repaired for a while. */
  judgeOrders(calmFromMs: number): void {
    for (const { name, sentMs, acknowledgedMs } of this.orders) {
      const dueMs = Math.max(sentMs, calmFromMs) + ORDER_BOUND_MS;
      if (acknowledgedMs !== null && acknowledgedMs <= dueMs) continue;
      const end = acknowledgedMs === null ? 'never' : `at ${Math.round(acknowledgedMs)} ms`;
      this.violations.push(`${name}, sent at ${Math.round(sentMs)} ms, was acknowledged ${end}`);
    }
  }

  /** One call; where there is no acknowledgement in time, the next replica is asked after a growing pause. */
  private sendOrder(order: SimOrder, at: number, failures: number): void {
    let open = true;
    const goOn = (next: number, pauseMs: number): void => {
      if (!open || order.acknowledgedMs !== null) return;
      open = false;
      this.queue.at(this.queue.nowMs + pauseMs, () => {
        this.sendOrder(order, next, failures + 1);
      });
    };
    const count = this.replicas.length;
    const elsewhere = (at + 1 + this.random.below(count - 1)) % count;
    const pauseMs = Math.min(LONGEST_ORDER_PAUSE_MS, FIRST_ORDER_PAUSE_MS * 2 ** failures);
    this.queue.at(this.queue.nowMs + ORDER_TIMEOUT_MS, () => {
      goOn(elsewhere, 0);
    });
    const replica = this.replicas[at];
    const node = replica?.process.alive === true && !replica.process.frozen ? replica.node : null;
    if (node === null) return;
    if (!node.leading) {
      const leader = this.replicas.findIndex(({ name }) => name === node.leaderAddress);
      if (leader >= 0 && leader !== at && node.hasRecentLeader) goOn(leader, ORDER_REDIRECT_MS);
      else goOn(elsewhere, pauseMs);
      return;
    }
    const items = [serviceItem(order.name, order.version)];
    void node.propose({ kind: 'configure-items', items }).then((outcome) => {
      if (outcome.ok) order.acknowledgedMs ??= this.queue.nowMs;
      else goOn(elsewhere, pauseMs);
    });
  }

  private startWatcher(name: string): void {
    const process = this.directory.makeProcess(name);
    process.start();
    const runtime = simRuntime(process, this.directory.network, () => this.directory.nextId());
    const table = new DirectoryTable();
    const identity = { role: 'sidecar', name, zone: 'zone', token: SIM_TOKEN } as const;
    const { seeds } = this.directory;
    let newest = 0;
    const client: DirectoryClient = new DirectoryClient(runtime, identity, seeds, table, SILENT_EVENT_LOG, {
      onTable: () => {
        if (table.index < newest) this.violations.push(`${name} went back to index ${table.index}`);
        newest = table.index;
      },
      onNotice: (notice) => {
        lease.receive(notice);
      },
      onConnected: () => {
        lease.reconnected();
      },
    });
    const lease = new LeaseKeeper({
      runtime,
      log: SILENT_EVENT_LOG,
      daemonAddress: `${name}:1`,
      otherIncarnation: (id) => table.otherIncarnation(id, `${name}:1`),
      heldIndex: () => table.heldIndex,
      send: (request) => client.send(request),
      takeLoad: () => [],
      hasQueuedRequests: () => false,
      onChange: () => undefined,
    });
    lease.update({ id: name, service: SERVICE, zone: 'zone', slots: 1, condition: 'ready', version: 'v1' });
    this.watchers.push({ name, process, table, lease });
  }

  /** Two replicas that lead the same term would both acknowledge. */
  private checkLeaders(): void {
    const terms = this.replicas.flatMap(({ node, process }) => {
      return process.alive && node?.leading === true ? [node.consensus?.core.term] : [];
    });
    if (new Set(terms).size !== terms.length) this.violations.push('two replicas lead the same term');
  }
}

function serviceItem(name: string, version: number): ConfigurationItem {
  const definition = { maxConnections: 1, keyed: false, grantMode: null, coldStart: null, healthPath: null };
  return { kind: 'service', name, version, source: `${version}`, definition };
}

/** Time in ms within which an order must be acknowledged in calm. */
const ORDER_BOUND_MS = 4_000;

/** Time in ms after which an operator asks another replica, and what a redirection takes. */
const ORDER_TIMEOUT_MS = 1_000;
const ORDER_REDIRECT_MS = 5;

/** Pauses in ms of an operator before it asks the next replica. */
const FIRST_ORDER_PAUSE_MS = 100;
const LONGEST_ORDER_PAUSE_MS = 1_000;

/** A change that an operator sends until it is acknowledged. */
interface SimOrder {
  readonly name: string;
  readonly version: number;
  readonly sentMs: number;
  acknowledgedMs: number | null;
}

const READY_MS = 4_000;
const EVACUATE_EVERY_MS = 450;
const FAULTS_UNTIL_MS = 16_000;
const CHANGE_EVERY_MS = 120;
/** All replicas lose power while changes are still made; faults that struck one alone are over by then. */
const POWER_LOSS_MS = 19_000;
const SETTLED_MS = 34_000;

/** Orders are sent until here; everything has run again for some seconds then. */
const ORDERS_UNTIL_MS = 29_000;
const ORDER_EVERY_MS = 700;

/** When everything is back after the loss of power, and the replicas have had a while: what is sent must be acknowledged. */
const CALM_FROM_MS = 24_000;
const FAULT_KINDS: readonly DirectoryFault[] = ['crash', 'lose-disk', 'freeze', 'cut', 'mute'];

/** Runs one seed; returns what was broken, and how many changes were acknowledged. */
export async function runDirectory(
  seed: number,
  size: SimDirectorySize = USUAL_SIZE,
): Promise<{ violations: string[]; acknowledged: number }> {
  const world = new DirectoryWorld(seed, size);
  await world.start();
  await world.runUntil(READY_MS);
  world.change('first');
  for (let atMs = READY_MS; atMs < POWER_LOSS_MS + CHANGE_EVERY_MS; atMs += CHANGE_EVERY_MS) {
    world.queue.at(atMs, () => {
      world.change(`item-${Math.floor(atMs / CHANGE_EVERY_MS) % 17}`);
    });
  }
  // Disks are lost one after the other, each with the time that a newcomer has to catch up.
  for (let atMs = READY_MS + 500; atMs < FAULTS_UNTIL_MS; atMs += 4_000) {
    world.queue.at(atMs, () => {
      const replica = world.replicas[world.random.below(world.replicas.length)];
      const fault = FAULT_KINDS[world.random.below(FAULT_KINDS.length)];
      if (replica !== undefined && fault !== undefined)
        world.strike(fault, replica, 300 + world.random.below(2_000));
    });
  }
  for (let atMs = READY_MS; atMs < POWER_LOSS_MS; atMs += EVACUATE_EVERY_MS) {
    world.queue.at(atMs, () => {
      world.evacuate(`zone-${world.random.below(2)}`);
    });
  }
  world.queue.at(POWER_LOSS_MS + world.random.below(CHANGE_EVERY_MS), () => {
    world.losePower();
  });
  for (let atMs = READY_MS; atMs < ORDERS_UNTIL_MS; atMs += ORDER_EVERY_MS) {
    world.queue.at(atMs, () => {
      world.order(`order-${atMs}`);
    });
  }
  await world.runUntil(SETTLED_MS);
  world.judge();
  world.judgeOrders(CALM_FROM_MS);
  return { violations: [...new Set(world.violations)], acknowledged: world.acknowledged.size };
}
