/**
 * Checks of the notices that a replica sends to a daemon. Tables hold up to 100,000 items, so their entries are checked
 * for being objects only: replicas check the fields before they commit them.
 */
import type { DirectoryNotice } from './directory-messages.js';

type Fields = Readonly<Record<string, unknown>>;

const TABLE_LISTS = ['items', 'accepted', 'instances', 'ranges'] as const;

/** Checks by kind of notice. */
const CHECKS: ReadonlyMap<unknown, (fields: Fields) => boolean> = new Map([
  ['table', ({ index, table }) => isNumber(index) && isTable(table)],
  ['changes', ({ index, changes }) => isNumber(index) && isListOf(changes, isChange)],
  ['alive', ({ index, members }) => isNumber(index) && isListOf(members, isString)],
  ['watch-refused', ({ reason }) => isString(reason)],
  ['registered', isLease],
  ['renewed', isLease],
  ['session-ended', ({ id, session }) => isString(id) && isNumber(session)],
  ['end-recorded', ({ token }) => isNumber(token)],
  ['run-permitted', ({ fingerprint, life }) => isString(fingerprint) && isString(life)],
]);

/** Checks by kind of change. */
const CHANGE_CHECKS: ReadonlyMap<unknown, (fields: Fields) => boolean> = new Map([
  ['items', ({ items }) => isListOf(items, isFields)],
  ['instance', ({ instance }) => isFields(instance) && isString(instance['id'])],
  ['instance-gone', ({ id }) => isString(id)],
  ['evacuation', ({ zone, evacuated }) => isString(zone) && typeof evacuated === 'boolean'],
  ['crash-records', ({ changed, removed }) => isListOf(changed, isFields) && isListOf(removed, isString)],
  ['ranges', ({ service, ranges }) => isString(service) && isListOf(ranges, isFields)],
]);

/** Returns a message as a notice; null if it is none that this version can read. */
export function readNotice(message: unknown): DirectoryNotice | null {
  const isReadable = isFields(message) && CHECKS.get(message['kind'])?.(message) === true;
  return isReadable ? (message as unknown as DirectoryNotice) : null;
}

function isTable(value: unknown): boolean {
  if (!isFields(value) || !isNumber(value['revision']) || typeof value['configured'] !== 'boolean')
    return false;
  const { evacuatedZones = [], crashRecords = [] } = value;
  return (
    TABLE_LISTS.every((name) => isListOf(value[name], isFields)) &&
    isListOf(evacuatedZones, isString) &&
    isListOf(crashRecords, isFields) &&
    isListOf(value['ranges'], ({ ranges }: Fields) => isListOf(ranges, isFields))
  );
}

function isChange(value: unknown): boolean {
  return isFields(value) && CHANGE_CHECKS.get(value['kind'])?.(value) === true;
}

function isLease({ id, session, sentMs, termMs, index }: Fields): boolean {
  return isString(id) && [session, sentMs, termMs, index].every(isNumber);
}

function isListOf(value: unknown, isElement: (element: never) => boolean): boolean {
  return Array.isArray(value) && value.every((element) => isElement(element as never));
}

function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null;
}

function isString(value: unknown): value is string {
  return typeof value === 'string';
}

function isNumber(value: unknown): value is number {
  return Number.isFinite(value);
}
