/**
 * The platform's list of live and leaving instances. It lags: an instance that is gone may still stand in
 * it as live, and a new one may be missing.
 */

import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { z } from 'zod';
import type { InstanceId, RegionName, ZoneName } from '../../ids/common/ids';

/** What the platform believes of an instance. */
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

const instanceListSchema = z.object({ instances: z.array(listedInstanceSchema) });

export type ListedInstance = z.output<typeof listedInstanceSchema>;
export type InstanceList = z.output<typeof instanceListSchema>;

/** Parses the list, or says in words what is wrong with it. */
export function parseInstanceList(text: string): Result<InstanceList, string> {
	try {
		const parsed = instanceListSchema.safeParse(JSON.parse(text));
		return parsed.success
			? ok(parsed.data)
			: err(`the instance list is malformed: ${z.prettifyError(parsed.error)}`);
	} catch {
		return err('the instance list is not JSON');
	}
}
