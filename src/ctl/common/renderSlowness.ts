/**
 * Renders the output of `anvilroadctl slowness`: the targets of one entry, the slowest first.
 */

import type { SlownessAnswer, TargetSlownessStatus } from '../../core/status/common/organisationsStatus';
import { formatCount, formatDuration, formatForTerminal } from './formatting';
import type { Column } from './table';
import { renderTruncated } from './table';

const columns: readonly Column<TargetSlownessStatus>[] = [
	{ heading: 'TARGET', render: row => row.id },
	{ heading: 'SERVICE', render: row => row.service },
	{ heading: 'LASTING', render: row => row.lasting.toFixed(2), isNumber: true },
	{ heading: 'RECENT', render: row => row.recent.toFixed(2), isNumber: true },
	{ heading: 'SOURCE', render: row => row.source },
	{ heading: 'CORRECTION', render: row => row.correction.toFixed(2), isNumber: true },
	{ heading: 'REPORT AGE', render: row => formatDuration(row.reportAgeMs), isNumber: true },
];

function compareBySlowness(left: TargetSlownessStatus, right: TargetSlownessStatus): number {
	return right.lasting - left.lasting || right.recent - left.recent || left.id.localeCompare(right.id);
}

export function renderSlowness({ instance, targets }: SlownessAnswer, maxRows: number): string[] {
	const reported = targets.filter(({ reportAgeMs }) => reportAgeMs !== null).length;
	const reports = reported === 0 ? 'no target reports its slowness' : `${reported} with reports`;
	return [
		formatForTerminal(`${instance}  ${formatCount(targets.length, 'target')}; ${reports}`),
		...renderTruncated(columns, [...targets].sort(compareBySlowness), maxRows),
	];
}
