/**
 * `npm run bench`: simulates the load patterns with a fixed seed, compares the decisions of the entry with baselines,
 * prints the results as tables and optionally writes them as JSON.
 */

import { writeFileSync } from 'node:fs';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import type { ScenarioReport } from '../bench/common/scenario';
import { scenarios } from '../bench/common/scenarios/scenarios';
import { formatCosts, formatReport } from '../bench/common/table';
import { measureDecisionCost } from '../bench/node/decisionCost';

const defaultSeed = 1;

async function runBench(): Promise<void> {
	const options = await yargs(hideBin(process.argv))
		.scriptName('bench')
		.option('only', { type: 'string', describe: 'run the patterns whose name contains this text' })
		.option('seed', { type: 'number', default: defaultSeed, describe: 'seed of all random numbers' })
		.option('json', { type: 'string', describe: 'also write the reports to this file' })
		.option('cost', {
			type: 'boolean',
			default: true,
			describe: 'also measure the cost of scheduling and routing decisions',
		})
		.strict()
		.parseAsync();
	const selected = scenarios.filter(({ name }) => name.includes(options.only ?? ''));
	const reports: ScenarioReport[] = [];
	for (const scenario of selected) {
		const report = scenario.run(options.seed);
		reports.push(report);
		process.stdout.write(`${formatReport(report)}\n`);
	}
	const costs = options.cost ? measureDecisionCost() : [];
	process.stdout.write(formatCosts(costs));
	if (options.json !== undefined) {
		writeFileSync(options.json, JSON.stringify({ reports, costs }, undefined, '\t'));
	}
}

void runBench();
