/**
 * Unique names of back-end incarnations. A back end may restart under its previous id, and nothing recorded about the
 * previous incarnation applies to the new one; so all state is keyed by a name that no two incarnations share.
 */

/** One incarnation (process lifetime) of a back end. */
export interface BackendIncarnation {
  /** Id of the back end; other incarnations may have the same one. */
  readonly id: string;
  /** Start time of this incarnation, in ms of its machine's wall clock; null if it does not report one. */
  readonly bornMs: number | null;
}

const SEPARATOR = '@';

/** Returns the name of an incarnation: its id, followed by its start time if that is known. */
export function incarnationName({ id, bornMs }: BackendIncarnation): string {
  if (bornMs !== null) return `${id}${SEPARATOR}${bornMs}`;
  return id.includes(SEPARATOR) ? `${id}${SEPARATOR}` : id;
}

/** Returns the incarnation of a name. */
export function parseIncarnation(name: string): BackendIncarnation {
  const end = name.lastIndexOf(SEPARATOR);
  const bornMs = end < 0 || end === name.length - 1 ? null : Number(name.slice(end + 1));
  return { id: idOfIncarnation(name), bornMs };
}

/** Returns the back-end id in an incarnation's name; the back end expects this id in requests. */
export function idOfIncarnation(name: string): string {
  const end = name.lastIndexOf(SEPARATOR);
  return end < 0 ? name : name.slice(0, end);
}
