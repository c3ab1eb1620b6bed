/** Messages between directory replicas and sidecars, and relayed messages between replicas. */
import * as z from 'zod/mini';
import {
  backendEndedSchema,
  permitReleasedSchema,
  runCompletedSchema,
  runPermitSchema,
  type RunNotice,
} from '../quarantine/crash-messages.js';
import type { DirectoryChange } from './directory-commands.js';
import type { DirectorySnapshot } from './directory-state.js';

const instanceSchema = z.object({
  id: z.string(),
  service: z.string(),
  zone: z.string(),
  daemonAddress: z.string(),
  slots: z.int().check(z.minimum(1)),
  condition: z.enum(['ready', 'draining']),
  version: z._default(z.string(), ''),
  /** Id of the daemon process that sends the request, and holds the registration from then on. */
  holder: z.optional(z.string()),
});

/**
 * Id of the daemon process that sends a command about a registration. The command has no effect if another process holds the
 * registration by the time that it is applied: it may have waited on its way while a successor took the registration over.
 * Missing from program versions that did not state it.
 */
const holderSchema = z.optional(z.string());

const watchSchema = z.object({
  kind: z.literal('watch'),
  /** Newest index that the daemon holds; 0 when it holds no table. */
  fromIndex: z.number(),
});

const registerSchema = z.object({
  kind: z.literal('register'),
  instance: instanceSchema,
  /** Id of the other incarnation that the daemon knows at its address; null for none, missing if not reported. */
  replaces: z.optional(z.nullable(z.string())),
  /** Id of the process that holds the registration as far as the daemon knows; null for none. */
  replacesHolder: z.optional(z.nullable(z.string())),
  /** The daemon's clock when it sent the request; echoed in the answer. */
  sentMs: z.number(),
});

const renewSchema = z.object({
  kind: z.literal('renew'),
  id: z.string(),
  session: z.number(),
  holder: holderSchema,
  /** The daemon's clock when it sent the request; echoed in the answer. */
  sentMs: z.number(),
  /** Slot time used since the last report, as pairs of [key bucket, ms]. */
  load: z.array(z.tuple([z.number(), z.number()])),
  /** Slots that the back end can use at the request rate that it accepts; missing if it can use all of them. */
  usableSlots: z.optional(z.number()),
});

const conditionSchema = z.object({
  kind: z.literal('condition'),
  id: z.string(),
  session: z.number(),
  condition: z.enum(['ready', 'draining']),
});

const unregisterSchema = z.object({
  kind: z.literal('unregister'),
  id: z.string(),
  session: z.number(),
  holder: holderSchema,
});

const releasedSchema = z.object({
  kind: z.literal('released'),
  service: z.string(),
  from: z.number(),
  to: z.number(),
  owner: z.string(),
  fence: z.number(),
  handover: z.string(),
  holder: holderSchema,
});

const raiseFenceSchema = z.object({
  kind: z.literal('raise-fence'),
  service: z.string(),
  from: z.number(),
  to: z.number(),
  owner: z.string(),
  fence: z.number(),
  holder: holderSchema,
});

const leaderRequestSchema = z.discriminatedUnion('kind', [
  registerSchema,
  renewSchema,
  conditionSchema,
  unregisterSchema,
  releasedSchema,
  raiseFenceSchema,
  backendEndedSchema,
  runCompletedSchema,
  runPermitSchema,
  permitReleasedSchema,
]);

/** Schema of the requests that a daemon may send to any replica. */
export const directoryRequestSchema = z.discriminatedUnion('kind', [watchSchema, leaderRequestSchema]);

/** A request that a daemon may send to any replica. */
export type DirectoryRequest = z.infer<typeof directoryRequestSchema>;
/** A request that only the leader can answer; other replicas relay it. */
export type LeaderRequest = z.infer<typeof leaderRequestSchema>;
/** Request to register a back end. */
export type RegisterRequest = z.infer<typeof registerSchema>;
/** Request to renew the lease of a back end. */
export type RenewRequest = z.infer<typeof renewSchema>;

/** Grants or renews a lease that is valid for `termMs`, counted from when the daemon sent its request. */
export interface LeaseNotice {
  readonly kind: 'registered' | 'renewed';
  readonly id: string;
  readonly session: number;
  /** Time of the daemon's request on the daemon's clock. */
  readonly sentMs: number;
  readonly termMs: number;
  /** Index of the leader's newest change when it received the request; 0 when this notice starts the session. */
  readonly index: number;
}

/** A notice from a replica to a daemon. */
export type DirectoryNotice =
  | { readonly kind: 'table'; readonly index: number; readonly table: DirectorySnapshot }
  | { readonly kind: 'changes'; readonly index: number; readonly changes: readonly DirectoryChange[] }
  /** Heartbeat of a replica that has contact with a leader; `members` are the addresses of all replicas. */
  | { readonly kind: 'alive'; readonly index: number; readonly members: readonly string[] }
  | { readonly kind: 'watch-refused'; readonly reason: 'behind' | 'no-leader' }
  | LeaseNotice
  | { readonly kind: 'session-ended'; readonly id: string; readonly session: number }
  | RunNotice;

/** A daemon's request that a replica relays to the leader. */
export interface RelayedRequest {
  readonly kind: 'relayed-request';
  /** Address of the relaying replica, to which the answer is sent. */
  readonly origin: string;
  readonly token: number;
  readonly request: LeaderRequest;
}

/** The leader's answer to a relayed request. */
export interface RelayedNotice {
  readonly kind: 'relayed-notice';
  readonly token: number;
  readonly notice: DirectoryNotice;
}

const relayedRequestSchema = z.object({
  kind: z.literal('relayed-request'),
  origin: z.string(),
  token: z.number(),
  request: leaderRequestSchema,
});

const relayedNoticeSchema = z.object({
  kind: z.literal('relayed-notice'),
  token: z.number(),
  notice: z.looseObject({ kind: z.string() }),
});

const relaySchema = z.discriminatedUnion('kind', [relayedRequestSchema, relayedNoticeSchema]);

/** Parses a relayed message; null when it is not one. */
export function readRelayMessage(message: unknown): RelayedRequest | RelayedNotice | null {
  const parsed = relaySchema.safeParse(message);
  return parsed.success ? (parsed.data as RelayedRequest | RelayedNotice) : null;
}
