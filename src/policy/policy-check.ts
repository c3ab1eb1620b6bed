/** Validates a configured policy: its expressions must compile and its example cases must give the expected results. */
import { compilePolicy, PolicyBackend, PolicyShard, type Policy, type PolicySource } from './policy.js';

/** An example case of a policy: inputs and the expected results of the expressions. */
export interface PolicyExample {
  readonly backend: {
    readonly name: string;
    readonly zone: string;
    readonly shards: number;
    readonly load: number;
  };
  readonly shard: {
    readonly number: number;
    readonly load: number;
    readonly owner: string;
    readonly ownerZone: string;
  };
  readonly eligible?: boolean | undefined;
  readonly rank?: number | undefined;
  readonly movable?: boolean | undefined;
}

/** A policy with its example cases. */
export interface CheckedPolicy extends PolicySource {
  readonly expect: readonly PolicyExample[];
}

/** A problem and its path within the policy. */
export interface PolicyProblem {
  readonly path: (string | number)[];
  readonly message: string;
}

const EXPRESSIONS = ['eligible', 'rank', 'movable'] as const;

/** Returns all problems of a policy. */
export function checkPolicy(policy: CheckedPolicy): PolicyProblem[] {
  const compiled = compilePolicy(policy);
  if (compiled.err)
    return compiled.val.map(({ expression, detail }) => ({ path: [expression], message: detail }));
  return policy.expect.flatMap((example, at) => runExample(compiled.val, example, at));
}

function runExample(policy: Policy, example: PolicyExample, at: number): PolicyProblem[] {
  const { name, zone, shards, load } = example.backend;
  const backend = new PolicyBackend(name, zone, shards, load);
  const { number, load: shardLoad, owner, ownerZone } = example.shard;
  const shard = new PolicyShard(number, shardLoad, owner, ownerZone);
  return EXPRESSIONS.flatMap((expression) => {
    const expected = example[expression];
    if (expected === undefined) return [];
    const result = policy[expression](backend, shard);
    if (result.ok && result.val === expected) return [];
    const actual = result.ok ? String(result.val) : result.val.detail;
    return [
      { path: ['expect', at, expression], message: `the policy gives ${actual}; ${expected} is expected` },
    ];
  });
}
