/**
 * The settings schema of `anvilroad-entry`. docs/SETTINGS.md documents every key.
 */

import { z } from 'zod';
import type { InstanceId, RegionName, ZoneName } from '../../ids/common/ids';
import {
	createNameSchema,
	createNumberSchema,
	createSecondsSchema,
	createShareSchema,
	createIntegerSchema,
	listenAddressSchema,
	originUrlSchema,
	yesOrNoSchema,
} from './settingsTypes';
import { tlsSettingsSchema } from './tlsSettings';
import { checkTransportSecurity } from './transportSecurity';

const bytesPerMebibyte = 1_048_576;
const minTicketKeyCharacters = 16;

const urlListSchema = z
	.string()
	.transform(text => text.split(',').map(part => part.trim()))
	.pipe(z.array(originUrlSchema));

export const platformProtocols = ['native', 'store'] as const;

export const logLevels = ['fatal', 'error', 'warn', 'info', 'debug', 'trace', 'silent'] as const;

const sectionsSchema = z.strictObject({
	instance: z.strictObject({
		id: createNameSchema<InstanceId>(),
		region: createNameSchema<RegionName>(),
		zone: createNameSchema<ZoneName>(),
	}),
	/** The port for callers. */
	callers: z.strictObject({
		listen: listenAddressSchema,
		/** The base URL that callers use, returned by lookups. */
		url: originUrlSchema,
	}),
	/** The port for other entries (peers). */
	peers: z.strictObject({
		listen: listenAddressSchema,
		url: originUrlSchema,
		/** Peers to contact before the instance list has been read; it may be unavailable at startup. */
		seeds: urlListSchema.default([]),
		/** Serves without TLS; must be set explicitly when there is no section `[tls]`. */
		plain: yesOrNoSchema.optional(),
	}),
	/** Maps a peer's advertised URL to the URL to connect to, for example behind network address translation. */
	peer_routes: z.record(originUrlSchema, originUrlSchema).default({}),
	operators: z.strictObject({ listen: listenAddressSchema, plain: yesOrNoSchema.optional() }),
	/** Certificates for the ports of peers and operators. */
	tls: tlsSettingsSchema.optional(),
	platform: z.strictObject({
		url: originUrlSchema,
		/** `native` for this project's own platform interface, `store` for a key-value store. */
		protocol: z.enum(platformProtocols, platformProtocols.join(', ')).default('native'),
		/** The maximum delay, in milliseconds, with which published changes arrive while the platform answers. */
		news_within_ms: createNumberSchema(200, 600_000).optional(),
	}),
	/** The port where callers look up which entries to use, with the `store` protocol. */
	directory: z.strictObject({ listen: listenAddressSchema }).optional(),
	/** The port of the platform's readiness probe. */
	readiness: z.strictObject({ listen: listenAddressSchema }).optional(),
	/** The region of each availability zone. */
	zones: z.record(z.string(), createNameSchema<RegionName>()).optional(),
	keys: z
		.strictObject({
			/** Milliseconds after which a withdrawn key must no longer work at any entry; no bound if unset. */
			withdrawn_within_ms: createNumberSchema(1_000, 600_000).optional(),
		})
		.prefault({}),
	targets: z
		.strictObject({
			/** Whether the slowness that targets report decides where requests go. */
			use_reported_slowness: yesOrNoSchema.default(false),
		})
		.prefault({}),
	leaving: z
		.strictObject({
			/** Seconds from SIGTERM until the platform kills the process; unset if it never does. */
			killed_after_s: createSecondsSchema(1, 600).optional(),
		})
		.prefault({}),
	/** The retry budget of a service, shared by all entries. The first send of a request is not a retry. */
	retries: z
		.strictObject({
			/** Retries allowed, as a share of the requests in a window. */
			ratio: createShareSchema(0, 1).default(0.2),
			/** Retries allowed on top of that share. Can be a fraction, since it scales with the deployment. */
			slack: createNumberSchema(0, 100_000).default(50),
			window_s: createSecondsSchema(1, 600).default(10),
		})
		.prefault({}),
	limits: z
		.strictObject({
			max_head_bytes: createIntegerSchema(1_024, bytesPerMebibyte).default(16_384),
			max_body_bytes: createIntegerSchema(1, 256 * bytesPerMebibyte).default(8 * bytesPerMebibyte),
			/** Memory that the process may use, in MiB; unset if it is not known. */
			memory_mb: createIntegerSchema(64, 1_048_576).optional(),
			/** Total bytes of the bodies of queued and running requests at this entry. By default a share of the memory. */
			max_held_bytes: createIntegerSchema(bytesPerMebibyte, 4_096 * bytesPerMebibyte).optional(),
		})
		.prefault({}),
	tickets: z
		.strictObject({
			/** Signs tickets; shared by all entries. */
			key: z.string().min(minTicketKeyCharacters, `at least ${minTicketKeyCharacters} characters`).optional(),
			/** The key before the last rotation: verifies tickets, but no longer signs them. */
			previous_key: z
				.string()
				.min(minTicketKeyCharacters, `at least ${minTicketKeyCharacters} characters`)
				.optional(),
			lifetime_ms: createIntegerSchema(1_000, 3_600_000).default(120_000),
		})
		.prefault({}),
	log: z.strictObject({ level: z.enum(logLevels, logLevels.join(', ')).default('info') }).prefault({}),
});

/** The settings of an entry, including the rules that span several sections. */
export const entrySettingsSchema = sectionsSchema
	.superRefine(checkTransportSecurity)
	.superRefine(checkProtocol);

export type EntrySettings = z.output<typeof entrySettingsSchema>;

type Sections = z.output<typeof sectionsSchema>;

/** The settings of an entry that uses the `store` protocol, with the sections that it requires. */
export type StoreEntrySettings = EntrySettings & {
	readonly [TSection in (typeof storeSections)[number]]: NonNullable<EntrySettings[TSection]>;
};

/** Sections that are required with the `store` protocol. */
const storeSections = ['directory', 'readiness', 'zones'] as const;

/** Whether the entry uses the `store` protocol. */
export function isStoreEntry(settings: EntrySettings): settings is StoreEntrySettings {
	return settings.platform.protocol === 'store';
}

/** Reports missing settings that only the selected platform protocol requires. */
function checkProtocol(settings: Sections, context: z.RefinementCtx): void {
	if (settings.platform.protocol === 'native') {
		if (settings.tickets.key === undefined) {
			const message = 'a key shared by all entries, required with the native protocol';
			context.addIssue({ code: 'custom', path: ['tickets', 'key'], message });
		}
		if (settings.keys.withdrawn_within_ms !== undefined) {
			// The native protocol does not tell at which time a manifest was current.
			const message = 'only with the store protocol';
			context.addIssue({ code: 'custom', path: ['keys', 'withdrawn_within_ms'], message });
		}
		return;
	}
	for (const section of storeSections) {
		if (settings[section] === undefined) {
			context.addIssue({ code: 'custom', path: [section], message: 'required with the store protocol' });
		}
	}
}

/** What the process needs beside the bodies that it holds, their copies included. */
const otherMebibytes = 200;
/** Fits a process that may use 350 MiB. */
const defaultHeldMebibytes = 128;
/** Some bodies of ordinary size, also where the memory is short. */
const minHeldMebibytes = 16;

/** Computes how many bytes of bodies the entry may hold. Beyond its memory the platform ends the process with all its requests. */
export function computeMaxHeldBytes(limits: EntrySettings['limits']): number {
	if (limits.max_held_bytes !== undefined) {
		return limits.max_held_bytes;
	}
	const held = limits.memory_mb === undefined ? defaultHeldMebibytes : limits.memory_mb - otherMebibytes;
	return Math.max(minHeldMebibytes, held) * bytesPerMebibyte;
}
