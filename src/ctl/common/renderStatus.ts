/**
 * Renders the output of `anvilroadctl status`: the state of one entry, short enough for one screen by default.
 */

import type {
	EntryStatus,
	PeerStatus,
	ServiceStatus,
	TargetStatus,
} from '../../core/status/common/entryStatus';
import { formatBytes, formatShortDigest, formatDuration, formatForTerminal } from './formatting';
import type { Column } from './table';
import { renderTruncated } from './table';

/** Maximum rows of each table unless `--all` is given. */
export const defaultMaxRows = 15;

const serviceColumns: readonly Column<ServiceStatus>[] = [
	{ heading: 'SERVICE', render: row => row.service },
	{ heading: 'QUEUED', render: row => row.queued, isNumber: true },
	{ heading: 'RUNNING', render: row => row.running, isNumber: true },
	{ heading: 'WAIT', render: row => formatDuration(row.waitMs), isNumber: true },
];

const targetColumns: readonly Column<TargetStatus>[] = [
	{ heading: 'TARGET', render: row => row.id },
	{ heading: 'SERVICE', render: row => row.service },
	{ heading: 'ZONE', render: row => row.zone },
	{ heading: 'STATE', render: row => row.state },
	{ heading: 'RUNNING', render: row => row.running, isNumber: true },
	{ heading: 'LIMIT', render: row => row.limit, isNumber: true },
	{ heading: 'LAST SIGN', render: row => row.lastSign },
];

const peerColumns: readonly Column<PeerStatus>[] = [
	{ heading: 'PEER', render: row => row.instance },
	{ heading: 'REGION', render: row => row.region },
	{ heading: 'ZONE', render: row => row.zone },
	{ heading: 'STATE', render: row => row.state },
	{ heading: 'VIEW AGE', render: row => formatDuration(row.viewAgeMs), isNumber: true },
	{ heading: 'MANIFEST', render: row => row.manifestVersion ?? '-', isNumber: true },
];

/**
 * Sorts rows by how few rows share their state, rarest state first. In a fleet of hundreds, operators look for
 * the rows that differ from the rest, and truncating a table must not hide those rows.
 */
export function sortByRarity<TRow extends { readonly state: string }>(rows: readonly TRow[]): TRow[] {
	const counts = new Map<string, number>();
	for (const { state } of rows) {
		counts.set(state, (counts.get(state) ?? 0) + 1);
	}
	return [...rows].sort(
		(left, right) =>
			(counts.get(left.state) ?? 0) - (counts.get(right.state) ?? 0) || left.state.localeCompare(right.state),
	);
}

function renderReadiness(status: EntryStatus): string {
	const { isReady, reasons } = status.readiness;
	const leaving = status.isLeaving ? ', leaving' : '';
	return isReady ? `ready${leaving}` : `NOT READY${leaving}: ${formatForTerminal(reasons.join('; '))}`;
}

function renderManifest(status: EntryStatus): string {
	const { manifest, platform } = status;
	const platformRead =
		platform.lastReadAgeMs === null
			? 'platform not read yet'
			: `platform read ${formatDuration(platform.lastReadAgeMs)} ago`;
	if (manifest === null) {
		return `no manifest; ${platformRead}`;
	}
	const { version, digest, ageMs } = manifest;
	return `manifest ${version} (${formatShortDigest(digest)}), in force for ${formatDuration(ageMs)}; ${platformRead}`;
}

/** @param hasAllRows Whether tables show all rows instead of at most `defaultMaxRows`. */
export function renderStatus(status: EntryStatus, hasAllRows = false): string[] {
	const maxRows = hasAllRows ? Number.POSITIVE_INFINITY : defaultMaxRows;
	const { instance, region, zone, boot, version, uptimeMs } = status;
	const held = `${formatBytes(status.heldBytes)} of ${formatBytes(status.mostHeldBytes)}`;
	return [
		formatForTerminal(
			`${instance}  ${region}/${zone}  up ${formatDuration(uptimeMs)}  boot ${boot}  anvilroad ${version}`,
		),
		renderReadiness(status),
		renderManifest(status),
		`bodies held: ${held}; spent tickets remembered: ${status.ticketsOutstanding}`,
		...renderTruncated(serviceColumns, status.services, maxRows),
		...renderTruncated(targetColumns, sortByRarity(status.targets), maxRows),
		...renderTruncated(peerColumns, sortByRarity(status.peers), maxRows),
	];
}
