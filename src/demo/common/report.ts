/**
 * Formats the results of the scenarios as a table.
 */

import type { IScenario, Observation } from './scenario';

/** A scenario and its result. */
export interface ScenarioResult {
	readonly scenario: Pick<IScenario, 'caller' | 'request' | 'expects'>;
	readonly observation: Observation;
}

/** Renders a header row and data rows as aligned columns of text. */
export type TableRenderer = (head: readonly string[], rows: readonly (readonly string[])[]) => string;

/** Renders one row for each scenario, followed by the expected result of each failed scenario. */
export function renderResults(results: readonly ScenarioResult[], renderTable: TableRenderer): string {
	const rows = results.map(({ scenario, observation }) => [
		observation.isRight ? 'passed' : 'FAILED',
		scenario.caller,
		scenario.request,
		observation.received,
	]);
	const wrong = results
		.filter(({ observation }) => !observation.isRight)
		.map(({ scenario }) => `FAILED: ${scenario.caller}, ${scenario.request}: expected ${scenario.expects}`);
	return [renderTable(['', 'caller', 'request', 'received'], rows), ...wrong].join('\n');
}
