/**
 * The platform's list of instances, and the directory for clients that is derived from it.
 */

import { z } from 'zod';

/** The state of an instance in the platform's list. */
export enum InstanceState {
	Live = 'live',
	Leaving = 'leaving',
}

const entrySchema = z.strictObject({
	id: z.string().min(1),
	kind: z.literal('entry'),
	region: z.string().min(1),
	zone: z.string().min(1),
	callerUrl: z.url(),
	peerUrl: z.url(),
	state: z.enum(InstanceState),
});

const targetSchema = z.strictObject({
	/** The ID of the target in the manifest. */
	id: z.string().min(1),
	kind: z.literal('target'),
	boot: z.string().min(1).optional(),
	state: z.enum(InstanceState),
});

const instanceSchema = z.discriminatedUnion('kind', [entrySchema, targetSchema]);

export const instanceListSchema = z.strictObject({ instances: z.array(instanceSchema) });

export type InstanceList = z.output<typeof instanceListSchema>;

/** The address and location of an entry, as listed in the directory. */
export interface DirectoryEntry {
	readonly url: string;
	readonly region: string;
	readonly zone: string;
}

/** Lists the live entries with their region and zone. Targets and leaving entries are omitted. */
export function listDirectoryEntries(list: InstanceList): DirectoryEntry[] {
	return list.instances
		.filter(instance => instance.kind === 'entry')
		.filter(instance => instance.state === InstanceState.Live)
		.map(({ callerUrl, region, zone }) => ({ url: callerUrl, region, zone }));
}
