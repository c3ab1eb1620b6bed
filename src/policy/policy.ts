/**
 * Placement policies: short expressions in CEL (https://cel.dev) that say which back ends may hold a shard, how
 * they rank, and which shards may be moved for balance. Expressions are typed, cannot loop, and are compiled once.
 */
import { Environment } from '@marcbachmann/cel-js';
import { Err, Ok, type Result } from '../result.js';

/** Largest expression, in nodes of its syntax tree; with it the cost of an evaluation is bounded. */
const MAX_NODES = 200;
const MAX_DEPTH = 30;

/** A back end as a policy sees it. */
export class PolicyBackend {
  constructor(
    readonly name: string,
    readonly zone: string,
    /** Shards that it holds. */
    readonly shards: number,
    /** Load that it has, in requests a second. */
    readonly load: number,
  ) {}
}

/** A shard as a policy sees it. */
export class PolicyShard {
  constructor(
    readonly number: number,
    /** In requests a second. */
    readonly load: number,
    /** Back end that holds it; empty when none does. */
    readonly owner: string,
    /** Zone of that back end; empty when none does. */
    readonly ownerZone: string,
  ) {}
}

/** Expressions of a policy, as operators write them. */
export interface PolicySource {
  /** Whether `backend` may hold `shard`. */
  readonly eligible?: string | undefined;
  /** How well `backend` suits `shard`; the highest wins among those that have room. */
  readonly rank?: string | undefined;
  /** Whether `shard` may be moved for balance. */
  readonly movable?: string | undefined;
}

/** An expression that failed or gave something else than it should. */
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

const limits = { maxAstNodes: MAX_NODES, maxDepth: MAX_DEPTH };

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

/** Compiles a policy; all expressions that do not compile are reported together. */
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
  otherwise: T,
): Result<Evaluate<T>, PolicyError> {
  if (text === undefined) return Ok(() => Ok(otherwise));
  try {
    const checked = environment.check(text);
    if (!checked.valid) return Err({ expression, detail: describe(checked.error) });
    if (checked.type !== type)
      return Err({ expression, detail: `gives ${checked.type ?? '?'}, not ${type}` });
    const program = environment.parse(text);
    return Ok((backend, shard) => evaluate(expression, () => program({ backend, shard }), typeof otherwise));
  } catch (error) {
    return Err({ expression, detail: describe(error) });
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
    return Err({ expression, detail: describe(error) });
  }
}

function describe(error: unknown): string {
  const text = error instanceof Error ? error.message : String(error);
  return text.split('\n')[0] ?? text;
}
