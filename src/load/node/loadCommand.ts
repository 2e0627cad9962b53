/**
 * Implements the commands of `anvilroad-load` and prints their results.
 */

import { writeFile } from 'node:fs/promises';
import type { Argv } from 'yargs';
import { SeededRandom } from '../../base/common/random';
import { SystemTimerService } from '../../base/node/systemTimerService';
import { listenAddressSchema } from '../../core/settings/common/settingsTypes';
import { exitCodeBadUsage } from '../../core/settings/node/loadSettings';
import type { Round } from '../common/comparison';
import { createComparisonReport, renderComparisonReport, Route } from '../common/comparison';
import { LoadMode, maxRunDurationMs, loopbackOriginSchema } from '../common/loadOptions';
import { renderSummary } from '../common/loadReport';
import type { CompareArguments, PassThroughArguments, RunArguments } from './commandOptions';
import {
	compareOptions,
	createOptionsOrExit,
	passThroughOptions,
	printUsageErrorsAndExit,
	runOptions,
} from './commandOptions';
import type { ComparedRoute } from './comparisonRunner';
import { ComparisonRunner } from './comparisonRunner';
import { LoadRunner } from './loadRunner';
import { startPassThrough } from './passThrough';

/** Exit code if any request failed or was refused. */
const exitCodeFailed = 1;
/** Longest duration of a comparison without its warm-up, in milliseconds. */
const maxComparisonMs = 600_000;
const servicePathPrefix = '/v1/services/';

/** Parses the command line and runs its command. */
export async function runLoadProgram(commandLine: readonly string[], version: string): Promise<void> {
	const { default: yargs } = await import('yargs');
	await addCommands(yargs([...commandLine]).scriptName('anvilroad-load'))
		.demandCommand(1, 'A command is required.')
		.strict()
		.version(version)
		.epilogue('Exit codes: 0 success, 1 a request failed or was refused, 2 bad usage.')
		.fail((message, error) => {
			printUsageErrorsAndExit([message || String(error)]);
		})
		.parseAsync();
}

function addCommands(argv: Argv): Argv {
	return argv
		.command('run', 'Send load to one or more base URLs and check every answer.', runOptions, runLoad)
		.command(
			'compare',
			'Compare direct calls to a target with calls through a pass-through and through an entry, in one run.',
			compareOptions,
			compareRoutes,
		)
		.command(
			'pass-through',
			'Run the minimal reverse proxy that compare uses as its baseline.',
			passThroughOptions,
			servePassThrough,
		);
}

async function runLoad(args: RunArguments): Promise<void> {
	const options = createOptionsOrExit(args, {
		targetUrls: args['target-url'],
		path: args.path,
		durationMs: args['duration-ms'],
		mode: args.mode,
		isOutcomeExpected: args.outcome ?? args.path.startsWith(servicePathPrefix),
	});
	const timers = new SystemTimerService();
	const summary = await new LoadRunner(timers, new SeededRandom(options.seed)).run(options);
	timers.dispose();
	process.stdout.write(`${renderSummary(summary)}\n`);
	await writeJson(args.json, { options, summary });
	process.exitCode = summary.failed + summary.refused > 0 ? exitCodeFailed : 0;
}

async function compareRoutes(args: CompareArguments): Promise<void> {
	const errors = listComparisonErrors(args);
	if (errors.length > 0) {
		printUsageErrorsAndExit(errors);
	}
	const routes = listRoutes(args);
	const timers = new SystemTimerService();
	const runner = new ComparisonRunner(new LoadRunner(timers, new SeededRandom(args.seed)), routes);
	await runner.runWarmUp(args['warm-up-ms']);
	const rounds: Round[] = [];
	for (let index = 0; index < args.rounds; index++) {
		rounds.push(await runner.runRound(index));
	}
	timers.dispose();
	const report = createComparisonReport(rounds);
	process.stdout.write(`${renderComparisonReport(report)}\n`);
	await writeJson(args.json, report);
	process.exitCode = report.figures.some(line => line.failed > 0) ? exitCodeFailed : 0;
}

/** An open-loop and a closed-loop part for each of three routes. */
const maxPartsPerRound = 6;

function listComparisonErrors(args: CompareArguments): string[] {
	const isRoundCountValid = Number.isInteger(args.rounds) && args.rounds >= 1;
	const totalMs = args.rounds * args['round-ms'] * maxPartsPerRound;
	return [
		...(isRoundCountValid ? [] : ['rounds: must be a whole number of at least 1']),
		...(totalMs <= maxComparisonMs
			? []
			: [`rounds, round-ms: the rounds would take more than ${maxComparisonMs} ms in total`]),
		...(args['warm-up-ms'] >= 0 && args['warm-up-ms'] <= maxRunDurationMs
			? []
			: [`warm-up-ms: must be between 0 and ${maxRunDurationMs}`]),
	];
}

function listRoutes(args: CompareArguments): ComparedRoute[] {
	const createRoute = (route: Route, url: string | undefined, pid: number | undefined): ComparedRoute[] => {
		const isEntry = route === Route.Entry;
		const specific = {
			path: isEntry ? `${servicePathPrefix}${args.service}${args.path}` : args.path,
			durationMs: args['round-ms'],
			mode: LoadMode.Open,
			isOutcomeExpected: isEntry,
		};
		return url === undefined
			? []
			: [{ way: route, pid, options: createOptionsOrExit(args, { ...specific, targetUrls: [url] }) }];
	};
	return [
		...createRoute(Route.Direct, args['direct-url'], undefined),
		...createRoute(Route.Baseline, args['baseline-url'], args['baseline-pid']),
		...createRoute(Route.Entry, args['entry-url'], args['entry-pid']),
	];
}

async function servePassThrough(args: PassThroughArguments): Promise<void> {
	const listen = listenAddressSchema.safeParse(args.listen);
	const target = loopbackOriginSchema.safeParse(args.to);
	if (!listen.success || !target.success) {
		const issues = [...(listen.error?.issues ?? []), ...(target.error?.issues ?? [])];
		return printUsageErrorsAndExit(issues.map(issue => issue.message));
	}
	const passThrough = await startPassThrough(listen.data, target.data, args.connections);
	process.stdout.write(`${JSON.stringify({ ready: true, url: passThrough.url, pid: process.pid })}\n`);
	process.once('SIGTERM', () => void passThrough.close());
	process.once('SIGINT', () => void passThrough.close());
}

async function writeJson(file: string | undefined, result: unknown): Promise<void> {
	if (file === undefined) {
		return;
	}
	try {
		await writeFile(file, `${JSON.stringify(result, undefined, '\t')}\n`);
	} catch (error) {
		process.stderr.write(`${file}: ${error instanceof Error ? error.message : String(error)}\n`);
		process.exitCode = exitCodeBadUsage;
	}
}
