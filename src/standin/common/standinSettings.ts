/**
 * The settings of `anvilroad-standin`: one section for the admin port and one for each stand-in in the process.
 */

import { z } from 'zod';
import {
	createIntegerSchema,
	listenAddressSchema,
	originUrlSchema,
	yesOrNoSchema,
} from '../../core/settings/common/settingsTypes';

const maxBytesPerSecond = 10_000_000_000;
const maxDurationMs = 3_600_000;

/** The INI parser treats a dot in a section name as nesting, so names must not contain dots. */
const standinName = z
	.string()
	.regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'a name of lower-case letters, digits and hyphens');

const decimal = z
	.string()
	.regex(/^\d+(\.\d+)?$/, 'a number such as 0.5')
	.transform(Number);

const platformSection = z.strictObject({
	listen: listenAddressSchema,
	/** Maximum reads of manifest, instance list and directory per second. Further reads are refused. */
	reads_per_second: createIntegerSchema(1, 1_000_000).default(2_000),
	/** Bandwidth of the weight store, shared by all downloads. */
	weights_bytes_per_second: createIntegerSchema(1, maxBytesPerSecond).default(50_000_000),
	instances_lag_ms: createIntegerSchema(0, maxDurationMs).default(1_000),
});

const engineSection = z.strictObject({
	listen: listenAddressSchema,
	/** Maximum number of requests that run concurrently. */
	slots: createIntegerSchema(1, 1_024).default(8),
	/** Maximum number of requests that wait for a slot. Further requests are refused without running them. */
	max_waiting: createIntegerSchema(0, 100_000).default(1_000),
	/** Time between two tokens while a single request runs. */
	token_ms: decimal.default(10),
	/** Added to `token_ms` for each further running request. */
	token_ms_per_running: decimal.default(1),
	/** Time to process 1000 prompt tokens that are not in the prefix cache. */
	prefill_ms_per_1000_tokens: decimal.default(100),
	/** Capacity of the prefix cache in prompt tokens. 0 disables the cache. */
	cache_tokens: createIntegerSchema(0, 1_000_000_000).default(100_000),
	/** Whether orders with a lower fencing number than that of the last applied order are refused. */
	fencing: yesOrNoSchema.default(true),
	/** The model that the engine serves at start. */
	model: z.string().min(1, 'the name of a model').optional(),
	version: z.string().min(1, 'the version of the model').optional(),
	/** Origin of the weight store. Without it nothing is downloaded, and a load takes only `load_ms`. */
	weights_url: originUrlSchema.optional(),
	/** Size of the download for a change of model, version or adapters. */
	load_bytes: createIntegerSchema(1, 100_000_000_000).default(1_000_000),
	/** Duration of a load after its download. */
	load_ms: createIntegerSchema(0, maxDurationMs).default(100),
});

const plainSection = z.strictObject({
	listen: listenAddressSchema,
	/** Maximum number of calls that run concurrently. Further calls wait in order of arrival. */
	slots: createIntegerSchema(1, 10_000).default(8),
	work_ms: createIntegerSchema(0, maxDurationMs).default(5),
});

const linkSection = z.strictObject({
	listen: listenAddressSchema,
	to: listenAddressSchema,
	one_way_ms: decimal.default(0),
	/** Bandwidth in each direction, shared by all connections. */
	megabits_per_second: decimal.refine(value => value > 0, 'a number above 0').default(100),
});

export type PlatformSection = z.output<typeof platformSection>;
export type EngineSection = z.output<typeof engineSection>;
export type PlainSection = z.output<typeof plainSection>;
export type LinkSection = z.output<typeof linkSection>;

/** The name of the platform on the admin port. Other stand-ins cannot use it. */
export const platformName = 'platform';

const sectionsSchema = z.strictObject({
	admin: z.strictObject({ listen: listenAddressSchema }),
	platform: platformSection.optional(),
	engine: z.record(standinName, engineSection).default({}),
	plain: z.record(standinName, plainSection).default({}),
	link: z.record(standinName, linkSection).default({}),
});

/** Names must be unique across all kinds of stand-ins, since the admin port addresses stand-ins by name. */
export const standinSettingsSchema = sectionsSchema.superRefine((settings, context) => {
	const taken = new Set([platformName]);
	for (const kind of ['engine', 'plain', 'link'] as const) {
		for (const name of Object.keys(settings[kind])) {
			if (taken.has(name)) {
				context.addIssue({
					code: 'custom',
					path: [kind, name],
					message: 'a name that no other stand-in in the file uses',
				});
			}
			taken.add(name);
		}
	}
});

export type StandinSettings = z.output<typeof standinSettingsSchema>;
