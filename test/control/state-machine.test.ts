import test from 'ava';
import { configurationSchema, type ConfigurationDocument } from '../../src/config/configuration.js';
import type { ControlCommand, CommandOutcome } from '../../src/control/commands.js';
import { emptyControlState, type ControlState } from '../../src/control/control-state.js';
import { applyCommand } from '../../src/control/state-machine.js';
import { decodeState, encodeState } from '../../src/control/state-snapshot.js';
import type { ShardRow } from '../../src/model/shard.js';

const WALL_MS = 1_800_000_000_123;
const ADDRESS = { host: '10.0.0.1', port: 7_000 };

function document(shards = 4): ConfigurationDocument {
  return configurationSchema.parse({
    version: 1,
    services: {
      stock: {
        division: 'keyed',
        key: { from: 'path', segment: 0 },
        shards,
        slots: 6,
        connections: 130,
        backends: {
          one: { zone: 'z', address: { host: '10.0.0.1', port: 1 } },
          two: { zone: 'z', address: { host: '10.0.0.2', port: 1 } },
        },
      },
    },
  });
}

class Machine {
  readonly state: ControlState = emptyControlState();
  private index = 0;

  apply(command: ControlCommand): CommandOutcome {
    this.index += 1;
    return applyCommand(this.state, command, this.index).outcome;
  }

  configure(submissionId: string, baseRevision: number, given = document()): CommandOutcome {
    return this.apply({ kind: 'configure', submissionId, baseRevision, document: given });
  }

  open(backend: string, openId = backend): number {
    const opened = this.apply({
      kind: 'open-session',
      service: 'stock',
      backend,
      openId,
      agentAddress: ADDRESS,
      wallMs: WALL_MS,
    });
    return opened.kind === 'session-opened' ? opened.session : 0;
  }

  assign(backend: string, ...shards: number[]): void {
    const assignments = [{ backend, shards: Uint32Array.from(shards) }];
    this.apply({ kind: 'assign', service: 'stock', assignments });
  }

  beginMove(shard: number, backend: string): number {
    this.apply({ kind: 'begin-moves', service: 'stock', moves: [{ shard, backend }] });
    return this.row(shard).moveId;
  }

  completeMove(shard: number, moveId: number, windowHandedOver: boolean): void {
    const command = { kind: 'complete-move', service: 'stock', shard, moveId } as const;
    this.apply({ ...command, windowHandedOver, wallMs: WALL_MS });
  }

  row(shard: number): ShardRow {
    const row = this.state.shards.get('stock')?.get(shard);
    if (row === undefined) throw new Error(`no shard ${shard}`);
    return row;
  }
}

function ready(): Machine {
  const machine = new Machine();
  machine.configure('first', 0);
  machine.open('one');
  machine.open('two');
  machine.assign('one', 0, 1);
  machine.assign('two', 2, 3);
  return machine;
}

test('of two changes with the same base revision one is accepted, and the other conflict reports both revisions', (t) => {
  const machine = new Machine();
  t.deepEqual(machine.configure('left', 0), { kind: 'configured', revision: 1 });
  t.deepEqual(machine.configure('right', 0), { kind: 'conflict', presentRevision: 1, baseRevision: 0 });
});

test('a resend receives the original answer, even after other changes', (t) => {
  const machine = new Machine();
  machine.configure('left', 0);
  machine.configure('right', 1);
  t.deepEqual(machine.configure('left', 0), { kind: 'configured', revision: 1 });
  t.is(machine.state.configuration.revision, 2);
});

test('the number of shards cannot be changed', (t) => {
  const machine = new Machine();
  machine.configure('first', 0);
  t.is(machine.configure('second', 1, document(8)).kind, 'refused');
  t.is(machine.state.configuration.revision, 1);
});

test('an owned shard is not assigned again', (t) => {
  const machine = ready();
  machine.assign('two', 0);
  t.is(machine.row(0).owner, 'one');
  t.is(machine.row(0).epoch, 1);
});

test('opening with the same id returns the same session; opening with another id closes it', (t) => {
  const machine = ready();
  const session = machine.row(0).session;
  t.is(machine.open('one'), session);
  t.is(machine.row(0).owner, 'one');
  t.not(machine.open('one', 'after-a-restart'), session);
  t.is(machine.row(0).owner, null);
  t.is(machine.row(0).freshAfterMs, WALL_MS, 'the window of claimed keys is lost');
});

test('a shard keeps its owner until its move is complete, which increments the epoch', (t) => {
  const machine = ready();
  const moveId = machine.beginMove(0, 'two');
  t.is(machine.row(0).owner, 'one');
  machine.completeMove(0, moveId, true);
  t.like(machine.row(0), { owner: 'two', epoch: 2, movingTo: null, freshAfterMs: 0 });
});

test('a window of claimed keys that was not handed over counts as lost', (t) => {
  const machine = ready();
  machine.completeMove(0, machine.beginMove(0, 'two'), false);
  t.is(machine.row(0).freshAfterMs, WALL_MS);
});

test('a delayed report of an earlier move has no effect', (t) => {
  const machine = ready();
  const first = machine.beginMove(0, 'two');
  machine.apply({ kind: 'cancel-move', service: 'stock', shard: 0, moveId: first });
  const second = machine.beginMove(0, 'two');
  t.not(second, first);
  machine.completeMove(0, first, true);
  machine.apply({ kind: 'cancel-move', service: 'stock', shard: 0, moveId: first });
  t.like(machine.row(0), { owner: 'one', movingTo: 'two', moveId: second });
});

test('closing the session of a move target cancels the move; closing that of the owner makes the shard unowned', (t) => {
  const machine = ready();
  machine.beginMove(0, 'two');
  machine.beginMove(2, 'one');
  machine.apply({ kind: 'close-sessions', sessions: [machine.row(2).session], wallMs: WALL_MS });
  t.like(machine.row(0), { owner: 'one', movingTo: null });
  t.like(machine.row(2), { owner: null, movingTo: null, freshAfterMs: WALL_MS });
});

test('a snapshot restores the same state', (t) => {
  const machine = ready();
  machine.beginMove(0, 'two');
  machine.apply({ kind: 'set-drain', backend: 'one', draining: true });
  const { shards, ...rest } = machine.state;
  const { shards: restored, ...restoredRest } = decodeState(encodeState(machine.state));
  t.deepEqual(restoredRest, rest);
  t.deepEqual([...restored.keys()], [...shards.keys()]);
  t.deepEqual(restored.get('stock')?.rows, shards.get('stock')?.rows);
  for (const backend of ['one', 'two']) {
    t.deepEqual(
      restored.get('stock')?.shardsInvolving(backend),
      shards.get('stock')?.shardsInvolving(backend),
    );
  }
});

test('draining an unknown back end is refused', (t) => {
  t.is(ready().apply({ kind: 'set-drain', backend: 'nobody', draining: true }).kind, 'refused');
});
