/**
 * The name under which an agent holds its back end. Each taking has a name of its own, so that the back end refuses a call of
 * before it that is carried out late: such a call brought shards back that had another owner.
 */

const SEPARATOR = '/';

/** The names of one life of an agent. */
export class HolderName {
  private takings = 0;

  constructor(private readonly agentInstance: string) {}

  /** The name of the newest taking. */
  get current(): string {
    return `${this.agentInstance}${SEPARATOR}${this.takings}`;
  }

  /** The name of a taking that begins now. */
  next(): string {
    this.takings += 1;
    return this.current;
  }
}
