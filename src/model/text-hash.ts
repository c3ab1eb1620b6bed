/** A simple hash of names, for distributing daemons; not suitable for keys. */

/** Returns a hash from 0 to 2 ** 32 - 1; most names have different ones. */
export function textHash(text: string): number {
  let sum = 0;
  for (const character of text) sum = (Math.imul(sum, 31) + character.charCodeAt(0)) >>> 0;
  return sum;
}

/** Assigns a name to one of `buckets` buckets, counted from 0; names are distributed evenly over them. */
export function bucketOf(name: string, buckets: number): number {
  return textHash(name) % buckets;
}
