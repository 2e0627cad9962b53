/**
 * `anvilroadctl explain`: shows the decisions made on one request. All given entries are queried, because a
 * request that was forwarded has a record at both entries. Entries without a record are reported only if no entry
 * has one.
 */

import type { ExplainAnswer } from '../../core/status/common/operatorsAnswers';
import { ExitCode } from '../common/exitCode';
import { renderExplain } from '../common/renderExplain';
import type { CommonOptions, ICommand, ICommandOutput } from './command';
import { renderClientError, writeResult } from './command';
import type { FetchedAnswer, OperatorsClient } from './operatorsClient';
import { ClientErrorKind } from './operatorsClient';

export interface ExplainOptions extends CommonOptions {
	readonly requestId: string;
}

export class ExplainCommand implements ICommand {
	constructor(
		private readonly client: OperatorsClient,
		private readonly output: ICommandOutput,
		private readonly options: ExplainOptions,
	) {}

	/** Returns `Failure` if no queried entry has a record of the request. */
	async run(): Promise<ExitCode> {
		const { entries, requestId, isJson } = this.options;
		const fetched = await Promise.all(
			entries.map(async entry => ({ entry, result: await this.client.fetchRequestRecord(entry, requestId) })),
		);
		const found = fetched.flatMap(({ result }) => (result.isOk() ? [result.value] : []));
		for (const { entry, result } of fetched) {
			if (result.isErr() && (found.length === 0 || result.error.kind !== ClientErrorKind.NotFound)) {
				this.output.writeError(renderClientError(entry, result.error));
			}
		}
		for (const [index, { value, raw }] of sortByArrival(found).entries()) {
			const separator = index > 0 ? [''] : [];
			writeResult(this.output, isJson, raw, () => [...separator, ...renderExplain(value)]);
		}
		return found.length > 0 ? ExitCode.Success : ExitCode.Failure;
	}
}

/** Sorts by arrival time, so that the entry that received the request comes before those it was forwarded to. */
function sortByArrival(records: readonly FetchedAnswer<ExplainAnswer>[]): FetchedAnswer<ExplainAnswer>[] {
	return [...records].sort((left, right) => left.value.at.localeCompare(right.value.at));
}
