/**
 * Branded primitives. A branded id is a plain string or number at run time and a type of its own for the
 * compiler, so that a target's id cannot be handed to a function that expects an instance's id.
 */

declare const brandKey: unique symbol;

/** A primitive that carries the name of its kind in its type only. */
export type Brand<TValue, TName extends string> = TValue & { readonly [brandKey]: TName };
