/** Settings of each daemon, read from a YAML file; the schemas state the unit and default of every field. */
import { readFileSync } from 'node:fs';
import { z } from 'zod';
import { socketAddressSchema } from '../model/socket-address-schema.js';
import { Err, Ok, type Result } from '../result.js';
import { readYamlFile, type FileProblem } from './yaml-file.js';

const nameSchema = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/, 'lower-case letters, digits and dashes');

const namedAddressSchema = z.strictObject({ name: nameSchema, address: socketAddressSchema });

const commonFields = {
  /** Unique among the daemons of a deployment. */
  name: nameSchema,
  /** Zone in which this daemon runs. */
  zone: nameSchema,
  /** File with the cluster's shared token; should be readable by its owner only. */
  tokenFile: z.string().min(1),
  logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
};

const timingSchema = z.strictObject({
  /** Interval between heartbeats of the leader, in ms. */
  heartbeatMs: z.number().int().min(10).max(10_000).default(100),
  /** Time without a leader before an election, in ms; at least three heartbeat intervals. */
  electionTimeoutMs: z.number().int().min(50).max(60_000).default(400),
  /** Time in ms for which a session renewal is valid. */
  sessionTermMs: z.number().int().min(200).max(120_000).default(1_500),
  /** Interval between placement plans, in ms. */
  planIntervalMs: z.number().int().min(20).max(60_000).default(100),
});

/** Settings of `aldertide control`. */
export const controlSettingsSchema = z
  .strictObject({
    ...commonFields,
    /** The only folder that the daemon writes to. */
    dataFolder: z.string().min(1),
    /** Address for connections of replicas, agents and routers. */
    listen: socketAddressSchema,
    /** Address of the operator interface (HTTP). */
    operator: socketAddressSchema,
    /** All initial members, including this one. */
    members: z.array(namedAddressSchema).min(1).max(9),
    timing: timingSchema.prefault({}),
    /** Number of applied entries after which a snapshot replaces the log. */
    snapshotEveryEntries: z.number().int().min(10).max(1_000_000).default(4_096),
  })
  .refine((settings) => settings.members.some((member) => member.name === settings.name), {
    path: ['members'],
    message: 'must contain this replica itself',
  })
  .refine(({ timing }) => timing.electionTimeoutMs >= 3 * timing.heartbeatMs, {
    path: ['timing', 'electionTimeoutMs'],
    message: 'must be at least three times heartbeatMs',
  });

/** Settings of `aldertide agent`. */
export const agentSettingsSchema = z.strictObject({
  ...commonFields,
  /** Address at which agents of other back ends hand over shards to this one. */
  listen: socketAddressSchema,
  /** Address of health and metrics (HTTP). */
  management: socketAddressSchema,
  control: z.array(namedAddressSchema).min(1).max(9),
  service: nameSchema,
  /** Name of the back end in the configuration. */
  backend: nameSchema,
  /** Address of the back end; it must run on the same machine, because grants use the machine's clock. */
  backendAddress: socketAddressSchema,
  /** Interval between lease renewals, in ms. */
  renewIntervalMs: z.number().int().min(20).max(60_000).default(400),
  /** Minimum interval between load reports, in ms. */
  loadReportIntervalMs: z.number().int().min(100).max(600_000).default(2_000),
});

/** Settings of `aldertide router`. */
export const routerSettingsSchema = z.strictObject({
  ...commonFields,
  /** Address for callers (HTTP); also serves health and metrics under `/-/`. */
  listen: socketAddressSchema,
  control: z.array(namedAddressSchema).min(1).max(9),
  /** Number of routers in the deployment, between which the connections and slots of a back end are divided. */
  routers: z.number().int().min(1).max(10_000).default(1),
  /** Addresses of back ends that override the configured ones, by name. */
  backendAddresses: z.record(nameSchema, socketAddressSchema).default({}),
  /** Maximum time in ms that a request waits for an owner while a move or repair is in progress. */
  ownerWaitMs: z.number().int().min(0).max(60_000).default(300),
  /** Maximum number of requests queued for a slot of one back end. */
  maxQueuedPerBackend: z.number().int().min(0).max(100_000).default(256),
  /** Time in ms to finish requests in flight after a stop signal. */
  drainMs: z.number().int().min(0).max(600_000).default(30_000),
  /** Maximum size of a request's header block, in bytes. */
  maxHeaderBytes: z.number().int().min(1_024).max(1_048_576).default(16_384),
  /**
   * Time in ms after which a caller's connection ends that sends nothing of a body which the router is ready to read, or takes nothing of
   * an answer that has begun.
   */
  callerStallMs: z.number().int().min(100).max(3_600_000).default(30_000),
});

/** Settings of `aldertide control`. */
export type ControlSettings = z.infer<typeof controlSettingsSchema>;
/** Settings of `aldertide agent`. */
export type AgentSettings = z.infer<typeof agentSettingsSchema>;
/** Settings of `aldertide router`. */
export type RouterSettings = z.infer<typeof routerSettingsSchema>;
/** Name of a control replica, and the address at which this daemon reaches it. */
export type NamedAddress = z.infer<typeof namedAddressSchema>;

/** Reads a settings file and the token file that it names. */
export function readSettings<T extends { readonly tokenFile: string }>(
  file: string,
  schema: z.ZodType<T>,
): Result<{ settings: T; token: string }, FileProblem[]> {
  const settings = readYamlFile(file, schema);
  if (settings.err) return settings;
  const token = readToken(settings.val.tokenFile);
  if (token.err) return Err([{ file, line: 1, path: 'tokenFile', message: token.val }]);
  return Ok({ settings: settings.val, token: token.val });
}

const MIN_TOKEN_LENGTH = 16;

/** Reads the shared token; the error never includes the token. */
export function readToken(file: string): Result<string, string> {
  try {
    const token = readFileSync(file, 'utf8').trim();
    if (token.length >= MIN_TOKEN_LENGTH) return Ok(token);
    return Err(`the token in ${file} is shorter than ${MIN_TOKEN_LENGTH} characters`);
  } catch (error) {
    return Err(error instanceof Error ? error.message : String(error));
  }
}
