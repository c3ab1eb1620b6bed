/**
 * Names under which an agent holds its back end. Each takeover uses a new name, so that the back end refuses calls from
 * before it that are executed late. Without this, a late call restored shards that already had another owner.
 */

const SEPARATOR = '/';

/** Holder names of one incarnation of an agent. */
export class HolderName {
  private takeovers = 0;

  constructor(private readonly agentInstance: string) {}

  /** Name of the latest takeover. */
  get current(): string {
    return `${this.agentInstance}${SEPARATOR}${this.takeovers}`;
  }

  /** Returns a new name for a takeover that starts now. */
  next(): string {
    this.takeovers += 1;
    return this.current;
  }
}
