/** Backpressure on one link connection. */
import { Socket } from 'node:net';
import test from 'ava';
import { LinkConnection } from '../../src/link/link-connection.js';

test('answers that wait for one connection to drain share one socket listener', (t) => {
  const socket = new Socket();
  const connection = new LinkConnection(socket, () => 0, {
    onFrame: () => undefined,
    onClose: () => undefined,
  });
  const before = socket.listenerCount('drain');
  let drained = 0;
  for (let answer = 0; answer < 20; answer += 1) {
    connection.onDrain(() => {
      drained += 1;
    });
  }
  t.is(socket.listenerCount('drain'), before + 1);
  socket.emit('drain');
  t.is(drained, 20);
  connection.close('test finished');
});
