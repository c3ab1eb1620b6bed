/**
 * Placement policies: short CEL expressions (https://cel.dev) that define which back ends may own a shard, how they
 * rank, and which shards may be moved for balance. Expressions are typed, cannot loop, and are compiled once.
 */
import { Environment } from '@marcbachmann/cel-js';
import { Err, Ok, type Result } from '../result.js';

/** Maximum number of syntax tree nodes in an expression; bounds the cost of an evaluation. */
const MAX_AST_NODES = 200;
const MAX_DEPTH = 30;

/** A back end as exposed to policy expressions. */
export class PolicyBackend {
  constructor(
    readonly name: string,
    readonly zone: string,
    /** Number of shards that it owns. */
    readonly shards: number,
    /** Load in requests per second. */
    readonly load: number,
  ) {}
}

/** A shard as exposed to policy expressions. */
export class PolicyShard {
  constructor(
    readonly number: number,
    /** Load in requests per second. */
    readonly load: number,
    /** Name of the owning back end; empty when unowned. */
    readonly owner: string,
    /** Zone of the owning back end; empty when unowned. */
    readonly ownerZone: string,
  ) {}
}

/** Source text of a policy's expressions. */
export interface PolicySource {
  /** Whether `backend` may own `shard`. */
  readonly eligible?: string | undefined;
  /** Rank of `backend` for `shard`; the highest rank wins among back ends with capacity. */
  readonly rank?: string | undefined;
  /** Whether `shard` may be moved for balance. */
  readonly movable?: string | undefined;
}

/** An expression that failed or returned a value of the wrong type. */
export interface PolicyError {
  readonly expression: keyof PolicySource;
  readonly detail: string;
}

type Evaluate<T> = (backend: PolicyBackend | null, shard: PolicyShard) => Result<T, PolicyError>;

/** A compiled policy. */
export interface Policy {
  readonly eligible: Evaluate<boolean>;
  readonly rank: Evaluate<number>;
  readonly movable: Evaluate<boolean>;
}

const limits = { maxAstNodes: MAX_AST_NODES, maxDepth: MAX_DEPTH };

const shardOnly = new Environment({ limits })
  .registerType('Shard', {
    ctor: PolicyShard,
    fields: { number: 'double', load: 'double', owner: 'string', ownerZone: 'string' },
  })
  .registerVariable('shard', 'Shard');

const backendAndShard = shardOnly
  .clone()
  .registerType('Backend', {
    ctor: PolicyBackend,
    fields: { name: 'string', zone: 'string', shards: 'double', load: 'double' },
  })
  .registerVariable('backend', 'Backend');

/** Compiles a policy; errors of all expressions are reported together. */
export function compilePolicy(source: PolicySource): Result<Policy, PolicyError[]> {
  const eligible = compile('eligible', source.eligible, backendAndShard, 'bool', true);
  const rank = compile('rank', source.rank, backendAndShard, 'double', 0);
  const movable = compile('movable', source.movable, shardOnly, 'bool', true);
  if (eligible.ok && rank.ok && movable.ok) {
    return Ok({ eligible: eligible.val, rank: rank.val, movable: movable.val });
  }
  return Err([eligible, rank, movable].flatMap((result) => (result.err ? [result.val] : [])));
}

function compile<T extends boolean | number>(
  expression: keyof PolicySource,
  text: string | undefined,
  environment: Environment,
  type: 'bool' | 'double',
  defaultValue: T,
): Result<Evaluate<T>, PolicyError> {
  if (text === undefined) return Ok(() => Ok(defaultValue));
  try {
    const checked = environment.check(text);
    if (!checked.valid) return Err({ expression, detail: firstLineOf(checked.error) });
    if (checked.type !== type)
      return Err({ expression, detail: `gives ${checked.type ?? '?'}, not ${type}` });
    const program = environment.parse(text);
    return Ok((backend, shard) =>
      evaluate(expression, () => program({ backend, shard }), typeof defaultValue),
    );
  } catch (error) {
    return Err({ expression, detail: firstLineOf(error) });
  }
}

function evaluate<T>(
  expression: keyof PolicySource,
  run: () => unknown,
  type: string,
): Result<T, PolicyError> {
  try {
    const value = run();
    if (typeof value !== type) return Err({ expression, detail: `gave a ${typeof value}` });
    return Ok(value as T);
  } catch (error) {
    return Err({ expression, detail: firstLineOf(error) });
  }
}

function firstLineOf(error: unknown): string {
  const text = error instanceof Error ? error.message : String(error);
  return text.split('\n')[0] ?? text;
}
