/** First message on every internal connection: identity of the dialing daemon, and the token that authenticates it. */
import { timingSafeEqual } from 'node:crypto';
import * as z from 'zod/mini';

/** Version of the internal protocol; peers with another version are refused. */
export const PROTOCOL_VERSION = 1;

/** Schema of `PeerRole`. */
export const peerRoleSchema = z.enum(['control', 'router', 'agent', 'tool', 'sidecar']);
/** Kind of program at the other end of a connection. */
export type PeerRole = z.infer<typeof peerRoleSchema>;

const helloSchema = z.object({
  kind: z.literal('hello'),
  version: z.int(),
  token: z.string(),
  role: peerRoleSchema,
  name: z.string().check(z.minLength(1), z.maxLength(200)),
  zone: z.string().check(z.maxLength(200)),
});

/** First message, sent by the dialing side. */
export type Hello = z.infer<typeof helloSchema>;

/** Why a hello was refused. */
export type HelloRefusal = 'not-a-hello' | 'wrong-version' | 'wrong-token';

/** Checks a first message against the cluster's shared token; returns the hello, or the reason to refuse it. */
export function checkHello(message: unknown, token: string): Hello | HelloRefusal {
  const parsed = helloSchema.safeParse(message);
  if (!parsed.success) return 'not-a-hello';
  if (parsed.data.version !== PROTOCOL_VERSION) return 'wrong-version';
  if (!sameSecret(parsed.data.token, token)) return 'wrong-token';
  return parsed.data;
}

/** Compares two secrets in a time that does not depend on where they differ. */
export function sameSecret(left: string, right: string): boolean {
  const leftBytes = Buffer.from(left);
  const rightBytes = Buffer.from(right);
  return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
}
