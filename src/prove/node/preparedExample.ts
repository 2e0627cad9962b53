/**
 * Prepares the example of a deployment for a campaign: tickets live shortly, and relays stand where the
 * example has none, before the platform in each region and before one target of each kind, so that those
 * connections can be cut and silenced too.
 */

import { cpSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { IDisposable } from '../../base/common/lifecycle';
import { ticketLifeMs } from '../common/callers/payer';
import { regionKeys } from '../common/calls';

/** One more relay. */
interface AddedLink {
	readonly name: string;
	readonly listenPort: number;
	readonly toPort: number;
}

/** Ports in the example's files; all of them are moved to free ones. */
const platformPort = 7010;
const firstAddedPort = 7501;

/**
 * The relays before targets, by target. None stands in kingston, where a request crashes engines: a relay
 * takes connections also for a dead target, so entries could not tell its death from a broken connection.
 */
export const targetLinks = [
	{ target: 'bookings-ocho-1', name: 'to-bookings-ocho-1', port: 7371 },
	{ target: 'round-assistant-montego-1', name: 'to-round-assistant-montego-1', port: 7251 },
] as const;

/** The relay between a region and the platform. */
export function getPlatformLink(region: string): string {
	return `${region}-to-platform`;
}

const links: readonly AddedLink[] = [
	...regionKeys.map(region => ({ name: getPlatformLink(region), toPort: platformPort })),
	...targetLinks.map(({ name, port }) => ({ name, toPort: port })),
].map((link, index) => ({ ...link, listenPort: firstAddedPort + index }));

/** The prepared files; disposing of them removes the folder. */
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
		return [text, ...links.map(link => formatLink(link))].join('\n');
	}
	return name === 'manifest.json' ? renderManifest(text) : text;
}

function renderEntry(name: string, text: string): string {
	const region = regionKeys.find(key => name.includes(key)) ?? '';
	const link = links.find(other => other.name === getPlatformLink(region));
	return text
		.replace('[tickets]\n', `[tickets]\nlifetime_ms = ${ticketLifeMs}\n`)
		.replace(formatAddress(platformPort), formatAddress(link?.listenPort ?? platformPort));
}

function renderManifest(text: string): string {
	return links
		.filter(link => link.toPort !== platformPort)
		.reduce((moved, link) => moved.replace(formatAddress(link.toPort), formatAddress(link.listenPort)), text);
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
