/**
 * Formats reports as text: a table for each load pattern, followed by its goals.
 */

import type { CostRow, ScenarioGoal, ScenarioReport } from './scenario';
import { isMet } from './scenario';

function formatValue(value: number): string {
	if (!Number.isFinite(value)) {
		return '-';
	}
	const digits = Math.abs(value) >= 100 ? 0 : Math.abs(value) >= 10 ? 1 : 3;
	return value.toFixed(digits);
}

function formatGoal(goal: ScenarioGoal): string {
	const sign = goal.isLeast ? '>=' : '<=';
	const verdict = isMet(goal) ? 'met' : 'NOT MET';
	return `- ${goal.text}: ${formatValue(goal.value)} (${sign} ${formatValue(goal.bound)}) ${verdict}`;
}

/** Formats a report as Markdown. */
export function formatReport(report: ScenarioReport): string {
	const columnHeaders =
		report.rows[0]?.figures.map(({ name, unit }) => (unit === '' ? name : `${name} (${unit})`)) ?? [];
	const lines = [
		`### ${report.name}`,
		'',
		`${report.pattern}; seed ${report.seed}.`,
		'',
		`| | ${columnHeaders.join(' | ')} |`,
		`|---|${columnHeaders.map(() => '---:').join('|')}|`,
		...report.rows.map(
			row => `| ${row.contender} | ${row.figures.map(({ value }) => formatValue(value)).join(' | ')} |`,
		),
		'',
		...report.goals.map(formatGoal),
	];
	return `${lines.join('\n')}\n`;
}

/** Formats the cost of decisions as a Markdown list. */
export function formatCosts(rows: readonly CostRow[]): string {
	return rows
		.map(({ setting, figures }) => {
			const formatted = figures.map(({ name, value, unit }) => `${name} ${formatValue(value)} ${unit}`);
			return `- ${setting}: ${formatted.join(', ')}\n`;
		})
		.join('');
}
