import test from 'ava';
import { WatchHub, type Watcher } from '../../src/control/watch-hub.js';
import { WatchedTable } from '../../src/control-client/watched-table.js';
import type { Change, WatchScope } from '../../src/control/changes.js';
import { emptyControlState, type ControlState } from '../../src/control/control-state.js';
import type { ControlNotice } from '../../src/control/daemon-messages.js';
import { ServiceShards } from '../../src/control/service-shards.js';
import { emptyShardRow } from '../../src/model/shard.js';
import { parsePayload } from '../../src/transport/frame-codec.js';

const HELLO = { kind: 'hello', version: 1, token: 't', role: 'router', name: 'r', zone: 'z' } as const;

/** A daemon whose table is updated directly by the hub. */
class Daemon {
  readonly table: WatchedTable;
  tables = 0;
  readonly watcher: Watcher;

  constructor(scope: WatchScope | null) {
    this.table = new WatchedTable(scope?.backend ?? null);
    const connection = {
      send: (message: unknown) => {
        this.receive(message as ControlNotice);
      },
      sendEncoded: (frame: Buffer) => {
        this.receive(parsePayload(frame.subarray(4)).unwrap() as ControlNotice);
      },
      close: () => undefined,
    };
    this.watcher = { hello: HELLO, connection, scope, index: 0, revision: 0 };
  }

  private receive(notice: ControlNotice): void {
    if (notice.kind === 'changes') this.table.apply(notice.index, notice.changes);
    if (notice.kind !== 'table') return;
    this.tables += 1;
    this.table.replace(notice.index, notice.table);
  }
}

class Replica {
  readonly hub = new WatchHub();
  readonly state: ControlState = emptyControlState();
  index = 0;

  constructor(shards: number) {
    const rows = Array.from({ length: shards }, (_, shard) => emptyShardRow(shard));
    this.state.shards.set('stock', new ServiceShards(rows));
  }

  setOwner(shard: number, owner: string): void {
    const shards = this.state.shards.get('stock');
    const before = shards?.get(shard) ?? emptyShardRow(shard);
    const row = { ...before, owner, epoch: before.epoch + 1, session: 1 };
    shards?.set(row);
    this.index += 1;
    const change: Change = { kind: 'shards', service: 'stock', shards: [{ row, formerOwner: before.owner }] };
    this.hub.publish(this.index, [change]);
  }

  join(daemon: Daemon): void {
    this.hub.add(daemon.watcher, daemon.table.index, this.state, this.index);
  }
}

function owners(daemon: Daemon): (string | null)[] {
  return [...daemon.table.rowsOf('stock')].sort((a, b) => a.shard - b.shard).map(({ owner }) => owner);
}

test('daemons that join while the state changes share one encoded table and still have the latest rows', (t) => {
  const replica = new Replica(4);
  const daemons: Daemon[] = [];
  for (let change = 0; change < 100; change += 1) {
    replica.setOwner(change % 4, `backend-${change}`);
    const daemon = new Daemon(null);
    replica.join(daemon);
    daemons.push(daemon);
  }
  t.is(replica.hub.tablesEncoded, 1);
  for (const daemon of daemons) {
    t.is(daemon.table.index, 100);
    t.deepEqual(owners(daemon), ['backend-96', 'backend-97', 'backend-98', 'backend-99']);
  }
});

test('a daemon that reconnects receives only the changes that it missed', (t) => {
  const replica = new Replica(2);
  replica.setOwner(0, 'one');
  const daemon = new Daemon(null);
  replica.join(daemon);
  replica.hub.remove(daemon.watcher.connection);
  replica.setOwner(1, 'two');
  t.deepEqual(owners(daemon), ['one', null]);
  replica.join(daemon);
  t.is(daemon.tables, 1);
  t.deepEqual(owners(daemon), ['one', 'two']);
});

test('a daemon that is too far behind receives the whole table again', (t) => {
  const replica = new Replica(2);
  replica.setOwner(0, 'one');
  const daemon = new Daemon(null);
  replica.join(daemon);
  replica.hub.remove(daemon.watcher.connection);
  for (let change = 0; change < 5_000; change += 1) replica.setOwner(1, `backend-${change}`);
  replica.join(daemon);
  t.is(daemon.tables, 2);
  t.deepEqual(owners(daemon), ['one', 'backend-4999']);
});

test('a watcher of one back end receives only the shards that it gains and loses', (t) => {
  const replica = new Replica(3);
  const daemon = new Daemon({ service: 'stock', backend: 'one' });
  replica.join(daemon);
  replica.setOwner(0, 'one');
  replica.setOwner(1, 'two');
  t.deepEqual(owners(daemon), ['one']);
  t.is(daemon.table.index, 1, 'the row of another back end was not sent');
  replica.setOwner(0, 'two');
  t.is(daemon.table.index, 3);
  t.deepEqual(owners(daemon), [], 'a row that has left is forgotten');
});

test('a table is never replaced by an older one', (t) => {
  const replica = new Replica(1);
  replica.setOwner(0, 'one');
  replica.setOwner(0, 'two');
  const daemon = new Daemon(null);
  replica.join(daemon);
  const stale = new Replica(1);
  stale.setOwner(0, 'one');
  stale.hub.reset(stale.state, stale.index);
  t.false(daemon.table.replace(1, { ...daemonTable(), shards: [] }));
  t.deepEqual(owners(daemon), ['two']);
});

function daemonTable(): Parameters<WatchedTable['replace']>[1] {
  const configuration = { revision: 0, document: { version: 1, services: {} } } as const;
  return { configuration, submissions: [], sessions: [], draining: [], shards: [] };
}
