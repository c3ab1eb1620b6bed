/** A back end of a test, which answers as a script tells it. */
import { createServer, type Server, type Socket } from 'node:net';

/** A request that the back end has received. */
export interface ReceivedRequest {
  readonly socket: Socket;
  /** Method and path. */
  readonly line: string;
  readonly requestId: string | null;
}

/** A running back end. */
export interface ScriptedBackend {
  readonly server: Server;
  readonly port: number;
  readonly connections: () => number;
}

/** Starts a back end that receives one request at a time on each connection. */
export async function startScriptedBackend(
  receive: (request: ReceivedRequest) => void,
): Promise<ScriptedBackend> {
  let connections = 0;
  const server = createServer((socket) => {
    connections += 1;
    socket.on('error', () => undefined);
    socket.on('data', (chunk: Buffer) => {
      const text = chunk.toString();
      if (!/^(?:GET|POST) /.test(text)) return;
      const requestId = /^request-id: (\S+)/im.exec(text)?.[1] ?? null;
      receive({ socket, line: text.slice(0, text.indexOf(' HTTP')), requestId });
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as { port: number };
  return { server, port, connections: () => connections };
}

/** Sends an answer without a body; `headers` are lines that end with a line break. */
export function sendAnswer({ socket, requestId }: ReceivedRequest, status: string, headers = ''): void {
  const id = requestId === null ? '' : `Request-Id: ${requestId}\r\n`;
  if (!socket.destroyed) socket.write(`HTTP/1.1 ${status}\r\n${id}${headers}Content-Length: 0\r\n\r\n`);
}
