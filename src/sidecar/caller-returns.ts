/**
 * Learns whether the callers of a route come back after they were refused. Where they do not, as with a back end that
 * calls another service, a refusal is the end of the request, and of the work that it was made for.
 */

/** Refusals that must have been seen before anything is concluded. */
const LEAST_REFUSED = 4;

/** Returns for each refusal from which on callers are taken to come back: some callers leave, and some go elsewhere. */
const LEAST_RETURNS = 0.1;

/** Refusals after which what was seen counts half, so that a change of the callers shows. */
const REMEMBERED = 256;

/** What was seen of the callers of one route at this daemon. */
export class CallerReturns {
  private refused = 0;
  private returned = 0;

  /** Whether a caller that is refused is expected to come back. */
  get expected(): boolean {
    return this.refused < LEAST_REFUSED || this.returned >= this.refused * LEAST_RETURNS;
  }

  /** A caller was refused, and told when to come back. */
  noteRefused(): void {
    this.refused += 1;
    if (this.refused <= REMEMBERED) return;
    this.refused /= 2;
    this.returned /= 2;
  }

  /** A request came from a caller that had been refused before, here or elsewhere. */
  noteReturned(): void {
    this.returned += 1;
  }
}
