/**
 * The settings of `anvilroad-entry`. docs/SETTINGS.md tells every key to operators.
 */

import { z } from 'zod';
import type { InstanceId, RegionName, ZoneName } from '../../ids/common/ids';
import {
	createName,
	createNumber,
	createSeconds,
	createShare,
	createWholeNumber,
	listenAddress,
	originUrl,
	yesOrNo,
} from './settingsTypes';
import { tlsSettingsSchema } from './tlsSettings';
import { checkTransport } from './transportRules';

const mebibyte = 1_048_576;
const smallestTicketKey = 16;

const urlList = z
	.string()
	.transform(text => text.split(',').map(part => part.trim()))
	.pipe(z.array(originUrl));

export const platformProtocols = ['native', 'store'] as const;

export const logLevels = ['fatal', 'error', 'warn', 'info', 'debug', 'trace', 'silent'] as const;

const sectionsSchema = z.strictObject({
	instance: z.strictObject({
		id: createName<InstanceId>(),
		region: createName<RegionName>(),
		zone: createName<ZoneName>(),
	}),
	/** Where callers reach this entry. */
	callers: z.strictObject({
		listen: listenAddress,
		/** As callers write it; what lookups name. */
		url: originUrl,
	}),
	/** Where other entries reach this one. */
	peers: z.strictObject({
		listen: listenAddress,
		url: originUrl,
		/** Peers to ask before the instance list is known; it may be away when this entry starts. */
		seeds: urlList.default([]),
		/** Without certificates; must be said where there is no section `[tls]`. */
		plain: yesOrNo.optional(),
	}),
	/** Peers whose advertised URL is reached by another one, as through an address translation. */
	peer_routes: z.record(originUrl, originUrl).default({}),
	operators: z.strictObject({ listen: listenAddress, plain: yesOrNo.optional() }),
	/** Certificates for peers and operators. */
	tls: tlsSettingsSchema.optional(),
	platform: z.strictObject({
		url: originUrl,
		/** What the platform speaks: the product's own interface, or a key-value store. */
		protocol: z.enum(platformProtocols, platformProtocols.join(', ')).default('native'),
		/** By how much what the platform publishes may be late once it answers. */
		news_within_ms: createNumber(200, 600_000).optional(),
	}),
	/** Where callers ask which entries to use, on a platform with a store. */
	directory: z.strictObject({ listen: listenAddress }).optional(),
	/** Where the platform asks whether this entry takes requests. */
	readiness: z.strictObject({ listen: listenAddress }).optional(),
	/** The region of each availability zone. */
	zones: z.record(z.string(), createName<RegionName>()).optional(),
	leaving: z
		.strictObject({
			/** How long after SIGTERM the platform ends the process by force; never where left out. */
			killed_after_s: createSeconds(1, 600).optional(),
		})
		.prefault({}),
	/** Sends beyond the first of each request that all entries together may make to a service. */
	retries: z
		.strictObject({
			/** As a share of the requests of a window. */
			ratio: createShare(0, 1).default(0.2),
			/** Beyond that share; a deployment that is scaled down has a fraction. */
			slack: createNumber(0, 100_000).default(50),
			window_s: createSeconds(1, 600).default(10),
		})
		.prefault({}),
	limits: z
		.strictObject({
			max_head_bytes: createWholeNumber(1_024, mebibyte).default(16_384),
			max_body_bytes: createWholeNumber(1, 256 * mebibyte).default(8 * mebibyte),
			/** Bytes of all request bodies that wait or run at this entry. */
			max_held_bytes: createWholeNumber(mebibyte, 4_096 * mebibyte).default(256 * mebibyte),
		})
		.prefault({}),
	tickets: z
		.strictObject({
			/** Shared by all entries; signs tickets. */
			key: z.string().min(smallestTicketKey, `at least ${smallestTicketKey} characters`).optional(),
			/** The key before the last rotation: still accepted, no longer used to sign. */
			previous_key: z.string().min(smallestTicketKey, `at least ${smallestTicketKey} characters`).optional(),
			lifetime_ms: createWholeNumber(1_000, 3_600_000).default(120_000),
		})
		.prefault({}),
	log: z.strictObject({ level: z.enum(logLevels, logLevels.join(', ')).default('info') }).prefault({}),
});

/** The settings of an entry, contradictions included. */
export const entrySettingsSchema = sectionsSchema.superRefine(checkTransport).superRefine(checkProtocol);

export type EntrySettings = z.output<typeof entrySettingsSchema>;

type Sections = z.output<typeof sectionsSchema>;

/** The settings of an entry on a platform with a store, where some sections must stand. */
export type StoreEntrySettings = EntrySettings & {
	readonly [TSection in (typeof storeSections)[number]]: NonNullable<EntrySettings[TSection]>;
};

/** Sections that only a platform with a store needs. */
const storeSections = ['directory', 'readiness', 'zones'] as const;

/** Whether the settings are of an entry on a platform with a store. */
export function isStoreEntry(settings: EntrySettings): settings is StoreEntrySettings {
	return settings.platform.protocol === 'store';
}

/** Each protocol needs some settings that the other does without. */
function checkProtocol(settings: Sections, context: z.RefinementCtx): void {
	if (settings.platform.protocol === 'native') {
		if (settings.tickets.key === undefined) {
			const message = 'a key that all entries share, of a platform that speaks the native protocol';
			context.addIssue({ code: 'custom', path: ['tickets', 'key'], message });
		}
		return;
	}
	for (const section of storeSections) {
		if (settings[section] === undefined) {
			context.addIssue({ code: 'custom', path: [section], message: 'needed on a platform with a store' });
		}
	}
}
