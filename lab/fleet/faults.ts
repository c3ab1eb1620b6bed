/** Faults that a run can inject, each only into processes that the lab started itself. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Random } from '../random.js';
import type { Fleet } from './fleet.js';
import type { PlannedBackend } from './fleet-plan.js';

/** Fault that can be injected. */
export interface Fault {
  readonly name: string;
  readonly describe: string;
  /** Injects the fault and repairs it; returns the name of the affected process. */
  readonly run: (fleet: Fleet, random: Random) => Promise<string>;
}

const OUTAGE_MS = 4_000;
const SHORT_OUTAGE_MS = 2_000;
const MAX_DRAIN_POLLS = 300;
const DRAIN_POLL_MS = 50;

/** All faults. */
export const FAULTS: readonly Fault[] = [
  {
    name: 'kill-owner',
    describe: 'a back end of a keyed service and its agent are killed; both start again after 4 s',
    run: async (fleet, random) => {
      const backend = await pickKeyedOwner(fleet, random);
      await Promise.all([fleet.process(backend.name).kill(), fleet.process(backend.agent).kill()]);
      await sleep(OUTAGE_MS);
      fleet.process(backend.name).start();
      fleet.process(backend.agent).start();
      return backend.name;
    },
  },
  {
    name: 'freeze-owner',
    describe: 'a back end of a keyed service and its agent are frozen for 4 s and then go on',
    run: async (fleet, random) => {
      const backend = await pickKeyedOwner(fleet, random);
      await freezeProcesses(fleet, [backend.name, backend.agent], OUTAGE_MS);
      return backend.name;
    },
  },
  {
    name: 'freeze-backend',
    describe: 'only the back end is frozen for 4 s; its agent goes on',
    run: async (fleet, random) => {
      const backend = await pickKeyedOwner(fleet, random);
      await freezeProcesses(fleet, [backend.name], OUTAGE_MS);
      return backend.name;
    },
  },
  {
    name: 'kill-agent',
    describe: 'only the agent of a back end is killed; it starts again after 4 s',
    run: async (fleet, random) => {
      const backend = await pickKeyedOwner(fleet, random);
      await fleet.process(backend.agent).kill();
      await sleep(OUTAGE_MS);
      fleet.process(backend.agent).start();
      return backend.agent;
    },
  },
  {
    name: 'kill-leader',
    describe: 'the leading control replica is killed; it starts again after 4 s',
    run: async (fleet) => {
      const leader = await requireLeader(fleet);
      await fleet.process(leader).kill();
      await sleep(OUTAGE_MS);
      fleet.process(leader).start();
      return leader;
    },
  },
  {
    name: 'freeze-leader',
    describe: 'the leading control replica is frozen for 4 s and then goes on',
    run: async (fleet) => {
      const leader = await requireLeader(fleet);
      await freezeProcesses(fleet, [leader], OUTAGE_MS);
      return leader;
    },
  },
  {
    name: 'cut-leader',
    describe: 'the leading control replica is cut off from every other process for 4 s, both ways',
    run: async (fleet) => await cutLeader(fleet, 'both'),
  },
  {
    name: 'one-way-cut-leader',
    describe: 'what the leading control replica sends is held back for 4 s; it still hears the others',
    run: async (fleet) => await cutLeader(fleet, 'outgoing'),
  },
  {
    name: 'lose-disk',
    describe: 'a control replica is killed, loses its data folder, and starts again after 2 s',
    run: async (fleet, random) => {
      const name = random.pick(fleet.names('control'));
      await fleet.process(name).kill();
      fleet.loseDisk(name);
      await sleep(SHORT_OUTAGE_MS);
      fleet.process(name).start();
      return name;
    },
  },
  {
    name: 'drain-backend',
    describe: 'a back end is drained, stopped once it is empty, started again and taken back',
    run: async (fleet, random) => {
      const backend = random.pick(fleet.plan.backends);
      await drain(fleet, backend);
      return backend.name;
    },
  },
  {
    name: 'restart-router',
    describe: 'a router is asked to stop, finishes its requests, and starts again',
    run: async (fleet, random) => {
      const router = random.pick(fleet.names('router'));
      await fleet.process(router).stop();
      fleet.process(router).start();
      return router;
    },
  },
  {
    name: 'freeze-router',
    describe: 'a router is frozen for 2 s and then goes on',
    run: async (fleet, random) => {
      const router = random.pick(fleet.names('router'));
      await freezeProcesses(fleet, [router], SHORT_OUTAGE_MS);
      return router;
    },
  },
];

/** Returns the fault of this name. */
export function findFault(name: string): Fault | undefined {
  return FAULTS.find((fault) => fault.name === name);
}

/** Picks a back end that currently owns shards of a keyed service. */
async function pickKeyedOwner(fleet: Fleet, random: Random): Promise<PlannedBackend> {
  const keyedNames = new Set(keyedServices(fleet.plan.configuration));
  const owners = (await fleet.statuses())
    .filter((status) => status.role === 'leader')
    .flatMap((status) => status.backends)
    .filter((backend) => backend.shards > 0 && keyedNames.has(backend.service));
  const name = random.pick(owners).backend;
  const planned = fleet.plan.backends.find((backend) => backend.name === name);
  if (planned === undefined) throw new Error(`the fleet has no back end ${name}`);
  return planned;
}

/** Returns the names of the services that are divided by key. */
export function keyedServices(configuration: unknown): string[] {
  const { services } = configuration as { services: Record<string, { division: string }> };
  return Object.keys(services).filter((name) => services[name]?.division === 'keyed');
}

async function requireLeader(fleet: Fleet): Promise<string> {
  const leader = await fleet.leader();
  if (leader === null) throw new Error('no control replica leads');
  return leader;
}

async function freezeProcesses(fleet: Fleet, names: readonly string[], ms: number): Promise<void> {
  for (const name of names) fleet.process(name).signal('SIGSTOP');
  await sleep(ms);
  for (const name of names) fleet.process(name).signal('SIGCONT');
}

async function cutLeader(fleet: Fleet, directions: 'both' | 'outgoing'): Promise<string> {
  const leader = await requireLeader(fleet);
  fleet.cut(leader, directions);
  await sleep(OUTAGE_MS);
  fleet.endCuts(leader);
  return leader;
}

async function drain(fleet: Fleet, backend: PlannedBackend): Promise<void> {
  await setDraining(fleet, 'PUT', backend.name);
  for (let poll = 0; poll < MAX_DRAIN_POLLS && !(await isEmpty(fleet, backend.name)); poll += 1) {
    await sleep(DRAIN_POLL_MS);
  }
  await fleet.process(backend.agent).stop();
  await fleet.process(backend.name).stop();
  fleet.process(backend.name).start();
  fleet.process(backend.agent).start();
  await setDraining(fleet, 'DELETE', backend.name);
}

async function isEmpty(fleet: Fleet, backend: string): Promise<boolean> {
  const leader = (await fleet.statuses()).find((status) => status.role === 'leader');
  return leader?.backends.find((status) => status.backend === backend)?.shards === 0;
}

async function setDraining(fleet: Fleet, method: 'PUT' | 'DELETE', backend: string): Promise<void> {
  const answer = await fleet.operator.call(method, `backends/${backend}/drain`);
  if (answer.err) throw new Error(`drain of ${backend}: ${answer.val.message}`);
}
