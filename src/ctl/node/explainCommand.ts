/**
 * `anvilroadctl explain`: what became of one request. All entries given are asked, since a request that was
 * carried to another entry has a record at both.
 */

import { ExitCode } from '../common/exitCode';
import { renderExplain } from '../common/renderExplain';
import type { CommonOptions, ICommand, ICommandOutput } from './command';
import { renderClientFault, writeAnswer } from './command';
import type { OperatorsClient } from './operatorsClient';

export interface ExplainOptions extends CommonOptions {
	readonly requestId: string;
}

export class ExplainCommand implements ICommand {
	constructor(
		private readonly client: OperatorsClient,
		private readonly output: ICommandOutput,
		private readonly options: ExplainOptions,
	) {}

	/** Not right where no asked entry keeps the request. */
	async run(): Promise<ExitCode> {
		const { entries, requestId } = this.options;
		const fetched = await Promise.all(
			entries.map(async entry => ({ entry, result: await this.client.fetchRecord(entry, requestId) })),
		);
		let foundCount = 0;
		for (const { entry, result } of fetched) {
			if (result.isErr()) {
				this.output.writeError(renderClientFault(entry, result.error));
				continue;
			}
			const { raw, value } = result.value;
			const separator = foundCount > 0 ? [''] : [];
			writeAnswer(this.output, this.options.isJson, raw, () => [...separator, ...renderExplain(value)]);
			foundCount++;
		}
		return foundCount > 0 ? ExitCode.Fine : ExitCode.NotRight;
	}
}
