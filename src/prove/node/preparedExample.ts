/**
 * Prepares a copy of the example deployment for a campaign: organisations get keys, one of them a limit, tickets get a short lifetime, and relays are
 * added between each region and the platform and in front of one target of each service, so that these
 * connections can be cut and silenced too.
 */

import { createHash } from 'node:crypto';
import { cpSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { IDisposable } from '../../base/common/lifecycle';
import type { KeyDigest } from '../../core/ids/common/ids';
import { regions } from '../../demo/common/exampleNames';
import { ticketLifetimeMs } from '../common/callers/paymentCaller';
import { regionKeys } from '../common/calls';
import { getOrganisationKey, guest, overloading } from '../common/campaignKeys';

/** A relay that is added to the example. */
interface AddedLink {
	readonly name: string;
	readonly listenPort: number;
	readonly toPort: number;
}

/** Ports in the example's files, all of which are replaced by free ports. */
const platformPort = 7010;
const firstAddedPort = 7501;

/**
 * The relays in front of targets. There is none in kingston, where a request crashes inference engines: a
 * relay accepts connections also for a crashed target, so entries could not distinguish a crash from a broken
 * connection.
 */
export const targetLinks = [
	{ target: 'bookings-ocho-1', name: 'to-bookings-ocho-1', port: 7371 },
	{ target: 'round-assistant-montego-1', name: 'to-round-assistant-montego-1', port: 7251 },
] as const;

/** Name of the relay between a region and the platform. */
export function getPlatformLink(region: string): string {
	return `${region}-to-platform`;
}

const addedLinks: readonly AddedLink[] = [
	...regionKeys.map(region => ({ name: getPlatformLink(region), toPort: platformPort })),
	...targetLinks.map(({ name, port }) => ({ name, toPort: port })),
].map((link, index) => ({ ...link, listenPort: firstAddedPort + index }));

/** The prepared files in a temporary folder, which `dispose` removes. */
export class PreparedExample implements IDisposable {
	readonly folder = mkdtempSync(join(tmpdir(), 'anvilroad-prove-'));

	constructor(exampleFolder: string) {
		cpSync(exampleFolder, this.folder, { recursive: true });
		for (const name of readdirSync(this.folder)) {
			this.writePrepared(name);
		}
	}

	dispose(): void {
		rmSync(this.folder, { recursive: true, force: true });
	}

	private writePrepared(name: string): void {
		const path = join(this.folder, name);
		writeFileSync(path, renderText(name, readFileSync(path, 'utf8')));
	}
}

function renderText(name: string, text: string): string {
	if (name.startsWith('entry-')) {
		return renderEntry(name, text);
	}
	if (name === 'standin-platform.ini') {
		return [text, ...addedLinks.map(link => formatLink(link))].join('\n');
	}
	return name === 'manifest.json' ? renderManifest(text) : text;
}

function renderEntry(name: string, text: string): string {
	const region = regionKeys.find(key => name.includes(key)) ?? '';
	const link = addedLinks.find(candidate => candidate.name === getPlatformLink(region));
	return text
		.replace('[tickets]\n', `[tickets]\nlifetime_ms = ${ticketLifetimeMs}\n`)
		.replace(formatAddress(platformPort), formatAddress(link?.listenPort ?? platformPort));
}

function renderManifest(text: string): string {
	const linked = addedLinks
		.filter(link => link.toPort !== platformPort)
		.reduce(
			(edited, link) => edited.replace(formatAddress(link.toPort), formatAddress(link.listenPort)),
			text,
		);
	return JSON.stringify(withKeys(JSON.parse(linked) as ExampleManifest), undefined, '\t');
}

interface ExampleManifest {
	readonly organisations: readonly {
		readonly name: string;
		readonly keys?: readonly KeyDigest[];
		readonly limit?: unknown;
		readonly home?: string;
	}[];
}

/** Returns the manifest with keys of all organisations, and with the organisations that a campaign adds. */
function withKeys(manifest: ExampleManifest): unknown {
	const added: ExampleManifest['organisations'] = [
		{
			name: guest.organisation,
			home: regions.kingston,
			keys: [computeKeyDigest(guest.withdrawnKey)],
		},
		{ name: overloading.organisation, home: regions.kingston, limit: overloading.limit },
	];
	const organisations = [...manifest.organisations, ...added].map(organisation => ({
		...organisation,
		keys: [computeKeyDigest(getOrganisationKey(organisation.name)), ...(organisation.keys ?? [])],
	}));
	return { ...manifest, organisations, requiresKeys: true };
}

/** Computes the digest under which a manifest has a key. */
export function computeKeyDigest(key: string): KeyDigest {
	return createHash('sha256').update(key).digest('hex') as KeyDigest;
}

function formatLink({ name, listenPort, toPort }: AddedLink): string {
	return [
		`[link.${name}]`,
		`listen = ${formatAddress(listenPort)}`,
		`to = ${formatAddress(toPort)}`,
		'one_way_ms = 1',
		'megabits_per_second = 1000',
		'',
	].join('\n');
}

function formatAddress(port: number): string {
	return `127.0.0.1:${port}`;
}
