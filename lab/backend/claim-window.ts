/** Idempotency keys that were claimed for one shard, and whether a new one can be proven fresh. */
import type { Claim } from '../../src/backend-contract/grant-messages.js';

/** Keys that are kept for one shard. */
const MAX_CLAIMS = 10_000;

/** How far the clocks of callers may be off, in ms. */
const CALLER_CLOCK_SKEW_MS = 1_000;

/** Largest answer that is kept for repeats, in characters. */
const MAX_KEPT_ANSWER = 1_024;

/** What to do with a request under an idempotency key. */
export type ClaimDecision =
  | { readonly kind: 'run' }
  | { readonly kind: 'replay'; readonly answer: NonNullable<Claim['answer']> }
  | { readonly kind: 'in-progress' }
  | { readonly kind: 'freshness-unproven' };

/** The window of one shard. */
export class ClaimWindow {
  private readonly claims = new Map<string, Claim>();

  constructor(
    earlier: readonly Claim[],
    private readonly freshAfterMs: number,
    private readonly repeatHorizonMs: number,
  ) {
    for (const claim of earlier) this.claims.set(claim.key, claim);
  }

  /** Claims a key, or says why the request must not run. */
  claim(key: string, wallMs: number): ClaimDecision {
    const known = this.claims.get(key);
    if (known !== undefined) {
      return known.answer === null ? { kind: 'in-progress' } : { kind: 'replay', answer: known.answer };
    }
    if (!this.provenFresh(key, wallMs)) return { kind: 'freshness-unproven' };
    this.claims.set(key, { key, claimedMs: wallMs, answer: null });
    this.forgetOldest();
    return { kind: 'run' };
  }

  /** The request ran to its end. */
  complete(key: string, answer: NonNullable<Claim['answer']>): void {
    const known = this.claims.get(key);
    if (known === undefined) return;
    const kept = answer.body.length <= MAX_KEPT_ANSWER ? answer : { ...answer, body: '' };
    this.claims.set(key, { ...known, answer: kept });
  }

  /** The request was not run after all, so the key is free again. */
  abandon(key: string): void {
    this.claims.delete(key);
  }

  /** All claims, for the next owner. */
  export(): Claim[] {
    return [...this.claims.values()];
  }

  /** A key that carries its time (UUID version 7) is fresh if it was made after the loss; others must wait. */
  private provenFresh(key: string, wallMs: number): boolean {
    if (this.freshAfterMs === 0) return true;
    const madeMs = timeOfKey(key);
    if (madeMs !== null) return madeMs > this.freshAfterMs + CALLER_CLOCK_SKEW_MS;
    return wallMs > this.freshAfterMs + this.repeatHorizonMs;
  }

  private forgetOldest(): void {
    if (this.claims.size <= MAX_CLAIMS) return;
    const oldest = this.claims.keys().next();
    if (oldest.done !== true) this.claims.delete(oldest.value);
  }
}

const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}$/i;

/** When a UUID of version 7 was made, in wall-clock ms (RFC 9562, 5.7); null for other keys. */
export function timeOfKey(key: string): number | null {
  const match = UUID_V7.exec(key);
  return match === null ? null : parseInt(`${match[1] ?? ''}${match[2] ?? ''}`, 16);
}
