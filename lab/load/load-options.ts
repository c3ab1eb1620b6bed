/** Options of a load run. */
import { z } from 'zod';

const routerSchema = z.strictObject({ name: z.string(), url: z.string() });

const trafficSchema = z.strictObject({
  service: z.string(),
  /** Number of shards of the service, for the journal; null when the service has no owners. */
  shards: z.number().int().nullable(),
  /** Requests per second. */
  rate: z.number().positive(),
  /** Shares of the operations; all other requests are lookups. */
  confirmationShare: z.number().min(0).max(1),
  downloadShare: z.number().min(0).max(1),
  downloadBytes: z.number().int().min(0),
  keys: z.number().int().min(1),
  /** Exponent of the Zipf distribution of the keys; 0 is a uniform distribution. */
  zipf: z.number().min(0).max(3),
});

/** Schema of the settings file of a load run. */
export const loadOptionsSchema = z.strictObject({
  routers: z.array(routerSchema).min(1),
  traffic: z.array(trafficSchema).min(1),
  seconds: z.number().positive().max(3_600),
  seed: z.number().int(),
  /** Deadline in ms that callers set for a request. */
  deadlineMs: z.number().int().min(1),
  /** Maximum number of sendings (attempts) that a caller makes for one request. */
  maxSendings: z.number().int().min(1).max(20),
  /** Share of confirmations that are sent again after an answer, as by a user who submits twice. */
  duplicateShare: z.number().min(0).max(1),
  journal: z.string(),
});

/** Options of a load run. */
export type LoadOptions = z.infer<typeof loadOptionsSchema>;
/** Traffic that callers send to one service. */
export type Traffic = z.infer<typeof trafficSchema>;
/** Router to which callers send requests. */
export type RouterTarget = z.infer<typeof routerSchema>;
