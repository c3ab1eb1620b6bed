/** Addresses written as `host:port`, which also serve as names of directory replicas. */
import type { SocketAddress } from '../model/socket-address.js';

const LARGEST_PORT = 65_535;

/** Reads `host:port`; null when it is not one. */
export function parseAddress(text: string): SocketAddress | null {
  const colon = text.lastIndexOf(':');
  const host = text.slice(0, colon);
  const port = Number(text.slice(colon + 1));
  const valid = colon > 0 && Number.isInteger(port) && port > 0 && port <= LARGEST_PORT;
  return valid ? { host, port } : null;
}
