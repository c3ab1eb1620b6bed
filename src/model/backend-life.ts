/**
 * Names of the lives of back ends. A back end may start again under the id that it had, and nothing that was learned of
 * the life before holds for the new one; so everything is kept under a name that no two lives share.
 */

/** One life of a back end. */
export interface BackendLife {
  /** Id that the back end goes by; another life may go by the same. */
  readonly id: string;
  /** When this life started, in ms of its machine's wall clock; null where it does not tell. */
  readonly bornMs: number | null;
}

const SEPARATOR = '@';

/** Name of a life: its id, and when it started where that is told. */
export function lifeName({ id, bornMs }: BackendLife): string {
  if (bornMs !== null) return `${id}${SEPARATOR}${bornMs}`;
  return id.includes(SEPARATOR) ? `${id}${SEPARATOR}` : id;
}

/** Id that the back end of a named life goes by, as it expects it in requests. */
export function idOfLife(name: string): string {
  const end = name.lastIndexOf(SEPARATOR);
  return end < 0 ? name : name.slice(0, end);
}
