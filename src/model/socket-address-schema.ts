/** Schema of an address in settings and configuration files. */
import { z } from 'zod';

/** IP address and port; host names are not accepted, because they are never resolved. */
export const socketAddressSchema = z.strictObject({
  host: z.union([z.ipv4(), z.ipv6()]),
  port: z.number().int().min(1).max(65_535),
});
