/** Finds free ports on the loopback interface. */
import { createServer, type AddressInfo } from 'node:net';
import type { SocketAddress } from '../../src/model/socket-address.js';

/** Host on which all processes of a fleet listen. */
export const LOOPBACK = '127.0.0.1';

/** Finds `count` free ports; all are held open until the last is found, so that they are distinct. */
export async function findFreePorts(count: number): Promise<SocketAddress[]> {
  const servers = Array.from({ length: count }, () => createServer());
  await Promise.all(
    servers.map(async (server) => {
      await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
    }),
  );
  const addresses = servers.map((server) => ({
    host: LOOPBACK,
    port: (server.address() as AddressInfo).port,
  }));
  await Promise.all(servers.map(async (server) => await new Promise((resolve) => server.close(resolve))));
  return addresses;
}
