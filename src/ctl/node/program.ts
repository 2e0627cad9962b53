/**
 * Parses the command line of `anvilroadctl` and runs the chosen command. yargs is an ECMAScript module and cannot
 * be loaded by `require`, so a dynamic import loads it when the program runs.
 */

import type { Argv } from 'yargs';
import type { ITimerService } from '../../base/common/timerService';
import { ExitCode } from '../common/exitCode';
import { CheckManifestCommand } from './checkManifestCommand';
import { CheckSettingsCommand, SettingsProgram } from './checkSettingsCommand';
import type { CommonOptions, ICommand, ICommandOutput } from './command';
import { EntriesCommand } from './entriesCommand';
import { ExplainCommand } from './explainCommand';
import { createOrganisationsCommand, createSlownessCommand } from './listingCommand';
import { OperatorsClient } from './operatorsClient';
import { StatusCommand } from './statusCommand';
import { readTextFile } from './textFile';
import { TrailCommand } from './trailCommand';

/** The parts of the process environment that the program uses. */
export interface ProgramHost {
	readonly timerService: ITimerService;
	readonly output: ICommandOutput;
	/** Environment variables, of which `ANVILROAD_ENTRY` is read. */
	readonly environment: Readonly<Record<string, string | undefined>>;
	readonly version: string;
	/** Aborted on SIGINT. */
	readonly stopSignal: AbortSignal;
}

const defaultTimeoutMs = 3_000;
const maxTimeoutMs = 600_000;
const defaultTrailRecords = 50;
const maxTrailRecords = 10_000;

/** An invalid command line. The message is shown to the user. */
class UsageError extends Error {}

/** Options of the client, under the camel-case names that yargs adds. */
interface ClientArguments {
	readonly timeoutMs: number;
	readonly caFile: string | undefined;
}

interface CommonArguments {
	readonly entry: readonly string[] | undefined;
	readonly json: boolean;
	readonly 'timeout-ms': number;
	readonly 'ca-file': string | undefined;
}

/** Parses command lines and runs their commands. */
export class Program {
	constructor(private readonly host: ProgramHost) {}

	/** Returns the exit code. An invalid command line is reported and does not throw. */
	async run(args: readonly string[]): Promise<ExitCode> {
		try {
			return await this.runCommand(args);
		} catch (error) {
			if (!(error instanceof UsageError)) {
				throw error;
			}
			this.host.output.writeError(`anvilroadctl: ${error.message}`);
			this.host.output.writeError("Try 'anvilroadctl --help'.");
			return ExitCode.BadUsage;
		}
	}

	private async runCommand(args: readonly string[]): Promise<ExitCode> {
		const { default: createParser } = await import('yargs');
		let exitCode = ExitCode.Success;
		const parser = this.addCommands(this.addCommonOptions(createParser([])), async (common, create) => {
			exitCode = await this.runWithClient(common, create);
		});
		let help = '';
		await parser.parseAsync([...args], {}, (_error, _arguments, output) => {
			help = output;
		});
		if (help !== '') {
			this.host.output.write(help);
		}
		return exitCode;
	}

	private async runWithClient(
		{ timeoutMs, caFile }: ClientArguments,
		create: (client: OperatorsClient) => ICommand,
	): Promise<ExitCode> {
		const checkedTimeoutMs = checkCount('--timeout-ms', timeoutMs, maxTimeoutMs);
		const client = new OperatorsClient(this.host.timerService, checkedTimeoutMs, readCaFile(caFile));
		try {
			return await create(client).run();
		} finally {
			client.dispose();
		}
	}

	private addCommonOptions(parser: Argv): Argv<CommonArguments> {
		return parser
			.scriptName('anvilroadctl')
			.usage('$0 <command>\n\nReads entries and checks manifests and settings; it changes nothing.')
			.option('entry', {
				type: 'string',
				array: true,
				nargs: 1,
				requiresArg: true,
				describe: "URL of an entry's operators' port; repeatable [ANVILROAD_ENTRY, separated by commas]",
			})
			.option('json', { type: 'boolean', default: false, describe: 'Print JSON, one document per line' })
			.option('timeout-ms', {
				type: 'number',
				default: defaultTimeoutMs,
				describe: 'Maximum wait for one answer, in milliseconds',
			})
			.option('ca-file', {
				type: 'string',
				requiresArg: true,
				describe: 'PEM file of the certificate authorities to trust for https entries',
			})
			.version(this.host.version)
			.help()
			.strict()
			.demandCommand(1, 'name a command')
			.recommendCommands()
			.epilogue('Exit codes: 0 success; 1 check failed, or entry not ready or not reachable; 2 bad usage.')
			.exitProcess(false)
			.fail((message: string | null, error: Error | undefined) => {
				throw error instanceof UsageError ? error : new UsageError(message ?? String(error));
			});
	}

	private addCommands(parser: Argv<CommonArguments>, run: RunCommand): Argv<CommonArguments> {
		const { output, timerService, stopSignal: stop } = this.host;
		return this.addListingCommands(parser, run)
			.command(
				'status',
				"An entry's view of itself, its targets and its peers",
				command => addAllOption(command),
				args =>
					run(args, client => {
						return new StatusCommand(client, output, {
							...this.readCommonOptions(args),
							hasAllRows: args.all,
						});
					}),
			)
			.command(
				'entries',
				'The fleet, one line for each entry',
				command => command,
				args => run(args, client => new EntriesCommand(client, output, this.readCommonOptions(args))),
			)
			.command(
				'explain <request-id>',
				'The decisions made on a request, step by step',
				command => command.positional('request-id', { type: 'string', demandOption: true }),
				args =>
					run(args, client => {
						const options = { ...this.readCommonOptions(args), requestId: args.requestId };
						return new ExplainCommand(client, output, options);
					}),
			)
			.command(
				'trail',
				'The audit trail of state changes',
				command =>
					command
						.option('most', {
							type: 'number',
							default: defaultTrailRecords,
							describe: 'Number of newest records to show',
						})
						.option('follow', {
							type: 'boolean',
							default: false,
							describe: 'Print new records until interrupted',
						}),
				args =>
					run(args, client => {
						const options = {
							...this.readCommonOptions(args),
							maxRecords: checkCount('--most', args.most, maxTrailRecords),
							isFollowing: args.follow,
						};
						return new TrailCommand(client, timerService, output, options, stop);
					}),
			)
			.command('check', 'Check a manifest or settings', command => this.addCheckCommands(command, run));
	}

	private addListingCommands(parser: Argv<CommonArguments>, run: RunCommand): Argv<CommonArguments> {
		const { output } = this.host;
		return parser
			.command(
				'organisations',
				'The organisations: limits and their use, number of keys, homes; age of the knowledge of keys',
				command => addAllOption(command),
				args =>
					run(args, client => {
						const options = { ...this.readCommonOptions(args), hasAllRows: args.all };
						return createOrganisationsCommand(client, output, options);
					}),
			)
			.command(
				'slowness',
				'The targets by slowness, the slowest first',
				command => addAllOption(command),
				args =>
					run(args, client => {
						const options = { ...this.readCommonOptions(args), hasAllRows: args.all };
						return createSlownessCommand(client, output, options);
					}),
			);
	}

	private addCheckCommands(parser: Argv<CommonArguments>, run: RunCommand): Argv<CommonArguments> {
		const { output } = this.host;
		return parser
			.demandCommand(1, 'name what to check: manifest or settings')
			.command(
				'manifest <file>',
				'Check a manifest as entries do (- reads standard input)',
				command =>
					command.positional('file', { type: 'string', demandOption: true }).option('against', {
						type: 'string',
						requiresArg: true,
						describe: "Show the changes from a file or from the entry at an operators' port URL",
					}),
				args =>
					run(args, client => {
						const { file, against, json } = args;
						return new CheckManifestCommand(client, output, { file, against, isJson: json });
					}),
			)
			.command(
				'settings <file>',
				'Check a settings file as the program does (- reads standard input)',
				command =>
					command.positional('file', { type: 'string', demandOption: true }).option('program', {
						choices: Object.values(SettingsProgram),
						default: SettingsProgram.Entry,
						describe: 'The program that the file is for',
					}),
				args =>
					run(args, () => {
						const { file, program, json } = args;
						return new CheckSettingsCommand(output, { file, program, isJson: json });
					}),
			);
	}

	private readCommonOptions(args: CommonArguments): CommonOptions {
		const fromEnvironment = (this.host.environment.ANVILROAD_ENTRY ?? '').split(',');
		const given = (args.entry ?? fromEnvironment).map(entry => entry.trim()).filter(entry => entry !== '');
		if (given.length === 0) {
			throw new UsageError("name an entry's operators' port with --entry URL or ANVILROAD_ENTRY");
		}
		return { entries: [...new Set(given.map(checkEntryUrl))], isJson: args.json };
	}
}

type RunCommand = (common: ClientArguments, create: (client: OperatorsClient) => ICommand) => Promise<void>;

function addAllOption<TArguments>(command: Argv<TArguments>): Argv<TArguments & { all: boolean }> {
	return command.option('all', {
		type: 'boolean',
		default: false,
		describe: 'Show all rows of long tables',
	});
}

function checkCount(option: string, value: number, max: number): number {
	if (!Number.isInteger(value) || value < 1 || value > max) {
		throw new UsageError(`${option} is a whole number from 1 to ${max}`);
	}
	return value;
}

function readCaFile(file: string | undefined): string | undefined {
	if (file === undefined) {
		return undefined;
	}
	const text = readTextFile(file);
	if (text.isErr()) {
		throw new UsageError(`--ca-file ${text.error}`);
	}
	return text.value;
}

function checkEntryUrl(text: string): string {
	if (!URL.canParse(text) || !/^https?:$/.test(new URL(text).protocol)) {
		throw new UsageError(`--entry ${text} is not a URL such as http://127.0.0.1:7201`);
	}
	return text.replace(/\/+$/, '');
}
