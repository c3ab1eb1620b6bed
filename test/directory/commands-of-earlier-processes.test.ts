/**
 * Guards against commands that outlive the daemon process that sent them. Each was sent by a process whose successor has taken
 * the registration over; owner, fence and session are those of the successor, which the command was not about.
 */
import test from 'ava';
import type { DirectoryCommand, RegisterCommand } from '../../src/directory/directory-commands.js';
import { applyDirectoryCommand } from '../../src/directory/directory-machine.js';
import {
  emptyDirectoryState,
  type ConfigurationItem,
  type DirectoryState,
} from '../../src/directory/directory-state.js';
import { rangeOf } from '../../src/directory/key-ranges.js';

const SERVICE = 'stock';
const KEY = 50;

const KEYED_SERVICE: ConfigurationItem = {
  kind: 'service',
  name: SERVICE,
  version: 1,
  source: '',
  definition: { maxConnections: 9, keyed: true, grantMode: null, coldStart: null, healthPath: null },
};

function register(
  id: string,
  holder: string | undefined,
  replacesHolder: string | null | undefined,
  slots = 4,
): RegisterCommand {
  const condition = 'ready' as const;
  const common = { service: SERVICE, zone: 'z', slots, condition, version: 'v1' };
  const instance = { id, daemonAddress: `${id}:1`, holder, ...common };
  return { kind: 'register', instance, replaces: null, replacesHolder };
}

/** A directory in which 'one' owns all keys, which are moving to 'two', and has been adopted by the process 'second'. */
class Adopted {
  readonly state: DirectoryState = emptyDirectoryState();
  private index = 0;

  constructor(firstHolder: string | undefined, secondHolder: string | undefined) {
    this.apply({ kind: 'configure-items', items: [KEYED_SERVICE] });
    this.apply(register('one', firstHolder, null));
    this.apply(register('two', 'other', null));
    const assignments = [{ from: 0, to: 65_535, owner: 'one' }];
    this.apply({ kind: 'assign-ranges', service: SERVICE, assignments });
    const moves = [{ from: 0, to: 99, target: 'two' }];
    this.apply({ kind: 'begin-range-moves', service: SERVICE, moves });
    this.apply(register('one', secondHolder, firstHolder ?? null));
  }

  apply(command: DirectoryCommand): string {
    this.index += 1;
    return applyDirectoryCommand(this.state, command, this.index).outcome.kind;
  }

  get session(): number {
    return this.state.instances.get('one')?.session ?? -1;
  }

  get range(): { owner: string | null; fence: number } {
    const { owner, fence } = rangeOf(this.state.ranges.get(SERVICE) ?? [], KEY) ?? { owner: null, fence: -1 };
    return { owner, fence };
  }

  get span(): { service: string; from: number; to: number; owner: string; fence: number } {
    return { service: SERVICE, from: 0, to: 99, owner: 'one', fence: this.range.fence };
  }
}

type LateCommand = (world: Adopted, holder: string | undefined) => DirectoryCommand;

/** Commands that a process sends about its registration, as of the state in which its successor has adopted it. */
const COMMANDS: Readonly<Record<string, LateCommand>> = {
  released: ({ span }, holder) => ({ kind: 'complete-range-move', ...span, handover: 'h', holder }),
  'raise-fence': ({ span }, holder) => ({ kind: 'raise-fence', ...span, holder }),
  unregister: ({ session }, holder) => ({ kind: 'unregister', sessions: [{ id: 'one', session, holder }] }),
  register: (_world, holder) => register('one', holder, holder === 'first' ? null : holder, 9),
};

function effectOf(world: Adopted, command: DirectoryCommand): string {
  const before = JSON.stringify([world.range, [...world.state.instances]]);
  world.apply(command);
  return JSON.stringify([world.range, [...world.state.instances]]) === before ? 'none' : 'changed';
}

for (const [name, late] of Object.entries(COMMANDS)) {
  test(`a late '${name}' of an earlier process has no effect, one of the present process has`, (t) => {
    const world = new Adopted('first', 'second');
    t.is(effectOf(world, late(world, 'first')), 'none', 'the process that was replaced');
    t.is(effectOf(world, late(world, 'second')), 'changed', 'the process that holds the registration');
  });

  test(`a '${name}' has effect if the process that holds the registration is not known`, (t) => {
    const world = new Adopted(undefined, undefined);
    t.is(effectOf(world, late(world, 'second')), 'changed');
  });
}

test('a process takes a registration over only from the one that holds it, and keeps its session and keys', (t) => {
  const world = new Adopted('first', 'second');
  const { session, range } = world;
  t.is(world.apply(register('one', 'third', 'first')), 'invalid', 'it knows an outdated holder');
  t.is(world.state.instances.get('one')?.holder, 'second');
  t.is(world.apply(register('one', 'third', 'second')), 'registered');
  t.is(world.state.instances.get('one')?.holder, 'third');
  t.deepEqual([world.session, world.range], [session, range]);
  t.is(world.apply(register('one', undefined, undefined)), 'registered', 'of a version that states none');
});
