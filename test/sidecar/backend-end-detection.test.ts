/** Detection of back ends that end while they process requests; real daemons on virtual time. */
import test from 'ava';
import type { FleetMachine } from '../../lab/sim/fleet/fleet-machine.js';
import type { FleetSpec, FleetTraffic } from '../../lab/sim/fleet/fleet-spec.js';
import { FLEET_READY_MS, FleetWorld } from '../../lab/sim/fleet/fleet-world.js';

const WORK_MS = 300;
const EVENT_MS = 100;

const TRAFFIC: FleetTraffic = {
  name: 'work',
  service: 'plain',
  method: 'POST',
  path: (number) => `/work/${number}`,
  key: () => null,
  meanIntervalMs: Infinity,
  startMs: Infinity,
  deadlineMs: 1_500,
  workMs: WORK_MS,
  endsBackend: false,
  maxRetries: 0,
};

const SPEC: FleetSpec = {
  services: [{ name: 'plain', keyed: false, backends: 1, grantMode: 'heartbeat' }],
  traffic: [TRAFFIC],
  restartDelayMs: 1_500,
  slots: 6,
  spontaneousEndIntervalMs: null,
};

interface Case {
  readonly name: string;
  readonly happens: (machine: FleetMachine, world: FleetWorld) => void;
  /** Number of requests for which the directory records the end; two are in flight. */
  readonly recorded: 0 | 2;
  readonly deadlineMs?: number;
}

const CASES: readonly Case[] = [
  {
    name: 'its process ends',
    happens: (machine) => {
      machine.endBackend();
    },
    recorded: 2,
  },
  {
    name: 'its process ends and another listens immediately, so that no connection is refused',
    happens: (machine) => {
      machine.restartBackend();
    },
    recorded: 2,
  },
  {
    name: 'it ends while its daemon is frozen',
    happens: (machine, world) => {
      machine.process.freeze();
      machine.endBackend();
      world.queue.at(world.queue.nowMs + 500, () => {
        machine.process.thaw();
      });
    },
    recorded: 2,
  },
  {
    name: 'it ends just after the callers have timed out',
    deadlineMs: EVENT_MS,
    happens: (machine, world) => {
      world.callers.send({ ...TRAFFIC, deadlineMs: 800 }, 3);
      world.queue.at(world.queue.nowMs + 60, () => {
        machine.endBackend();
      });
    },
    recorded: 2,
  },
  {
    name: 'one connection is reset, and it keeps running',
    happens: (machine) => {
      machine.backend?.resetConnections(1);
    },
    recorded: 0,
  },
  {
    name: 'all connections are reset, and it keeps running',
    happens: (machine) => {
      machine.backend?.resetConnections();
    },
    recorded: 0,
  },
  {
    name: 'all connections are reset, it keeps running, and is replaced as planned later',
    happens: (machine, world) => {
      machine.backend?.resetConnections();
      world.queue.at(world.queue.nowMs + 1_000, () => {
        machine.drainAndEndBackend(400);
      });
    },
    recorded: 0,
  },
  {
    name: 'it answers with bytes that are not HTTP',
    happens: (machine) => {
      machine.backend?.sendGarbledAnswers();
    },
    recorded: 0,
  },
  {
    name: 'it announced that it leaves, and ends during its last requests',
    happens: (machine) => {
      machine.drainAndEndBackend(50);
    },
    recorded: 0,
  },
  {
    name: 'it stops responding',
    happens: (machine) => {
      machine.makeBackendUnresponsive();
    },
    recorded: 0,
  },
  {
    name: 'its daemon is killed, and it keeps running',
    happens: (machine, world) => {
      machine.crash();
      world.queue.at(world.queue.nowMs + 300, () => void machine.start());
    },
    recorded: 0,
  },
  {
    name: 'it ends together with its daemon',
    happens: (machine, world) => {
      machine.crash();
      machine.endBackend();
      world.queue.at(world.queue.nowMs + 300, () => void machine.start());
    },
    recorded: 0,
  },
];

for (const { name, happens, recorded, deadlineMs } of CASES) {
  test(`${recorded > 0 ? 'an end' : 'no end'}: ${name}`, async (t) => {
    const world = new FleetWorld(1, SPEC);
    await world.start();
    const machine = world.machines[0];
    if (machine === undefined) throw new Error('invariant broken: no machine');
    const traffic = { ...TRAFFIC, deadlineMs: deadlineMs ?? TRAFFIC.deadlineMs };
    world.callers.send(traffic, 1);
    if (deadlineMs === undefined) world.callers.send(traffic, 2);
    await world.runUntil(FLEET_READY_MS + EVENT_MS);
    t.true(world.runs.length > 0, 'requests are in flight');
    happens(machine, world);
    await world.runUntil(FLEET_READY_MS + 4_000);
    const records = [...(world.directory.leader()?.state.crashRecords.values() ?? [])];
    t.is(records.length, recorded);
    t.true(records.every(({ quarantined }) => !quarantined));
  });
}
