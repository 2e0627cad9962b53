/**
 * Formats the result of a load run as text.
 */

import type { LoadSummary } from './loadStatistics';
import { renderTable } from '../../base/common/textTable';

const latencyDecimals = 2;

/** Formats a duration, for example as `1.23 ms`. */
export function formatMs(valueMs: number): string {
	return `${valueMs.toFixed(latencyDecimals)} ms`;
}

/** Formats a summary as a table with one row, followed by the reasons for unsuccessful requests by frequency. */
export function renderSummary(summary: LoadSummary): string {
	const head = ['count', 'ok', 'refused', 'failed', 'ok/s', 'p50', 'p90', 'p99', 'max', 'send lag p99'];
	const row = [
		String(summary.count),
		String(summary.ok),
		String(summary.refused),
		String(summary.failed),
		summary.okPerSecond.toFixed(1),
		formatMs(summary.p50Ms),
		formatMs(summary.p90Ms),
		formatMs(summary.p99Ms),
		formatMs(summary.maxMs),
		formatMs(summary.sendLagP99Ms),
	];
	const reasons = summary.reasons.map(({ reason, count }) => `${count} x ${reason}`);
	return [renderTable(head, [row]), ...reasons].join('\n');
}
