/**
 * `anvilroadctl status`: what each asked entry says of itself.
 */

import { ExitCode } from '../common/exitCode';
import { renderStatus } from '../common/renderStatus';
import type { CommonOptions, ICommand, ICommandOutput } from './command';
import { renderClientFault, writeAnswer } from './command';
import type { OperatorsClient } from './operatorsClient';

export interface StatusOptions extends CommonOptions {
	/** Whether long tables are shown whole. */
	readonly isWhole: boolean;
}

export class StatusCommand implements ICommand {
	constructor(
		private readonly client: OperatorsClient,
		private readonly output: ICommandOutput,
		private readonly options: StatusOptions,
	) {}

	/** Not right where an entry cannot be reached or is not ready. */
	async run(): Promise<ExitCode> {
		const { entries } = this.options;
		const areRight = await Promise.all(entries.map(entry => this.runFor(entry)));
		return areRight.every(isRight => isRight) ? ExitCode.Fine : ExitCode.NotRight;
	}

	private async runFor(entry: string): Promise<boolean> {
		const fetched = await this.client.fetchStatus(entry);
		if (fetched.isErr()) {
			this.output.writeError(renderClientFault(entry, fetched.error));
			return false;
		}
		const { value, raw } = fetched.value;
		writeAnswer(this.output, this.options.isJson, { entry, status: raw }, () => [
			...renderStatus(value, this.options.isWhole),
			...(this.options.entries.length > 1 ? [''] : []),
		]);
		return value.readiness.isReady;
	}
}
