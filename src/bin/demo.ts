#!/usr/bin/env node
/**
 * Runs the demo: `npm run demo`, or `npm run demo -- --hold` to keep the deployment running.
 */

import { join } from 'node:path';
import { DemoProgram } from '../demo/node/demoProgram';
import { exitCodeBadUsage } from '../core/settings/node/loadSettings';
import { renderTable } from '../base/common/textTable';
import { version } from '../../package.json';

const exitCodeFailure = 1;
/** By convention, 128 plus the signal number of SIGINT. */
const exitCodeInterrupted = 130;

function waitForInterrupt(): Promise<void> {
	return new Promise(resolve => {
		process.once('SIGINT', resolve);
		process.once('SIGTERM', resolve);
	});
}

/** Ends child processes and removes temporary folders when the run is interrupted. */
function handleInterrupt(demo: DemoProgram): void {
	const stopAndExit = (): void => {
		demo.dispose();
		process.exit(exitCodeInterrupted);
	};
	process.once('SIGINT', stopAndExit);
	process.once('SIGTERM', stopAndExit);
}

function runOrServe(demo: DemoProgram, isServing: boolean): Promise<boolean> {
	if (isServing) {
		return demo.serve(waitForInterrupt());
	}
	handleInterrupt(demo);
	return demo.run();
}

async function runDemo(): Promise<void> {
	const { default: yargs } = await import('yargs');
	const options = await yargs(process.argv.slice(2))
		.scriptName('npm run demo --')
		.option('hold', { type: 'boolean', default: false, describe: 'keep running until SIGINT or SIGTERM' })
		.option('example', {
			type: 'string',
			default: 'braithwaite',
			describe: 'with --hold: name of the example',
		})
		.version(version)
		.strict()
		.fail((message, error) => {
			process.stderr.write(`${message || error.message}\n`);
			process.exit(exitCodeBadUsage);
		})
		.parseAsync();
	const exampleFolder = join(__dirname, '../../../examples', options.example);
	const demo = new DemoProgram({ exampleFolder, binFolder: __dirname }, renderTable);
	try {
		const isSuccessful = await runOrServe(demo, options.hold);
		process.exitCode = isSuccessful ? 0 : exitCodeFailure;
	} catch (error) {
		process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
		process.exitCode = exitCodeFailure;
	} finally {
		demo.dispose();
	}
}

void runDemo();
