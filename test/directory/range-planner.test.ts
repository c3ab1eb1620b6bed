/** Tests of the range planner. */
import test from 'ava';
import { KeyLoad, bucketOf } from '../../src/directory/key-load.js';
import { unownedRanges } from '../../src/directory/key-ranges.js';
import { planRanges } from '../../src/directory/range-planner.js';
import type { RangeView } from '../../src/directory/range-view.js';
import type { BackendInstance, KeyRange } from '../../src/directory/directory-state.js';

function instance(id: string, condition: BackendInstance['condition'] = 'ready'): BackendInstance {
  return {
    id,
    service: 's',
    zone: 'z',
    daemonAddress: `${id}:1`,
    slots: 4,
    condition,
    version: 'v1',
    session: 1,
  };
}

function range(from: number, to: number, owner: string | null): KeyRange {
  return { from, to, owner, session: 1, fence: 1, movingTo: null, handover: '' };
}

function view(parts: Partial<RangeView>): RangeView {
  return {
    ranges: unownedRanges(),
    instances: [instance('a'), instance('b')],
    usableSlots: new Map(),
    load: new KeyLoad(),
    mayBalance: true,
    movesAreCostly: false,
    movableLoad: Infinity,
    evacuatedZones: new Set(),
    isCoolingDown: () => false,
    ...parts,
  };
}

/** Reports load as pairs of bucket and ms, once a second, from `fromMs` on. */
function report(load: KeyLoad, pairs: readonly (readonly [number, number])[], rounds = 40, fromMs = 0): void {
  for (let round = 1; round <= rounds; round += 1) {
    load.add(pairs, fromMs + round * 1_000);
    load.decay(fromMs + round * 1_000);
  }
}

function loadAt(key: number, slots: number): KeyLoad {
  const load = new KeyLoad();
  report(load, [[bucketOf(key), slots * 1_000]]);
  return load;
}

test('a first assignment divides all keys evenly', (t) => {
  const { assignments } = planRanges(view({}));
  t.deepEqual(assignments, [
    { from: 0, to: 32_767, backend: 'a' },
    { from: 32_768, to: 65_535, backend: 'b' },
  ]);
});

test('unowned keys are spread over the back ends even if their load is unknown', (t) => {
  const ranges = [range(0, 65_535, null)];
  const instances = [instance('a'), instance('b'), instance('c'), instance('d')];
  const { assignments } = planRanges(view({ ranges, instances }));
  t.is(new Set(assignments.map(({ backend }) => backend)).size, 4);
  t.is(
    assignments.reduce((keys, { from, to }) => keys + to - from + 1, 0),
    65_536,
  );
});

for (const [name, ranges, keptKeys] of [
  ['all owners', [range(0, 65_535, null)], 0],
  ['most owners', [range(0, 57_343, null), range(57_344, 65_535, 'a')], 8_192],
] as const) {
  test(`after a loss of ${name} no back end gets many more keys than the others`, (t) => {
    const instances = Array.from({ length: 34 }, (_, at) => instance(at === 0 ? 'a' : `b${at}`));
    const { assignments } = planRanges(view({ ranges, instances }));
    const keys = new Map<string, number>();
    for (const { from, to, backend } of assignments)
      keys.set(backend, (keys.get(backend) ?? 0) + to - from + 1);
    t.is(
      [...keys.values()].reduce((sum, count) => sum + count, 0),
      65_536 - keptKeys,
    );
    t.true(Math.max(...keys.values()) <= (1.6 * 65_536) / 34, `${Math.max(...keys.values())} keys`);
    t.true(assignments.length <= 2 * 34, `${assignments.length} pieces`);
  });
}

test('a leaving back end is drained; nothing is planned when it is the only one', (t) => {
  const ranges = [range(0, 32_767, 'a'), range(32_768, 65_535, 'b')];
  const leaving = [instance('a', 'draining'), instance('b')];
  const { moves } = planRanges(view({ ranges, instances: leaving }));
  t.is(
    moves.reduce((keys, { from, to }) => keys + to - from + 1, 0),
    32_768,
  );
  t.true(moves.every(({ backend }) => backend === 'b'));
  const alone = planRanges(view({ ranges: [range(0, 65_535, 'a')], instances: [instance('a', 'draining')] }));
  t.deepEqual(alone, { assignments: [], moves: [], forBalance: false });
});

test('busy keys are moved from the busiest back end, few keys at a time', (t) => {
  const ranges = [range(0, 32_767, 'a'), range(32_768, 65_535, 'b')];
  const load = loadAt(1_000, 1.5);
  for (let bucket = 70; bucket < 76; bucket += 1) report(load, [[bucket, 2_000]], 1, (bucket - 30) * 1_000);
  const { moves } = planRanges(view({ ranges, load }));
  t.true(moves.length > 0);
  t.true(moves.every(({ backend }) => backend === 'b'));
  t.true(moves.reduce((keys, { from, to }) => keys + to - from + 1, 0) < 2_000);
});

test('nothing is moved for balance while a move is in progress or when balancing is not allowed', (t) => {
  const load = loadAt(1_000, 4);
  const moving = { ...range(0, 99, 'a'), movingTo: 'b' };
  const ranges = [moving, range(100, 32_767, 'a'), range(32_768, 65_535, 'b')];
  t.deepEqual(planRanges(view({ ranges, load })).moves, []);
  const still = [range(0, 32_767, 'a'), range(32_768, 65_535, 'b')];
  t.deepEqual(planRanges(view({ ranges: still, load, mayBalance: false })).moves, []);
});

test('the other keys of a back end with one very busy key are moved away', (t) => {
  const ranges = [range(0, 32_767, 'a'), range(32_768, 65_535, 'b')];
  const load = new KeyLoad();
  report(load, [
    [bucketOf(1_000), 20_000],
    [bucketOf(8_000), 700],
    [bucketOf(9_000), 700],
  ]);
  const { moves } = planRanges(view({ ranges, load }));
  const moved = (key: number): boolean => moves.some(({ from, to }) => key >= from && key <= to);
  t.true(moved(8_000) && moved(9_000));
  t.false(moved(1_000), 'it would overload any back end');
});

test('a back end without movable keys does not prevent moves from the next busiest one', (t) => {
  const ranges = [
    range(0, 15, 'a'),
    range(16, 32_767, 'b'),
    range(32_768, 49_151, 'c'),
    range(49_152, 65_535, 'd'),
  ];
  const instances = ['a', 'b', 'c', 'd'].map((id) => instance(id));
  const load = new KeyLoad();
  report(load, [
    [bucketOf(0), 20_000],
    [bucketOf(5_000), 1_500],
    [bucketOf(6_000), 1_500],
  ]);
  const { moves } = planRanges(view({ ranges, instances, load }));
  t.true(moves.length > 0);
  t.true(moves.every(({ from }) => from >= 16));
});

test('recently moved keys are not moved again, and others are moved instead', (t) => {
  const load = loadAt(100, 2);
  const pairs = [
    [bucketOf(100), 1_500],
    [bucketOf(5_000), 1_500],
  ] as const;
  report(load, pairs, 40, 40_000);
  const ranges = [range(0, 32_767, 'a'), range(32_768, 65_535, 'b')];
  const free = planRanges(view({ ranges, load }));
  t.true(free.moves.some(({ from, to }) => from <= 100 && to >= 100));
  load.recordMove(96, 111, 1_000);
  const { moves } = planRanges(
    view({ ranges, load, isCoolingDown: (bucket) => load.isCoolingDown(bucket, 5_000) }),
  );
  t.true(moves.length > 0);
  t.false(moves.some(({ from, to }) => from <= 100 && to >= 100));
  t.false(load.isCoolingDown(bucketOf(100), 9_001));
});

test('an evacuated zone is drained and receives no keys; nothing moves if no other zone is left', (t) => {
  const instances = [{ ...instance('a'), zone: 'left' }, instance('b')];
  const ranges = [range(0, 32_767, 'a'), range(32_768, 65_535, 'b')];
  const evacuatedZones = new Set(['left']);
  const { moves } = planRanges(view({ ranges, instances, evacuatedZones }));
  t.deepEqual(moves, [{ from: 0, to: 32_767, backend: 'b' }]);
  const { assignments } = planRanges(view({ ranges: [range(0, 65_535, null)], instances, evacuatedZones }));
  t.true(assignments.every(({ backend }) => backend === 'b'));
  const nowhere = planRanges(view({ ranges, instances, evacuatedZones: new Set(['left', 'z']) }));
  t.deepEqual([nowhere.assignments, nowhere.moves], [[], []]);
});

/** Load of `slots` slots, spread evenly over all keys. */
function evenLoad(slots: number): KeyLoad {
  const load = new KeyLoad();
  const buckets = bucketOf(65_535) + 1;
  const busyMs = (slots * 1_000) / buckets;
  report(
    load,
    Array.from({ length: buckets }, (_, bucket) => [bucket, busyMs] as const),
  );
  return load;
}

function loadOf(
  owner: string,
  ranges: readonly KeyRange[],
  moves: readonly { from: number; to: number }[],
  load: KeyLoad,
): number {
  const owned = ranges.filter((known) => known.owner === owner);
  const sum = (spans: readonly { from: number; to: number }[]): number =>
    spans.reduce((total, { from, to }) => total + load.ofSpan(from, to), 0);
  return sum(owned) - sum(moves);
}

test('an owner that accepts a limited rate hands over the load that it cannot serve', (t) => {
  const ranges = [range(0, 32_767, 'a'), range(32_768, 65_535, 'b')];
  const { moves } = planRanges(view({ ranges, load: evenLoad(2), usableSlots: new Map([['a', 0.4]]) }));
  t.true(moves.length > 0);
  t.true(moves.every(({ backend }) => backend === 'b'));
  t.true(loadOf('a', ranges, moves, evenLoad(2)) < 0.4);
});

test('an owner that accepts a limited rate keeps keys that are not used', (t) => {
  const ranges = [range(0, 32_767, 'a'), range(32_768, 65_535, 'b')];
  t.deepEqual(planRanges(view({ ranges, usableSlots: new Map([['a', 0.1]]) })).moves, []);
});

test('unowned keys go mostly to back ends that accept more', (t) => {
  const ranges = [range(0, 65_535, null)];
  const load = evenLoad(2);
  const { assignments } = planRanges(view({ ranges, load, usableSlots: new Map([['a', 0.4]]) }));
  const assigned = assignments.filter(({ backend }) => backend === 'a');
  t.true(assigned.reduce((sum, { from, to }) => sum + load.ofSpan(from, to), 0) < 0.4);
});

test('an owner that accepts a limited rate hands over small loads, too', (t) => {
  const fragments = Array.from({ length: 32 }, (_, at) =>
    range(at * 2_048, (at + 1) * 2_048 - 1, at % 2 === 0 ? 'a' : 'b'),
  );
  const load = evenLoad(0.4);
  const { moves } = planRanges(view({ ranges: fragments, load, usableSlots: new Map([['a', 0.05]]) }));
  t.true(moves.length > 0);
  t.deepEqual(planRanges(view({ ranges: fragments, load: evenLoad(0.4) })).moves, []);
});

const COSTLY = { movesAreCostly: true, ranges: [range(0, 32_767, 'a'), range(32_768, 65_535, 'b')] };

/** Load of three keys of one owner, each of `slots` slots. */
function threeBusyKeys(slots: number): KeyLoad {
  const load = new KeyLoad();
  const keys = [1_000, 2_000, 3_000];
  report(
    load,
    keys.map((key) => [bucketOf(key), slots * 1_000] as const),
  );
  return load;
}

test('costly moves take keys away only from an owner whose demand exceeds its slots', (t) => {
  t.deepEqual(planRanges(view({ ...COSTLY, load: threeBusyKeys(1.2) })).moves, []);
  const { moves } = planRanges(view({ ...COSTLY, load: threeBusyKeys(1.8) }));
  t.is(moves.length, 1);
  t.true(moves.every(({ from, to, backend }) => backend === 'b' && to - from < 16));
});

test('a costly move is not planned if its pause refuses more work than it saves', (t) => {
  // One key of 3 slots exceeds the owner's slots by 0.3 and is the only one that could move.
  const load = new KeyLoad();
  report(load, [
    [bucketOf(1_000), 3_000],
    [bucketOf(2_000), 1_000],
  ]);
  const isCoolingDown = (bucket: number): boolean => bucket === bucketOf(2_000);
  t.deepEqual(planRanges(view({ ...COSTLY, load, isCoolingDown })).moves, []);
});

test('costly moves go on while others are in progress, up to a bound on the load that is moving', (t) => {
  const moving = { ...range(0, 99, 'a'), movingTo: 'b' };
  const ranges = [moving, range(100, 32_767, 'a'), range(32_768, 65_535, 'b')];
  const load = threeBusyKeys(1.8);
  t.is(planRanges(view({ ...COSTLY, ranges, load })).moves.length, 1);
  const limited = planRanges(view({ ...COSTLY, ranges, load, movableLoad: 0 }));
  t.deepEqual([limited.moves, limited.limitedBy], [[], 'moved-load']);
});

/** Guards against an answer to a heartbeat that is longer than back ends read, after many moves of single keys. */
for (const [name, owner] of [
  ['source', 'a'],
  ['receiver', 'b'],
] as const) {
  test(`no costly move adds a range to a ${name} that has 40 of them`, (t) => {
    const load = threeBusyKeys(1.8);
    // The ranges between them belong to a back end that is not registered, and takes part in no move.
    const single = Array.from({ length: 38 }, (_, at) => {
      const from = 40_000 + at * 32;
      return [range(from, from + 15, owner), range(from + 16, from + 31, 'c')];
    }).flat();
    const rest = [range(0, 32_767, 'a'), range(32_768, 39_999, 'b'), ...single];
    const last = 40_000 + 38 * 32;
    const plan = (ranges: readonly KeyRange[]) => planRanges(view({ ...COSTLY, ranges, load })).moves.length;
    t.is(plan([...rest, range(last, 65_535, 'c')]), 1, '39 ranges');
    t.is(plan([...rest, range(last, last + 15, owner), range(last + 16, 65_535, 'c')]), 0, '40 ranges');
  });
}

test('averages do not depend on the interval of reports, and reports of keys that move are left out', (t) => {
  const load = new KeyLoad();
  for (let ms = 700; ms <= 21_000; ms += 700) {
    load.add([[1, 350]], ms);
    load.decay(ms);
  }
  for (let ms = 21_300; ms <= 24_000; ms += 300) load.add([[1, 150]], ms);
  t.true(Math.abs((load.slots[1] ?? 0) - 0.5) < 0.01);
  load.recordMove(16, 31, 24_000);
  load.add([[1, 3_000]], 25_000);
  t.true(Math.abs((load.slots[1] ?? 0) - 0.5) < 0.01);
  load.decay(60_000);
  t.true((load.slots[1] ?? 0) < 0.4);
});
