/** Messages between the agents of the previous and the new owner of a shard. */
import { z } from 'zod';
import { claimSchema } from '../backend-contract/grant-messages.js';

const handoverFields = {
  requestId: z.number(),
  service: z.string(),
  shard: z.number(),
  /** Epoch of the previous owner. */
  epoch: z.number(),
  /** Back end that receives the shard. */
  target: z.string(),
};

/** Requests between agents. */
export const handoverRequestSchema = z.discriminatedUnion('kind', [
  /** Asks whether the target is ready to receive the shard. */
  z.object({ kind: z.literal('handover-prepare'), ...handoverFields }),
  /** Transfers the claimed keys. */
  z.object({ kind: z.literal('handover-window'), ...handoverFields, window: z.array(claimSchema) }),
]);

/** Requests between agents. */
export type HandoverRequest = z.infer<typeof handoverRequestSchema>;

/** Answer to either request. */
export const handoverAnswerSchema = z.object({
  kind: z.literal('handover-answer'),
  requestId: z.number(),
  accepted: z.boolean(),
});
