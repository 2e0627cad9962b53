/**
 * Renders the output of `anvilroadctl explain`: the decisions of one entry on one request, one line for each step.
 */

import type { ExplainAnswer } from '../../core/status/common/operatorsAnswers';
import { formatForTerminal } from './formatting';
import type { Column } from './table';
import { renderTable } from './table';

type ExplainStep = ExplainAnswer['steps'][number];

const columns: readonly Column<ExplainStep>[] = [
	{ heading: 'AFTER', render: row => `${row.sinceArrivalMs.toFixed(1)}ms`, isNumber: true },
	{ heading: 'STEP', render: row => row.step },
	{ heading: 'WHY', render: row => row.detail },
];

export function renderExplain(answer: ExplainAnswer): string[] {
	const { id, instance, at, service, organisation, requestClass, steps } = answer;
	return [
		formatForTerminal(`request ${id} at ${instance}, arrived ${at}`),
		formatForTerminal(`${service} for ${organisation}, class ${requestClass}`),
		'',
		...renderTable(columns, steps),
	];
}
