/** The configuration document that operators submit: services, their back ends and their limits. */
import { z } from 'zod';
import { checkPolicy } from '../policy/policy-check.js';
import { socketAddressSchema } from '../model/socket-address-schema.js';

const nameSchema = z
  .string()
  .regex(/^[a-z][a-z0-9-]{0,62}$/, 'lower-case letters, digits and dashes, starting with a letter');

const keySourceSchema = z.discriminatedUnion('from', [
  z.strictObject({
    from: z.literal('path'),
    /** Position of the segment after the service name, counted from 0. */
    segment: z.number().int().min(0).max(15),
  }),
  z.strictObject({ from: z.literal('query'), name: z.string().min(1).max(100) }),
  z.strictObject({ from: z.literal('header'), name: z.string().min(1).max(100) }),
]);

const endpointRuleSchema = z.strictObject({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Path prefix after the service name. */
  path: z.string().startsWith('/').max(500),
  repeatable: z.boolean(),
});

const backendSchema = z.strictObject({
  zone: nameSchema,
  address: socketAddressSchema,
});

const expressionSchema = z.string().min(1).max(2_000);

const policyExampleSchema = z.strictObject({
  backend: z.strictObject({
    name: z.string().default('backend'),
    zone: z.string().default('zone'),
    shards: z.number().default(0),
    load: z.number().default(0),
  }),
  shard: z.strictObject({
    number: z.number().default(0),
    load: z.number().default(0),
    owner: z.string().default(''),
    ownerZone: z.string().default(''),
  }),
  eligible: z.boolean().optional(),
  rank: z.number().optional(),
  movable: z.boolean().optional(),
});

const policySchema = z
  .strictObject({
    /** CEL expression over `backend` and `shard` of type bool: whether the back end may hold the shard. */
    eligible: expressionSchema.optional(),
    /** CEL expression over `backend` and `shard` of type double: the highest of those with free capacity is chosen. */
    rank: expressionSchema.optional(),
    /** CEL expression over `shard` of type bool: whether the shard may be moved to balance the load. */
    movable: expressionSchema.optional(),
    /** Test cases of the policy, evaluated by `aldertide check`. */
    expect: z.array(policyExampleSchema).max(100).default([]),
  })
  .superRefine((policy, context) => {
    for (const { path, message } of checkPolicy(policy)) context.addIssue({ code: 'custom', path, message });
  });

const placementSchema = z.strictObject({
  /** Ratio of the largest load to the mean load up to which no shard is moved. */
  toleratedImbalance: z.number().min(1).max(10).default(1.1),
  /** Maximum planned shard moves per minute; repairs and drains are not counted. */
  maxMovesPerMinute: z.number().int().min(0).max(100_000).default(60),
  /** Rules for which back ends may hold a shard, and their order of preference. */
  policy: policySchema.optional(),
});

const serviceFields = z.strictObject({
  /** `keyed`: each key has one owner. `spread`: any back end may serve any request. */
  division: z.enum(['keyed', 'spread']),
  /** Location of the key in a request; required for `keyed`. */
  key: keySourceSchema.optional(),
  /** Number of shards that the keys are divided into; cannot be changed later. */
  shards: z.number().int().min(1).max(131_072),
  /** Requests that one back end processes concurrently. */
  slots: z.number().int().min(1).max(10_000),
  /** Connections that one back end accepts from all routers together. */
  connections: z.number().int().min(1).max(100_000),
  /** Deadline of a request in ms, if the caller sets none. */
  deadlineMs: z.number().int().min(1).max(600_000).default(2_000),
  /** Period in ms within which callers may retry a request under the same Idempotency-Key. */
  repeatHorizonMs: z.number().int().min(0).max(86_400_000).default(30_000),
  /** Exceptions to the rule that GET, HEAD, PUT and DELETE may be retried and other methods may not. */
  endpoints: z.array(endpointRuleSchema).max(200).default([]),
  placement: placementSchema.default({ toleratedImbalance: 1.1, maxMovesPerMinute: 60 }),
  backends: z.record(nameSchema, backendSchema),
});

const serviceSchema = serviceFields.refine(
  (service) => service.division !== 'keyed' || service.key !== undefined,
  { path: ['key'], message: 'a service divided by key needs `key`' },
);

/** Schema of the whole document. */
export const configurationSchema = z
  .strictObject({
    version: z.literal(1),
    services: z.record(nameSchema, serviceSchema),
  })
  .superRefine((document, context) => {
    for (const problem of duplicateBackends(document.services))
      context.addIssue({ code: 'custom', ...problem });
  });

/** Location of the key in a request. */
export type KeySource = z.infer<typeof keySourceSchema>;
/** Whether requests to a path may be retried. */
export type EndpointRule = z.infer<typeof endpointRuleSchema>;
/** A server that owns shards. */
export type BackendConfiguration = z.infer<typeof backendSchema>;
/** Configuration of one service. */
export type ServiceConfiguration = z.infer<typeof serviceFields>;
/** The complete configuration document. */
export interface ConfigurationDocument {
  readonly version: 1;
  readonly services: Readonly<Record<string, ServiceConfiguration>>;
}

interface DocumentProblem {
  readonly path: (string | number)[];
  readonly message: string;
}

/** Reports names and addresses used twice: each identifies one back-end process, so it must be unique in the document. */
function duplicateBackends(services: Record<string, ServiceConfiguration>): DocumentProblem[] {
  const problems: DocumentProblem[] = [];
  const seen = new Map<string, string>();
  for (const [serviceName, service] of Object.entries(services)) {
    for (const [name, backend] of Object.entries(service.backends)) {
      const address = `${backend.address.host}:${backend.address.port}`;
      for (const identity of [name, address]) {
        const earlier = seen.get(identity);
        const path = ['services', serviceName, 'backends', name];
        const message = `${identity} already stands for ${earlier ?? ''}`;
        if (earlier !== undefined) problems.push({ path, message });
        seen.set(identity, `${serviceName}/${name}`);
      }
    }
  }
  return problems;
}
