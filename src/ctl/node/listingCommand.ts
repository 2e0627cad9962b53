/**
 * Shows one answer of each queried entry as a table, for the commands that list organisations and the slowness of targets.
 */

import { ExitCode } from '../common/exitCode';
import { renderOrganisations } from '../common/renderOrganisations';
import { renderSlowness } from '../common/renderSlowness';
import { defaultMaxRows } from '../common/renderStatus';
import type { ICommand, ICommandOutput } from './command';
import { renderClientError, writeResult } from './command';
import type { FetchResult, OperatorsClient } from './operatorsClient';
import type { StatusOptions } from './statusCommand';

/** How an answer is fetched from an entry and rendered. */
export interface Listing<TAnswer> {
	readonly fetch: (entry: string) => Promise<FetchResult<TAnswer>>;
	readonly render: (answer: TAnswer, maxRows: number) => readonly string[];
}

export class ListingCommand<TAnswer> implements ICommand {
	constructor(
		private readonly output: ICommandOutput,
		private readonly options: StatusOptions,
		private readonly listing: Listing<TAnswer>,
	) {}

	/** Returns `Failure` if an entry returns no usable answer. */
	async run(): Promise<ExitCode> {
		const { entries } = this.options;
		const arePrinted = await Promise.all(entries.map(entry => this.printAnswer(entry)));
		return arePrinted.every(isPrinted => isPrinted) ? ExitCode.Success : ExitCode.Failure;
	}

	/** Returns whether the entry returned a usable answer. */
	private async printAnswer(entry: string): Promise<boolean> {
		const { entries, isJson, hasAllRows } = this.options;
		const fetched = await this.listing.fetch(entry);
		if (fetched.isErr()) {
			this.output.writeError(renderClientError(entry, fetched.error));
			return false;
		}
		const { value, raw } = fetched.value;
		const maxRows = hasAllRows ? Number.POSITIVE_INFINITY : defaultMaxRows;
		writeResult(this.output, isJson, raw, () => [
			...this.listing.render(value, maxRows),
			...(entries.length > 1 ? [''] : []),
		]);
		return true;
	}
}

export function createOrganisationsCommand(
	client: OperatorsClient,
	output: ICommandOutput,
	options: StatusOptions,
): ICommand {
	return new ListingCommand(output, options, {
		fetch: entry => client.fetchOrganisations(entry),
		render: renderOrganisations,
	});
}

export function createSlownessCommand(
	client: OperatorsClient,
	output: ICommandOutput,
	options: StatusOptions,
): ICommand {
	return new ListingCommand(output, options, {
		fetch: entry => client.fetchSlowness(entry),
		render: renderSlowness,
	});
}
