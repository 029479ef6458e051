/**
 * Result values for operations that can fail in expected ways.
 *
 * `ts-results` 3.3.0 is a CommonJS package whose named exports are not visible to ES modules at run time on Node 20, so
 * this module imports its default export and re-exports the parts in use. No other module imports `ts-results`.
 */
import tsResults from "ts-results";
import type { Err as ErrOf, Ok as OkOf, Result as ResultOf } from "ts-results";

export const Ok = tsResults.Ok;
export const Err = tsResults.Err;
export type Ok<T> = OkOf<T>;
export type Err<E> = ErrOf<E>;
export type Result<T, E> = ResultOf<T, E>;
