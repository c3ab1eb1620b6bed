/** Checks a policy as it stands in a configuration: its expressions compile, and its example cases come out. */
import { compilePolicy, PolicyBackend, PolicyShard, type Policy, type PolicySource } from './policy.js';

/** A case of a policy: inputs, and what the expressions must give. */
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

/** A policy with its cases. */
export interface CheckedPolicy extends PolicySource {
  readonly expect: readonly PolicyExample[];
}

/** What is wrong, and where in the policy. */
export interface PolicyProblem {
  readonly path: (string | number)[];
  readonly message: string;
}

const OUTCOMES = ['eligible', 'rank', 'movable'] as const;

/** All problems of a policy. */
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
  return OUTCOMES.flatMap((outcome) => {
    const expected = example[outcome];
    if (expected === undefined) return [];
    const given = policy[outcome](backend, shard);
    if (given.ok && given.val === expected) return [];
    const found = given.ok ? String(given.val) : given.val.detail;
    return [{ path: ['expect', at, outcome], message: `the policy gives ${found}; ${expected} is expected` }];
  });
}
