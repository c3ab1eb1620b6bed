/** What a back end states about itself in the headers of an answer: the request rate that it accepts, and its leave. */
import { headerValue, headerValues, type HeaderDialect } from './header-dialect.js';

/** Request limit in one answer. Unreadable values state nothing, and do not revoke an earlier limit. */
export type StatedLimit =
  | { readonly kind: 'none' }
  | { readonly kind: 'limited'; readonly requestsPerSecond: number }
  | { readonly kind: 'unreadable' };

/** Statements of one answer. */
export interface BackendSignals {
  /** Rate of requests that the back end accepts from all daemons together. */
  readonly limit: StatedLimit;
  /** Whether the back end leaves. */
  readonly leaving: boolean;
}

/** Signals of an answer that states nothing. */
export const NO_SIGNALS: BackendSignals = { limit: { kind: 'none' }, leaving: false };

const DECIMAL_NUMBER = /^\d+(?:\.\d+)?$/;

/** Value of the leave header that states that the back end does not leave. */
const NOT_LEAVING = '0';

/** Reads the statements of an answer from its headers. */
export function readSignals(headers: readonly string[], dialect: HeaderDialect): BackendSignals {
  const leaving = headerValue(headers, dialect.leaving);
  return {
    limit: readLimit(headerValues(headers, dialect.requestLimit)),
    leaving: leaving !== null && leaving.trim() !== NOT_LEAVING,
  };
}

/**
 * Reads the values of the limit header: unsigned decimal numbers without an exponent. Of several values, in one header
 * or in repeated ones, the lowest readable one counts.
 */
function readLimit(values: readonly string[]): StatedLimit {
  if (values.length === 0) return { kind: 'none' };
  const readable = values
    .flatMap((value) => value.split(','))
    .map((text) => text.trim())
    .filter((text) => DECIMAL_NUMBER.test(text))
    .map(Number)
    .filter((limit) => Number.isFinite(limit));
  if (readable.length === 0) return { kind: 'unreadable' };
  return { kind: 'limited', requestsPerSecond: Math.min(...readable) };
}
