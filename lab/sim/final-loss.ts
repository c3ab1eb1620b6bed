/**
 * Plays a directory until some of its disks are lost right after an acknowledgement while all other replicas lose power.
 * Before that, replicas are wiped, replaced by empty ones at new addresses, crashed, frozen and cut off, and answers to
 * the operator are lost, so that calls are resent. At the end, what was acknowledged is compared with the state in force.
 */
import type { Call } from '../../platform/json-server.js';
import type { DirectoryState } from '../../src/directory/directory-state.js';
import { SILENT_EVENT_LOG, type EventLog } from '../../src/telemetry/event-log.js';
import { Random } from '../random.js';
import { EventQueue } from './event-queue.js';
import { SimDirectory, type DirectoryFault, type SimReplica } from './sim-directory.js';
import { SimOperator, type SentCall } from './sim-operator.js';

/** Number of replicas whose disks may be lost at the same time. */
const TOLERATED_LOSSES = 2;

const SIZE = { replicas: 5, seeds: 3, toleratedLosses: TOLERATED_LOSSES, snapshotEveryEntries: 25 } as const;

/** Time in ms after its start for which a replica with an empty disk still counts as lost. */
const CATCH_UP_MS = 4_000;

/** Time in ms by which the replicas have formed, and bounds of the time of the final loss. */
const READY_MS = 5_000;
const MIN_FINAL_MS = 9_000;
const FINAL_SPREAD_MS = 10_000;

/** Interval in ms between checks whether more replicas are lost than tolerated. */
const EXCESS_CHECK_INTERVAL_MS = 10;

/** Time in ms after the final loss at which the state is read back. */
const SETTLING_MS = 12_000;

/** Time in ms after which a play ends although no loss of the drawn size was possible. */
const MAX_WAIT_MS = 15_000;

/**
 * Mean times in ms between two faults, from which one is drawn for each play, and between two disk losses. While more
 * faults act at once than are tolerated, empty disks get longer to catch up, so half of the plays have disk losses only.
 */
const MEAN_FAULT_INTERVALS_MS = [1_500, 6_000, Infinity, Infinity] as const;
const MEAN_DISK_LOSS_INTERVAL_MS = 2_000;
const MEAN_CALL_INTERVAL_MS = 120;

/** Maximum downtime in ms of a replica that crashed or lost its disk. */
const MAX_DOWN_MS = 1_500;

/** Maximum duration of any other fault, in ms. */
const MAX_FAULT_MS = 2_500;

/** Probability that the replica that acknowledged a call crashes or loses its disk at once. */
const LOSS_AFTER_ACKNOWLEDGEMENT_PROBABILITY = 0.05;

/** Maximum time in ms between an acknowledgement and the loss that follows it. */
const MAX_DELAY_AFTER_ACKNOWLEDGEMENT_MS = 3;

const ACKNOWLEDGEMENT_LOSS_PROBABILITY = 0.15;

const FAULTS: readonly (DirectoryFault | DiskTrouble)[] = ['crash', 'freeze', 'cut', 'mute', 'stall', 'full'];

const ZONES: ReadonlySet<string> = new Set(['zone-1', 'zone-2']);

const OK = 200;

/** A disk whose next sync takes long, or that refuses writes for some time. */
type DiskTrouble = 'stall' | 'full';

/** Whether items are versioned one by one or as one configuration. */
export type VersionMode = 'items' | 'revision';

/** Result of one play. */
export interface FinalLossOutcome {
  readonly violations: readonly string[];
  /** Number of acknowledged calls. */
  readonly acknowledged: number;
  /** Kind of the call whose acknowledgement the final loss followed, and the number of disks lost with it. */
  readonly lastKind: CallKind | null;
  readonly lostDisks: number;
}

/** What a call asks for. */
type CallKind = 'change' | 'repeat' | 'no-op' | 'evacuation';

/** One seeded play. */
export class FinalLossPlay {
  private readonly queue = new EventQueue();
  private readonly random: Random;
  private readonly directory: SimDirectory;
  private readonly operator: SimOperator;
  private readonly mode: VersionMode;
  private readonly meanFaultIntervalMs: number;
  /** Time in ms from which the final loss may come, and the number of disks that it waits for. */
  private readonly finalMs: number;
  private readonly finalDisks: number;
  /** Whether no further faults come while the final loss is due. */
  private readonly isCalmBeforeEnd: boolean;
  private readonly violations: string[] = [];
  /** Highest acknowledged version by service. */
  private readonly versions = new Map<string, number>();
  /** Acknowledged evacuations by zone; null while the outcome of a call is unknown. */
  private readonly evacuations = new Map<string, boolean | null>();
  private lastAccepted: Call | null = null;
  private nextVersion = 1;
  private acknowledged = 0;
  /** Whether the time for the final loss has passed: no further faults come, and the state settles. */
  private finishing = false;
  private lastKind: CallKind | null = null;
  private lostDisks = 0;
  private ended = false;
  /** Times in ms at which replicas with lost disks were started again, or null while they are down. */
  private readonly diskLosses = new Map<SimReplica, number | null>();
  /** Last time in ms at which more replicas were lost than tolerated. */
  private excessMs = 0;
  /** Time in ms until which the replicas are cut into halves. */
  private cutUntilMs = 0;
  private readonly unreachable = new Set<SimReplica>();

  constructor(
    seed: number,
    private readonly log: EventLog = SILENT_EVENT_LOG,
  ) {
    this.random = new Random(seed);
    this.mode = this.random.below(2) === 0 ? 'items' : 'revision';
    this.meanFaultIntervalMs = this.random.pick(MEAN_FAULT_INTERVALS_MS);
    this.finalMs = MIN_FINAL_MS + this.random.below(FINAL_SPREAD_MS);
    this.finalDisks = this.random.below(4) === 0 ? 1 : TOLERATED_LOSSES;
    this.isCalmBeforeEnd = this.random.below(5) > 0;
    this.directory = new SimDirectory(this.queue, this.random, SIZE, log);
    this.operator = new SimOperator(
      {
        queue: this.queue,
        random: this.random,
        replicas: this.directory.replicas,
        acknowledgementLossProbability: ACKNOWLEDGEMENT_LOSS_PROBABILITY,
      },
      ZONES,
    );
  }

  /** Plays until the state has been read back. */
  async run(): Promise<FinalLossOutcome> {
    await this.directory.start();
    await this.runUntil(READY_MS);
    this.scheduleFaults();
    void this.operate();
    while (!this.ended && this.queue.nowMs < this.finalMs + MAX_WAIT_MS) {
      await this.runUntil(this.queue.nowMs + EXCESS_CHECK_INTERVAL_MS);
      this.noteExcess();
    }
    this.finishing = true;
    await this.runUntil(this.queue.nowMs + SETTLING_MS);
    this.check();
    const { violations, acknowledged, lastKind, lostDisks } = this;
    return { violations, acknowledged, lastKind, lostDisks };
  }

  private async runUntil(untilMs: number): Promise<void> {
    while (this.queue.runNext(untilMs)) await new Promise((resolve) => setImmediate(resolve));
  }

  // ---- calls

  /** Sends one call after another; the final loss follows the first acknowledgement for which it is due. */
  private async operate(): Promise<void> {
    while (!this.ended) {
      const kind = this.random.pick<CallKind>(['change', 'change', 'repeat', 'no-op', 'evacuation']);
      await this.send(kind);
      await this.pause(this.random.exponential(MEAN_CALL_INTERVAL_MS));
    }
  }

  private async send(kind: CallKind): Promise<void> {
    switch (kind) {
      case 'change':
        await this.change();
        break;
      case 'repeat':
        if (this.lastAccepted !== null) await this.call('repeat', this.lastAccepted);
        break;
      case 'no-op':
        await this.sendUnchanged();
        break;
      case 'evacuation':
        await this.evacuate();
        break;
    }
  }

  private async change(): Promise<void> {
    const base = this.nextVersion - 1;
    const version = this.nextVersion;
    this.nextVersion += 1;
    const service = `service-${this.random.below(5)}`;
    const call = this.makeChange(service, base, version, '');
    if (await this.call('change', call)) this.accept(service, version, call);
  }

  private accept(service: string, version: number, call: Call): void {
    this.versions.set(service, version);
    this.lastAccepted = call;
  }

  /** Sends an item under its acknowledged version in a body of another digest, or evacuates an evacuated zone again. */
  private async sendUnchanged(): Promise<void> {
    const [service, version] = this.random.pick([...this.versions, ['', 0] as const]);
    if (this.mode === 'items' && version > 0) {
      await this.call('no-op', this.makeChange(service, 0, version, ' '.repeat(this.nextVersion)));
      return;
    }
    const [zone, evacuated] = this.random.pick([...this.evacuations, ['zone-1', null] as const]);
    if (evacuated !== null) await this.call('no-op', evacuationCall(zone, evacuated));
  }

  private async evacuate(): Promise<void> {
    const zone = this.random.pick([...ZONES]);
    const evacuated = this.evacuations.get(zone) !== true;
    this.evacuations.set(zone, null);
    if (await this.call('evacuation', evacuationCall(zone, evacuated))) this.evacuations.set(zone, evacuated);
  }

  private makeChange(service: string, base: number, version: number, padding: string): Call {
    const definition = { health_path: '/health', max_connections: 100, protocol: 'h1', tls: false };
    if (this.mode === 'items') {
      const body = { upsert: { services: { [service]: { ...definition, version } } } };
      return { method: 'PATCH', path: '/config', headers: {}, body: JSON.stringify(body) + padding };
    }
    const body = JSON.stringify({ version, upsert: { services: { [service]: definition } } });
    return { method: 'PATCH', path: '/config', headers: { 'if-match': String(base) }, body };
  }

  /** Sends a call until it is answered; returns whether it was acknowledged. The final loss may come with the answer. */
  private async call(kind: CallKind, call: Call): Promise<boolean> {
    const isAcknowledged = await new Promise<boolean>((resolve) => {
      const sent: SentCall = this.operator.send(call, {
        onAcknowledged: (replica) => {
          if (this.isFinalLossDue()) this.loseAfterwards(kind, replica);
          else this.disturbAfterAcknowledgement(replica);
          if (this.ended) resolve(true);
        },
        onEnd: () => {
          if (sent.status !== OK) this.violations.push(`${kind} was answered ${sent.status}: ${call.body}`);
          resolve(sent.status === OK);
        },
      });
    });
    if (isAcknowledged) this.acknowledged += 1;
    return isAcknowledged;
  }

  private async pause(ms: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.queue.at(this.queue.nowMs + ms, resolve);
    });
  }

  // ---- faults

  private scheduleFaults(): void {
    this.after(this.random.exponential(MEAN_DISK_LOSS_INTERVAL_MS), () => {
      this.loseDisks();
    });
    this.after(this.random.exponential(this.meanFaultIntervalMs), () => {
      this.injectFault();
    });
  }

  private after(ms: number, run: () => void): void {
    this.queue.at(this.queue.nowMs + ms, () => {
      if (!this.ended) run();
    });
  }

  /** Loses as many disks as a further loss allows at most, at the same moment. */
  private loseDisks(): void {
    this.after(this.random.exponential(MEAN_DISK_LOSS_INTERVAL_MS), () => {
      this.loseDisks();
    });
    if (this.isCalm()) return;
    const count = 1 + this.random.below(TOLERATED_LOSSES);
    for (let at = 0; at < count; at += 1) this.loseDisk(this.random.pick(this.directory.presentReplicas));
  }

  /** Loses the disk of a replica if no more disks are lost then than tolerated; it may be lost already. */
  private loseDisk(replica: SimReplica): void {
    if (!replica.process.alive || this.unreachable.has(replica)) return;
    if (!this.isCatchingUp(replica) && this.allowance() === 0) return;
    const downMs = this.random.below(MAX_DOWN_MS);
    this.diskLosses.set(replica, null);
    if (this.random.below(2) === 0) this.replace(replica, downMs);
    else this.wipe(replica, downMs);
  }

  /** Whether the time in which a replica with an empty disk catches up has not passed. */
  private isCatchingUp(replica: SimReplica): boolean {
    const startedMs = this.diskLosses.get(replica);
    return typeof startedMs === 'number' && this.queue.nowMs - startedMs < CATCH_UP_MS;
  }

  private replace(replica: SimReplica, downMs: number): void {
    this.directory.removeReplica(replica);
    this.report('removed', replica, downMs);
    this.after(downMs, () => {
      this.diskLosses.delete(replica);
      this.diskLosses.set(this.directory.addReplica(), this.queue.nowMs);
    });
  }

  private wipe(replica: SimReplica, downMs: number): void {
    this.directory.injectFault('lose-disk', replica, downMs);
    this.report('lose-disk', replica, downMs);
    this.after(downMs, () => this.diskLosses.set(replica, this.queue.nowMs));
  }

  private injectFault(): void {
    this.after(this.random.exponential(this.meanFaultIntervalMs), () => {
      this.injectFault();
    });
    if (this.isCalm()) return;
    const durationMs = 100 + this.random.below(MAX_FAULT_MS);
    switch (this.random.below(8)) {
      case 0:
        this.cutIntoHalves(durationMs);
        break;
      case 1:
        for (const replica of this.directory.presentReplicas) this.disturb('crash', replica, durationMs);
        break;
      default:
        this.disturb(this.random.pick(FAULTS), this.random.pick(this.directory.presentReplicas), durationMs);
    }
  }

  /** Disturbs a replica that runs undisturbed. One with an empty disk has the whole time to catch up afterwards. */
  private disturb(fault: DirectoryFault | DiskTrouble, replica: SimReplica, durationMs: number): void {
    if (!replica.process.alive || this.unreachable.has(replica)) return;
    const endMs = this.queue.nowMs + durationMs;
    if (this.diskLosses.has(replica)) this.diskLosses.set(replica, endMs);
    this.applyFault(fault, replica, durationMs);
    this.report(fault, replica, durationMs);
    this.unreachable.add(replica);
    this.noteExcess();
    this.queue.at(endMs + CATCH_UP_MS, () => {
      this.noteExcess();
      this.unreachable.delete(replica);
    });
  }

  private applyFault(fault: DirectoryFault | DiskTrouble, replica: SimReplica, durationMs: number): void {
    switch (fault) {
      case 'stall':
        replica.disk.stallNextSync(durationMs);
        break;
      case 'full':
        replica.disk.setFull(true);
        this.queue.at(this.queue.nowMs + durationMs, () => {
          replica.disk.setFull(false);
        });
        break;
      default:
        this.directory.injectFault(fault, replica, durationMs);
    }
  }

  /** Cuts the replicas into two halves. No empty replica can be relied on to catch up meanwhile. */
  private cutIntoHalves(durationMs: number): void {
    const { network, presentReplicas } = this.directory;
    const first = new Set(presentReplicas.filter(() => this.random.below(2) === 0));
    for (const left of presentReplicas) {
      for (const right of presentReplicas) {
        if (first.has(left) !== first.has(right)) network.cut(left.name, right.name);
      }
    }
    this.after(durationMs, () => {
      network.healAll();
      this.excessMs = this.queue.nowMs;
    });
    this.log.event('fault', { fault: 'halves', first: [...first].map(({ name }) => name), durationMs });
    this.cutUntilMs = this.queue.nowMs + durationMs;
  }

  private report(fault: string, { name }: SimReplica, durationMs: number): void {
    this.log.event('fault', { fault, replica: name, durationMs });
  }

  /** While more replicas are lost than tolerated, the directory may rest, and empty replicas cannot catch up. */
  private noteExcess(): void {
    const lost = new Set([...this.unreachable, ...this.lostDisksNow()]);
    if (lost.size > TOLERATED_LOSSES || this.queue.nowMs < this.cutUntilMs) this.excessMs = this.queue.nowMs;
  }

  private lostDisksNow(): SimReplica[] {
    const lost = [...this.diskLosses].filter(([, startedMs]) => {
      if (startedMs === null) return true;
      return this.queue.nowMs - Math.max(startedMs, this.excessMs) < CATCH_UP_MS;
    });
    return lost.map(([replica]) => replica);
  }

  /** Number of further disks that may be lost now. */
  private allowance(): number {
    this.noteExcess();
    return Math.max(0, TOLERATED_LOSSES - this.lostDisksNow().length);
  }

  private disturbAfterAcknowledgement(replica: SimReplica): void {
    if (this.ended || this.isCalm()) return;
    if (this.random.fraction() >= LOSS_AFTER_ACKNOWLEDGEMENT_PROBABILITY) return;
    if (this.random.below(2) === 0) this.loseDisk(replica);
    else this.disturb('crash', replica, this.random.below(MAX_DOWN_MS));
  }

  private isCalm(): boolean {
    return this.finishing || (this.isCalmBeforeEnd && this.queue.nowMs >= this.finalMs);
  }

  private isFinalLossDue(): boolean {
    if (this.ended || this.finishing) return false;
    return this.queue.nowMs >= this.finalMs && this.allowance() >= this.finalDisks;
  }

  /** Loses disks of replicas that hold the newest entries, first that of the acknowledging one, and all power. */
  private loseAfterwards(kind: CallKind, acknowledging: SimReplica): void {
    this.ended = true;
    this.operator.stop();
    this.lastKind = kind;
    this.lostDisks = this.random.below(8) === 0 ? this.finalDisks : this.allowance();
    const delayMs = this.random.below(2) * this.random.fraction() * MAX_DELAY_AFTER_ACKNOWLEDGEMENT_MS;
    const keepsNothingUnsynced = this.random.below(2) === 0;
    this.queue.at(this.queue.nowMs + delayMs, () => {
      const byHeld = [...this.directory.presentReplicas].sort((left, right) => {
        if (left === acknowledging || right === acknowledging) return left === acknowledging ? -1 : 1;
        return right.disk.lastIndex - left.disk.lastIndex;
      });
      byHeld.forEach((replica, at) => {
        const fault = at < this.lostDisks ? 'lose-disk' : 'crash';
        if (keepsNothingUnsynced) replica.store?.dropUnsynced();
        const downMs = 300 + this.random.below(1_200);
        this.directory.injectFault(fault, replica, downMs);
        this.report(fault, replica, downMs);
        replica.disk.setFull(false);
      });
      this.directory.network.healAll();
    });
  }

  // ---- checks

  private check(): void {
    const state = this.directory.leader()?.state;
    if (state === undefined) {
      this.violations.push('no replica leads at the end');
      return;
    }
    this.checkState(state);
  }

  private checkState(state: DirectoryState): void {
    for (const [service, version] of this.versions) {
      const present = state.items.get(`service/${service}`)?.version ?? 0;
      if (present < version)
        this.violations.push(`${service} ${version} was acknowledged, ${present} is in force`);
    }
    for (const [zone, evacuated] of this.evacuations) {
      if (evacuated !== null && state.evacuatedZones.has(zone) !== evacuated)
        this.violations.push(`${zone}: ${evacuated} was acknowledged and is not in force`);
    }
  }
}

function evacuationCall(zone: string, evacuated: boolean): Call {
  return { method: evacuated ? 'POST' : 'DELETE', path: `/evacuation/${zone}`, headers: {}, body: '' };
}
