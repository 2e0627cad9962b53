/**
 * Branded primitive types. A branded id is a plain string or number at run time and a distinct type for the compiler,
 * so that the id of a target cannot be passed to a function that expects the id of an instance.
 */

declare const brandKey: unique symbol;

/** A primitive type tagged with a name that exists only at compile time. */
export type Brand<TValue, TName extends string> = TValue & { readonly [brandKey]: TName };
