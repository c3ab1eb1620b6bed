/** Settings of each daemon, read from a YAML file. Every field has its unit and default here. */
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
  /** Place of this daemon. */
  zone: nameSchema,
  /** File that holds the cluster's shared token; only its owner should be able to read it. */
  tokenFile: z.string().min(1),
  logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
};

const timingSchema = z.strictObject({
  /** Pause between heartbeats of the leader, in ms. */
  heartbeatMs: z.number().int().min(10).max(10_000).default(100),
  /** Time without a leader before an election, in ms; at least three heartbeats. */
  electionTimeoutMs: z.number().int().min(50).max(60_000).default(400),
  /** Time in ms for which a session renewal is good. */
  sessionTermMs: z.number().int().min(200).max(120_000).default(1_500),
  /** Pause between placement plans, in ms. */
  planIntervalMs: z.number().int().min(20).max(60_000).default(100),
});

/** Settings of `aldertide control`. */
export const controlSettingsSchema = z
  .strictObject({
    ...commonFields,
    /** The only folder that is written to. */
    dataFolder: z.string().min(1),
    /** Where replicas, agents and routers connect. */
    listen: socketAddressSchema,
    /** Where operators connect, over HTTP. */
    operator: socketAddressSchema,
    /** All first members, this one included. */
    members: z.array(namedAddressSchema).min(1).max(9),
    timing: timingSchema.prefault({}),
    /** Applied entries after which a snapshot replaces the log. */
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
  /** Where agents of other back ends hand over shards to this one. */
  listen: socketAddressSchema,
  /** Health and metrics, over HTTP. */
  management: socketAddressSchema,
  control: z.array(namedAddressSchema).min(1).max(9),
  service: nameSchema,
  /** Name of the back end in the configuration. */
  backend: nameSchema,
  /** Where the back end is; it must run on the same machine, because grants use the machine's clock. */
  backendAddress: socketAddressSchema,
  /** Pause between lease renewals, in ms. */
  renewIntervalMs: z.number().int().min(20).max(60_000).default(400),
  /** Shortest time between two reports of load, in ms. */
  loadReportIntervalMs: z.number().int().min(100).max(600_000).default(2_000),
});

/** Settings of `aldertide router`. */
export const routerSettingsSchema = z.strictObject({
  ...commonFields,
  /** Where callers connect, over HTTP; also serves health and metrics under `/-/`. */
  listen: socketAddressSchema,
  control: z.array(namedAddressSchema).min(1).max(9),
  /** Routers of this deployment, for sharing the connections and slots of a back end. */
  routers: z.number().int().min(1).max(10_000).default(1),
  /** Addresses to use for back ends instead of the configured ones. */
  backendAddresses: z.record(nameSchema, socketAddressSchema).default({}),
  /** Longest time in ms that a request waits for an owner while a move or repair is under way. */
  ownerWaitMs: z.number().int().min(0).max(60_000).default(300),
  /** Requests that may wait for a slot of one back end. */
  maxQueuedPerBackend: z.number().int().min(0).max(100_000).default(256),
  /** Time in ms to finish requests after a stop was asked for. */
  drainMs: z.number().int().min(0).max(600_000).default(30_000),
  /** Longest request header block accepted, in bytes. */
  maxHeaderBytes: z.number().int().min(1_024).max(1_048_576).default(16_384),
});

/** Settings of `aldertide control`. */
export type ControlSettings = z.infer<typeof controlSettingsSchema>;
/** Settings of `aldertide agent`. */
export type AgentSettings = z.infer<typeof agentSettingsSchema>;
/** Settings of `aldertide router`. */
export type RouterSettings = z.infer<typeof routerSettingsSchema>;
/** A control replica and how this daemon reaches it. */
export type NamedAddress = z.infer<typeof namedAddressSchema>;

/** Reads a settings file and the token that it points to. */
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

const SHORTEST_TOKEN = 16;

/** Reads the shared token; the error never contains it. */
export function readToken(file: string): Result<string, string> {
  try {
    const token = readFileSync(file, 'utf8').trim();
    if (token.length >= SHORTEST_TOKEN) return Ok(token);
    return Err(`the token in ${file} is shorter than ${SHORTEST_TOKEN} characters`);
  } catch (error) {
    return Err(error instanceof Error ? error.message : String(error));
  }
}
