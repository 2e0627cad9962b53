/**
 * `anvilroadctl status`: shows the status of each queried entry.
 */

import { ExitCode } from '../common/exitCode';
import { renderStatus } from '../common/renderStatus';
import type { CommonOptions, ICommand, ICommandOutput } from './command';
import { renderClientError, writeResult } from './command';
import type { OperatorsClient } from './operatorsClient';

export interface StatusOptions extends CommonOptions {
	/** Whether tables show all rows. */
	readonly hasAllRows: boolean;
}

export class StatusCommand implements ICommand {
	constructor(
		private readonly client: OperatorsClient,
		private readonly output: ICommandOutput,
		private readonly options: StatusOptions,
	) {}

	/** Returns `Failure` if an entry is unreachable or not ready. */
	async run(): Promise<ExitCode> {
		const { entries } = this.options;
		const areReady = await Promise.all(entries.map(entry => this.printStatus(entry)));
		return areReady.every(isRight => isRight) ? ExitCode.Success : ExitCode.Failure;
	}

	/** Returns whether the entry is reachable and ready. */
	private async printStatus(entry: string): Promise<boolean> {
		const fetched = await this.client.fetchStatus(entry);
		if (fetched.isErr()) {
			this.output.writeError(renderClientError(entry, fetched.error));
			return false;
		}
		const { value, raw } = fetched.value;
		writeResult(this.output, this.options.isJson, { entry, status: raw }, () => [
			...renderStatus(value, this.options.hasAllRows),
			...(this.options.entries.length > 1 ? [''] : []),
		]);
		return value.readiness.isReady;
	}
}
