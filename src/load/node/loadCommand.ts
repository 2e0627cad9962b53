/**
 * The program `anvilroad-load`: its commands and what each prints.
 */

import { writeFile } from 'node:fs/promises';
import type { Argv } from 'yargs';
import { SeededRandom } from '../../base/common/random';
import { SystemTimerService } from '../../base/node/systemTimerService';
import { listenAddressSchema } from '../../core/settings/common/settingsTypes';
import { exitCodeBadUsage } from '../../core/settings/node/loadSettings';
import type { Round } from '../common/comparison';
import { createReport, renderReport, Way } from '../common/comparison';
import { LoadMode, longestRunMs, loopbackUrl } from '../common/loadOptions';
import { renderSummary } from '../common/loadReport';
import type { CompareArguments, PassThroughArguments, RunArguments } from './commandOptions';
import {
	compareOptions,
	createOptionsOrExit,
	passThroughOptions,
	refuseUsage,
	runOptions,
} from './commandOptions';
import type { ComparedWay } from './comparisonRunner';
import { ComparisonRunner } from './comparisonRunner';
import { LoadRunner } from './loadRunner';
import { startPassThrough } from './passThrough';

/** Exit code of a run in which a request failed or was refused. */
const exitCodeFailed = 1;
/** The longest comparison without its warm-up, in milliseconds. */
const longestComparisonMs = 600_000;
const servicePrefix = '/v1/services/';

/** Parses the command line and runs the command that it names. */
export async function runLoadProgram(commandLine: readonly string[], version: string): Promise<void> {
	const { default: yargs } = await import('yargs');
	await addCommands(yargs([...commandLine]).scriptName('anvilroad-load'))
		.demandCommand(1, 'Name a command.')
		.strict()
		.version(version)
		.epilogue('Exit codes: 0 fine, 1 a request failed or was refused, 2 bad usage.')
		.fail((message, error) => {
			refuseUsage([message || String(error)]);
		})
		.parseAsync();
}

function addCommands(argv: Argv): Argv {
	return argv
		.command('run', 'Load one or more base URLs and check every answer.', runOptions, runLoad)
		.command(
			'compare',
			'Compare a target called directly, through a pass-through and through an entry, in one run.',
			compareOptions,
			compareWays,
		)
		.command(
			'pass-through',
			'Run the bare pass-through that compare takes as its baseline.',
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
		isOutcomeExpected: args.outcome ?? args.path.startsWith(servicePrefix),
	});
	const timers = new SystemTimerService();
	const summary = await new LoadRunner(timers, new SeededRandom(options.seed)).run(options);
	timers.dispose();
	process.stdout.write(`${renderSummary(summary)}\n`);
	await writeJson(args.json, { options, summary });
	process.exitCode = summary.failed + summary.refused > 0 ? exitCodeFailed : 0;
}

async function compareWays(args: CompareArguments): Promise<void> {
	const faults = listComparisonFaults(args);
	if (faults.length > 0) {
		refuseUsage(faults);
	}
	const ways = listWays(args);
	const timers = new SystemTimerService();
	const runner = new ComparisonRunner(new LoadRunner(timers, new SeededRandom(args.seed)), ways);
	await runner.start(args['warm-up-ms']);
	const rounds: Round[] = [];
	for (let index = 0; index < args.rounds; index++) {
		rounds.push(await runner.runRound(index));
	}
	timers.dispose();
	const report = createReport(rounds);
	process.stdout.write(`${renderReport(report)}\n`);
	await writeJson(args.json, report);
	process.exitCode = report.figures.some(line => line.failed > 0) ? exitCodeFailed : 0;
}

/** Each round has an open and a closed part for each of three ways. */
const partsOfRound = 6;

function listComparisonFaults(args: CompareArguments): string[] {
	const isWhole = Number.isInteger(args.rounds) && args.rounds >= 1;
	const totalMs = args.rounds * args['round-ms'] * partsOfRound;
	return [
		...(isWhole ? [] : ['rounds: a whole number from 1']),
		...(totalMs <= longestComparisonMs
			? []
			: [`rounds, round-ms: more than ${longestComparisonMs} ms in all`]),
		...(args['warm-up-ms'] >= 0 && args['warm-up-ms'] <= longestRunMs
			? []
			: [`warm-up-ms: from 0 to ${longestRunMs}`]),
	];
}

function listWays(args: CompareArguments): ComparedWay[] {
	const createWay = (way: Way, url: string | undefined, pid: number | undefined): ComparedWay[] => {
		const isEntry = way === Way.Entry;
		const own = {
			path: isEntry ? `${servicePrefix}${args.service}${args.path}` : args.path,
			durationMs: args['round-ms'],
			mode: LoadMode.Open,
			isOutcomeExpected: isEntry,
		};
		return url === undefined
			? []
			: [{ way, pid, options: createOptionsOrExit(args, { ...own, targetUrls: [url] }) }];
	};
	return [
		...createWay(Way.Direct, args['direct-url'], undefined),
		...createWay(Way.Baseline, args['baseline-url'], args['baseline-pid']),
		...createWay(Way.Entry, args['entry-url'], args['entry-pid']),
	];
}

async function servePassThrough(args: PassThroughArguments): Promise<void> {
	const listen = listenAddressSchema.safeParse(args.listen);
	const target = loopbackUrl.safeParse(args.to);
	if (!listen.success || !target.success) {
		const issues = [...(listen.error?.issues ?? []), ...(target.error?.issues ?? [])];
		return refuseUsage(issues.map(issue => issue.message));
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
