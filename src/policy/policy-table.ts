/** Policies in force, compiled once for each configuration of a service. */
import type { ServiceConfiguration } from '../config/configuration.js';
import { compilePolicy, type Policy } from './policy.js';

interface CompiledPolicy {
  readonly service: ServiceConfiguration;
  readonly policy: Policy | null;
}

/** Compiled policies by service. */
export class PolicyTable {
  private readonly compiled = new Map<string, CompiledPolicy>();

  /** The policy of a service, or null when it has none. One that no longer compiles counts as none. */
  policyOf(name: string, service: ServiceConfiguration): Policy | null {
    const known = this.compiled.get(name);
    if (known?.service === service) return known.policy;
    const source = service.placement.policy;
    const result = source === undefined ? null : compilePolicy(source);
    const policy = result?.ok === true ? result.val : null;
    this.compiled.set(name, { service, policy });
    return policy;
  }
}
