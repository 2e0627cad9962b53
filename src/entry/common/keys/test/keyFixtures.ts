/**
 * A manifest that requires keys, and requests with keys.
 */

import type { RegionName } from '../../../../core/ids/common/ids';
import type { Manifest } from '../../../../core/manifest/common/manifest';
import { checkManifest } from '../../../../core/manifest/common/manifest';
import { computeDigestOf } from '../../../node/keys/test/keyDigestFixtures';
import type { HeaderLine, RawHead } from '../../callers/callHead';
import { ManifestIndex } from '../../placement/manifestIndex';

export const kingston = 'kingston' as RegionName;
export const hotelKey = 'sk-hotel-Zq81';
export const officeKey = 'sk-office-77ab';

/** Creates a manifest with two organisations, an engine and a route. */
export function createKeyManifest(change: Record<string, unknown> = {}): Manifest {
	return checkManifest({
		regions: [
			{ name: 'kingston', zones: ['kingston-a'] },
			{ name: 'montego', zones: ['montego-a'] },
		],
		organisations: [
			{ name: 'callers', home: 'kingston' },
			{ name: 'harbour-hotel', home: 'kingston', keys: [computeDigestOf(hotelKey)] },
			{ name: 'bay-offices', home: 'kingston', keys: [computeDigestOf(officeKey)], priority: 0 },
		],
		requiresKeys: true,
		services: [{ name: 'rounds', kind: 'engine', residency: 'any', repeat: 'idempotent' }],
		routes: [createRoute('/plan/', {}), createRoute('/open/', { isPublic: true })],
		...change,
	})._unsafeUnwrap();
}

export function createKeyIndex(change: Record<string, unknown> = {}): ManifestIndex {
	return new ManifestIndex(createKeyManifest(change));
}

/** Creates a route of the host `rounds.example` with priority 1. */
export function createRoute(pathPrefix: string, change: Record<string, unknown>): Record<string, unknown> {
	return {
		name: pathPrefix.replaceAll('/', ''),
		host: 'rounds.example',
		pathPrefix,
		kind: 'stream',
		timeoutMs: 10_000,
		firstByteAimMs: 1_000,
		attempts: 2,
		isResumable: true,
		services: [{ service: 'rounds', weight: 1 }],
		...change,
	};
}

/** Creates a routed request with one line for each value of its Authorization header. */
export function createKeyedHead(
	path: string,
	values: readonly string[],
	more: readonly HeaderLine[] = [],
): RawHead {
	return {
		method: 'POST',
		url: path,
		lines: [
			{ name: 'host', value: 'rounds.example' },
			{ name: 'anvilroad-request-id', value: '9c41d07be2a35f68' },
			...values.map(value => ({ name: 'authorization', value })),
			...more,
		],
	};
}
