/**
 * A contradiction in the program's own state. It ends the process, since nothing that is served from such a state can be
 * relied on; any other error ends only the work that it was thrown for.
 */
export class BrokenInvariant extends Error {
  constructor(detail: string) {
    super(`invariant broken: ${detail}`);
  }
}
