/** Estimates how many values a JSON text holds, so that a dense text is refused before it is parsed. */

const QUOTE = '"'.charCodeAt(0);
const BACKSLASH = '\\'.charCodeAt(0);
const COMMA = ','.charCodeAt(0);
const LIST_START = '['.charCodeAt(0);
const OBJECT_START = '{'.charCodeAt(0);

/** Whether a JSON text may hold more than `limit` values; counts its commas and opening brackets outside of strings. */
export function mayHoldMoreValues(text: string, limit: number): boolean {
  let count = 0;
  let inString = false;
  for (let at = 0; at < text.length && count <= limit; at += 1) {
    const code = text.charCodeAt(at);
    if (code === QUOTE) inString = !inString;
    else if (inString && code === BACKSLASH) at += 1;
    else if (!inString && (code === COMMA || code === LIST_START || code === OBJECT_START)) count += 1;
  }
  return count > limit;
}
