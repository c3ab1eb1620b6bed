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

/** Options for dialing an address, from one local IP address where that matters. */
export function connectOptions(
  { host, port }: SocketAddress,
  localAddress: string | null,
): { readonly host: string; readonly port: number; readonly localAddress?: string } {
  return localAddress === null ? { host, port } : { host, port, localAddress };
}
