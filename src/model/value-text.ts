/**
 * Messages and records as text. Plain data is written as JSON, which takes a twentieth of the time that `devalue` takes
 * (https://github.com/sveltejs/devalue); what JSON cannot hold, such as typed arrays, is written by `devalue`. A text tells
 * by its first character which of the two wrote it.
 */
import { parse, stringify } from 'devalue';

/** First character of an object in JSON; the texts of `devalue` are lists or numbers. */
const OBJECT_START = '{';

/** Writes a value. */
export function writeText(value: unknown): string {
  return isObject(value) && isPlain(value) ? JSON.stringify(value) : stringify(value);
}

/** Whether a text of `writeText` is JSON. */
export function isJsonText(text: string): boolean {
  return text.startsWith(OBJECT_START);
}

/** Reads what `writeText` has written; throws where it is neither. */
export function readText(text: string): unknown {
  return isJsonText(text) ? (JSON.parse(text) as unknown) : parse(text);
}

/** Whether JSON gives the value back as it is; members that are undefined are left out. */
function isPlain(value: unknown): boolean {
  switch (typeof value) {
    case 'string':
    case 'boolean':
      return true;
    case 'number':
      return Number.isFinite(value) && !Object.is(value, -0);
    case 'object':
      return value === null || (Array.isArray(value) ? value.every(isPlain) : isPlainObject(value));
    default:
      return false;
  }
}

function isPlainObject(value: object): boolean {
  const prototype: unknown = Object.getPrototypeOf(value);
  if (prototype !== Object.prototype && prototype !== null) return false;
  return Object.values(value).every((member) => member === undefined || isPlain(member));
}

function isObject(value: unknown): boolean {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
