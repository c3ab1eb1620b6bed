/** An IP address and port; names are never resolved. */
import { z } from 'zod';

/** Shape of an address in settings and configuration files. */
export const socketAddressSchema = z.strictObject({
  host: z.union([z.ipv4(), z.ipv6()]),
  port: z.number().int().min(1).max(65_535),
});

/** An IP address and port. */
export type SocketAddress = z.infer<typeof socketAddressSchema>;

/** Writes an address as `host:port`. */
export function formatAddress(address: SocketAddress): string {
  return `${address.host}:${address.port}`;
}
