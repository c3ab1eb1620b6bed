/** A change is logged without the items that it leaves as they are, and has the effect that it would have had as it was sent. */
import test from 'ava';
import { Random } from '../../lab/random.js';
import type { ConfigurationCommand } from '../../src/directory/configuration-check.js';
import { checkConfiguration } from '../../src/directory/configuration-check.js';
import { applyDirectoryCommand } from '../../src/directory/directory-machine.js';
import {
  emptyDirectoryState,
  encodeDirectory,
  itemKey,
  type ConfigurationItem,
  type DirectoryState,
  type GrantMode,
} from '../../src/directory/directory-state.js';
import { withoutUnchangedItems } from '../../src/directory/unchanged-items.js';
import { valueBytes } from '../../src/model/value-size.js';

const SEEDS = 60;
const CHANGES = 80;
const NAMES = ['a', 'b', 'c', 'd', 'e'];

type Revision = Extract<ConfigurationCommand, { kind: 'configure-revision' }>;

function service(random: Random, name: string, version: number): ConfigurationItem {
  const grantMode = random.pick<GrantMode | null>([null, null, 'heartbeat', 'invoke']);
  const definition = {
    maxConnections: 1,
    keyed: random.below(2) === 0,
    grantMode,
    coldStart: null,
    healthPath: null,
  };
  return { kind: 'service', name, version, source: JSON.stringify(definition), definition };
}

function route(random: Random, name: string, version: number): ConfigurationItem {
  const definition = {
    host: 'h.example',
    pathPrefix: '/',
    kind: 'safe',
    timeoutMs: 1_000,
    targetLatencyMs: 100,
    priority: random.below(2),
    maxAttempts: 1,
    destinations: [{ service: random.pick(NAMES), weight: 1 }],
  } as const;
  return { kind: 'route', name, version, source: JSON.stringify(definition), definition };
}

function dropped({ kind, name }: ConfigurationItem, version: number): ConfigurationItem {
  return { kind, name, version, source: null, definition: null };
}

function drawItem(random: Random, version: number): ConfigurationItem {
  const name = random.pick(NAMES);
  return random.below(2) === 0 ? service(random, name, version) : route(random, name, version);
}

/** Draws a change that leaves many items as they are; its references may be invalid and its base old. */
function drawChange(random: Random, state: DirectoryState, at: number): Revision {
  const { revision } = state;
  const version = revision + 1 + random.below(3);
  const replacesAll = random.below(3) > 0;
  const kept = [...state.items.values()].filter(
    ({ definition }) => definition !== null && random.below(8) > 0,
  );
  const items = new Map(
    (replacesAll ? kept : []).map((item) => [itemKey(item.kind, item.name), { ...item, version }]),
  );
  for (let count = random.below(4); count > 0; count -= 1) {
    const item = drawItem(random, version);
    const isDropped = !replacesAll && random.below(3) === 0;
    items.set(itemKey(item.kind, item.name), isDropped ? dropped(item, version) : item);
  }
  const base = random.below(8) === 0 ? Math.max(0, revision - 1) : revision;
  return {
    kind: 'configure-revision',
    base,
    version,
    digest: `d-${at}`,
    replacesAll,
    items: [...items.values()],
  };
}

/** The state without the versions of its items, and without the order in which they were put. */
function comparable(state: DirectoryState): unknown {
  const { items, ...rest } = encodeDirectory(state);
  const unversioned = items.map((item) => [itemKey(item.kind, item.name), { ...item, version: 0 }] as const);
  return {
    ...rest,
    items: new Map(unversioned),
    ranges: new Map(rest.ranges.map((range) => [range.service, range])),
  };
}

/** Gives the keys of keyed services an owner, so that a changed grant mode has an effect on fences. */
function assignKeys(state: DirectoryState, index: number): void {
  for (const [at, name] of NAMES.entries()) {
    const instance = {
      id: `i-${name}`,
      service: name,
      zone: 'z',
      daemonAddress: `d-${at}`,
      slots: 1,
      condition: 'ready',
      version: '',
    } as const;
    applyDirectoryCommand(state, { kind: 'register', instance }, index);
    const assignments = [{ from: 0, to: 65_535, owner: instance.id }];
    applyDirectoryCommand(state, { kind: 'assign-ranges', service: name, assignments }, index);
  }
}

test('a change without its unchanged items has the same outcome and effect, and so have resends of it', (t) => {
  let saved = 0;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const random = new Random(seed);
    const whole = emptyDirectoryState();
    const smaller = emptyDirectoryState();
    const sent: Revision[] = [];
    for (let at = 1; at <= CHANGES; at += 1) {
      const command =
        sent.length > 0 && random.below(8) === 0 ? random.pick(sent) : drawChange(random, whole, at);
      sent.push(command);
      const check = checkConfiguration(smaller, command);
      const logged =
        check.kind === 'accepted' ? withoutUnchangedItems(smaller, command, check.items) : command;
      const { outcome } = applyDirectoryCommand(whole, command, at);
      t.deepEqual(applyDirectoryCommand(smaller, logged, at).outcome, outcome, `seed ${seed}, change ${at}`);
      if (random.below(5) === 0) for (const state of [whole, smaller]) assignKeys(state, at);
      t.deepEqual(comparable(smaller), comparable(whole), `seed ${seed}, change ${at}`);
      if (outcome.kind === 'done') saved += command.items.length - logged.items.length;
    }
  }
  t.true(saved > (SEEDS * CHANGES) / 2, `${saved} items`);
});

test('a change that another overtakes in the log is in conflict, as it was sent', (t) => {
  const random = new Random(1);
  const state = emptyDirectoryState();
  const base = { kind: 'configure-revision', replacesAll: true } as const;
  const items = NAMES.map((name) => service(random, name, 1));
  applyDirectoryCommand(state, { ...base, base: 0, version: 1, digest: 'first', items }, 1);
  const command = { ...base, base: 1, version: 3, digest: 'late', items: items.slice(1) };
  const check = checkConfiguration(state, command);
  if (check.kind !== 'accepted') throw new Error('invariant broken: the change is acceptable');
  const logged = withoutUnchangedItems(state, command, check.items);
  applyDirectoryCommand(state, { ...base, base: 1, version: 2, digest: 'overtakes', items }, 2);
  t.deepEqual(applyDirectoryCommand(state, logged, 3).outcome, { kind: 'conflict', present: 2 });
});

test('one changed route among many takes the space of one route', (t) => {
  const random = new Random(1);
  const state = emptyDirectoryState();
  const base = { kind: 'configure-revision', replacesAll: true } as const;
  const services = NAMES.map((name) => service(random, name, 1));
  const items = [...services, ...Array.from({ length: 500 }, (_, at) => route(random, `r-${at}`, 1))];
  applyDirectoryCommand(state, { ...base, base: 0, version: 1, digest: 'first', items }, 1);
  const changed = items.map((item) => ({ ...item, version: 2 }));
  changed[7] = { ...route(random, 'r-2', 2), source: 'changed' };
  const command = { ...base, base: 1, version: 2, digest: 'second', items: changed };
  const check = checkConfiguration(state, command);
  if (check.kind !== 'accepted') throw new Error('invariant broken: the change is acceptable');
  const logged = withoutUnchangedItems(state, command, check.items);
  t.deepEqual(logged.items, [changed[7]]);
  t.true(valueBytes(logged) < 1_000);
});

test('changes that name single items are logged as they were sent', (t) => {
  const random = new Random(1);
  const state = emptyDirectoryState();
  const items = [service(random, 'a', 1)];
  const command = { kind: 'configure-items', digest: 'd', items } as const;
  applyDirectoryCommand(state, { ...command, digest: 'first' }, 1);
  t.is(withoutUnchangedItems(state, command, items), command);
  const whole = {
    kind: 'configure-revision',
    base: 0,
    version: 2,
    digest: 'w',
    replacesAll: true,
    items,
  } as const;
  t.is(withoutUnchangedItems(state, whole, items), whole);
  applyDirectoryCommand(state, whole, 2);
  const patch = { ...whole, base: 2, version: 3, digest: 'p', replacesAll: false };
  t.is(withoutUnchangedItems(state, patch, items), patch);
});
