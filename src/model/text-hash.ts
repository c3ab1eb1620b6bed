/** A small hash of a name, for spreading daemons; not for keys. */

/** A number from 0 to below 2 ** 32 that differs between most names. */
export function textHash(text: string): number {
  let sum = 0;
  for (const character of text) sum = (Math.imul(sum, 31) + character.charCodeAt(0)) >>> 0;
  return sum;
}

/** A place from 0 to below `places` that differs between names, so that they share the places evenly. */
export function spread(name: string, places: number): number {
  return textHash(name) % places;
}
