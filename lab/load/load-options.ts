/** What a load run does. */
import { z } from 'zod';

const routerSchema = z.strictObject({ name: z.string(), url: z.string() });

const trafficSchema = z.strictObject({
  service: z.string(),
  /** Shards of the service, for the journal; null when it has no owners. */
  shards: z.number().int().nullable(),
  /** Requests a second. */
  rate: z.number().positive(),
  /** Shares of the operations; the rest are lookups. */
  confirmationShare: z.number().min(0).max(1),
  downloadShare: z.number().min(0).max(1),
  downloadBytes: z.number().int().min(0),
  keys: z.number().int().min(1),
  /** Exponent of the Zipf distribution of the keys; 0 is even. */
  zipf: z.number().min(0).max(3),
});

/** Schema of the file that a load run reads. */
export const loadOptionsSchema = z.strictObject({
  routers: z.array(routerSchema).min(1),
  traffic: z.array(trafficSchema).min(1),
  seconds: z.number().positive().max(3_600),
  seed: z.number().int(),
  /** Time in ms that callers leave for one request. */
  deadlineMs: z.number().int().min(1),
  /** Sendings that a caller makes at most for one request. */
  maxSendings: z.number().int().min(1).max(20),
  /** Share of confirmations that are sent twice although the first was answered, as a nervous user does. */
  duplicateShare: z.number().min(0).max(1),
  journal: z.string(),
});

/** What a load run does. */
export type LoadOptions = z.infer<typeof loadOptionsSchema>;
/** Traffic of one service. */
export type Traffic = z.infer<typeof trafficSchema>;
/** A router that callers may use. */
export type RouterTarget = z.infer<typeof routerSchema>;
