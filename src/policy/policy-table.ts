/** Caches compiled policies: each is compiled once per configuration of a service. */
import type { ServiceConfiguration } from '../config/configuration.js';
import { compilePolicy, type Policy } from './policy.js';

interface CompiledPolicy {
  readonly service: ServiceConfiguration;
  readonly policy: Policy | null;
}

/** Cache of compiled policies by service name. */
export class PolicyTable {
  private readonly compiled = new Map<string, CompiledPolicy>();

  /** Returns the policy of a service; null when it has none or when its policy no longer compiles. */
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
