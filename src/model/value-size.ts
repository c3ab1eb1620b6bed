/** Estimates the size of plain data, so that queues and caches can be bounded in bytes without serializing what they hold. */

/** Bytes counted for a number, a boolean or null, and for the brackets, commas and quotes around a member. */
const SCALAR_BYTES = 8;
const MEMBER_BYTES = 4;

/** Returns the approximate size in bytes of a value as JSON; values that JSON cannot represent count as one scalar. */
export function valueBytes(value: unknown): number {
  if (typeof value === 'string') return value.length + MEMBER_BYTES;
  if (ArrayBuffer.isView(value)) return value.byteLength;
  if (typeof value !== 'object' || value === null) return SCALAR_BYTES;
  let bytes = MEMBER_BYTES;
  if (Array.isArray(value)) {
    for (const item of value) bytes += valueBytes(item);
    return bytes;
  }
  for (const [key, member] of Object.entries(value)) bytes += key.length + MEMBER_BYTES + valueBytes(member);
  return bytes;
}
