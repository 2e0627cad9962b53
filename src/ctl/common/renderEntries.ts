/**
 * Renders the output of `anvilroadctl entries`: one line for each gateway instance of the fleet, from the status
 * of the queried entries.
 */

import type { EntryStatus } from '../../core/status/common/entryStatus';
import { formatShortDigest, formatDuration } from './formatting';
import type { Column } from './table';
import { renderTable } from './table';

interface EntryRow {
	readonly instance: string;
	readonly region: string;
	readonly zone: string;
	readonly state: string;
	readonly manifestVersion: number | null;
	readonly digest: string;
	readonly queued: string;
	readonly running: string;
	readonly seen: string;
}

const columns: readonly Column<EntryRow>[] = [
	{ heading: 'INSTANCE', render: row => row.instance },
	{ heading: 'REGION', render: row => row.region },
	{ heading: 'ZONE', render: row => row.zone },
	{ heading: 'STATE', render: row => row.state },
	{ heading: 'MANIFEST', render: row => row.manifestVersion ?? '-', isNumber: true },
	{ heading: 'DIGEST', render: row => row.digest },
	{ heading: 'QUEUED', render: row => row.queued, isNumber: true },
	{ heading: 'RUNNING', render: row => row.running, isNumber: true },
	{ heading: 'SEEN', render: row => row.seen },
];

function sumServices(status: EntryStatus, key: 'queued' | 'running'): string {
	return String(status.services.reduce((sum, service) => sum + service[key], 0));
}

function describeState(status: EntryStatus): string {
	if (status.isLeaving) {
		return 'leaving';
	}
	return status.readiness.isReady ? 'ready' : 'not ready';
}

function createQueriedRow(status: EntryStatus): EntryRow {
	return {
		instance: status.instance,
		region: status.region,
		zone: status.zone,
		state: describeState(status),
		manifestVersion: status.manifest?.version ?? null,
		digest: formatShortDigest(status.manifest?.digest ?? '-'),
		queued: sumServices(status, 'queued'),
		running: sumServices(status, 'running'),
		seen: 'asked',
	};
}

/** Lists the entries that were not queried, each with the newest view that a queried entry holds of that peer. */
function listPeerRows(statuses: readonly EntryStatus[]): EntryRow[] {
	const queried = new Set(statuses.map(status => status.instance));
	const newest = new Map<string, { row: EntryRow; ageMs: number }>();
	for (const { instance: reporter, peers } of statuses) {
		for (const peer of peers) {
			const ageMs = peer.viewAgeMs ?? Number.POSITIVE_INFINITY;
			if (
				queried.has(peer.instance) ||
				ageMs > (newest.get(peer.instance)?.ageMs ?? Number.POSITIVE_INFINITY)
			) {
				continue;
			}
			const seen = `by ${reporter}, ${formatDuration(peer.viewAgeMs)} ago`;
			newest.set(peer.instance, { row: { ...peer, digest: '-', queued: '-', running: '-', seen }, ageMs });
		}
	}
	return [...newest.values()].map(({ row }) => row);
}

/**
 * Describes manifest differences between entries. Different versions are normal for a short time after a
 * publication. Two documents with the same version never converge, so a higher version must be published.
 */
export function findManifestDifferences(statuses: readonly EntryStatus[]): string[] {
	const digestsByVersion = new Map<number, Set<string>>();
	for (const { manifest } of statuses) {
		if (manifest !== null) {
			const digests = digestsByVersion.get(manifest.version) ?? new Set();
			digestsByVersion.set(manifest.version, digests.add(manifest.digest));
		}
	}
	const versions = [...digestsByVersion.keys()].sort((left, right) => left - right);
	const conflicts = versions.filter(version => (digestsByVersion.get(version)?.size ?? 0) > 1);
	return [
		...(versions.length > 1 ? [`entries are on different manifests: ${versions.join(', ')}`] : []),
		...conflicts.map(version => `manifest ${version} has two different documents; publish a higher version`),
	];
}

export function renderEntries(statuses: readonly EntryStatus[]): string[] {
	const rows = [...statuses.map(createQueriedRow), ...listPeerRows(statuses)].sort(
		(left, right) =>
			left.region.localeCompare(right.region) ||
			left.zone.localeCompare(right.zone) ||
			left.instance.localeCompare(right.instance),
	);
	return [...renderTable(columns, rows), ...findManifestDifferences(statuses)];
}
