/**
 * The platform's list of instances, as it is published and as the directory for clients is made from it.
 */

import { z } from 'zod';

/** What the platform says of an instance. */
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
	/** As the manifest names it. */
	id: z.string().min(1),
	kind: z.literal('target'),
	boot: z.string().min(1).optional(),
	state: z.enum(InstanceState),
});

const instanceSchema = z.discriminatedUnion('kind', [entrySchema, targetSchema]);

export const instanceListSchema = z.strictObject({ instances: z.array(instanceSchema) });

export type InstanceList = z.output<typeof instanceListSchema>;

/** One entry as clients find it. */
export interface DirectoryEntry {
	readonly url: string;
	readonly region: string;
	readonly zone: string;
}

/** What clients see: the live entries and where they stand. */
export function listDirectoryEntries(list: InstanceList): DirectoryEntry[] {
	return list.instances
		.filter(instance => instance.kind === 'entry')
		.filter(instance => instance.state === InstanceState.Live)
		.map(({ callerUrl, region, zone }) => ({ url: callerUrl, region, zone }));
}
