/**
 * The settings of `anvilroad-standin`: one section for each stand-in that the process hosts.
 */

import { z } from 'zod';
import {
	createIntegerSchema,
	listenAddressSchema,
	originUrlSchema,
	yesOrNoSchema,
} from '../../core/settings/common/settingsTypes';

const mostBytesPerSecond = 10_000_000_000;
const mostMs = 3_600_000;

/** INI nests sections at dots, so a stand-in's name holds none. */
const standinName = z
	.string()
	.regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'a name of lower-case letters, digits and hyphens');

const decimal = z
	.string()
	.regex(/^\d+(\.\d+)?$/, 'a number such as 0.5')
	.transform(Number);

const platformSection = z.strictObject({
	listen: listenAddressSchema,
	/** Reads of configuration, instance list and directory that are answered in one second. */
	reads_per_second: createIntegerSchema(1, 1_000_000).default(2_000),
	/** Output of the weight store, shared by all loads. */
	weights_bytes_per_second: createIntegerSchema(1, mostBytesPerSecond).default(50_000_000),
	instances_lag_ms: createIntegerSchema(0, mostMs).default(1_000),
});

const engineSection = z.strictObject({
	listen: listenAddressSchema,
	/** Requests that run together. */
	slots: createIntegerSchema(1, 1_024).default(8),
	/** Requests that may wait for a slot; more are refused unrun. */
	max_waiting: createIntegerSchema(0, 100_000).default(1_000),
	/** Time between two tokens of a request that runs alone. */
	token_ms: decimal.default(10),
	/** What each further running request adds to that time. */
	token_ms_per_running: decimal.default(1),
	/** Time to read a thousand prompt tokens that the prefix cache does not hold. */
	prefill_ms_per_1000_tokens: decimal.default(100),
	/** Prompt tokens that the prefix cache holds. */
	cache_tokens: createIntegerSchema(0, 1_000_000_000).default(100_000),
	/** Whether an order with an older fencing number is refused. */
	fencing: yesOrNoSchema.default(true),
	/** What the engine serves when it starts. */
	model: z.string().min(1, 'the name of a model').optional(),
	version: z.string().min(1, 'the version of the model').optional(),
	/** Where weights are loaded from; without it a load takes `load_ms` alone. */
	weights_url: originUrlSchema.optional(),
	/** Bytes of weights that a change of model or version loads. */
	load_bytes: createIntegerSchema(1, 100_000_000_000).default(1_000_000),
	/** Time of a load beyond its transfer. */
	load_ms: createIntegerSchema(0, mostMs).default(100),
});

const plainSection = z.strictObject({
	listen: listenAddressSchema,
	/** Calls that run together; more wait in the order of their arrival. */
	slots: createIntegerSchema(1, 10_000).default(8),
	work_ms: createIntegerSchema(0, mostMs).default(5),
});

const linkSection = z.strictObject({
	listen: listenAddressSchema,
	to: listenAddressSchema,
	one_way_ms: decimal.default(0),
	/** Bandwidth of each direction, shared by all connections. */
	megabits_per_second: decimal.refine(value => value > 0, 'a number above 0').default(100),
});

export type PlatformSection = z.output<typeof platformSection>;
export type EngineSection = z.output<typeof engineSection>;
export type PlainSection = z.output<typeof plainSection>;
export type LinkSection = z.output<typeof linkSection>;

/** The admin port's name for the platform; no other stand-in may have it. */
export const platformName = 'platform';

const sectionsSchema = z.strictObject({
	admin: z.strictObject({ listen: listenAddressSchema }),
	platform: platformSection.optional(),
	engine: z.record(standinName, engineSection).default({}),
	plain: z.record(standinName, plainSection).default({}),
	link: z.record(standinName, linkSection).default({}),
});

/** All stand-ins of a process share one space of names, since the admin port addresses them by name. */
export const standinSettingsSchema = sectionsSchema.superRefine((settings, context) => {
	const taken = new Set([platformName]);
	for (const kind of ['engine', 'plain', 'link'] as const) {
		for (const name of Object.keys(settings[kind])) {
			if (taken.has(name)) {
				context.addIssue({
					code: 'custom',
					path: [kind, name],
					message: 'a name that no other stand-in of the file has',
				});
			}
			taken.add(name);
		}
	}
});

export type StandinSettings = z.output<typeof standinSettingsSchema>;
