/** An IP address and port; names are never resolved. */

/** An IP address and port. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

/** Writes an address as `host:port`. */
export function formatAddress(address: SocketAddress): string {
  return `${address.host}:${address.port}`;
}
