/**
 * Defines the command-line options of `anvilroad-load` and converts them to load options.
 */

import type { InferredOptionTypes } from 'yargs';
import { requestClasses } from '../../core/requests/common/requestClass';
import { exitCodeBadUsage } from '../../core/settings/node/loadSettings';
import type { LoadOptions } from '../common/loadOptions';
import { ArrivalProfile, checkLoadOptions, LoadMode, maxRunDurationMs } from '../common/loadOptions';

/** Options that `run` and `compare` have in common. */
export const sharedOptions = {
	path: { type: 'string', default: '/', describe: 'path and query string of each request' },
	method: { type: 'string', default: 'GET' },
	'body-bytes': { type: 'number', default: 0, describe: 'size of each request body in bytes' },
	echo: {
		type: 'boolean',
		default: false,
		describe: 'check that the body of each answer equals the body of its request',
	},
	rate: { type: 'number', default: 100, describe: 'mean requests per second of an open-loop run' },
	profile: { choices: Object.values(ArrivalProfile), default: ArrivalProfile.Poisson },
	organisation: { type: 'string' },
	class: { choices: requestClasses },
	'deadline-ms': { type: 'number' },
	seed: { type: 'number', default: 1, describe: 'the same seed gives the same arrival times and bodies' },
	connections: {
		type: 'number',
		default: 16,
		describe: 'connections to each base URL; requests wait while all are in use',
	},
	json: { type: 'string', describe: 'file to write the result to as JSON' },
} as const;

/** Options of `run`. */
export const runOptions = {
	...sharedOptions,
	'target-url': { type: 'string', array: true, demandOption: true, describe: 'base URL; repeatable' },
	'duration-ms': { type: 'number', default: 10_000, describe: `at most ${maxRunDurationMs}` },
	mode: { choices: Object.values(LoadMode), default: LoadMode.Open },
	outcome: { type: 'boolean', describe: 'check the outcome header; default for paths under /v1/services/' },
} as const;

/** Options of `compare`. */
export const compareOptions = {
	...sharedOptions,
	'direct-url': { type: 'string', demandOption: true, describe: 'base URL of the target itself' },
	'baseline-url': { type: 'string', describe: 'base URL of a pass-through to the target' },
	'baseline-pid': { type: 'number', describe: 'process id of the pass-through, to measure its CPU time' },
	'entry-url': { type: 'string', describe: 'base URL of an entry' },
	'entry-pid': { type: 'number', describe: 'process id of the entry, to measure its CPU time' },
	service: {
		type: 'string',
		demandOption: true,
		describe: 'name of the service that the target belongs to at the entry',
	},
	rounds: { type: 'number', default: 6 },
	'round-ms': { type: 'number', default: 2_000, describe: 'duration of each part of a round' },
	'warm-up-ms': { type: 'number', default: 2_000 },
} as const;

/** Options of `pass-through`. */
export const passThroughOptions = {
	listen: { type: 'string', default: '127.0.0.1:0', describe: 'IP address and port' },
	to: { type: 'string', demandOption: true, describe: 'base URL of the target' },
	connections: { type: 'number', default: 64, describe: 'maximum number of connections to the target' },
} as const;

type SharedArguments = InferredOptionTypes<typeof sharedOptions>;
export type RunArguments = InferredOptionTypes<typeof runOptions>;
export type CompareArguments = InferredOptionTypes<typeof compareOptions>;
export type PassThroughArguments = InferredOptionTypes<typeof passThroughOptions>;

/** Load options that each command sets itself instead of taking them from the shared options. */
export type CommandSpecificOptions = Pick<
	LoadOptions,
	'targetUrls' | 'path' | 'durationMs' | 'mode' | 'isOutcomeExpected'
>;

/** Returns validated load options. If they are invalid, prints each error and exits with the code for bad usage. */
export function createOptionsOrExit(args: SharedArguments, specific: CommandSpecificOptions): LoadOptions {
	const checked = checkLoadOptions({
		...specific,
		method: args.method,
		bodyBytes: args['body-bytes'],
		ratePerSecond: args.rate,
		profile: args.profile,
		connections: args.connections,
		seed: args.seed,
		organisation: args.organisation,
		requestClass: args.class,
		deadlineMs: args['deadline-ms'],
		isEcho: args.echo,
	});
	return checked.isOk() ? checked.value : printUsageErrorsAndExit(checked.error);
}

/** Prints command-line errors and exits the process with the code for bad usage. */
export function printUsageErrorsAndExit(errors: readonly string[]): never {
	for (const error of errors) {
		process.stderr.write(`${error}\n`);
	}
	return process.exit(exitCodeBadUsage);
}
