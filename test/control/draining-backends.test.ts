/** Draining back ends: those drained by operators and those in evacuated zones. */
import test from 'ava';
import fc from 'fast-check';
import { configurationSchema, type ConfigurationDocument } from '../../src/config/configuration.js';
import type { Change } from '../../src/control/changes.js';
import type { ControlCommand } from '../../src/control/commands.js';
import { emptyControlState } from '../../src/control/control-state.js';
import { applyCommand } from '../../src/control/state-machine.js';
import { decodeState, encodeState } from '../../src/control/state-snapshot.js';

const ZONES = ['north', 'south'];
const BACKENDS = ['one', 'two', 'three'];

/** Returns a configuration in which each back end has the zone at the same position. */
function document(zones: readonly string[]): ConfigurationDocument {
  const backends = zones.map((zone, at) => [
    BACKENDS[at],
    { zone, address: { host: '10.0.0.1', port: at + 1 } },
  ]);
  const service = { division: 'spread', shards: 1, slots: 6, connections: 60 };
  const services = { stock: { ...service, backends: Object.fromEntries(backends) } };
  return configurationSchema.parse({ version: 1, services });
}

class World {
  readonly state = emptyControlState();
  /** Draining back ends as seen by a watching daemon. */
  readonly watched = new Set<string>();
  private index = 0;

  apply(command: ControlCommand): string {
    this.index += 1;
    const { outcome, changes } = applyCommand(this.state, command, this.index);
    for (const change of changes) this.watch(change);
    return outcome.kind;
  }

  configure(zones: readonly string[]): void {
    const { revision } = this.state.configuration;
    const submissionId = `submission-${this.index}`;
    this.apply({ kind: 'configure', submissionId, baseRevision: revision, document: document(zones) });
  }

  evacuate(zone: string, evacuated = true): string {
    return this.apply({ kind: 'set-evacuation', zone, evacuated });
  }

  drain(backend: string, draining = true): string {
    return this.apply({ kind: 'set-drain', backend, draining });
  }

  get leaving(): string[] {
    return [...this.state.draining].sort();
  }

  private watch(change: Change): void {
    if (change.kind !== 'drain') return;
    if (change.draining) this.watched.add(change.backend);
    else this.watched.delete(change.backend);
  }
}

function ready(): World {
  const world = new World();
  world.configure(['north', 'north', 'south']);
  return world;
}

test('all back ends of an evacuated zone drain until the evacuation ends', (t) => {
  const world = ready();
  t.is(world.evacuate('north'), 'done');
  t.deepEqual(world.leaving, ['one', 'two']);
  t.is(world.evacuate('north'), 'done', 'a repeated request has no further effect');
  t.is(world.evacuate('north', false), 'done');
  t.deepEqual(world.leaving, []);
});

test('a back end drained by an operator keeps draining when the evacuation of its zone ends', (t) => {
  const world = ready();
  world.drain('one');
  world.evacuate('north');
  world.evacuate('north', false);
  t.deepEqual(world.leaving, ['one']);
});

test('a back end configured into an evacuated zone drains, one configured into another zone does not', (t) => {
  const world = ready();
  world.evacuate('north');
  world.configure(['south', 'north', 'north']);
  t.deepEqual(world.leaving, ['three', 'two']);
});

test('evacuating a zone without back ends is refused; an active evacuation of such a zone can be ended', (t) => {
  const world = ready();
  t.is(world.evacuate('east'), 'refused');
  world.evacuate('south');
  world.configure(['north', 'north', 'north']);
  t.is(world.evacuate('south', false), 'done');
  t.is(world.evacuate('south', false), 'refused');
});

test('a snapshot of a version without zone evacuation keeps the back ends drained by an operator', (t) => {
  const world = ready();
  world.drain('one');
  const { drained, evacuatedZones, ...earlier } = encodeState(world.state);
  t.deepEqual([drained, evacuatedZones], [['one'], []]);
  const restored = decodeState(earlier);
  t.deepEqual([...restored.drained], ['one']);
});

test('after any commands watchers know all draining back ends: the drained ones and those in evacuated zones', (t) => {
  const flag = fc.boolean();
  const zone = fc.constantFrom(...ZONES);
  const step = fc.oneof(
    fc.record({ backend: fc.constantFrom(...BACKENDS), draining: flag }).map((given) => {
      return (world: World): unknown => world.drain(given.backend, given.draining);
    }),
    fc.record({ zone, evacuated: flag }).map((given) => {
      return (world: World): unknown => world.evacuate(given.zone, given.evacuated);
    }),
    fc.array(zone, { minLength: 1, maxLength: 3 }).map((zones) => {
      return (world: World): unknown => {
        world.configure(zones);
        return null;
      };
    }),
  );
  const property = fc.property(fc.array(step, { maxLength: 20 }), (steps) => {
    const world = ready();
    for (const applyStep of steps) applyStep(world);
    const { drained, evacuatedZones, configuration } = world.state;
    const configured = Object.entries(configuration.document.services['stock']?.backends ?? {});
    const evacuated = configured.filter(([, backend]) => evacuatedZones.has(backend.zone));
    const expected = new Set([...drained, ...evacuated.map(([name]) => name)]);
    t.deepEqual(world.leaving, [...expected].sort());
    t.deepEqual([...world.watched].sort(), world.leaving);
  });
  fc.assert(property, { seed: 1, numRuns: 500 });
});

function openSession(world: World, backend: string): number {
  const agentAddress = { host: '10.0.0.2', port: 1 };
  const openId = `${backend}-${world.state.sessions.size}`;
  world.apply({ kind: 'open-session', service: 'stock', backend, openId, agentAddress, wallMs: 0 });
  return Math.max(...world.state.sessions.keys());
}

test('a back end that leaves by itself drains until its session is closed', (t) => {
  const world = new World();
  world.configure(['north', 'north', 'south']);
  const session = openSession(world, 'two');
  world.apply({ kind: 'mark-leaving', session });
  world.apply({ kind: 'mark-leaving', session });
  t.deepEqual(world.leaving, ['two']);
  world.drain('two', false);
  t.deepEqual(world.leaving, ['two'], 'an operator cannot take it back');
  t.deepEqual([...decodeState(encodeState(world.state)).draining], ['two']);
  world.apply({ kind: 'close-sessions', sessions: [session], wallMs: 0 });
  t.deepEqual(world.leaving, []);
  t.deepEqual([...world.watched], []);
});

test('a new session of a back end that left is not draining', (t) => {
  const world = new World();
  world.configure(['north', 'north', 'south']);
  world.apply({ kind: 'mark-leaving', session: openSession(world, 'two') });
  openSession(world, 'two');
  t.deepEqual(world.leaving, []);
});
