/** Running deployment: its processes and relays, and access to its operator interface. */
import { rmSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { OperatorClient } from '../../src/cli/operator-client.js';
import type { ControlStatus } from '../../src/control/control-status.js';
import { formatAddress } from '../../src/model/socket-address.js';
import type { StateDocument } from '../../src/control/state-snapshot.js';
import type { FleetPlan, PlannedProcess } from './fleet-plan.js';
import { ManagedProcess } from './managed-process.js';
import { Relay } from './relay.js';

const READY_TIMEOUT_MS = 40_000;
const READY_POLL_MS = 100;

/** Starts, controls and stops the processes of a fleet. */
export class Fleet {
  readonly operator: OperatorClient;
  private readonly processes = new Map<string, ManagedProcess>();
  private readonly relays: Relay[] = [];
  private readonly cutDirections = new Set<string>();

  constructor(readonly plan: FleetPlan) {
    const operators = [...plan.operators.values()].map((address) => formatAddress(address));
    this.operator = new OperatorClient(operators, plan.token);
    for (const planned of plan.processes) {
      const log = join(plan.folder, `${planned.name}.log`);
      this.processes.set(planned.name, new ManagedProcess(planned.name, planned.arguments, log));
    }
  }

  /** Starts all relays and processes, submits the configuration and waits until every shard has an owner. */
  async start(): Promise<void> {
    for (const planned of this.plan.relays) {
      const relay = new Relay(
        planned.link,
        planned.target,
        (from, to) => !this.cutDirections.has(`${from}>${to}`),
      );
      await relay.listen(planned.listen);
      this.relays.push(relay);
    }
    for (const process of this.processes.values()) process.start();
    await this.waitFor('a control replica leads', (statuses) =>
      statuses.some(({ role }) => role === 'leader'),
    );
    const submission = { submissionId: 'first', baseRevision: 0, document: this.plan.configuration };
    const applied = await this.operator.call('PUT', 'configuration', submission);
    if (applied.err) throw new Error(`the configuration was not accepted: ${applied.val.message}`);
    await this.waitFor('every shard has an owner', (statuses) => isSettled(statuses, this.routerNames()));
  }

  /** Stops all processes, routers first, so that no request is interrupted. */
  async stop(): Promise<void> {
    const order: readonly PlannedProcess['role'][] = ['router', 'agent', 'backend', 'control'];
    for (const role of order) {
      const ofRole = this.plan.processes.filter((planned) => planned.role === role);
      await Promise.all(ofRole.map(({ name }) => this.process(name).stop()));
    }
    for (const relay of this.relays) relay.close();
  }

  /** Kills all processes at once, after a failed run. */
  async killAll(): Promise<void> {
    await Promise.all([...this.processes.values()].map((process) => process.kill()));
    for (const relay of this.relays) relay.close();
  }

  /** Returns the process of this name. */
  process(name: string): ManagedProcess {
    const process = this.processes.get(name);
    if (process === undefined) throw new Error(`the fleet has no process ${name}`);
    return process;
  }

  /** Returns the names of all processes of a role. */
  names(role: PlannedProcess['role']): string[] {
    return this.plan.processes.filter((planned) => planned.role === role).map(({ name }) => name);
  }

  /** Holds back all bytes that a process sends, or those in both directions. */
  cut(name: string, directions: 'both' | 'outgoing'): void {
    for (const other of this.processes.keys()) {
      if (other === name) continue;
      this.cutDirections.add(`${name}>${other}`);
      if (directions === 'both') this.cutDirections.add(`${other}>${name}`);
    }
  }

  /** Ends all cuts that affect a process. */
  endCuts(name: string): void {
    for (const direction of [...this.cutDirections]) {
      const [from, to] = direction.split('>');
      if (from === name || to === name) this.cutDirections.delete(direction);
    }
  }

  /** Removes the data folder of a process that is not running. */
  loseDisk(name: string): void {
    const planned = this.plan.processes.find((process) => process.name === name);
    if (planned?.dataFolder != null) rmSync(planned.dataFolder, { recursive: true, force: true });
  }

  /** Returns the name of the leader with the highest term among the replicas' statuses; null when there is none. */
  async leader(): Promise<string | null> {
    const statuses = await this.statuses();
    const leading = statuses.filter((status) => status.role === 'leader');
    const newest = leading.reduce<ControlStatus | null>((best, status) => {
      return best === null || status.term > best.term ? status : best;
    }, null);
    return newest?.replica.split('/')[0] ?? null;
  }

  /** Returns the status of every replica that answers. */
  async statuses(): Promise<ControlStatus[]> {
    const answers = await this.operator.callEach('status');
    return answers.map(([, status]) => status as ControlStatus);
  }

  /** Returns the replicated state, as the leader reports it. */
  async snapshot(): Promise<StateDocument> {
    const answer = await this.operator.call('GET', 'snapshot');
    if (answer.err) throw new Error(`no state could be read: ${answer.val.message}`);
    return answer.val as StateDocument;
  }

  /** Waits until the statuses satisfy `condition`; throws after `READY_TIMEOUT_MS`. */
  async waitFor(what: string, condition: (statuses: readonly ControlStatus[]) => boolean): Promise<void> {
    const deadlineMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < deadlineMs) {
      if (condition(await this.statuses())) return;
      await sleep(READY_POLL_MS);
    }
    throw new Error(`timed out waiting for: ${what}; see the logs in ${this.plan.folder}`);
  }

  private routerNames(): string[] {
    return this.names('router');
  }
}

/** Whether every shard is owned, no shard is moving, every back end has a session and every router is up to date. */
export function isSettled(statuses: readonly ControlStatus[], routers: readonly string[]): boolean {
  const leader = statuses.find((status) => status.role === 'leader');
  if (leader === undefined || leader.services.length === 0) return false;
  const allOwned = leader.services.every((service) => service.unowned === 0 && service.moving === 0);
  const allRegistered = leader.backends.every((backend) => backend.session !== null);
  const watchers = statuses.flatMap((status) => status.watchers);
  const routersCurrent = routers.every((name) => {
    return watchers.some((watcher) => watcher.name === name && watcher.revision === leader.revision);
  });
  return allOwned && allRegistered && routersCurrent;
}
