import test from 'ava';
import { ChangeFeed } from '../../src/directory/change-feed.js';
import type { DirectoryChange } from '../../src/directory/directory-commands.js';
import {
  emptyDirectoryState,
  type BackendInstance,
  type DirectoryState,
} from '../../src/directory/directory-state.js';
import type { Connection } from '../../src/runtime/runtime.js';
import { DirectoryTable } from '../../src/sidecar/directory-table.js';
import type { DirectoryNotice } from '../../src/directory/directory-messages.js';
import { decodeFrame } from '../../src/transport/frame-codec.js';

/** A daemon that joins a feed, with the frames that it received and the table built from them. */
class JoiningDaemon implements Connection {
  readonly frames: Buffer[] = [];
  readonly table = new DirectoryTable();

  send(): void {
    throw new Error('a feed sends only encoded frames');
  }

  sendEncoded(frame: Buffer): void {
    this.frames.push(frame);
    const notice = decodeFrame(frame).unwrap() as DirectoryNotice;
    if (notice.kind === 'table') this.table.replace(notice.index, notice.table);
    if (notice.kind === 'changes') this.table.apply(notice.index, notice.changes);
  }

  close(): void {
    this.frames.length = 0;
  }
}

function instanceAt(at: number): BackendInstance {
  const registration = { service: 's', zone: 'z', daemonAddress: `d-${at}`, slots: 1 };
  return { id: `i-${at}`, condition: 'ready', version: 'v1', session: at, ...registration };
}

class Replica {
  readonly feed = new ChangeFeed();
  readonly state: DirectoryState = emptyDirectoryState();
  index = 0;

  register(at: number): void {
    const instance = instanceAt(at);
    this.state.instances.set(instance.id, instance);
    this.publish({ kind: 'instance', instance });
  }

  publish(change: DirectoryChange): void {
    this.index += 1;
    this.feed.publish(this.index, [change]);
  }

  join(): JoiningDaemon {
    const joiner = new JoiningDaemon();
    this.feed.add(joiner, 0, this.state, this.index);
    return joiner;
  }
}

test('daemons that join while others register share one encoded table, and each ends up with the full state', (t) => {
  const replica = new Replica();
  replica.register(1);
  const tables = new Set<Buffer | undefined>();
  for (let at = 2; at < 60; at += 1) {
    const joiner = replica.join();
    tables.add(joiner.frames[0]);
    t.is([...joiner.table.instances()].length, at - 1);
    t.is(joiner.table.index, replica.index);
    replica.register(at);
  }
  t.is(tables.size, 1);
});

test('a table is encoded again after many changes', (t) => {
  const replica = new Replica();
  replica.register(1);
  const first = replica.join();
  for (let at = 2; at < 200; at += 1) replica.register(at);
  const later = replica.join();
  t.not(later.frames[0], first.frames[0]);
  t.is([...later.table.instances()].length, 199);
});

test('an operator change is included in the table of a daemon that joins later', (t) => {
  const replica = new Replica();
  replica.register(1);
  replica.join();
  replica.state.evacuatedZones.add('z');
  replica.publish({ kind: 'evacuation', zone: 'z', evacuated: true });
  const joiner = replica.join();
  t.is(joiner.frames.length, 1);
  t.true(joiner.table.isEvacuated('z'));
});
