/**
 * Renders the output of `anvilroadctl organisations`: the limits, keys and homes of organisations at one entry. Those of
 * which least is admitted come first.
 */

import type { OrganisationsAnswer, OrganisationStatus } from '../../core/status/common/organisationsStatus';
import { formatCount, formatDuration, formatForTerminal } from './formatting';
import type { Column } from './table';
import { renderTruncated } from './table';

const columns: readonly Column<OrganisationStatus>[] = [
	{ heading: 'ORGANISATION', render: row => row.organisation },
	{ heading: 'KEYS', render: row => row.keys, isNumber: true },
	{ heading: 'LIMIT', render: renderLimit },
	{ heading: 'OWN DEMAND', render: row => renderRate(row.use?.ownDemand), isNumber: true },
	{ heading: 'FLEET DEMAND', render: row => renderRate(row.use?.fleetDemand), isNumber: true },
	{ heading: 'ADMITTED', render: row => row.use?.fraction.toFixed(3) ?? '-', isNumber: true },
	{ heading: 'ANSWER AGE', render: row => formatDuration(row.use?.answerAgeMs ?? null), isNumber: true },
	{ heading: 'PRIORITY', render: row => row.priority ?? '-', isNumber: true },
	{ heading: 'HOMES', render: row => (row.homes.length === 0 ? 'all' : row.homes.join(' ')) },
];

function renderLimit({ limit }: OrganisationStatus): string {
	return limit === null ? '-' : `${limit.perSecond} ${limit.unit}/s, burst ${limit.burst}`;
}

function renderRate(rate: number | null | undefined): string {
	return rate === null || rate === undefined ? '-' : `${rate.toFixed(1)}/s`;
}

function renderKeys({ requiresKeys, organisations }: OrganisationsAnswer): string {
	const count = organisations.reduce((sum, { keys }) => sum + keys, 0);
	const required = requiresKeys ? 'keys required' : 'keys not required';
	return count === 0 ? `${required}; no organisation has keys` : `${required}; ${formatCount(count, 'key')}`;
}

function renderLimits({ organisations }: OrganisationsAnswer): string {
	const count = organisations.filter(({ limit }) => limit !== null).length;
	return count === 0 ? 'no organisation has a limit' : formatCount(count, 'limit');
}

function renderKnowledge({ keyKnowledge }: OrganisationsAnswer): string {
	if (keyKnowledge === null) {
		return 'no bound for withdrawn keys';
	}
	const { ageMs, maxAgeMs } = keyKnowledge;
	const bound = `accepted up to an age of ${formatDuration(maxAgeMs)}`;
	if (ageMs === null) {
		return `KEYS UNCONFIRMED: the store has not answered yet, ${bound}`;
	}
	const confirmed = `confirmed ${formatDuration(ageMs)} ago, ${bound}`;
	return ageMs > maxAgeMs ? `KEYS UNCONFIRMED: last ${confirmed}` : `keys ${confirmed}`;
}

function compareByUse(left: OrganisationStatus, right: OrganisationStatus): number {
	return (
		(left.use?.fraction ?? 1) - (right.use?.fraction ?? 1) ||
		(right.use?.ownDemand ?? 0) - (left.use?.ownDemand ?? 0) ||
		left.organisation.localeCompare(right.organisation)
	);
}

export function renderOrganisations(answer: OrganisationsAnswer, maxRows: number): string[] {
	const { instance, manifestVersion, organisations } = answer;
	if (manifestVersion === null) {
		return [formatForTerminal(`${instance}  no manifest`), renderKnowledge(answer)];
	}
	return [
		formatForTerminal(
			`${instance}  manifest ${manifestVersion}  ${formatCount(organisations.length, 'organisation')}`,
		),
		`${renderKeys(answer)}; ${renderLimits(answer)}`,
		renderKnowledge(answer),
		...renderTruncated(columns, [...organisations].sort(compareByUse), maxRows),
	];
}
