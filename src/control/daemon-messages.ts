/** Messages between control replicas and the other daemons, as they are checked on arrival. */
import { z } from 'zod';
import { socketAddressSchema } from '../model/socket-address-schema.js';
import {
  backendEndedSchema,
  permitReleasedSchema,
  runCompletedSchema,
  runPermitSchema,
  type RunNotice,
} from '../quarantine/crash-messages.js';
import type { StateSnapshot } from './state-snapshot.js';
import type { WireChange } from './wire-changes.js';

const openSessionSchema = z.object({
  kind: z.literal('open-session'),
  /** Asking again under the same id gets the same session. */
  openId: z.string(),
  service: z.string(),
  backend: z.string(),
  agentAddress: socketAddressSchema,
});

const renewSessionSchema = z.object({
  kind: z.literal('renew-session'),
  session: z.number(),
  /** The agent's clock when it sent this; comes back unchanged. */
  sentMs: z.number(),
  /** Requests a second by shard; only shards whose rate has changed noticeably. */
  load: z.array(z.tuple([z.number(), z.number()])),
});

const closeSessionSchema = z.object({ kind: z.literal('close-session'), session: z.number() });

const moveReleasedSchema = z.object({
  kind: z.literal('move-released'),
  session: z.number(),
  service: z.string(),
  shard: z.number(),
  moveId: z.number(),
  windowHandedOver: z.boolean(),
});

const moveRefusedSchema = z.object({
  kind: z.literal('move-refused'),
  session: z.number(),
  service: z.string(),
  shard: z.number(),
  moveId: z.number(),
});

const watchSchema = z.object({
  kind: z.literal('watch'),
  /** Newest index that the daemon holds; 0 for none. */
  fromIndex: z.number(),
  /** Only what concerns this back end; null for everything. */
  scope: z.object({ service: z.string(), backend: z.string() }).nullable(),
});

const watchedSchema = z.object({
  kind: z.literal('watched'),
  /** Newest index that the daemon has put in force. */
  index: z.number(),
  revision: z.number(),
});

/** What an agent or router may send to control. */
export const daemonRequestSchema = z.discriminatedUnion('kind', [
  openSessionSchema,
  renewSessionSchema,
  closeSessionSchema,
  moveReleasedSchema,
  moveRefusedSchema,
  watchSchema,
  watchedSchema,
  backendEndedSchema,
  runCompletedSchema,
  runPermitSchema,
  permitReleasedSchema,
]);

/** What an agent or router may send to control. */
export type DaemonRequest = z.infer<typeof daemonRequestSchema>;
/** Asks for a session. */
export type OpenSessionRequest = z.infer<typeof openSessionSchema>;
/** Renews the lease of a session. */
export type RenewSessionRequest = z.infer<typeof renewSessionSchema>;
/** Asks for the table and its changes. */
export type WatchRequest = z.infer<typeof watchSchema>;

/** What control sends to an agent or router. */
export type ControlNotice =
  | { readonly kind: 'not-leader'; readonly leader: string | null }
  | {
      readonly kind: 'session-opened';
      readonly openId: string;
      readonly session: number;
      readonly termMs: number;
    }
  | { readonly kind: 'session-refused'; readonly openId: string; readonly detail: string }
  | {
      readonly kind: 'session-renewed';
      readonly session: number;
      readonly sentMs: number;
      readonly termMs: number;
    }
  | { readonly kind: 'session-ended'; readonly session: number }
  | { readonly kind: 'table'; readonly index: number; readonly table: StateSnapshot }
  | {
      readonly kind: 'changes';
      readonly index: number;
      /** Index of the change before this one; a watcher of everything that lacks that one has lost something. */
      readonly previousIndex: number;
      readonly changes: readonly WireChange[];
    }
  /** The replica hears a leader; `index` is that of the newest change that it has published. */
  | { readonly kind: 'watch-alive'; readonly index: number }
  | { readonly kind: 'watch-refused'; readonly reason: 'behind' | 'no-leader' }
  | RunNotice;

/** Fields by which a notice of control is told from garbage. */
export const controlNoticeSchema = z.object({
  kind: z.enum([
    'not-leader',
    'session-opened',
    'session-refused',
    'session-renewed',
    'session-ended',
    'table',
    'changes',
    'watch-alive',
    'watch-refused',
    'end-recorded',
    'run-permitted',
  ]),
});
