/**
 * Reports as text: one table for each pattern, then its goals.
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

/** A report as Markdown. */
export function formatReport(report: ScenarioReport): string {
	const heads =
		report.rows[0]?.figures.map(({ name, unit }) => (unit === '' ? name : `${name} (${unit})`)) ?? [];
	const lines = [
		`### ${report.name}`,
		'',
		`${report.pattern}; seed ${report.seed}.`,
		'',
		`| | ${heads.join(' | ')} |`,
		`|---|${heads.map(() => '---:').join('|')}|`,
		...report.rows.map(
			row => `| ${row.contender} | ${row.figures.map(({ value }) => formatValue(value)).join(' | ')} |`,
		),
		'',
		...report.goals.map(formatGoal),
	];
	return `${lines.join('\n')}\n`;
}

/** What decisions cost, as a Markdown list. */
export function formatCosts(rows: readonly CostRow[]): string {
	return rows
		.map(({ setting, figures }) => {
			const told = figures.map(({ name, value, unit }) => `${name} ${formatValue(value)} ${unit}`);
			return `- ${setting}: ${told.join(', ')}\n`;
		})
		.join('');
}
