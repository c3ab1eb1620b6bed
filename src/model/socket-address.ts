/** Socket addresses of IP and port; host names are never resolved. */

/** An IP address and port. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

/** Formats an address as `host:port`. */
export function formatAddress(address: SocketAddress): string {
  return `${address.host}:${address.port}`;
}

/** Returns the options to dial an address; with `localAddress`, the connection is bound to that local IP address. */
export function connectOptions(
  { host, port }: SocketAddress,
  localAddress: string | null,
): { readonly host: string; readonly port: number; readonly localAddress?: string } {
  return localAddress === null ? { host, port } : { host, port, localAddress };
}
