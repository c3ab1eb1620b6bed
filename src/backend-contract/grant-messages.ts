/**
 * HTTP API that a back end must implement to own shards, on its own address under `/-/aldertide/`; see
 * docs/BACKEND-CONTRACT.md. Bodies are JSON.
 *
 * Deadlines are readings of the machine's monotonic clock (CLOCK_MONOTONIC) in ms. The agent runs on the
 * same machine, so both read the same clock, and a message that was delayed by a frozen process cannot
 * extend a grant.
 */
import { incarnationName } from '../model/backend-incarnation.js';
import { z } from 'zod';

/** Path prefix of the contract API. */
export const CONTRACT_PREFIX = '/-/aldertide';

/** Headers of a request to a back end; the router sets all of them except the caller's idempotency key. */
export const REQUEST_HEADERS = {
  shard: 'aldertide-shard',
  epoch: 'aldertide-epoch',
  deadline: 'aldertide-deadline-ms',
  attempt: 'aldertide-attempt',
  idempotencyKey: 'idempotency-key',
} as const;

/** Response header with which a back end refuses a request that it has not run. */
export const REFUSAL_HEADER = 'aldertide-refusal';

/** Reasons for which a back end did not run a request. */
export const refusalCodeSchema = z.enum([
  /** The shard is granted under another epoch, or not at all. */
  'not-owner',
  /** The deadline of the lease has passed. */
  'lease-expired',
  /** The shard is being released. */
  'releasing',
  /** All slots are in use. */
  'overloaded',
  /** The back end is draining. */
  'draining',
  /** The deadline of the request has passed. */
  'deadline-passed',
  /** This attempt was not run, but an earlier one under the same key may have been. */
  'freshness-unproven',
  /** This attempt was not run; an earlier one under the same key is running now. */
  'in-progress',
]);

/** Reason for which a back end did not run a request. */
export type RefusalCode = z.infer<typeof refusalCodeSchema>;

/** Claimed idempotency key of a request that ran or is running, with its answer. */
export const claimSchema = z.object({
  key: z.string(),
  /** Time at which the key was claimed, in wall-clock ms. */
  claimedMs: z.number(),
  /** Null while the request is running, or if the answer is too long to store. */
  answer: z.object({ status: z.number(), contentType: z.string(), body: z.string() }).nullable(),
});

/** Claimed idempotency key. */
export type Claim = z.infer<typeof claimSchema>;

const agent = z.string().min(1);

/** `PUT holder`: makes `agent` the only holder that may grant shards; ends all earlier grants. */
export const takeHolderSchema = z.object({ agent });

/** `PUT lease`: extends all grants of the current holder. */
export const extendLeaseSchema = z.object({ agent, deadlineMs: z.number() });

/** Grant of one shard. */
export const grantSchema = z.object({
  shard: z.number(),
  epoch: z.number(),
  /** Keys first used before this wall-clock time cannot be proven fresh; 0 when none were lost. */
  freshAfterMs: z.number(),
  /** Keys claimed at the previous owner. */
  window: z.array(claimSchema),
});

/** Grant of one shard. */
export type Grant = z.infer<typeof grantSchema>;

/** `PUT grants`: adds grants, valid until the deadline of the lease. */
export const addGrantsSchema = z.object({ agent, deadlineMs: z.number(), grants: z.array(grantSchema) });

/** `PUT revocations`: ends grants at once, without waiting for requests in flight. */
export const revokeSchema = z.object({ agent, shards: z.array(z.number()) });

/** `PUT release`: stops admission, waits for requests in flight, and answers with the window of claimed keys. */
export const releaseSchema = z.object({ agent, shard: z.number(), epoch: z.number() });

/** `PUT drain`: refuses requests that are not fenced by a grant, or accepts them again. */
export const drainSchema = z.object({ agent, draining: z.boolean() });

/** Answer to `PUT holder` and `PUT lease`. */
export const holderAnswerSchema = z.object({
  /** Must change with every start of the back end, unless `bornMs` is given. */
  instance: z.string(),
  /**
   * Start time of the back end, in ms of its machine's wall clock; another start time under the same instance is
   * another incarnation.
   */
  bornMs: z.optional(z.int()),
  /** Requests admitted by shard since the last answer. */
  load: z.array(z.tuple([z.number(), z.number()])),
  inFlight: z.number(),
  /** Requests per second that the back end accepts from all routers together; missing if it names no limit. */
  requestLimit: z.optional(z.number().min(0)),
  /** Whether the back end leaves by itself; missing if not. */
  leaving: z.optional(z.boolean()),
});

/** Answer to `PUT holder` and `PUT lease`. */
export type HolderAnswer = z.infer<typeof holderAnswerSchema>;

/** Returns the name of the incarnation that answered. */
export function holderIncarnation({ instance, bornMs }: HolderAnswer): string {
  return incarnationName({ id: instance, bornMs: bornMs ?? null });
}

/** Answer to `PUT release`. */
export const releaseAnswerSchema = z.object({ window: z.array(claimSchema) });
