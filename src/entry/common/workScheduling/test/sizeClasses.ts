/**
 * Sums up a simulated fleet by the size of prompts: how many requests of each size class were served, and what became of
 * the others.
 */

import { renderTable } from '../../../../base/common/textTable';
import type { CallerResult } from './fleetCallers';
import { CallerEnd } from './fleetCallers';

/** Bounds of a size class, as shares of the callers sorted by prompt size. */
interface SizeClass {
	readonly name: string;
	readonly from: number;
	readonly to: number;
}

/** The two classes whose service the rules compare with that of the whole kind. */
const largestTenth: SizeClass = { name: 'largest tenth', from: 0.9, to: 1 };
const fifthBelow: SizeClass = { name: 'fifth below the largest tenth', from: 0.7, to: 0.9 };
const comparedClasses = [fifthBelow, largestTenth];

const reportedClasses: readonly SizeClass[] = [
	{ name: 'all', from: 0, to: 1 },
	{ name: 'smallest third', from: 0, to: 0.35 },
	{ name: 'next third', from: 0.35, to: 0.7 },
	...comparedClasses,
];

/** Smallest allowed share of a compared class that is served, relative to the share of the whole kind. */
const minRelativeService = 0.5;

/** Describes the size classes of a kind that are served less than half as often as the whole kind. */
export function listUnderservedClasses(results: readonly CallerResult[], kind: string): string[] {
	const sorted = sortBySize(results, kind);
	const served = computeShare(sorted, isServed);
	return comparedClasses
		.map(sizeClass => ({ sizeClass, share: computeShare(pickClass(sorted, sizeClass), isServed) }))
		.filter(({ share }) => share < minRelativeService * served)
		.map(
			({ sizeClass, share }) =>
				`${sizeClass.name} of ${kind}: ${share.toFixed(2)} served, of all ${served.toFixed(2)}`,
		);
}

/** Formats what became of the requests of a kind, by size class; counts are means for each caller. */
export function formatSizeClasses(results: readonly CallerResult[], kind: string): string {
	const sorted = sortBySize(results, kind);
	const columns = Object.entries(columnsByName);
	const rows = reportedClasses.map(sizeClass => {
		const members = pickClass(sorted, sizeClass);
		return [sizeClass.name, String(members.length), ...columns.map(([, format]) => format(members))];
	});
	const table = renderTable(['size', 'callers', ...columns.map(([name]) => name)], rows);
	const refusals = formatRefusals(sorted);
	return `${kind}\n${table}\nrefused: ${refusals}`;
}

type FormatColumn = (members: readonly CallerResult[]) => string;

const columnsByName: Readonly<Record<string, FormatColumn>> = {
	'largest prompt': members => String(members.at(-1)?.promptTokens ?? 0),
	served: createShareColumn(isServed),
	'served late': createShareColumn(result => isServed(result) && result.isFirstByteLate),
	refused: createShareColumn(({ end }) => end === CallerEnd.Refused),
	left: createShareColumn(({ end }) => end === CallerEnd.Left),
	deadline: createShareColumn(({ end }) => end === CallerEnd.DeadlinePassed),
	failed: createShareColumn(({ end }) => end === CallerEnd.Failed),
	silent: createShareColumn(({ silences }) => silences > 0),
	starts: createMeanColumn(({ starts }) => starts, 2),
	preempted: createMeanColumn(({ work }) => work.preemptions, 2),
	'wait at engine (ms)': createMeanColumn(({ work }) => work.waitMs, 0),
	'tokens read': createMeanColumn(({ work }) => work.readTokens, 0),
	'read again': createMeanColumn(({ work }) => work.readAgainTokens, 0),
};

function createShareColumn(isCounted: (result: CallerResult) => boolean): FormatColumn {
	return members => computeShare(members, isCounted).toFixed(2);
}

function createMeanColumn(measure: (result: CallerResult) => number, digits: number): FormatColumn {
	return members => {
		const sum = members.reduce((total, result) => total + measure(result), 0);
		return (sum / Math.max(1, members.length)).toFixed(digits);
	};
}

function formatRefusals(members: readonly CallerResult[]): string {
	const counts = new Map<string, number>();
	for (const { end, refusal } of members) {
		if (end === CallerEnd.Refused && refusal !== undefined) {
			counts.set(refusal, (counts.get(refusal) ?? 0) + 1);
		}
	}
	return [...counts].map(([refusal, count]) => `${count} ${refusal}`).join('; ') || 'none';
}

function sortBySize(results: readonly CallerResult[], kind: string): readonly CallerResult[] {
	return results
		.filter(result => result.kind.name === kind)
		.sort((left, right) => left.promptTokens - right.promptTokens);
}

function pickClass(sorted: readonly CallerResult[], { from, to }: SizeClass): readonly CallerResult[] {
	return sorted.slice(Math.floor(sorted.length * from), Math.floor(sorted.length * to));
}

function computeShare(
	members: readonly CallerResult[],
	isCounted: (result: CallerResult) => boolean,
): number {
	return members.filter(isCounted).length / Math.max(1, members.length);
}

function isServed({ end }: CallerResult): boolean {
	return end === CallerEnd.Served;
}
