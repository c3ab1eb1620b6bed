/** Checks whether a process listens at an address. */
import { connect } from 'node:net';
import type { SocketAddress } from '../model/socket-address.js';

/** Timeout of the check, in ms. */
const LISTEN_CHECK_MS = 400;

/** Whether any process listens at an address; only a refused connection counts as no, a timeout counts as yes. */
export async function isListening({ host, port }: SocketAddress): Promise<boolean> {
  return await new Promise((resolve) => {
    const socket = connect({ host, port });
    const done = (listens: boolean): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(listens);
    };
    const timer = setTimeout(() => {
      done(true);
    }, LISTEN_CHECK_MS);
    socket.on('connect', () => {
      done(true);
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      done(error.code !== 'ECONNREFUSED');
    });
  });
}
