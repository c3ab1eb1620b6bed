/**
 * A back end as a process of its own, whose answers have no length. Some milliseconds after the first bytes of a path `/reset` it
 * resets the connection, of another path it ends it. Arguments: port, seed. Tells its parent when it listens.
 */
import { createServer } from 'node:net';
import { Random } from '../../lab/random.js';

const HOST = '127.0.0.1';
const MAX_BYTES = 1_500_000;
const MAX_DELAY_MS = 6;

const [, , port = '0', seed = '0'] = process.argv;
const random = new Random(Number(seed));

createServer((socket) => {
  socket.on('error', () => undefined);
  socket.on('data', (chunk: Buffer) => {
    const text = chunk.toString('latin1');
    const id = /^id: (\S+)/im.exec(text)?.[1] ?? '';
    const body = Buffer.alloc(200_000 + random.below(MAX_BYTES), 'b');
    socket.write(`HTTP/1.1 200 OK\r\nid: ${id}\r\nx-bytes: ${body.length}\r\n\r\n`);
    socket.write(body);
    setTimeout(() => {
      if (text.startsWith('GET /reset ')) socket.resetAndDestroy();
      else socket.end();
    }, random.below(MAX_DELAY_MS));
  });
}).listen(Number(port), HOST, () => process.send?.('listening'));
