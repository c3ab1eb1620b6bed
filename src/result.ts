/**
 * Outcome values. `ts-results` ships CommonJS without named ESM exports, so this is the one place that
 * unpacks it, whether Node or a bundler has loaded it; the rest of the code imports from here.
 */
import * as namespace from 'ts-results';
import type { Err as ErrType, Ok as OkType } from 'ts-results';

/** Node gives a CommonJS module as the default export, a bundler its names. */
const tsResults = ('default' in namespace ? namespace.default : namespace) as typeof namespace;

/** Makes a successful outcome. */
export const Ok = tsResults.Ok;
/** Makes a failed outcome. */
export const Err = tsResults.Err;
/** Either a value of type `T` or an error of type `E`; never thrown. */
export type Result<T, E> = OkType<T> | ErrType<E>;
