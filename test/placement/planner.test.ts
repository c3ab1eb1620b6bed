import test from 'ava';
import fc from 'fast-check';
import { emptyShardRow, type ShardRow } from '../../src/model/shard.js';
import { imbalance } from '../../src/placement/measures.js';
import { planPlacement, type PlacementInput } from '../../src/placement/planner.js';

const SEED = 1;

function backends(count: number, draining: readonly string[] = []): PlacementInput['backends'] {
  return Array.from({ length: count }, (_, at) => {
    const name = `backend-${at}`;
    return { name, zone: 'a', draining: draining.includes(name) };
  });
}

function owned(owners: readonly (string | null)[]): ShardRow[] {
  return owners.map((owner, shard) => ({ ...emptyShardRow(shard), owner, epoch: 1, session: 1 }));
}

function input(rows: readonly ShardRow[], given: Partial<PlacementInput>): PlacementInput {
  return {
    rows,
    backends: backends(3),
    loadOf: () => 1,
    toleratedImbalance: 1.1,
    maxBalanceMoves: 100,
    ...given,
  };
}

test('unowned shards are spread evenly', (t) => {
  const plan = planPlacement(input(owned(Array<null>(9).fill(null)), {}));
  const counts = [0, 1, 2].map((at) => plan.assignments.filter((a) => a.backend === `backend-${at}`).length);
  t.deepEqual(counts, [3, 3, 3]);
});

test('only unowned shards are assigned; nothing else moves within the tolerated imbalance', (t) => {
  const rows = owned(['backend-0', null, 'backend-1', 'backend-2']);
  const plan = planPlacement(input(rows, { toleratedImbalance: 2 }));
  t.deepEqual(
    plan.assignments.map(({ shard }) => shard),
    [1],
  );
  t.deepEqual(plan.moves, []);
});

test('a leaving back end is drained and receives nothing', (t) => {
  const rows = owned(['backend-0', 'backend-0', 'backend-1', null]);
  const plan = planPlacement(input(rows, { backends: backends(3, ['backend-0']) }));
  const moved = [...plan.assignments, ...plan.moves];
  t.deepEqual(moved.map(({ shard }) => shard).sort(), [0, 1, 3]);
  t.true(moved.every(({ backend }) => backend !== 'backend-0'));
});

test('a joining back end receives its fair share and no more', (t) => {
  const rows = owned(Array.from({ length: 300 }, (_, shard) => `backend-${shard % 3}`));
  const plan = planPlacement(
    input(rows, { backends: backends(4), toleratedImbalance: 1, maxBalanceMoves: 1_000 }),
  );
  t.true(plan.moves.every(({ backend }) => backend === 'backend-3'));
  t.is(plan.moves.length, 75);
});

test('a shard with more load than a fair share is not moved back and forth', (t) => {
  const rows = owned(['backend-0', 'backend-1', 'backend-2']);
  const plan = planPlacement(input(rows, { loadOf: (shard) => (shard === 0 ? 1_000 : 1) }));
  t.deepEqual(plan.moves, []);
});

test('a plan never raises the largest load, and reaches the tolerated imbalance when the load can be split', (t) => {
  const loads = fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 60, maxLength: 200 });
  const property = fc.property(loads, (values) => {
    const rows = owned(values.map((_, shard) => `backend-${(shard * shard) % 3}`));
    const loadOf = (shard: number): number => values[shard] ?? 0;
    const owners = rows.map((row) => row.owner);
    const before = loadsOf(owners, values);
    for (const move of planPlacement(input(rows, { loadOf })).moves) owners[move.shard] = move.backend;
    const after = loadsOf(owners, values);
    t.true(Math.max(...after) <= Math.max(...before));
    t.true(imbalance(after) <= 1.1);
  });
  t.notThrows(() => {
    fc.assert(property, { seed: SEED });
  });
});

function loadsOf(owners: readonly (string | null)[], values: readonly number[]): number[] {
  return [0, 1, 2].map((at) =>
    values.reduce((sum, load, shard) => (owners[shard] === `backend-${at}` ? sum + load : sum), 0),
  );
}

test('a back end that joins many others receives shards although the largest load is tolerated', (t) => {
  const count = 12;
  const rows = owned(Array.from({ length: 480 }, (_, shard) => `backend-${shard % (count - 1)}`));
  const plan = planPlacement(
    input(rows, { backends: backends(count), toleratedImbalance: 1.1, maxBalanceMoves: 1_000 }),
  );
  const fairShare = 480 / count;
  t.true(plan.moves.every(({ backend }) => backend === 'backend-11'));
  t.true(plan.moves.length >= fairShare / 1.1 - 1, String(plan.moves.length));
  t.true(plan.moves.length <= fairShare * 1.1, String(plan.moves.length));
});

test('a back end with a limited capacity is left no more than that, and receives the rest of nothing', (t) => {
  const count = 3;
  const rows = owned(Array.from({ length: 90 }, (_, shard) => `backend-${shard % count}`));
  const limited = backends(count).map((backend, at) => ({ ...backend, capacity: at === 0 ? 6 : null }));
  const plan = planPlacement(
    input(rows, { backends: limited, toleratedImbalance: 1.05, maxBalanceMoves: 1_000 }),
  );
  const movedAway = plan.moves.filter(({ shard }) => shard % count === 0).length;
  t.true(plan.moves.every(({ backend }) => backend !== 'backend-0'));
  t.true(30 - movedAway <= 6 * 1.5, `${30 - movedAway} of 30 shards stay`);
  t.true(30 - movedAway >= 3, 'what it can serve stays');
});
