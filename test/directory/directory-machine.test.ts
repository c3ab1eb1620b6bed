/** Tests of the commands of the directory's state machine. */
import test from 'ava';
import type { DirectoryCommand, RegisterCommand } from '../../src/directory/directory-commands.js';
import { applyDirectoryCommand } from '../../src/directory/directory-machine.js';
import {
  decodeDirectory,
  emptyDirectoryState,
  encodeDirectory,
  itemKey,
  type ConfigurationItem,
  type DirectoryState,
} from '../../src/directory/directory-state.js';
import { rangeOf } from '../../src/directory/key-ranges.js';

const SERVICE = 'stock';

function service(name: string, version = 1): ConfigurationItem {
  const definition = { maxConnections: 10, keyed: true, grantMode: null, coldStart: null, healthPath: null };
  return { kind: 'service', name, version, source: `service ${name} ${version}`, definition };
}

function route(name: string, version: number, destination: string): ConfigurationItem {
  return {
    kind: 'route',
    name,
    version,
    source: `route ${name} ${version}`,
    definition: {
      host: 'a.example',
      pathPrefix: '/a/',
      kind: 'safe',
      timeoutMs: 1_000,
      targetLatencyMs: 100,
      priority: 1,
      maxAttempts: 2,
      destinations: [{ service: destination, weight: 1 }],
    },
  };
}

function register(id: string, daemonAddress: string): RegisterCommand {
  const instance = {
    id,
    service: SERVICE,
    zone: 'z',
    daemonAddress,
    slots: 4,
    condition: 'ready',
    version: 'v1',
  } as const;
  return { kind: 'register', instance };
}

class TestDirectory {
  readonly state: DirectoryState = emptyDirectoryState();
  private index = 0;

  apply(command: DirectoryCommand): ReturnType<typeof applyDirectoryCommand>['outcome'] {
    this.index += 1;
    return applyDirectoryCommand(this.state, command, this.index).outcome;
  }

  ownerOf(key: number): string | null {
    return rangeOf(this.state.ranges.get(SERVICE) ?? [], key)?.owner ?? null;
  }

  fenceOf(key: number): number {
    return rangeOf(this.state.ranges.get(SERVICE) ?? [], key)?.fence ?? -1;
  }
}

function directoryWithOwners(): TestDirectory {
  const world = new TestDirectory();
  world.apply({ kind: 'configure-items', items: [service(SERVICE)] });
  world.apply(register('one', 'h1:1'));
  world.apply(register('two', 'h2:1'));
  const assignments = [
    { from: 0, to: 32_767, owner: 'one' },
    { from: 32_768, to: 65_535, owner: 'two' },
  ];
  world.apply({ kind: 'assign-ranges', service: SERVICE, assignments });
  return world;
}

test('the higher of two versions of an item wins, regardless of their order', (t) => {
  for (const versions of [
    [3, 7],
    [7, 3],
  ]) {
    const world = new TestDirectory();
    world.apply({ kind: 'configure-items', items: [service(SERVICE)] });
    for (const version of versions) {
      const items = [route('r', version, SERVICE)];
      t.is(world.apply({ kind: 'configure-items', items }).kind, 'done');
    }
    t.is(world.state.items.get(itemKey('route', 'r'))?.version, 7);
  }
});

test('an older version does not restore a dropped item', (t) => {
  const world = new TestDirectory();
  world.apply({ kind: 'configure-items', items: [service(SERVICE), route('r', 3, SERVICE)] });
  const dropped: ConfigurationItem = { kind: 'route', name: 'r', version: 9, definition: null, source: null };
  world.apply({ kind: 'configure-items', items: [dropped] });
  world.apply({ kind: 'configure-items', items: [route('r', 8, SERVICE)] });
  t.is(world.state.items.get(itemKey('route', 'r'))?.definition, null);
});

test('different content under the current version of an item is ignored', (t) => {
  const world = new TestDirectory();
  world.apply({ kind: 'configure-items', items: [service(SERVICE), route('r', 3, SERVICE)] });
  world.apply({ kind: 'configure-items', items: [{ ...route('r', 3, SERVICE), source: 'other' }] });
  t.is(world.state.items.get(itemKey('route', 'r'))?.source, 'route r 3');
});

test('a change with a route to an unknown service is rejected as a whole', (t) => {
  const world = new TestDirectory();
  const items = [service(SERVICE), route('good', 1, SERVICE), route('bad', 1, 'nowhere')];
  t.is(world.apply({ kind: 'configure-items', items }).kind, 'invalid');
  t.is(world.state.items.size, 0);
});

const REVISION = { kind: 'configure-revision', replacesAll: false } as const;

test('whole revisions: one of two on the same base wins, a resend gets the first answer, an old version is rejected', (t) => {
  const world = new TestDirectory();
  const first = { ...REVISION, base: 0, version: 5, digest: 'a', items: [service(SERVICE, 5)] };
  const rival = { ...REVISION, base: 0, version: 5, digest: 'b', items: [service('other', 5)] };
  t.is(world.apply(first).kind, 'done');
  t.deepEqual(world.apply(rival), { kind: 'conflict', present: 5 });
  t.is(world.apply({ ...REVISION, base: 5, version: 9, digest: 'c', items: [] }).kind, 'done');
  t.is(world.apply(first).kind, 'done', 'a resend after another change');
  t.is(world.state.revision, 9);
  t.is(world.apply({ ...REVISION, base: 9, version: 9, digest: 'd', items: [] }).kind, 'invalid');
  t.false(world.state.items.has(itemKey('service', 'other')));
});

test('a revision that replaces the whole configuration drops the items that it does not name', (t) => {
  const world = new TestDirectory();
  const items = [service(SERVICE, 1), route('r', 1, SERVICE)];
  world.apply({ ...REVISION, base: 0, version: 1, digest: 'a', items });
  const put = {
    ...REVISION,
    replacesAll: true,
    base: 1,
    version: 2,
    digest: 'b',
    items: [service(SERVICE, 2)],
  };
  world.apply(put);
  t.is(world.state.items.get(itemKey('route', 'r'))?.definition, null);
});

test('a repeated registration gets the same session; a new incarnation at the same daemon ends the earlier one', (t) => {
  const world = directoryWithOwners();
  const { session } = world.state.instances.get('one') ?? {};
  const again = world.apply(register('one', 'h1:1'));
  t.deepEqual(again, { kind: 'registered', session: session ?? -1 });
  t.is(world.ownerOf(5), 'one');
  world.apply(register('one-anew', 'h1:1'));
  t.false(world.state.instances.has('one'));
  t.is(world.ownerOf(5), null);
  t.is(world.ownerOf(40_000), 'two');
});

test('a registration that does not name the incarnation at its daemon does not end it', (t) => {
  const world = directoryWithOwners();
  for (const replaces of [null, 'one-before']) {
    const outcome = world.apply({ ...register('one-anew', 'h1:1'), replaces });
    t.is(outcome.kind, 'invalid');
  }
  t.is(world.ownerOf(5), 'one');
  t.is(world.apply({ ...register('one', 'h1:1'), replaces: null }).kind, 'registered');
  t.is(world.apply({ ...register('one-anew', 'h1:1'), replaces: 'one' }).kind, 'registered');
  t.false(world.state.instances.has('one'));
});

test('a move changes the owner only after the range was released, and raises the fence', (t) => {
  const world = directoryWithOwners();
  const fence = world.fenceOf(100);
  const moves = [{ from: 100, to: 199, target: 'two' }];
  world.apply({ kind: 'begin-range-moves', service: SERVICE, moves });
  t.is(world.ownerOf(150), 'one');
  const span = { service: SERVICE, from: 100, to: 199, owner: 'one', handover: 'h' };
  world.apply({ kind: 'complete-range-move', ...span, fence: fence - 1 });
  t.is(world.ownerOf(150), 'one', 'a report about another fence is stale');
  world.apply({ kind: 'complete-range-move', ...span, fence });
  t.is(world.ownerOf(150), 'two');
  t.true(world.fenceOf(150) > fence);
  t.is(world.ownerOf(99), 'one');
  t.is(world.ownerOf(200), 'one');
});

test('only the owner of a range can raise its fence without a move', (t) => {
  const world = directoryWithOwners();
  const fence = world.fenceOf(100);
  const span = { kind: 'raise-fence', service: SERVICE, from: 100, to: 199 } as const;
  world.apply({ ...span, owner: 'two', fence });
  t.is(world.fenceOf(150), fence);
  world.apply({ ...span, owner: 'one', fence });
  t.true(world.fenceOf(150) > fence);
  t.is(world.fenceOf(99), fence);
  t.is(world.ownerOf(150), 'one');
});

test('when the target of a move ends, the range stays with its owner, and the ranges of the target become unowned', (t) => {
  const world = directoryWithOwners();
  const moves = [{ from: 0, to: 99, target: 'two' }];
  world.apply({ kind: 'begin-range-moves', service: SERVICE, moves });
  const session = world.state.instances.get('two')?.session ?? 0;
  world.apply({ kind: 'unregister', sessions: [{ id: 'two', session }] });
  t.is(world.ownerOf(50), 'one');
  t.is(world.ownerOf(40_000), null);
});

test('a cancelled move raises the fence, so that a late release report names an outdated fence', (t) => {
  const world = directoryWithOwners();
  const moves = [{ from: 0, to: 99, target: 'two' }];
  const before = world.fenceOf(50);
  world.apply({ kind: 'begin-range-moves', service: SERVICE, moves });
  const session = world.state.instances.get('two')?.session ?? 0;
  world.apply({ kind: 'unregister', sessions: [{ id: 'two', session }] });
  t.true(world.fenceOf(50) > before);
  t.is(world.fenceOf(100), before, 'keys that were not moving keep their fence');
  world.apply(register('three', 'h3:1'));
  world.apply({ kind: 'begin-range-moves', service: SERVICE, moves: [{ from: 0, to: 99, target: 'three' }] });
  const late = { from: 0, to: 99, owner: 'one', fence: before, handover: 'h' };
  world.apply({ kind: 'complete-range-move', service: SERVICE, ...late });
  t.is(world.ownerOf(50), 'one');
});

test('a change of grant mode raises the fences of owned ranges', (t) => {
  const world = directoryWithOwners();
  const fence = world.fenceOf(50);
  const before = world.state.items.get(itemKey('service', SERVICE));
  if (before?.kind !== 'service' || before.definition === null) throw new Error('invariant broken');
  const grantMode = before.definition.grantMode === 'invoke' ? 'heartbeat' : 'invoke';
  const change = (version: number): void => {
    const item = { ...before, version, definition: { ...before.definition, grantMode } } as ConfigurationItem;
    world.apply({ kind: 'configure-items', items: [item] });
  };
  change(before.version + 1);
  const raised = world.fenceOf(50);
  t.true(raised > fence);
  change(before.version + 2);
  t.is(world.fenceOf(50), raised, 'the same grant mode again changes nothing');
});

test('ending another session does not end a registration', (t) => {
  const world = directoryWithOwners();
  world.apply({ kind: 'unregister', sessions: [{ id: 'one', session: 999 }] });
  t.is(world.ownerOf(5), 'one');
});

test('an evacuation lasts until it is ended and is kept in snapshots; repeating it changes nothing', (t) => {
  const world = new TestDirectory();
  const begin: DirectoryCommand = { kind: 'set-evacuation', zone: 'z', evacuated: true };
  t.deepEqual(world.apply(begin), { kind: 'done' });
  t.deepEqual(world.apply(begin), { kind: 'done' });
  const restored = decodeDirectory(encodeDirectory(world.state));
  t.deepEqual([...restored.evacuatedZones], ['z']);
  t.deepEqual(world.apply({ ...begin, evacuated: false }), { kind: 'done' });
  t.is(world.state.evacuatedZones.size, 0);
  const { evacuatedZones, ...older } = encodeDirectory(world.state);
  t.deepEqual(evacuatedZones, []);
  t.is(decodeDirectory(older).evacuatedZones.size, 0, 'a snapshot written by a version without evacuations');
});
