/**
 * What the commands of `anvilroadctl` share.
 */

import type { ExitCode } from '../common/exitCode';
import { formatText } from '../common/formatting';
import type { ClientFault } from './operatorsClient';

/** One run of one command. */
export interface ICommand {
	run(): Promise<ExitCode>;
}

/** Where a command writes: answers to one stream, complaints to the other, so that pipes get answers only. */
export interface ICommandOutput {
	write(line: string): void;
	writeError(line: string): void;
}

/** Options of every command. */
export interface CommonOptions {
	/** Base URLs of operators' ports. */
	readonly entries: readonly string[];
	/** Whether answers are JSON, one document a line. */
	readonly isJson: boolean;
}

/** One line for an entry that gave no answer. */
export function renderClientFault(entry: string, fault: ClientFault): string {
	return formatText(`${entry}: ${fault.kind}: ${fault.detail}`);
}

/** Writes the lines of a person's output, or one line of JSON. */
export function writeAnswer(
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
