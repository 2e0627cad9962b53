/**
 * The platform's list of live and leaving instances, that is entries and targets. The list lags: an instance that has
 * stopped may still be listed as live, and a new one may be missing.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { z } from 'zod';
import type { BootId, InstanceId, RegionName, TargetId, ZoneName } from '../../ids/common/ids';

/** State of an instance in the list. */
export enum ListedState {
	Live = 'live',
	Leaving = 'leaving',
}

const listedInstanceSchema = z.object({
	id: z.string().transform(value => value as InstanceId),
	kind: z.literal('entry'),
	region: z.string().transform(value => value as RegionName),
	zone: z.string().transform(value => value as ZoneName),
	callerUrl: z.url(),
	peerUrl: z.url(),
	state: z.enum(ListedState),
});

const listedTargetSchema = z.object({
	/** The id of the target in the manifest. */
	id: z.string().transform(value => value as TargetId),
	kind: z.literal('target'),
	/** Identifies the start of the target's process, if the platform provides it. */
	boot: z
		.string()
		.transform(value => value as BootId)
		.optional(),
	state: z.enum(ListedState),
});

const rowSchema = z.discriminatedUnion('kind', [listedInstanceSchema, listedTargetSchema]);

const instanceListSchema = z.object({ instances: z.array(rowSchema) });

export type ListedInstance = z.output<typeof listedInstanceSchema>;
export type ListedTargetRow = z.output<typeof listedTargetSchema>;

/** The list, separated by the kind of instance. */
export interface InstanceList {
	/** Entries. */
	readonly instances: readonly ListedInstance[];
	/** Targets that the platform lists. */
	readonly targets: readonly ListedTargetRow[];
}

/** Parses the list, or returns an error message. */
export function parseInstanceList(text: string): Result<InstanceList, string> {
	try {
		const parsed = instanceListSchema.safeParse(JSON.parse(text));
		return parsed.success
			? ok(splitRows(parsed.data.instances))
			: err(`the instance list is malformed: ${z.prettifyError(parsed.error)}`);
	} catch {
		return err('the instance list is not JSON');
	}
}

function splitRows(rows: readonly z.output<typeof rowSchema>[]): InstanceList {
	return {
		instances: rows.filter(row => row.kind === 'entry'),
		targets: rows.filter(row => row.kind === 'target'),
	};
}
