/**
 * Determines which ports of an entry use TLS and reports contradictory settings. An operator would not notice a
 * port that is unencrypted by mistake, but anyone on the network could read its traffic. A port is therefore only
 * unencrypted if the settings say so, and contradictions are errors instead of being resolved either way.
 */

import type { z } from 'zod';
import type { TlsSettings } from './tlsSettings';

/** The settings that determine whether ports use TLS. */
export interface TransportSettings {
	readonly tls?: TlsSettings | undefined;
	readonly peers: {
		readonly url: string;
		readonly seeds: readonly string[];
		readonly plain?: boolean | undefined;
	};
	readonly operators: { readonly plain?: boolean | undefined };
}

/** Sections whose ports can use TLS. */
export type TlsCapableSection = 'peers' | 'operators';

const tlsCapableSections: readonly TlsCapableSection[] = ['peers', 'operators'];

/** Whether the port of a section uses TLS. */
export function isTlsEnabled(settings: TransportSettings, section: TlsCapableSection): boolean {
	return settings.tls !== undefined && settings[section].plain !== true;
}

/** Reports each contradiction as a validation issue. */
export function checkTransportSecurity(settings: TransportSettings, context: z.RefinementCtx): void {
	for (const section of tlsCapableSections) {
		if (settings.tls === undefined && settings[section].plain !== true) {
			addIssue(context, [section, 'plain'], 'yes, or a section [tls] with certificates');
		}
	}
	const scheme = isTlsEnabled(settings, 'peers') ? 'https:' : 'http:';
	const allowed = `a URL that begins with ${scheme}//, as ${describePeerTransport(settings)}`;
	if (!settings.peers.url.startsWith(scheme)) {
		addIssue(context, ['peers', 'url'], allowed);
	}
	if (settings.peers.seeds.some(seed => !seed.startsWith(scheme))) {
		addIssue(context, ['peers', 'seeds'], allowed);
	}
}

function describePeerTransport(settings: TransportSettings): string {
	if (isTlsEnabled(settings, 'peers')) {
		return 'there is a section [tls] and [peers] is not plain';
	}
	return settings.tls === undefined ? 'there is no section [tls]' : '[peers] is plain';
}

function addIssue(context: z.RefinementCtx, path: string[], message: string): void {
	context.addIssue({ code: 'custom', path, message });
}
