/** First assignment of all keys of a service, before any load is known. Pure. */
import type { KeySpan } from './directory-commands.js';
import { FIRST_KEY, LAST_KEY } from './directory-state.js';

/**
 * Maximum number of ranges per back end. The plan for balance relieves the owner of a single busy key by moving its other
 * ranges one by one, which takes longer the more there are. Each range is also a row in the answer to a heartbeat, which
 * back ends read only up to 4 KiB.
 */
const MAX_RANGES_PER_BACK_END = 4;

/** Maximum number of ranges of a service, so that the table that daemons hold does not grow with the fleet. */
const MAX_RANGES = 1_024;

/** A back end that receives keys in proportion to its slots. */
export interface WeightedBackend {
  readonly id: string;
  readonly slots: number;
}

/** A span of keys and the back end that receives it. */
export interface SpanTarget extends KeySpan {
  readonly backend: string;
}

/**
 * Divides all keys in proportion to slots. Busy keys lie close together, so one contiguous range per back end would give
 * most of the load to a few. With `interleaved`, each back end gets several ranges that are spread over all keys.
 */
export function firstAssignment(backends: readonly WeightedBackend[], interleaved: boolean): SpanTarget[] {
  const stripes = interleaved ? stripeCount(backends.length) : 1;
  const keys = LAST_KEY - FIRST_KEY + 1;
  return Array.from({ length: stripes }).flatMap((_, stripe) => {
    const from = FIRST_KEY + Math.floor((keys * stripe) / stripes);
    const to = FIRST_KEY + Math.floor((keys * (stripe + 1)) / stripes) - 1;
    return divideSpan({ from, to }, backends);
  });
}

function stripeCount(backends: number): number {
  return Math.max(1, Math.min(MAX_RANGES_PER_BACK_END, Math.floor(MAX_RANGES / backends)));
}

function divideSpan(span: KeySpan, backends: readonly WeightedBackend[]): SpanTarget[] {
  const slots = backends.reduce((sum, backend) => sum + backend.slots, 0);
  const keys = span.to - span.from + 1;
  const targets: SpanTarget[] = [];
  let { from } = span;
  let slotsSoFar = 0;
  for (const backend of backends) {
    slotsSoFar += backend.slots;
    const end = span.from + Math.floor((keys * slotsSoFar) / slots);
    if (end > from) targets.push({ from, to: end - 1, backend: backend.id });
    from = end;
  }
  return targets;
}
