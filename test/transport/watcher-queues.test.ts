/** Guards against frames that are held for watchers whose connections closed themselves while a frame was sent. */
import test from 'ava';
import type { Connection } from '../../src/runtime/runtime.js';
import { WatcherQueues } from '../../src/transport/watcher-queues.js';

const LIMIT_BYTES = 1_000_000;
const CONNECTION_LIMIT_BYTES = 10_000;
const FRAME_BYTES = 1_000;

/** A connection that is never read, and closes itself when too much is queued. */
class UnreadConnection implements Connection {
  queuedBytes = 0;
  closed = false;

  constructor(private readonly onClose: (connection: Connection) => void) {}

  send(): void {
    throw new Error('only encoded frames are sent');
  }

  sendEncoded({ length }: Buffer): void {
    if (this.queuedBytes > CONNECTION_LIMIT_BYTES) this.close();
    else this.queuedBytes += length;
  }

  close(): void {
    this.closed = true;
    this.onClose(this);
  }
}

test('nothing is held for connections that closed themselves', (t) => {
  const queues = new WatcherQueues(LIMIT_BYTES);
  for (let at = 0; at < 50; at += 1) {
    const watcher = new UnreadConnection((connection) => {
      queues.remove(connection);
    });
    while (!watcher.closed) queues.send(watcher, Buffer.alloc(FRAME_BYTES));
  }
  t.is(queues.bytes, 0);
});
