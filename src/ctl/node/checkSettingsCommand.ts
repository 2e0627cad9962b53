/**
 * `anvilroadctl check settings`: runs the same validation as the program for which the settings are written.
 */

import type { z } from 'zod';
import { entrySettingsSchema } from '../../core/settings/common/entrySettings';
import { formatSettingsError, parseSettings } from '../../core/settings/common/settings';
import { ExitCode } from '../common/exitCode';
import type { ICommand, ICommandOutput } from './command';
import { writeResult } from './command';
import { readTextFile } from './textFile';

/** The programs whose settings can be checked. */
export enum SettingsProgram {
	Entry = 'entry',
}

const schemas: Readonly<Record<SettingsProgram, z.ZodType>> = {
	[SettingsProgram.Entry]: entrySettingsSchema,
};

export interface CheckSettingsOptions {
	readonly file: string;
	readonly program: SettingsProgram;
	readonly isJson: boolean;
}

export class CheckSettingsCommand implements ICommand {
	constructor(
		private readonly output: ICommandOutput,
		private readonly options: CheckSettingsOptions,
	) {}

	/** Returns `Failure` if the settings have faults and `BadUsage` if the file cannot be read. */
	run(): Promise<ExitCode> {
		return Promise.resolve(this.check());
	}

	private check(): ExitCode {
		const { file, program, isJson } = this.options;
		const text = readTextFile(file);
		if (text.isErr()) {
			this.output.writeError(text.error);
			return ExitCode.BadUsage;
		}
		const faults = parseSettings(schemas[program], text.value).match(
			() => [],
			found => found.map(formatSettingsError),
		);
		writeResult(this.output, isJson, { file, program, isRight: faults.length === 0, faults }, () =>
			faults.length === 0
				? [`${file}: right for anvilroad-${program}`]
				: faults.map(fault => `${file}: ${fault}`),
		);
		return faults.length === 0 ? ExitCode.Success : ExitCode.Failure;
	}
}
