#!/usr/bin/env node
/**
 * `npm run prove -- --seed S`: fault-injection test that kills, freezes, isolates and stops processes while callers of
 * all kinds send requests, and compares the answers that callers received with the requests that targets ran. The
 * exit code is 0 only if no violation was found.
 */

import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { renderTable } from '../base/common/textTable';
import { exitCodeBadUsage } from '../core/settings/node/loadSettings';
import { createVerdict, renderResult } from '../prove/common/verdict';
import { ProveProgram } from '../prove/node/proveProgram';
import { version } from '../../package.json';

const exitCodeFailure = 1;
/** By convention, 128 plus the signal number of SIGINT. */
const exitCodeInterrupted = 130;
const defaultSeed = 1;

interface ProveOptions {
	readonly seed: number;
	readonly short: boolean;
	readonly json?: string | undefined;
	readonly logs?: string | undefined;
}

async function parseOptions(): Promise<ProveOptions> {
	const { default: yargs } = await import('yargs');
	return yargs(process.argv.slice(2))
		.scriptName('npm run prove --')
		.option('seed', { type: 'number', default: defaultSeed, describe: 'seed of all random choices' })
		.option('short', {
			type: 'boolean',
			default: false,
			describe: 'inject every fault once, with one entry per region',
		})
		.option('json', {
			type: 'string',
			describe: 'also write the verdict and a record of every request to this file',
		})
		.option('logs', { type: 'string', describe: 'write the output of each process to this folder' })
		.version(version)
		.strict()
		.fail((message, error) => {
			process.stderr.write(`${message || error.message}\n`);
			process.exit(exitCodeBadUsage);
		})
		.parseAsync();
}

/** Ends child processes and removes temporary folders when the run is interrupted. */
function handleInterrupt(program: ProveProgram): void {
	const stopAndExit = (): void => {
		program.dispose();
		process.exit(exitCodeInterrupted);
	};
	process.once('SIGINT', stopAndExit);
	process.once('SIGTERM', stopAndExit);
}

function writeLogs(program: ProveProgram, folder: string): void {
	mkdirSync(folder, { recursive: true });
	for (const [name, lines] of program.listLines()) {
		writeFileSync(join(folder, `${name}.log`), `${lines.join('\n')}\n`);
	}
}

async function runCampaign(program: ProveProgram, options: ProveOptions): Promise<boolean> {
	const result = await program.run();
	const verdict = createVerdict(result);
	if (options.json !== undefined) {
		writeFileSync(options.json, JSON.stringify({ ...verdict, records: result.sends }, undefined, '\t'));
	}
	process.stdout.write(`${renderResult(result, renderTable)}\n${JSON.stringify(verdict)}\n`);
	return verdict.holds;
}

async function runProve(): Promise<void> {
	const options = await parseOptions();
	const exampleFolder = join(__dirname, '../../../examples/braithwaite');
	const plan = { seed: options.seed, isShort: options.short };
	const program = new ProveProgram({ exampleFolder, binFolder: __dirname }, plan, line => {
		process.stderr.write(`${line}\n`);
	});
	handleInterrupt(program);
	try {
		process.exitCode = (await runCampaign(program, options)) ? 0 : exitCodeFailure;
	} catch (error) {
		process.stderr.write(`${error instanceof Error ? (error.stack ?? error.message) : String(error)}\n`);
		process.exitCode = exitCodeFailure;
	} finally {
		if (options.logs !== undefined) {
			writeLogs(program, options.logs);
		}
		program.dispose();
	}
}

void runProve();
