/** Connections of callers. Guards against a system call for nothing at the end of each connection. */
import { Duplex } from 'node:stream';
import type { Socket } from 'node:net';
import test from 'ava';
import { CallerConnection } from '../../src/sidecar/caller-connection.js';

/** A connection, and the number of bytes of each write to its socket. */
function openConnection(): { connection: CallerConnection; writes: number[] } {
  const writes: number[] = [];
  const socket = new Duplex({
    read: () => undefined,
    write: (chunk: Buffer, _encoding, done) => {
      writes.push(chunk.length);
      done();
    },
  });
  const connection = new CallerConnection(socket as Socket, {
    nowMs: () => 0,
    after: () => () => undefined,
    afterInput: (callback) => {
      callback();
    },
    idleTimeoutMs: () => 1_000,
  });
  return { connection, writes };
}

test('a connection that ends without last bytes writes nothing', (t) => {
  const { connection, writes } = openConnection();
  connection.close();
  t.deepEqual(writes, []);
});

test('the last bytes of a connection are written before it ends', (t) => {
  const { connection, writes } = openConnection();
  connection.close('HTTP/1.1 400 Bad Request\r\n\r\n');
  t.deepEqual(writes, [28]);
});
