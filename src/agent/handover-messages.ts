/** Messages between the agents of a shard's old and new owner. */
import { z } from 'zod';
import { claimSchema } from '../backend-contract/grant-messages.js';

const place = {
  requestId: z.number(),
  service: z.string(),
  shard: z.number(),
  /** Epoch of the old owner. */
  epoch: z.number(),
  /** Back end that the shard goes to. */
  target: z.string(),
};

/** Requests between agents. */
export const handoverRequestSchema = z.discriminatedUnion('kind', [
  /** Asks whether the target is ready to take over. */
  z.object({ kind: z.literal('handover-prepare'), ...place }),
  /** Carries the claimed keys. */
  z.object({ kind: z.literal('handover-window'), ...place, window: z.array(claimSchema) }),
]);

/** Requests between agents. */
export type HandoverRequest = z.infer<typeof handoverRequestSchema>;

/** Answer to both requests. */
export const handoverAnswerSchema = z.object({
  kind: z.literal('handover-answer'),
  requestId: z.number(),
  accepted: z.boolean(),
});
