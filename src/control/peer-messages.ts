/** Validation of messages between control replicas on arrival, so that invalid data cannot reach the consensus core. */
import * as z from 'zod/mini';
import type { PeerMessage } from './peer-network.js';

const index = z.int().check(z.minimum(0));
const base = { from: z.string(), to: z.string(), term: index };
const membership = z.object({ voters: z.array(z.string()), learners: z.array(z.string()) });
const position = z.object({ index, term: index, membership });
const payload = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('no-op') }),
  z.object({
    kind: z.literal('command'),
    proposalId: z.string(),
    command: z.looseObject({ kind: z.string() }),
  }),
  z.object({ kind: z.literal('membership'), membership }),
]);
const entry = z.object({ index, term: index, payload });

const peerMessageSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('vote-request'),
    ...base,
    preVote: z.boolean(),
    lastIndex: index,
    lastTerm: index,
  }),
  z.object({ kind: z.literal('vote-answer'), ...base, preVote: z.boolean(), granted: z.boolean() }),
  z.object({
    kind: z.literal('append-request'),
    ...base,
    previousIndex: index,
    previousTerm: index,
    entries: z.array(entry),
    commitIndex: index,
    round: index,
  }),
  z.object({
    kind: z.literal('append-answer'),
    ...base,
    success: z.boolean(),
    matchIndex: index,
    round: index,
    snapshotParts: z.optional(z.boolean()),
  }),
  z.object({ kind: z.literal('snapshot-request'), ...base, position, data: z.unknown(), round: index }),
  z.object({
    kind: z.literal('snapshot-part'),
    ...base,
    position,
    offset: index,
    totalBytes: index,
    content: z.string(),
    round: index,
  }),
  z.object({ kind: z.literal('snapshot-part-answer'), ...base, index, offset: index, round: index }),
  z.object({ kind: z.literal('formation-query'), name: z.string(), id: z.string() }),
  z.object({
    kind: z.literal('formation-answer'),
    name: z.string(),
    id: z.string(),
    membership: z.nullable(membership),
  }),
  z.object({ kind: z.literal('join-request'), id: z.string() }),
]);

/** Returns the validated message, or null when it is invalid. */
export function parsePeerMessage(message: unknown): PeerMessage | null {
  const parsed = peerMessageSchema.safeParse(message);
  return parsed.success ? (parsed.data as PeerMessage) : null;
}
