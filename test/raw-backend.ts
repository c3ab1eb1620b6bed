/** A back end of a test that writes bytes of its own to its connections. */
import { createServer, type Socket } from 'node:net';

const HOST = '127.0.0.1';

/** A running back end. */
export interface RawBackend {
  readonly port: number;
  /** Stops listening and closes all connections. */
  readonly close: () => void;
}

/** Starts a back end; `receive` is called with the bytes of each read. */
export async function startRawBackend(receive: (socket: Socket, text: string) => void): Promise<RawBackend> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.once('close', () => sockets.delete(socket));
    socket.on('data', (chunk: Buffer) => {
      receive(socket, chunk.toString('latin1'));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as { port: number };
  const close = (): void => {
    server.close();
    for (const socket of sockets) socket.destroy();
  };
  return { port, close };
}
