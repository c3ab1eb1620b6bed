/** Addresses in the form `host:port`, which also serve as names of directory replicas. */
import type { SocketAddress } from '../model/socket-address.js';

const MAX_PORT = 65_535;

/** Parses `host:port`; returns null when the text is not a valid address. */
export function parseAddress(text: string): SocketAddress | null {
  const colon = text.lastIndexOf(':');
  const host = text.slice(0, colon);
  const port = Number(text.slice(colon + 1));
  const valid = colon > 0 && Number.isInteger(port) && port > 0 && port <= MAX_PORT;
  return valid ? { host, port } : null;
}
