/**
 * Types and output functions that the commands of `anvilroadctl` share.
 */

import type { ExitCode } from '../common/exitCode';
import { formatForTerminal } from '../common/formatting';
import type { ClientError } from './operatorsClient';

/** A command with its parsed options. */
export interface ICommand {
	run(): Promise<ExitCode>;
}

/** The output streams of a command. Errors have a stream of their own, so that a pipe receives results only. */
export interface ICommandOutput {
	write(line: string): void;
	writeError(line: string): void;
}

/** Options of every command that queries entries. */
export interface CommonOptions {
	/** Base URLs of the operators' ports of the entries to query. */
	readonly entries: readonly string[];
	/** Whether results are printed as JSON, one document per line. */
	readonly isJson: boolean;
}

/** Renders one line for an entry that returned no usable answer. */
export function renderClientError(entry: string, fault: ClientError): string {
	return formatForTerminal(`${entry}: ${fault.kind}: ${fault.detail}`);
}

/** Writes a result as one line of JSON or as the rendered lines. */
export function writeResult(
	output: ICommandOutput,
	isJson: boolean,
	json: unknown,
	render: () => readonly string[],
): void {
	const lines = isJson ? [JSON.stringify(json)] : render();
	for (const line of lines) {
		output.write(line);
	}
}
