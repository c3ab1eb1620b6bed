/**
 * A back end as a process of its own, which is killed in the middle of an answer. Paths: `/whole`, `/held` (half of the body, then
 * it waits to be killed) and `/health`. Arguments: port, id. Tells its parent once half of a body was sent.
 */
import { createServer } from 'node:net';

const [, , port = '0', id = ''] = process.argv;
const HOST = '127.0.0.1';

const server = createServer((socket) => {
  socket.setNoDelay(true);
  socket.on('error', () => undefined);
  socket.on('data', (chunk: Buffer) => {
    const text = chunk.toString('latin1');
    const [, path = ''] = /^\S+ (\S+)/.exec(text) ?? [];
    const [, requestId = ''] = /^request-id: (\S+)/im.exec(text) ?? [];
    const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nServer-Seal: s\r\nInstance-Id: ${id}\r\n`;
    const bytes = Number(/-(\d+)$/.exec(path)?.[1] ?? '2');
    if (path.includes('/held')) {
      socket.write(`${head}\r\n${'b'.repeat(bytes / 2)}`, () => process.send?.('half'));
      return;
    }
    socket.write(`${head}Content-Length: ${bytes}\r\n\r\n${'b'.repeat(bytes)}`);
  });
});
server.listen(Number(port), HOST, () => process.send?.('listening'));
