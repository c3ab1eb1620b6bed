/** Tracks the idempotency keys claimed for one shard and decides whether a new key can be proven fresh. */
import type { Claim } from '../../src/backend-contract/grant-messages.js';

/** Maximum number of claims stored for one shard; the oldest is evicted beyond it. */
const MAX_CLAIMS_PER_SHARD = 10_000;

/** Maximum clock skew of callers, in ms. */
const CALLER_CLOCK_SKEW_MS = 1_000;

/** Maximum length of a response body stored for replays, in characters; longer ones are stored empty. */
const MAX_STORED_BODY_CHARS = 1_024;

/** How to handle a request that carries an idempotency key. */
export type ClaimDecision =
  | { readonly kind: 'run' }
  | { readonly kind: 'replay'; readonly answer: NonNullable<Claim['answer']> }
  | { readonly kind: 'in-progress' }
  | { readonly kind: 'freshness-unproven' };

/** Claims of one shard. */
export class ClaimWindow {
  private readonly claims = new Map<string, Claim>();

  constructor(
    inheritedClaims: readonly Claim[],
    private readonly freshAfterMs: number,
    private readonly repeatHorizonMs: number,
  ) {
    for (const claim of inheritedClaims) this.claims.set(claim.key, claim);
  }

  /** Claims a key, or returns why the request must not run. */
  claim(key: string, wallMs: number): ClaimDecision {
    const existing = this.claims.get(key);
    if (existing !== undefined) {
      return existing.answer === null ? { kind: 'in-progress' } : { kind: 'replay', answer: existing.answer };
    }
    if (!this.isProvenFresh(key, wallMs)) return { kind: 'freshness-unproven' };
    this.claims.set(key, { key, claimedMs: wallMs, answer: null });
    this.evictOldest();
    return { kind: 'run' };
  }

  /** Stores the answer of a request that completed. */
  complete(key: string, answer: NonNullable<Claim['answer']>): void {
    const existing = this.claims.get(key);
    if (existing === undefined) return;
    const stored = answer.body.length <= MAX_STORED_BODY_CHARS ? answer : { ...answer, body: '' };
    this.claims.set(key, { ...existing, answer: stored });
  }

  /** Releases the key of a request that was not run. */
  abandon(key: string): void {
    this.claims.delete(key);
  }

  /** Returns all claims, to be handed over to the next owner. */
  export(): Claim[] {
    return [...this.claims.values()];
  }

  /**
   * Whether an unknown key cannot have been used before the claims of an earlier owner were lost. A key that
   * carries its creation time (UUID version 7) is fresh if it was created after the loss, with a margin for clock
   * skew; any other key only once the repeat horizon has passed since the loss.
   */
  private isProvenFresh(key: string, wallMs: number): boolean {
    if (this.freshAfterMs === 0) return true;
    const createdMs = uuidV7TimeMs(key);
    if (createdMs !== null) return createdMs > this.freshAfterMs + CALLER_CLOCK_SKEW_MS;
    return wallMs > this.freshAfterMs + this.repeatHorizonMs;
  }

  private evictOldest(): void {
    if (this.claims.size <= MAX_CLAIMS_PER_SHARD) return;
    const oldest = this.claims.keys().next();
    if (oldest.done !== true) this.claims.delete(oldest.value);
  }
}

const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}$/i;

/** Returns the creation time of a UUID of version 7, in wall-clock ms (RFC 9562, 5.7); null for other keys. */
export function uuidV7TimeMs(key: string): number | null {
  const match = UUID_V7.exec(key);
  return match === null ? null : parseInt(`${match[1] ?? ''}${match[2] ?? ''}`, 16);
}
