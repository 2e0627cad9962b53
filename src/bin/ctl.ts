#!/usr/bin/env node
/**
 * `anvilroadctl`: the command-line tool for operators.
 */

import { SystemTimerService } from '../base/node/systemTimerService';
import type { ICommandOutput } from '../ctl/node/command';
import { Program } from '../ctl/node/program';
import { version } from '../../package.json';

/** Period of a timer that does nothing except keep the process running. */
const keepAlivePeriodMs = 60_000;

const output: ICommandOutput = {
	write: line => {
		process.stdout.write(`${line}\n`);
	},
	writeError: line => {
		process.stderr.write(`${line}\n`);
	},
};

/** Exits without an error if the reader of a pipe, such as `head`, closes the pipe early. */
function handleClosedPipe(error: NodeJS.ErrnoException): void {
	if (error.code !== 'EPIPE') {
		throw error;
	}
	process.exit();
}

async function runProgram(): Promise<void> {
	const stop = new AbortController();
	process.once('SIGINT', () => {
		stop.abort();
	});
	process.stdout.on('error', handleClosedPipe);
	// The timers of the timer service do not keep the process alive, and nothing else does while a trail is
	// followed.
	const keepAlive = setInterval(() => undefined, keepAlivePeriodMs);
	const program = new Program({
		timerService: new SystemTimerService(),
		output,
		environment: process.env,
		version,
		stopSignal: stop.signal,
	});
	try {
		process.exitCode = await program.run(process.argv.slice(2));
	} finally {
		clearInterval(keepAlive);
	}
}

void runProgram();
