/** Injects faults into a world and repairs them. */
import type { ControlTarget, SimFault } from './sim-faults.js';
import type { SimControl, SimMachine, SimWorld } from './sim-world.js';

/** Time in ms within which a draining back end must stop receiving work. */
export const DRAIN_LIMIT_MS = 5_000;

const DRAIN_POLL_INTERVAL_MS = 50;
const MAX_DRAIN_POLLS = 160;
const RETRY_DELAY_MS = 200;
const MAX_ATTEMPTS = 25;

/** An interval, in ms of true time, in which a draining back end must not receive work. */
export interface DrainedInterval {
  readonly backend: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** Injects the faults of one world. */
export class FaultRunner {
  readonly drained: DrainedInterval[] = [];
  private submissions = 0;

  constructor(private readonly world: SimWorld) {}

  /** Injects one fault at its time and resolves after its repair. */
  async run(fault: SimFault): Promise<void> {
    await this.world.sleep(fault.atMs);
    this.world.trace(`fault ${JSON.stringify(fault)}`);
    await this.inject(fault);
    this.world.trace(`fault ${fault.kind} is repaired`);
  }

  private async inject(fault: SimFault): Promise<void> {
    switch (fault.kind) {
      case 'crash-control':
        return await this.crashControl(this.controlAt(fault.target), fault.loseDisk, fault.lastsMs);
      case 'freeze-control':
        return await this.freeze([this.controlAt(fault.target).process], fault.lastsMs);
      case 'cut-control':
        return await this.cut(this.controlAt(fault.target).name, fault.directions, fault.lastsMs);
      case 'drain':
        return await this.drain(this.machineAt(fault.target), fault.lastsMs);
      case 'operators-race':
        return await this.raceOperators();
      case 'many-changes':
        return await this.submitManyChanges(fault.count);
      case 'crash-router':
      case 'freeze-router':
      case 'cut-router':
        return await this.injectRouterFault(fault);
      default:
        return await this.injectMachineFault(fault, this.machineAt(fault.target));
    }
  }

  private async injectMachineFault(
    fault: Exclude<SimFault, { target?: ControlTarget; kind: 'crash-control' }>,
    machine: SimMachine,
  ): Promise<void> {
    const { backend, agentProcess } = machine;
    const { lastsMs } = fault;
    switch (fault.kind) {
      case 'crash-machine':
        return await this.crashMachine(machine, lastsMs);
      case 'freeze-machine':
        return await this.freeze([backend.process, agentProcess], lastsMs);
      case 'freeze-backend':
        return await this.freeze([backend.process], lastsMs);
      case 'freeze-agent':
        return await this.freeze([agentProcess], lastsMs);
      case 'crash-agent':
        return await this.crashAgent(machine, lastsMs);
      case 'crash-backend':
        return await this.crashBackend(machine, lastsMs);
      case 'cut-machine':
        return await this.cutMachine(machine, fault.from, lastsMs);
    }
  }

  private async injectRouterFault(fault: Extract<SimFault, { kind: `${string}-router` }>): Promise<void> {
    const router = this.world.routers[fault.target];
    if (router === undefined) return;
    switch (fault.kind) {
      case 'crash-router':
        if (!router.process.alive) return;
        this.world.crash(router.process);
        await this.world.sleep(fault.lastsMs);
        this.world.startRouter(fault.target);
        break;
      case 'freeze-router':
        await this.freeze([router.process], fault.lastsMs);
        break;
      case 'cut-router':
        await this.cutBothDirectionsFor(router.name, this.controlNames(), fault.lastsMs);
        break;
    }
  }

  private async crashControl(control: SimControl, loseDisk: boolean, lastsMs: number): Promise<void> {
    if (!control.process.alive) return;
    // With one replica already down, losing the disk of another exceeds the losses that the system claims to tolerate.
    const othersAlive = this.world.control.filter(({ process }) => process.alive).length - 1;
    const mayLoseDisk = loseDisk && othersAlive >= this.world.control.length - 1 && this.allAreVoters();
    this.world.crashControl(control, mayLoseDisk);
    await this.world.sleep(lastsMs);
    await this.world.startControl(control);
  }

  /** Whether every replica is a running voter, so that an earlier disk loss is repaired. */
  private allAreVoters(): boolean {
    const voters = this.world.leader()?.node?.consensus?.core.membership.voters ?? [];
    return this.world.control.every(({ node }) => node !== null && voters.includes(node.id));
  }

  private async crashMachine(machine: SimMachine, lastsMs: number): Promise<void> {
    const { backend, agentProcess } = machine;
    if (!backend.process.alive || !agentProcess.alive) return;
    this.world.crash(backend.process);
    this.world.crash(agentProcess);
    await this.world.sleep(lastsMs);
    await this.world.startMachine(machine);
  }

  private async crashAgent(machine: SimMachine, lastsMs: number): Promise<void> {
    if (!machine.agentProcess.alive) return;
    this.world.crash(machine.agentProcess);
    await this.world.sleep(lastsMs);
    await this.world.startAgent(machine);
  }

  private async crashBackend(machine: SimMachine, lastsMs: number): Promise<void> {
    if (!machine.backend.process.alive) return;
    this.world.crash(machine.backend.process);
    await this.world.sleep(lastsMs);
    machine.backend.start();
  }

  private async freeze(processes: readonly SimMachine['agentProcess'][], lastsMs: number): Promise<void> {
    for (const process of processes) process.freeze();
    await this.world.sleep(lastsMs);
    for (const process of processes) process.thaw();
  }

  private async cut(
    name: string,
    directions: 'both' | 'outgoing' | 'incoming',
    lastsMs: number,
  ): Promise<void> {
    for (const other of this.allNames()) {
      if (other === name) continue;
      if (directions !== 'incoming') this.world.network.cut(name, other);
      if (directions !== 'outgoing') this.world.network.cut(other, name);
    }
    await this.world.sleep(lastsMs);
    this.world.network.healAll();
  }

  private async cutMachine(
    machine: SimMachine,
    from: 'control' | 'everyone',
    lastsMs: number,
  ): Promise<void> {
    const own = [machine.backend.name, machine.agentProcess.name];
    const others =
      from === 'control' ? this.controlNames() : this.allNames().filter((name) => !own.includes(name));
    for (const name of own) this.cutBothDirections(name, others);
    await this.world.sleep(lastsMs);
    this.world.network.healAll();
  }

  private async cutBothDirectionsFor(
    name: string,
    others: readonly string[],
    lastsMs: number,
  ): Promise<void> {
    this.cutBothDirections(name, others);
    await this.world.sleep(lastsMs);
    this.world.network.healAll();
  }

  private cutBothDirections(name: string, others: readonly string[]): void {
    for (const other of others) {
      this.world.network.cut(name, other);
      this.world.network.cut(other, name);
    }
  }

  /** Drains a back end, waits until it owns no shards, stops it gracefully, restarts it and ends the drain. */
  private async drain(machine: SimMachine, lastsMs: number): Promise<void> {
    const { backend } = machine;
    if (!(await this.setDraining(backend.name, true))) return;
    const acknowledgedMs = this.world.queue.nowMs;
    for (let poll = 0; poll < MAX_DRAIN_POLLS && this.countOwnedShards(backend.name) > 0; poll += 1) {
      await this.world.sleep(DRAIN_POLL_INTERVAL_MS);
    }
    await this.world.sleep(lastsMs);
    const fromMs = acknowledgedMs + DRAIN_LIMIT_MS;
    this.drained.push({ backend: backend.name, fromMs, toMs: this.world.queue.nowMs });
    await this.restartGracefully(machine);
    await this.setDraining(backend.name, false);
  }

  private async restartGracefully(machine: SimMachine): Promise<void> {
    if (!machine.agentProcess.alive || !machine.backend.process.alive) return;
    void machine.agent?.stop();
    await this.world.sleep(RETRY_DELAY_MS);
    this.world.crash(machine.agentProcess);
    this.world.crash(machine.backend.process);
    await this.world.sleep(RETRY_DELAY_MS);
    await this.world.startMachine(machine);
  }

  private countOwnedShards(backend: string): number {
    const services = [...(this.world.leader()?.node?.state.shards.values() ?? [])];
    const rows = services.flatMap((service) => service.rows);
    return rows.filter((row) => row.owner === backend || row.movingTo === backend).length;
  }

  private async setDraining(backend: string, draining: boolean): Promise<boolean> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const outcome = await this.world.submit({ kind: 'set-drain', backend, draining });
      if (outcome?.kind === 'done') return true;
      await this.world.sleep(RETRY_DELAY_MS);
    }
    return false;
  }

  /** Two operators submit with the same base revision; each retries until it has an answer. */
  private async raceOperators(): Promise<void> {
    const base = this.world.configurations.revision;
    await Promise.all(
      ['left', 'right'].map(async (side) => {
        this.submissions += 1;
        await this.submitUntilAnswered(`${side}-${this.submissions}`, base);
      }),
    );
  }

  private async submitUntilAnswered(submissionId: string, base: number): Promise<void> {
    const deadlineMs = 1_000 + this.world.random.below(1_000);
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const outcome = await this.world.configure(submissionId, base, deadlineMs);
      const answerIsLost = this.world.random.fraction() < 0.5;
      if (outcome !== null && !answerIsLost) return;
      await this.world.sleep(RETRY_DELAY_MS);
    }
  }

  private async submitManyChanges(count: number): Promise<void> {
    for (let change = 0; change < count; change += 1) {
      this.submissions += 1;
      const base = this.world.configurations.revision;
      await this.world.configure(`change-${this.submissions}`, base, 1_000 + change);
    }
  }

  private controlAt(target: ControlTarget): SimControl {
    const numbered = this.world.control[target === 'leader' ? 0 : target];
    const chosen = target === 'leader' ? (this.world.leader() ?? numbered) : numbered;
    if (chosen === undefined) throw new Error('invariant broken: no such control replica');
    return chosen;
  }

  private machineAt(target: number): SimMachine {
    const machine = this.world.machines[target];
    if (machine === undefined) throw new Error('invariant broken: no such machine');
    return machine;
  }

  private controlNames(): string[] {
    return this.world.control.map(({ name }) => name);
  }

  private allNames(): string[] {
    const machines = this.world.machines.flatMap(({ backend, agentProcess }) => [
      backend.name,
      agentProcess.name,
    ]);
    return [...this.controlNames(), ...machines, ...this.world.routers.map(({ name }) => name)];
  }
}
