/**
 * The fault switches of one stand-in. A patch is validated against the schema and applied completely or not at all,
 * so that a test with a misspelt switch fails at once instead of passing without the fault.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { z } from 'zod';

/** A validation error in a patch: the name of the switch and the problem with it. */
export interface FaultPatchIssue {
	readonly name: string;
	readonly problem: string;
}

/** New values for any of the switches. */
export type FaultPatch<TFaults> = { readonly [Name in keyof TFaults]?: TFaults[Name] | undefined };

/** Holds the current values of the switches and applies patches to them. */
export class FaultSwitches<TFaults extends object> {
	private current: TFaults;

	constructor(
		private readonly patchSchema: z.ZodType<FaultPatch<TFaults>>,
		initial: TFaults,
	) {
		this.current = initial;
	}

	get(): TFaults {
		return this.current;
	}

	/** Applies a patch. Switches that are not in the patch keep their values. */
	apply(patch: unknown): Result<TFaults, readonly FaultPatchIssue[]> {
		const parsed = this.patchSchema.safeParse(patch);
		if (!parsed.success) {
			return err(
				parsed.error.issues.flatMap(issue =>
					issue.code === 'unrecognized_keys'
						? issue.keys.map(name => ({ name, problem: 'is not a fault switch of this stand-in' }))
						: [{ name: issue.path.join('.'), problem: issue.message }],
				),
			);
		}
		const named = Object.entries(parsed.data).filter(([, value]) => value !== undefined);
		this.current = { ...this.current, ...Object.fromEntries(named) };
		return ok(this.current);
	}
}
