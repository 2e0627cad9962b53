#!/usr/bin/env node
/**
 * `anvilroadctl`: the operators' command line.
 */

import { SystemTimerService } from '../base/node/systemTimerService';
import type { ICommandOutput } from '../ctl/node/command';
import { Program } from '../ctl/node/program';
import { version } from '../../package.json';

/** Above any wait; the period of a timer that only keeps the process running. */
const holdPeriodMs = 60_000;

const output: ICommandOutput = {
	write: line => {
		process.stdout.write(`${line}\n`);
	},
	writeError: line => {
		process.stderr.write(`${line}\n`);
	},
};

/** A reader such as `head` closes the pipe when it has enough; that is no fault of this program. */
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
	// The timer service never keeps a process alive; while a trail is followed nothing else would.
	const hold = setInterval(() => undefined, holdPeriodMs);
	const program = new Program({
		timerService: new SystemTimerService(),
		output,
		environment: process.env,
		version,
		stop: stop.signal,
	});
	try {
		process.exitCode = await program.run(process.argv.slice(2));
	} finally {
		clearInterval(hold);
	}
}

void runProgram();
