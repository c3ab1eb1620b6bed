/**
 * Serializes messages and records as text. Plain data is written as JSON, which takes a twentieth of the time of
 * `devalue` (https://github.com/sveltejs/devalue); `devalue` writes values that JSON cannot represent, such as typed
 * arrays. The first character of a text identifies the format.
 */
import { parse, stringify } from 'devalue';

/** First character of a JSON object; `devalue` writes lists or numbers. */
const OBJECT_START = '{';

/** Serializes a value. */
export function writeText(value: unknown): string {
  return isObject(value) && isPlain(value) ? JSON.stringify(value) : stringify(value);
}

/** Whether a text written by `writeText` is JSON. */
export function isJsonText(text: string): boolean {
  return text.startsWith(OBJECT_START);
}

/** Parses a text written by `writeText`; throws if it is in neither format. */
export function readText(text: string): unknown {
  return isJsonText(text) ? (JSON.parse(text) as unknown) : parse(text);
}

/** Whether JSON preserves the value; undefined members of objects are omitted. */
export function isPlain(value: unknown): boolean {
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
