/** Messages between control replicas and other daemons, and the schemas that validate them on arrival. */
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
  /** A repeated request with the same id receives the same session. */
  openId: z.string(),
  service: z.string(),
  backend: z.string(),
  agentAddress: socketAddressSchema,
});

const renewSessionSchema = z.object({
  kind: z.literal('renew-session'),
  session: z.number(),
  /** Send time by the agent's clock; returned unchanged. */
  sentMs: z.number(),
  /** Requests per second by shard, only for shards whose rate has changed noticeably. */
  load: z.array(z.tuple([z.number(), z.number()])),
  /** Requests per second that the back end accepts; missing if it names no limit. */
  requestLimit: z.optional(z.number().min(0)),
});

/** The back end of a session leaves by itself; its shards are to be moved. */
const sessionLeavingSchema = z.object({ kind: z.literal('session-leaving'), session: z.number() });

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
  /** Latest index that the daemon has; 0 for none. */
  fromIndex: z.number(),
  /** Limits the watch to one back end; null for the whole state. */
  scope: z.object({ service: z.string(), backend: z.string() }).nullable(),
});

const watchedSchema = z.object({
  kind: z.literal('watched'),
  /** Latest index that the daemon has put into effect. */
  index: z.number(),
  revision: z.number(),
});

/** Schema of requests from agents and routers to control. */
export const daemonRequestSchema = z.discriminatedUnion('kind', [
  openSessionSchema,
  renewSessionSchema,
  sessionLeavingSchema,
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

/** Request from an agent or router to control. */
export type DaemonRequest = z.infer<typeof daemonRequestSchema>;
/** Request to open a session. */
export type OpenSessionRequest = z.infer<typeof openSessionSchema>;
/** Request to renew the lease of a session. */
export type RenewSessionRequest = z.infer<typeof renewSessionSchema>;
/** Request for the table and its changes. */
export type WatchRequest = z.infer<typeof watchSchema>;

/** Message from control to an agent or router. */
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
      /** Index of the previous change; an unscoped watcher that does not have it has missed a change. */
      readonly previousIndex: number;
      readonly changes: readonly WireChange[];
    }
  /** Heartbeat of a replica in contact with a leader; `index` is that of the latest published change. */
  | { readonly kind: 'watch-alive'; readonly index: number }
  | { readonly kind: 'watch-refused'; readonly reason: 'behind' | 'no-leader' }
  | RunNotice;

/** Schema that distinguishes notices of control from invalid messages by their kind. */
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
