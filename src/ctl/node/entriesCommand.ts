/**
 * `anvilroadctl entries`: lists the entries of the fleet, one line for each.
 */

import { ExitCode } from '../common/exitCode';
import { findManifestDifferences, renderEntries } from '../common/renderEntries';
import type { EntryStatus } from '../../core/status/common/entryStatus';
import type { CommonOptions, ICommand, ICommandOutput } from './command';
import { renderClientError, writeResult } from './command';
import type { FetchedAnswer, OperatorsClient } from './operatorsClient';

export class EntriesCommand implements ICommand {
	constructor(
		private readonly client: OperatorsClient,
		private readonly output: ICommandOutput,
		private readonly options: CommonOptions,
	) {}

	/** Returns `Failure` if a queried entry is unreachable or not ready, or if manifests differ. */
	async run(): Promise<ExitCode> {
		const fetched = await Promise.all(this.options.entries.map(entry => this.fetchFrom(entry)));
		const found = fetched.filter(one => one !== undefined);
		const statuses = found.map(one => one.value);
		if (found.length > 0) {
			writeResult(
				this.output,
				this.options.isJson,
				{ entries: found.map(one => one.raw), differences: findManifestDifferences(statuses) },
				() => renderEntries(statuses),
			);
		}
		const isRight =
			found.length === fetched.length &&
			statuses.every(status => status.readiness.isReady) &&
			findManifestDifferences(statuses).length === 0;
		return isRight ? ExitCode.Success : ExitCode.Failure;
	}

	private async fetchFrom(entry: string): Promise<FetchedAnswer<EntryStatus> | undefined> {
		const fetched = await this.client.fetchStatus(entry);
		if (fetched.isErr()) {
			this.output.writeError(renderClientError(entry, fetched.error));
			return undefined;
		}
		return fetched.value;
	}
}
