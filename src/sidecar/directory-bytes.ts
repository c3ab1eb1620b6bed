/**
 * Counts the bytes of a daemon's directory connection by kind of message. A connection reports only its total, so a
 * message is given the bytes since the one before it: where several arrive together, the first is given those of all.
 */
import type { ByteKind, LinkBytes } from '../link/link-bytes.js';
import type { Client, ClientHandlers, ClientIdentity, Runtime } from '../runtime/runtime.js';
import type { SocketAddress } from '../model/socket-address.js';

const KIND_OF_NOTICE: ReadonlyMap<unknown, ByteKind> = new Map<unknown, ByteKind>([
  ['table', 'directory-table'],
  ['changes', 'directory-change'],
  ['alive', 'directory-alive'],
]);

/** Returns a runtime that counts the bytes of the connections it dials. Replicas do not state their zone. */
export function countDirectoryBytes(runtime: Runtime, bytes: LinkBytes): Runtime {
  return {
    nowMs: () => runtime.nowMs(),
    steadyMs: () => runtime.steadyMs(),
    wallMs: () => runtime.wallMs(),
    after: (ms, callback) => runtime.after(ms, callback),
    every: (ms, callback) => runtime.every(ms, callback),
    afterInput: (callback) => {
      runtime.afterInput(callback);
    },
    randomId: () => runtime.randomId(),
    serve: (token, acceptor) => runtime.serve(token, acceptor),
    dial: (address, identity, handlers) => dialCounted(runtime, bytes, address, identity, handlers),
  };
}

function dialCounted(
  runtime: Runtime,
  bytes: LinkBytes,
  address: SocketAddress,
  identity: ClientIdentity,
  handlers: ClientHandlers,
): Client {
  let countedSent = 0;
  let countedReceived = 0;
  const countSent = (kind: ByteKind): void => {
    const { bytesSent } = client.traffic();
    bytes.add(kind, 'unknown', bytesSent - countedSent);
    countedSent = bytesSent;
  };
  const client = runtime.dial(address, identity, {
    ...handlers,
    onMessage: (message) => {
      const { bytesReceived } = client.traffic();
      bytes.add(kindOf(message), 'unknown', bytesReceived - countedReceived);
      countedReceived = bytesReceived;
      handlers.onMessage(message);
    },
  });
  const send = (sendNow: () => boolean): boolean => {
    // What was sent since the last request are the connection's own messages.
    countSent('heartbeat');
    const sent = sendNow();
    countSent('directory-request');
    return sent;
  };
  return {
    send: (message) => send(() => client.send(message)),
    sendEncoded: (frame) => send(() => client.sendEncoded(frame)),
    traffic: () => client.traffic(),
    stop: () => {
      client.stop();
    },
  };
}

function kindOf(message: unknown): ByteKind {
  const kind = typeof message === 'object' && message !== null && 'kind' in message ? message.kind : null;
  return KIND_OF_NOTICE.get(kind) ?? 'directory-notice';
}
