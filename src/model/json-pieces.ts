/** Serializes large values in pieces, so that neither the whole text is in memory nor the event loop blocked while it is written. */
import { isPlain } from './value-text.js';

/** Depth down to which members are serialized one by one: the items of a snapshot's lists. Deeper ones cost more time than they bound. */
const MAX_DEPTH = 3;

/** Length of a piece after which it is handed over, in characters. */
const PIECE_LENGTH = 64 * 1024;

/**
 * Yields the text of an object in JSON, as `writeText` writes it, in pieces; null at the first part that JSON cannot represent.
 * A part below `MAX_DEPTH`, or a string, is never split.
 */
export function* jsonPieces(value: object): Generator<string | null> {
  let piece = '';
  for (const part of jsonParts(value, 0)) {
    if (part === null) {
      yield null;
      return;
    }
    piece += part;
    if (piece.length < PIECE_LENGTH) continue;
    yield piece;
    piece = '';
  }
  yield piece;
}

function* jsonParts(value: unknown, depth: number): Generator<string | null> {
  if (depth >= MAX_DEPTH || !isContainer(value)) {
    yield isPlain(value) ? JSON.stringify(value) : null;
    return;
  }
  const isList = Array.isArray(value);
  yield isList ? '[' : '{';
  let separator = '';
  const members: Iterable<[unknown, unknown]> = Array.isArray(value)
    ? value.entries()
    : Object.entries(value);
  for (const [key, member] of members) {
    if (member === undefined && !isList) continue;
    yield isList ? separator : `${separator}${JSON.stringify(key)}:`;
    yield* jsonParts(member, depth + 1);
    separator = ',';
  }
  yield isList ? ']' : '}';
}

/** Whether the value is a list or an object without a prototype of its own, whose members are plain or not one by one. */
function isContainer(value: unknown): value is object {
  if (typeof value !== 'object' || value === null) return false;
  const prototype: unknown = Object.getPrototypeOf(value);
  return Array.isArray(value) || prototype === Object.prototype || prototype === null;
}
