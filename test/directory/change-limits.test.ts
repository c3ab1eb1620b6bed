/** Changes are bounded in bytes, not by their number: those in flight, and the configuration that they lead to. */
import test from 'ava';
import { Random } from '../../lab/random.js';
import { replicaLimits } from '../../src/consensus/replica-limits.js';
import { Proposals } from '../../src/control/proposals.js';
import type { ConfigurationCommand } from '../../src/directory/configuration-check.js';
import { ConfigurationSize } from '../../src/directory/configuration-size.js';
import type { DirectoryCommand, DirectoryOutcome } from '../../src/directory/directory-commands.js';
import { applyDirectoryCommand } from '../../src/directory/directory-machine.js';
import { emptyDirectoryState, type ConfigurationItem } from '../../src/directory/directory-state.js';
import { OperatorChanges, type ChangeOutcome } from '../../src/directory/operator-changes.js';
import { valueBytes } from '../../src/model/value-size.js';
import { ManualTime } from '../sidecar/manual-runtime.js';

const SEEDS = 20;
const CHANGES = 60;
const STATE_BYTES = 100_000;
const UNCOMMITTED_BYTES = 50_000;

class Leader {
  readonly state = emptyDirectoryState();
  readonly configuration = new ConfigurationSize();
  readonly log: { id: string; command: DirectoryCommand }[] = [];
  readonly changes: OperatorChanges;
  readonly proposals: Proposals<DirectoryCommand, DirectoryOutcome>;

  constructor() {
    let nextId = 0;
    const runtime = { ...new ManualTime().runtime, randomId: () => `p-${(nextId += 1)}` };
    this.proposals = new Proposals(runtime, (id, command) => this.log.push({ id, command }));
    this.changes = new OperatorChanges(runtime, this.proposals, {
      state: () => this.state,
      configuration: this.configuration,
      confirmLeadership: async () => await Promise.resolve(true),
      limits: { ...replicaLimits(null), stateBytes: STATE_BYTES, uncommittedBytes: UNCOMMITTED_BYTES },
    });
  }

  commit(): void {
    for (const { id, command } of this.log.splice(0)) {
      const { outcome, changes } = applyDirectoryCommand(this.state, command, 1);
      this.configuration.record(changes);
      this.proposals.applied(id, outcome);
    }
  }

  async answer(command: DirectoryCommand): Promise<ChangeOutcome> {
    const answer = this.changes.propose(command);
    this.commit();
    return await answer;
  }

  countedBytes(): number {
    const present = [...this.state.items.values()].filter(({ definition }) => definition !== null);
    return present.reduce((bytes, item) => bytes + valueBytes(item), 0);
  }
}

function service(name: string, bytes: number): ConfigurationItem {
  const definition = { maxConnections: 1, keyed: false, grantMode: null, coldStart: null, healthPath: null };
  return { kind: 'service', name, version: 1, source: 'x'.repeat(bytes), definition };
}

function errorOf(outcome: ChangeOutcome): string | null {
  return outcome.err ? outcome.val.kind : null;
}

test('the configuration stays within its limit whatever the sizes of its changes, and can always be made smaller', async (t) => {
  let refused = 0;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const random = new Random(seed);
    const leader = new Leader();
    let version = 0;
    const change = (items: ConfigurationItem[], replacesAll: boolean): ConfigurationCommand => {
      const base = leader.state.revision;
      return {
        kind: 'configure-revision',
        base,
        version: (version += 1),
        digest: `d-${version}`,
        replacesAll,
        items,
      };
    };
    for (let at = 0; at < CHANGES; at += 1) {
      const bytes = Math.round(10 + 60_000 * random.fraction() ** 4);
      const outcome = await leader.answer(
        change([service(`s-${random.below(20)}`, bytes)], random.below(8) === 0),
      );
      if (errorOf(outcome) === 'too-large') refused += 1;
      t.is(leader.configuration.bytes, leader.countedBytes(), `seed ${seed}`);
      t.true(leader.configuration.bytes <= STATE_BYTES, `seed ${seed}`);
    }
    t.true((await leader.answer(change([service('only', 10)], true))).ok, `seed ${seed}`);
  }
  t.true(refused > SEEDS);
});

test('a configuration that is already above the limit can be made smaller, but not larger', async (t) => {
  const leader = new Leader();
  const items = [service('a', STATE_BYTES), service('b', STATE_BYTES)];
  for (const item of items) leader.state.items.set(`service/${item.name}`, item);
  leader.configuration.reset(items);
  const grow = { kind: 'configure-items', digest: 'grow', items: [service('c', 10)] } as const;
  t.is(errorOf(await leader.answer(grow)), 'too-large');
  const less = { ...service('b', STATE_BYTES / 2), version: 2 };
  t.true((await leader.answer({ kind: 'configure-items', digest: 'less', items: [less] })).ok);
});

test('changes in flight are bounded in bytes; what is beyond is refused as busy until there is room', async (t) => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const random = new Random(seed);
    const leader = new Leader();
    const answers: Promise<ChangeOutcome>[] = [];
    for (let at = 0; at < CHANGES; at += 1) {
      const items = [service('s', 10 + random.below(5_000))];
      answers.push(leader.changes.propose({ kind: 'configure-items', digest: `d-${at}`, items }));
    }
    const bytes = leader.log.reduce((sum, { command }) => sum + valueBytes(command), 0);
    t.true(bytes <= UNCOMMITTED_BYTES, `seed ${seed}: ${bytes}`);
    const taken = leader.log.length;
    leader.commit();
    const kinds = (await Promise.all(answers)).map(errorOf);
    t.is(kinds.filter((kind) => kind === null).length, taken, `seed ${seed}`);
    t.is(kinds.filter((kind) => kind === 'busy').length, CHANGES - taken, `seed ${seed}`);
    const last = { kind: 'configure-items', digest: 'last', items: [service('s', 10)] } as const;
    t.true((await leader.answer(last)).ok, `seed ${seed}`);
  }
});
