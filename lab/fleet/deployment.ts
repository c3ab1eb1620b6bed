/** Deployment file: zones, daemons, services and traffic. */
import { z } from 'zod';
import { configurationSchema } from '../../src/config/configuration.js';
import { readYamlFile, type FileProblem } from '../../src/config/yaml-file.js';
import { Err, Ok, type Result } from '../../src/result.js';

const name = z.string().regex(/^[a-z][a-z0-9-]{0,62}$/, 'lower-case letters, digits and dashes');

const zoneMemberSchema = z.strictObject({ name, zone: name });

const serviceSchema = z.strictObject({
  /** Service settings as in a configuration file, without back ends. */
  configuration: z.record(z.string(), z.unknown()),
  /** Back ends and their zones. */
  backends: z.array(zoneMemberSchema).min(1),
  /** Mean time for which a test back end processes a request, in ms. */
  workMs: z.number().positive().default(3),
  coldMs: z.number().min(0).default(500),
  coldFactor: z.number().min(1).default(3),
  health: z.enum(['honest', 'lagging', 'misleading']).default('honest'),
  traffic: z.strictObject({
    rate: z.number().positive(),
    confirmationShare: z.number().min(0).max(1).default(0),
    downloadShare: z.number().min(0).max(1).default(0),
    downloadBytes: z.number().int().min(0).default(1_000_000),
    keys: z.number().int().min(1).default(1_000),
    zipf: z.number().min(0).max(3).default(0.8),
  }),
});

/** Schema of a deployment file. */
export const deploymentSchema = z.strictObject({
  name,
  delays: z.strictObject({
    /** One-way network latency between processes of different zones, in ms. */
    betweenZonesMs: z.number().min(0),
    /** One-way network latency between callers and routers, in ms. */
    toClientsMs: z.number().min(0),
  }),
  zones: z.array(name).min(1),
  control: z.array(zoneMemberSchema).min(1),
  routers: z.array(zoneMemberSchema).min(1),
  sessionTermMs: z.number().int().min(200).default(1_500),
  callerDeadlineMs: z.number().int().min(1).default(2_000),
  services: z.record(name, serviceSchema),
});

/** Parsed deployment file. */
export type Deployment = z.infer<typeof deploymentSchema>;
/** Name of a daemon or back end, and its zone. */
export type ZoneMember = z.infer<typeof zoneMemberSchema>;
/** Service of a deployment. */
export type DeployedService = z.infer<typeof serviceSchema>;

/** Reads a deployment file and validates the configuration in it as `aldertide check` does. */
export function readDeployment(file: string): Result<Deployment, FileProblem[]> {
  const read = readYamlFile(file, deploymentSchema);
  if (read.err) return read;
  const configuration = buildConfiguration(read.val, () => ({ host: '127.0.0.1', port: 1 + nextPort() }));
  const checked = configurationSchema.safeParse(configuration);
  if (checked.success) return Ok(read.val);
  return Err(
    checked.error.issues.map((issue) => {
      return { file, line: 1, path: issue.path.map(String).join('.'), message: issue.message };
    }),
  );
}

/** Builds the configuration document of a deployment, with the back-end addresses that `addressOf` returns. */
export function buildConfiguration(
  deployment: Deployment,
  addressOf: (backend: string) => { host: string; port: number },
): unknown {
  const services = Object.entries(deployment.services).map(([serviceName, service]) => {
    const backends = service.backends.map((backend) => {
      return [backend.name, { zone: backend.zone, address: addressOf(backend.name) }];
    });
    return [serviceName, { ...service.configuration, backends: Object.fromEntries(backends) as unknown }];
  });
  return { version: 1, services: Object.fromEntries(services) as unknown };
}

let port = 0;

/** Returns distinct port numbers for validation, which opens no sockets. */
function nextPort(): number {
  port = (port + 1) % 60_000;
  return port;
}
