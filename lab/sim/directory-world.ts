/**
 * One simulated directory: real replicas on virtual time, network and disks, the directory clients of sidecars, and an
 * operator. Faults are drawn from a seed; at the end, acknowledged changes are compared with the state in force.
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

const WATCHERS = 3;
const TOLERATED_LOSSES = 2;
const SERVICE = 'stock';

/** Size of the directory in most simulations. */
export const DEFAULT_SIZE: SimDirectorySize = {
  replicas: 5,
  seeds: 3,
  toleratedLosses: TOLERATED_LOSSES,
  snapshotEveryEntries: 25,
};

/** Eleven replicas with little processor time: the processor time per message corresponds to 0.4 of a core. */
export const SLOW_CPU_SIZE: SimDirectorySize = {
  replicas: 11,
  seeds: 3,
  toleratedLosses: TOLERATED_LOSSES,
  snapshotEveryEntries: 25,
  workMsPerKilobyte: 0.8,
};

/** View of the directory that one incarnation of a sidecar has. */
interface SimWatcher {
  readonly name: string;
  readonly process: SimProcess;
  readonly table: DirectoryTable;
  readonly lease: LeaseKeeper;
}

/** A simulated directory with watchers and operators. */
export class DirectoryWorld {
  readonly queue = new EventQueue();
  readonly random: Random;
  readonly directory: SimDirectory;
  readonly watchers: SimWatcher[] = [];
  readonly violations: string[] = [];
  /** Highest acknowledged version by item name. */
  readonly acknowledged = new Map<string, number>();
  /** Zones whose evacuation was acknowledged and whose end was not. */
  private readonly evacuated = new Set<string>();
  private evacuationInFlight = false;
  /** Whether the outcome of the newest evacuation command is known. */
  private evacuationOutcomeKnown = true;
  private nextVersion = 1;
  private readonly operatorChanges: OperatorChange[] = [];

  constructor(seed: number, size: SimDirectorySize = DEFAULT_SIZE) {
    this.random = new Random(seed);
    this.directory = new SimDirectory(this.queue, this.random, size);
  }

  /** Replicas of the directory. */
  get replicas(): readonly SimReplica[] {
    return this.directory.replicas;
  }

  /** Starts all replicas and watchers. */
  async start(): Promise<void> {
    await this.directory.start();
    for (let at = 0; at < WATCHERS; at += 1) this.startWatcher(`sidecar-${at}`);
  }

  /** Runs events up to `untilMs`, after each also the microtasks and immediates that it queued. */
  async runUntil(untilMs: number): Promise<void> {
    while (this.queue.runNext(untilMs)) {
      await new Promise((resolve) => setImmediate(resolve));
      this.checkLeaders();
    }
  }

  /** Returns the leader of the newest term, or null. */
  leader(): DirectoryNode | null {
    return this.directory.leader();
  }

  /** Proposes a new version of one item, with a text of this many characters, and records its acknowledgement. */
  change(name: string, characters = 0): void {
    const leader = this.leader();
    if (leader === null) return;
    const version = this.nextVersion;
    this.nextVersion += 1;
    const items = [serviceItem(name, version, characters)];
    void leader.propose({ kind: 'configure-items', items }).then((outcome) => {
      if (outcome.ok && outcome.val.kind === 'done') this.acknowledged.set(name, version);
    });
  }

  /**
   * Starts the evacuation of a zone, or ends the one in force; ignored while an earlier evacuation command is in flight.
   */
  toggleEvacuation(zone: string): void {
    const leader = this.leader();
    if (leader === null || this.evacuationInFlight) return;
    const evacuated = !this.evacuated.has(zone);
    this.evacuationInFlight = true;
    void leader.propose({ kind: 'set-evacuation', zone, evacuated }).then((outcome) => {
      this.evacuationInFlight = false;
      this.evacuationOutcomeKnown = outcome.ok;
      if (!outcome.ok) return;
      if (evacuated) this.evacuated.add(zone);
      else this.evacuated.delete(zone);
    });
  }

  /** Sends one change to one replica after another until it is acknowledged, as an operator does. */
  submitOperatorChange(name: string): void {
    const change: OperatorChange = {
      name,
      version: this.nextVersion,
      sentMs: this.queue.nowMs,
      acknowledgedMs: null,
    };
    this.nextVersion += 1;
    this.operatorChanges.push(change);
    this.sendOperatorChange(change, this.random.below(this.replicas.length), 0);
  }

  /** Injects a fault, and repairs it after `lastsMs`. */
  injectFault(fault: DirectoryFault, replica: SimReplica, durationMs: number): void {
    this.directory.injectFault(fault, replica, durationMs);
  }

  /** Crashes all replicas at once; up to the tolerated number also lose their disks. */
  losePower(): void {
    const lostDisks = this.random.below(TOLERATED_LOSSES + 1);
    const count = this.replicas.length;
    const first = this.random.below(count);
    this.replicas.forEach((replica, at) => {
      const losesDisk = (at - first + count) % count < lostDisks;
      this.injectFault(losesDisk ? 'lose-disk' : 'crash', replica, 300 + this.random.below(1_000));
    });
  }

  /** Checks the state after all repairs: there is a leader, nothing acknowledged is lost, and every watcher agrees. */
  checkFinalState(): void {
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
    this.checkEvacuations(state.evacuatedZones);
    for (const { name, table, lease } of this.watchers) {
      if (table.instance(name) === undefined)
        this.violations.push(`${name} is not registered in its own table`);
      if (lease.session === null) this.violations.push(`${name} has no session`);
      const items = [...state.items.values()].filter(({ kind }) => kind === 'service');
      const missing = items.filter((item) => table.service(item.name) === null);
      if (missing.length > 0) this.violations.push(`${name} lacks ${missing.length} items`);
    }
  }

  private checkEvacuations(present: ReadonlySet<string>): void {
    if (!this.evacuationOutcomeKnown || this.evacuationInFlight) return;
    const expected = [...this.evacuated].sort().join(',');
    const known = [...present].sort().join(',');
    if (known !== expected) this.violations.push(`evacuated: ${known}, acknowledged: ${expected}`);
    for (const { name, table } of this.watchers) {
      const missing = [...present].filter((zone) => !table.isEvacuated(zone));
      if (missing.length > 0)
        this.violations.push(`${name} does not know the evacuation of ${missing.join()}`);
    }
  }

  /** Checks that operator changes are acknowledged within a bound; the bound starts no earlier than `recoveredFromMs`. */
  checkAcknowledgementTimes(recoveredFromMs: number): void {
    for (const { name, sentMs, acknowledgedMs } of this.operatorChanges) {
      const dueMs = Math.max(sentMs, recoveredFromMs) + ACKNOWLEDGEMENT_BOUND_MS;
      if (acknowledgedMs !== null && acknowledgedMs <= dueMs) continue;
      const end = acknowledgedMs === null ? 'never' : `at ${Math.round(acknowledgedMs)} ms`;
      this.violations.push(`${name}, sent at ${Math.round(sentMs)} ms, was acknowledged ${end}`);
    }
  }

  /** Sends one call; without an acknowledgement in time, tries another replica, with exponential backoff after refusals. */
  private sendOperatorChange(change: OperatorChange, index: number, failures: number): void {
    let pending = true;
    const retryAt = (next: number, pauseMs: number): void => {
      if (!pending || change.acknowledgedMs !== null) return;
      pending = false;
      this.queue.at(this.queue.nowMs + pauseMs, () => {
        this.sendOperatorChange(change, next, failures + 1);
      });
    };
    const count = this.replicas.length;
    const otherIndex = (index + 1 + this.random.below(count - 1)) % count;
    const pauseMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** failures);
    this.queue.at(this.queue.nowMs + OPERATOR_TIMEOUT_MS, () => {
      retryAt(otherIndex, 0);
    });
    const replica = this.replicas[index];
    const node = replica?.process.alive === true && !replica.process.frozen ? replica.node : null;
    if (node === null) return;
    if (!node.leading) {
      const leaderIndex = this.replicas.findIndex(({ name }) => name === node.leaderAddress);
      if (leaderIndex >= 0 && leaderIndex !== index && node.hasRecentLeader)
        retryAt(leaderIndex, REDIRECT_DELAY_MS);
      else retryAt(otherIndex, pauseMs);
      return;
    }
    const items = [serviceItem(change.name, change.version)];
    void node.propose({ kind: 'configure-items', items }).then((outcome) => {
      if (outcome.ok) change.acknowledgedMs ??= this.queue.nowMs;
      else retryAt(otherIndex, pauseMs);
    });
  }

  private startWatcher(name: string): void {
    const process = this.directory.createProcess(name);
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
      holder: runtime.randomId(),
      holderOf: (id) => table.instance(id)?.holder ?? null,
      otherIncarnation: (id) => table.otherIncarnation(id, `${name}:1`),
      mayReplace: () => true,
      heldIndex: () => table.heldIndex,
      send: (request) => client.send(request),
      takeLoad: () => [],
      usableSlots: () => null,
      hasQueuedRequests: () => false,
      onFirstRegistration: () => undefined,
      onChange: () => undefined,
    });
    lease.update({ id: name, service: SERVICE, zone: 'zone', slots: 1, condition: 'ready', version: 'v1' });
    this.watchers.push({ name, process, table, lease });
  }

  /** Checks that no two replicas lead the same term, since both would acknowledge changes. */
  private checkLeaders(): void {
    const terms = this.replicas.flatMap(({ node, process }) => {
      return process.alive && node?.leading === true ? [node.consensus?.core.term] : [];
    });
    if (new Set(terms).size !== terms.length) this.violations.push('two replicas lead the same term');
  }
}

function serviceItem(name: string, version: number, characters = 0): ConfigurationItem {
  const definition = { maxConnections: 1, keyed: false, grantMode: null, coldStart: null, healthPath: null };
  return { kind: 'service', name, version, source: `${version}`.padEnd(characters), definition };
}

/** Time in ms within which an operator change must be acknowledged once no faults are active. */
const ACKNOWLEDGEMENT_BOUND_MS = 4_000;

/** Time in ms after which an operator tries another replica, and delay of a redirection. */
const OPERATOR_TIMEOUT_MS = 1_000;
const REDIRECT_DELAY_MS = 5;

/** Bounds in ms of the backoff before an operator tries the next replica. */
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1_000;

/** A change that an operator resends until it is acknowledged. */
interface OperatorChange {
  readonly name: string;
  readonly version: number;
  readonly sentMs: number;
  acknowledgedMs: number | null;
}

const READY_MS = 4_000;
const EVACUATION_INTERVAL_MS = 450;
const FAULTS_UNTIL_MS = 16_000;
const CHANGE_INTERVAL_MS = 120;
/** All replicas lose power while changes are still proposed; faults of single replicas are repaired by then. */
const POWER_LOSS_MS = 19_000;
const SETTLED_MS = 34_000;

/** End of the operator changes; all replicas have been running again for some seconds by then. */
const OPERATOR_CHANGES_UNTIL_MS = 29_000;
const OPERATOR_CHANGE_INTERVAL_MS = 700;

/** Time at which the replicas have recovered from the power loss: later operator changes must be acknowledged in time. */
const RECOVERED_FROM_MS = 24_000;
const FAULT_KINDS: readonly DirectoryFault[] = ['crash', 'lose-disk', 'freeze', 'cut', 'mute'];

/** Runs one seed; returns the violations and the number of items with an acknowledged change. */
export async function runDirectory(
  seed: number,
  size: SimDirectorySize = DEFAULT_SIZE,
): Promise<{ violations: string[]; acknowledged: number }> {
  const world = new DirectoryWorld(seed, size);
  await world.start();
  await world.runUntil(READY_MS);
  world.change('first');
  for (let atMs = READY_MS; atMs < POWER_LOSS_MS + CHANGE_INTERVAL_MS; atMs += CHANGE_INTERVAL_MS) {
    world.queue.at(atMs, () => {
      world.change(`item-${Math.floor(atMs / CHANGE_INTERVAL_MS) % 17}`);
    });
  }
  // Faults are spaced so that a replica that lost its disk can catch up before the next one does.
  for (let atMs = READY_MS + 500; atMs < FAULTS_UNTIL_MS; atMs += 4_000) {
    world.queue.at(atMs, () => {
      const replica = world.replicas[world.random.below(world.replicas.length)];
      const fault = FAULT_KINDS[world.random.below(FAULT_KINDS.length)];
      if (replica !== undefined && fault !== undefined)
        world.injectFault(fault, replica, 300 + world.random.below(2_000));
    });
  }
  for (let atMs = READY_MS; atMs < POWER_LOSS_MS; atMs += EVACUATION_INTERVAL_MS) {
    world.queue.at(atMs, () => {
      world.toggleEvacuation(`zone-${world.random.below(2)}`);
    });
  }
  world.queue.at(POWER_LOSS_MS + world.random.below(CHANGE_INTERVAL_MS), () => {
    world.losePower();
  });
  for (let atMs = READY_MS; atMs < OPERATOR_CHANGES_UNTIL_MS; atMs += OPERATOR_CHANGE_INTERVAL_MS) {
    world.queue.at(atMs, () => {
      world.submitOperatorChange(`order-${atMs}`);
    });
  }
  await world.runUntil(SETTLED_MS);
  world.checkFinalState();
  world.checkAcknowledgementTimes(RECOVERED_FROM_MS);
  return { violations: [...new Set(world.violations)], acknowledged: world.acknowledged.size };
}
