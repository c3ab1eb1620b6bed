import test from 'ava';
import { configurationSchema } from '../../src/config/configuration.js';
import type { ControlCommand } from '../../src/control/commands.js';
import { emptyControlState, type ControlState } from '../../src/control/control-state.js';
import { LeaderDuties } from '../../src/control/leader-duties.js';
import { LoadTable } from '../../src/control/load-table.js';
import { Proposals } from '../../src/control/proposals.js';
import { applyCommand } from '../../src/control/state-machine.js';
import { nodeRuntime } from '../../src/runtime/node-runtime.js';

const BACKENDS = ['one', 'two', 'three'];

/** A leader whose proposals are committed immediately. */
class Leader {
  readonly state: ControlState = emptyControlState();
  readonly commands: ControlCommand[] = [];
  private readonly proposals: Proposals = new Proposals(nodeRuntime, (proposalId, command) => {
    this.commands.push(command);
    this.proposals.applied(proposalId, this.apply(command));
  });
  clockMs = 0;
  readonly duties = new LeaderDuties(
    () => this.state,
    this.proposals,
    new LoadTable(),
    () => this.clockMs,
  );
  planDurationMs = 0;
  private index = 0;

  constructor(services: readonly string[] = ['stock'], shards = 6) {
    const backends = BACKENDS.map((name, at) => {
      return [name, { zone: 'z', address: { host: '10.0.0.1', port: at + 1 } }];
    });
    const service = {
      division: 'keyed',
      key: { from: 'path', segment: 0 },
      shards,
      slots: 6,
      connections: 130,
      backends: Object.fromEntries(backends) as unknown,
    };
    const others = services.slice(1).map((name) => [name, { ...service, backends: {} }]);
    const all = { stock: service, ...(Object.fromEntries(others) as object) };
    const document = configurationSchema.parse({ version: 1, services: all });
    this.apply({ kind: 'configure', submissionId: 'first', baseRevision: 0, document });
  }

  apply(command: ControlCommand): ReturnType<typeof applyCommand>['outcome'] {
    this.index += 1;
    const { outcome, changes } = applyCommand(this.state, command, this.index);
    this.duties.recordChanges(changes);
    return outcome;
  }

  join(backend: string): void {
    const agentAddress = { host: '10.0.0.1', port: 1 };
    const open = { kind: 'open-session', service: 'stock', backend, openId: backend, agentAddress } as const;
    this.apply({ ...open, wallMs: 0 });
  }

  async run(nowMs: number): Promise<void> {
    this.clockMs = nowMs + this.planDurationMs;
    this.duties.run(nowMs);
    await new Promise((resolve) => setImmediate(resolve));
  }

  ownedShards(backend: string): number {
    return this.state.shards.get('stock')?.rows.filter((row) => row.owner === backend).length ?? 0;
  }
}

test('a first assignment waits while new back ends keep joining', async (t) => {
  const leader = new Leader();
  leader.join('one');
  await leader.run(0);
  await leader.run(900);
  leader.join('two');
  await leader.run(950);
  await leader.run(1_800);
  t.is(leader.commands.length, 0);
  await leader.run(1_960);
  t.deepEqual([leader.ownedShards('one'), leader.ownedShards('two')], [3, 3]);
});

test('a first assignment does not wait when all back ends have joined', async (t) => {
  const leader = new Leader();
  for (const backend of BACKENDS) leader.join(backend);
  await leader.run(0);
  t.deepEqual(
    BACKENDS.map((backend) => leader.ownedShards(backend)),
    [2, 2, 2],
  );
});

test('shards of a lost owner are assigned immediately, and no other shard moves', async (t) => {
  const leader = new Leader();
  for (const backend of BACKENDS) leader.join(backend);
  await leader.run(0);
  const lost = [...leader.state.sessions.values()].find(({ backend }) => backend === 'two');
  leader.commands.length = 0;
  leader.apply({ kind: 'close-sessions', sessions: [lost?.id ?? 0], wallMs: 0 });
  await leader.run(1);
  t.deepEqual([leader.ownedShards('one'), leader.ownedShards('three')], [3, 3]);
  t.deepEqual(
    leader.commands.map(({ kind }) => kind),
    ['assign'],
  );
});

test('no command is proposed while the state is unchanged', async (t) => {
  const leader = new Leader();
  for (const backend of BACKENDS) leader.join(backend);
  await leader.run(0);
  leader.commands.length = 0;
  for (let nowMs = 1; nowMs < 5_000; nowMs += 100) await leader.run(nowMs);
  t.deepEqual(leader.commands, []);
});

test('a run ends after its budget, and the next run continues with the other services', async (t) => {
  const leader = new Leader(['stock', 'archive', 'ledger']);
  const planned: string[] = [];
  const { shards } = leader.state;
  const get = shards.get.bind(shards);
  shards.get = (name) => {
    planned.push(name);
    return get(name);
  };
  for (const name of ['archive', 'ledger', 'stock']) {
    const id = shards.size + leader.state.sessions.size;
    leader.state.sessions.set(id, {
      id,
      backend: name,
      service: name,
      openId: name,
      agentAddress: { host: '10.0.0.1', port: 1 },
    });
  }
  leader.planDurationMs = 50;
  for (let run = 0; run < 3; run += 1) await leader.run(run);
  t.deepEqual([...new Set(planned)], ['archive', 'ledger', 'stock']);
  t.is(planned.length, 3, 'one service per run');
});

test('a large first assignment is split into commands of bounded size that cover all shards', async (t) => {
  const leader = new Leader(['stock'], 2_500);
  for (const backend of BACKENDS) leader.join(backend);
  for (let run = 0; run < 5; run += 1) await leader.run(run);
  const sizes = leader.commands.map((command) => {
    if (command.kind !== 'assign') return command.kind;
    return command.assignments.reduce((sum, { shards }) => sum + shards.length, 0);
  });
  t.deepEqual(sizes, [1_000, 1_000, 500]);
  t.deepEqual(
    BACKENDS.map((backend) => leader.ownedShards(backend)),
    [834, 833, 833],
  );
});
