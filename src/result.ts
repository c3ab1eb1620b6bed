/**
 * Result values. `ts-results` ships CommonJS without named ESM exports; this module unwraps it, whether loaded by Node
 * or by a bundler, and all other code imports from here.
 */
import * as namespace from 'ts-results';
import type { Err as ErrType, Ok as OkType } from 'ts-results';

/** Node provides a CommonJS module as the default export, a bundler as named exports. */
const tsResults = ('default' in namespace ? namespace.default : namespace) as typeof namespace;

/** Creates a successful result. */
export const Ok = tsResults.Ok;
/** Creates a failed result. */
export const Err = tsResults.Err;
/** Either a value of type `T` or an error of type `E`; errors are returned, not thrown. */
export type Result<T, E> = OkType<T> | ErrType<E>;
