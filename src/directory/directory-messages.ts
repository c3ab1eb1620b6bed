/** Messages between directory replicas and the daemons beside back ends, and between replicas. */
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
});

const watchSchema = z.object({
  kind: z.literal('watch'),
  /** Newest index that the daemon holds; 0 for none. */
  fromIndex: z.number(),
});

const registerSchema = z.object({
  kind: z.literal('register'),
  instance: instanceSchema,
  /** Other life that the daemon knows to be registered at its address, null for none; missing where it does not tell. */
  replaces: z.optional(z.nullable(z.string())),
  /** The daemon's clock when it sent this; comes back unchanged. */
  sentMs: z.number(),
});

const renewSchema = z.object({
  kind: z.literal('renew'),
  id: z.string(),
  session: z.number(),
  /** The daemon's clock when it sent this; comes back unchanged. */
  sentMs: z.number(),
  /** Slot time used since the last report, as [bucket of keys, ms]. */
  load: z.array(z.tuple([z.number(), z.number()])),
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
});

const releasedSchema = z.object({
  kind: z.literal('released'),
  service: z.string(),
  from: z.number(),
  to: z.number(),
  owner: z.string(),
  fence: z.number(),
  handover: z.string(),
});

const raiseFenceSchema = z.object({
  kind: z.literal('raise-fence'),
  service: z.string(),
  from: z.number(),
  to: z.number(),
  owner: z.string(),
  fence: z.number(),
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

/** What a daemon may send to any replica. */
export const directoryRequestSchema = z.discriminatedUnion('kind', [watchSchema, leaderRequestSchema]);

/** What a daemon may send to any replica. */
export type DirectoryRequest = z.infer<typeof directoryRequestSchema>;
/** Requests that only the leader can answer; other replicas relay them. */
export type LeaderRequest = z.infer<typeof leaderRequestSchema>;
/** Registers a back end. */
export type RegisterRequest = z.infer<typeof registerSchema>;
/** Renews the lease of a back end. */
export type RenewRequest = z.infer<typeof renewSchema>;

/** The lease of a registered back end is good for `termMs`, counted from when the daemon asked. */
export interface LeaseNotice {
  readonly kind: 'registered' | 'renewed';
  readonly id: string;
  readonly session: number;
  /** When the daemon asked, on its own clock. */
  readonly sentMs: number;
  readonly termMs: number;
  /** Index of the newest change that the leader held when it was asked; 0 where the session begins with this. */
  readonly index: number;
}

/** What a replica sends to a daemon. */
export type DirectoryNotice =
  | { readonly kind: 'table'; readonly index: number; readonly table: DirectorySnapshot }
  | { readonly kind: 'changes'; readonly index: number; readonly changes: readonly DirectoryChange[] }
  /** The replica hears a leader; `members` are the addresses of all replicas. */
  | { readonly kind: 'alive'; readonly index: number; readonly members: readonly string[] }
  | { readonly kind: 'watch-refused'; readonly reason: 'behind' | 'no-leader' }
  | LeaseNotice
  | { readonly kind: 'session-ended'; readonly id: string; readonly session: number }
  | RunNotice;

/** A daemon's request that a replica passes on to the leader. */
export interface RelayedRequest {
  readonly kind: 'relayed-request';
  /** Address of the replica that relays, for the answer. */
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

/** The relayed message, or null when it is none. */
export function readRelayMessage(message: unknown): RelayedRequest | RelayedNotice | null {
  const parsed = relaySchema.safeParse(message);
  return parsed.success ? (parsed.data as RelayedRequest | RelayedNotice) : null;
}
