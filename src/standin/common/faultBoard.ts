/**
 * The fault switches of one stand-in. A patch is checked against the switches' schema and merged whole or
 * not at all, so that a test with a misspelt switch fails at once instead of proving nothing.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { z } from 'zod';

/** One fault of a patch: the switch and what is wrong with it. */
export interface SwitchFault {
	readonly name: string;
	readonly problem: string;
}

/** What a patch may hold: any of the switches. */
export type FaultPatch<TFaults> = { readonly [Name in keyof TFaults]?: TFaults[Name] | undefined };

/** Holds the present switches and takes patches to them. */
export class FaultBoard<TFaults extends object> {
	private present: TFaults;

	constructor(
		private readonly patchSchema: z.ZodType<FaultPatch<TFaults>>,
		initial: TFaults,
	) {
		this.present = initial;
	}

	get(): TFaults {
		return this.present;
	}

	/** Merges a patch; switches that it does not name stay as they are. */
	apply(patch: unknown): Result<TFaults, readonly SwitchFault[]> {
		const parsed = this.patchSchema.safeParse(patch);
		if (!parsed.success) {
			return err(
				parsed.error.issues.flatMap(issue =>
					issue.code === 'unrecognized_keys'
						? issue.keys.map(name => ({ name, problem: 'is no switch of this stand-in' }))
						: [{ name: issue.path.join('.'), problem: issue.message }],
				),
			);
		}
		const named = Object.entries(parsed.data).filter(([, value]) => value !== undefined);
		this.present = { ...this.present, ...Object.fromEntries(named) };
		return ok(this.present);
	}
}
