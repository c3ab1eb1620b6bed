import test from 'ava';
import { configurationSchema } from '../../src/config/configuration.js';
import { emptyShardRow, type ShardRow } from '../../src/model/shard.js';
import { planPlacement, type PlacementPlan } from '../../src/placement/planner.js';
import { compilePolicy, type PolicySource } from '../../src/policy/policy.js';

const BACKENDS = ['a', 'b', 'c'].map((name) => ({ name, zone: `zone-${name}`, draining: false }));

function rows(owners: readonly (string | null)[]): ShardRow[] {
  return owners.map((owner, shard) => ({ ...emptyShardRow(shard), owner, epoch: 1, session: 1 }));
}

function plan(source: PolicySource, owners: readonly (string | null)[], load = 1): PlacementPlan {
  return planPlacement({
    rows: rows(owners),
    backends: BACKENDS,
    loadOf: () => load,
    toleratedImbalance: 1.1,
    maxBalanceMoves: 10,
    policy: compilePolicy(source).unwrap(),
  });
}

const UNOWNED = Array<null>(6).fill(null);

test('only eligible back ends receive shards', (t) => {
  const { assignments, policyProblem } = plan({ eligible: 'backend.zone != "zone-b"' }, UNOWNED);
  t.is(assignments.length, 6);
  t.false(assignments.some(({ backend }) => backend === 'b'));
  t.is(policyProblem, null);
});

test('the highest rank wins while it has capacity, then the next', (t) => {
  const { assignments } = plan({ rank: 'backend.name == "c" ? 1.0 : 0.0' }, UNOWNED);
  const counts = ['a', 'b', 'c'].map((name) => assignments.filter(({ backend }) => backend === name).length);
  t.deepEqual(counts, [2, 2, 2]);
  t.is(assignments[0]?.backend, 'c');
});

test('a shard that is not movable is not moved', (t) => {
  const owners = ['a', 'a', 'a', 'a', 'b', 'c'];
  t.true(plan({}, owners).moves.length > 0);
  t.deepEqual(plan({ movable: 'shard.load > 5.0' }, owners).moves, []);
  t.true(plan({ movable: 'shard.load > 5.0' }, owners, 10).moves.length > 0);
});

test('a policy that excludes every back end does not make the service unavailable', (t) => {
  const { assignments, policyProblem } = plan({ eligible: 'false' }, UNOWNED);
  t.is(assignments.length, 6);
  t.regex(policyProblem ?? '', /no back end may hold shard/);
});

test('a policy that throws does not make the service unavailable', (t) => {
  const { assignments, policyProblem } = plan({ eligible: '1 / 0 > 1' }, UNOWNED);
  t.is(assignments.length, 6);
  t.regex(policyProblem ?? '', /^eligible: /);
});

const REFUSED: readonly [string, PolicySource, RegExp][] = [
  ['an unknown field', { eligible: 'backend.colour == "red"' }, /colour/],
  ['a result of another type', { rank: 'backend.name' }, /string, not double/],
  ['an incomplete expression', { movable: 'shard.load >' }, /EOF/],
  ['a reference to the back end in `movable`', { movable: 'backend.load > 1.0' }, /backend/],
  ['an expression that is too large', { eligible: Array(400).fill('true').join(' && ') }, /./],
];

for (const [name, source, expected] of REFUSED) {
  test(`rejected: ${name}`, (t) => {
    const compiled = compilePolicy(source);
    t.true(compiled.err);
    if (compiled.err) t.regex(compiled.val[0]?.detail ?? '', expected);
  });
}

test('a configuration is validated with the example cases of its policies', (t) => {
  const policy = {
    eligible: 'backend.zone != "far"',
    expect: [
      { backend: { zone: 'far' }, shard: {}, eligible: false },
      { backend: { zone: 'near' }, shard: {}, eligible: false },
    ],
  };
  const service = {
    division: 'spread',
    shards: 1,
    slots: 1,
    connections: 1,
    backends: {},
    placement: { policy },
  };
  const checked = configurationSchema.safeParse({ version: 1, services: { s: service } });
  t.false(checked.success);
  t.deepEqual(
    checked.error?.issues.map(({ path, message }) => [path.slice(-3), message]),
    [[['expect', 1, 'eligible'], 'the policy gives true; false is expected']],
  );
});
