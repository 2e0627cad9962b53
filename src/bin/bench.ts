/**
 * `npm run bench`: runs the load patterns against the baselines from fixed seeds, prints the tables and
 * writes them as JSON on request.
 */

import { writeFileSync } from 'node:fs';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import type { ScenarioReport } from '../bench/common/scenario';
import { scenarios } from '../bench/common/scenarios/scenarios';
import { formatReport } from '../bench/common/table';

const defaultSeed = 1;

async function runBench(): Promise<void> {
	const options = await yargs(hideBin(process.argv))
		.scriptName('bench')
		.option('only', { type: 'string', describe: 'run the patterns whose name contains this text' })
		.option('seed', { type: 'number', default: defaultSeed, describe: 'seed of all random draws' })
		.option('json', { type: 'string', describe: 'also write the reports to this file' })
		.strict()
		.parseAsync();
	const chosen = scenarios.filter(({ name }) => name.includes(options.only ?? ''));
	const reports: ScenarioReport[] = [];
	for (const scenario of chosen) {
		const report = scenario.run(options.seed);
		reports.push(report);
		process.stdout.write(`${formatReport(report)}\n`);
	}
	if (options.json !== undefined) {
		writeFileSync(options.json, JSON.stringify(reports, undefined, '\t'));
	}
}

void runBench();
