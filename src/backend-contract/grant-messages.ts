/**
 * What a back end must offer so that it can own shards, over HTTP on its own address under
 * `/-/aldertide/`; see docs/BACKEND-CONTRACT.md. Bodies are JSON.
 *
 * Deadlines are readings of the machine's monotonic clock (CLOCK_MONOTONIC) in ms. The agent runs on the
 * same machine, so both read the same clock, and a message that was delayed by a frozen process cannot
 * lengthen a grant.
 */
import { incarnationName } from '../model/backend-life.js';
import { z } from 'zod';

/** Path prefix of the contract on a back end. */
export const CONTRACT_PREFIX = '/-/aldertide';

/** Headers that a router adds to a request for a back end. */
export const REQUEST_HEADERS = {
  shard: 'aldertide-shard',
  epoch: 'aldertide-epoch',
  deadline: 'aldertide-deadline-ms',
  attempt: 'aldertide-attempt',
  idempotencyKey: 'idempotency-key',
} as const;

/** Header by which a back end refuses a request that it has not run. */
export const REFUSAL_HEADER = 'aldertide-refusal';

/** Why a back end did not run a request. */
export const refusalCodeSchema = z.enum([
  /** The shard is granted under another epoch, or not at all. */
  'not-owner',
  /** The deadline of the lease has passed. */
  'lease-expired',
  /** The shard is being released. */
  'releasing',
  /** All slots are taken. */
  'overloaded',
  /** The back end is leaving. */
  'draining',
  /** The deadline of the request has passed. */
  'deadline-passed',
  /** This attempt was not run, but an earlier one under the same key may have been. */
  'freshness-unproven',
  /** This attempt was not run; an earlier one under the same key is running now. */
  'in-progress',
]);

/** Why a back end did not run a request. */
export type RefusalCode = z.infer<typeof refusalCodeSchema>;

/** A claimed idempotency key: the request ran, or is running, and this was its answer. */
export const claimSchema = z.object({
  key: z.string(),
  /** When the key was claimed, in wall-clock ms. */
  claimedMs: z.number(),
  /** Null while the request is running or when the answer is too long to keep. */
  answer: z.object({ status: z.number(), contentType: z.string(), body: z.string() }).nullable(),
});

/** A claimed idempotency key. */
export type Claim = z.infer<typeof claimSchema>;

const agent = z.string().min(1);

/** `PUT holder`: makes `agent` the only one that may grant; ends all earlier grants. */
export const takeHolderSchema = z.object({ agent });

/** `PUT lease`: lengthens all grants of the present holder. */
export const extendLeaseSchema = z.object({ agent, deadlineMs: z.number() });

/** One grant. */
export const grantSchema = z.object({
  shard: z.number(),
  epoch: z.number(),
  /** Keys first used before this wall-clock time cannot be proven fresh; 0 when none were lost. */
  freshAfterMs: z.number(),
  /** Keys claimed at the earlier owner. */
  window: z.array(claimSchema),
});

/** One grant. */
export type Grant = z.infer<typeof grantSchema>;

/** `PUT grants`: adds grants, good until the deadline of the lease. */
export const addGrantsSchema = z.object({ agent, deadlineMs: z.number(), grants: z.array(grantSchema) });

/** `PUT revocations`: ends grants at once, without waiting for what is running. */
export const revokeSchema = z.object({ agent, shards: z.array(z.number()) });

/** `PUT release`: stops admitting, finishes what is running, and answers with the window. */
export const releaseSchema = z.object({ agent, shard: z.number(), epoch: z.number() });

/** `PUT drain`: refuses requests that are not fenced by a grant, or takes them again. */
export const drainSchema = z.object({ agent, draining: z.boolean() });

/** Answer to `PUT holder` and `PUT lease`. */
export const holderAnswerSchema = z.object({
  /** Made anew at every start of the back end, unless it tells when it started. */
  instance: z.string(),
  /** When it started, in ms of its machine's wall clock; another start under the same instance is another life. */
  bornMs: z.optional(z.int()),
  /** Requests by shard since the last answer. */
  load: z.array(z.tuple([z.number(), z.number()])),
  inFlight: z.number(),
});

/** Answer to `PUT holder` and `PUT lease`. */
export type HolderAnswer = z.infer<typeof holderAnswerSchema>;

/** Name of the life that answered. */
export function holderLife({ instance, bornMs }: HolderAnswer): string {
  return incarnationName({ id: instance, bornMs: bornMs ?? null });
}

/** Answer to `PUT release`. */
export const releaseAnswerSchema = z.object({ window: z.array(claimSchema) });
