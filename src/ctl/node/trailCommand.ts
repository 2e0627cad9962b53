/**
 * `anvilroadctl trail`: prints the newest audit records of entries and, with `--follow`, new records as they arrive.
 */

import { subscribeTo } from '../../base/common/channel';
import type { ITimerService } from '../../base/common/timerService';
import type { TrailAnswer } from '../../core/status/common/operatorsAnswers';
import { ExitCode } from '../common/exitCode';
import type { InstanceTrailRecord } from '../common/renderTrail';
import { mergeTrails, renderTrailRecord } from '../common/renderTrail';
import type { CommonOptions, ICommand, ICommandOutput } from './command';
import { renderClientError, writeResult } from './command';
import type { OperatorsClient } from './operatorsClient';

export interface TrailOptions extends CommonOptions {
	readonly maxRecords: number;
	readonly isFollowing: boolean;
}

/** Interval between two reads of a followed entry. */
const followPeriodMs = 1_000;

/** Maximum records that one read of a followed entry returns. */
const maxFollowedRecords = 10_000;

/** The position up to which the audit trail of an entry has been read. */
interface ReadPosition {
	boot: string;
	sequence: number;
	/** Whether the last read failed. Only the first of several failed reads in a row is reported. */
	isFailing: boolean;
}

export class TrailCommand implements ICommand {
	private readonly positions = new Map<string, ReadPosition>();
	private isReading = false;

	/** @param stopSignal Ends `--follow`, aborted on SIGINT. */
	constructor(
		private readonly client: OperatorsClient,
		private readonly timerService: ITimerService,
		private readonly output: ICommandOutput,
		private readonly options: TrailOptions,
		private readonly stopSignal: AbortSignal,
	) {}

	/**
	 * Returns `Failure` if an entry cannot be reached. With `--follow`, unreachable entries are retried until the
	 * command is stopped.
	 */
	async run(): Promise<ExitCode> {
		await this.readAll(this.options.maxRecords);
		const areAllReachable = [...this.positions.values()].every(position => !position.isFailing);
		if (!this.options.isFollowing) {
			return areAllReachable ? ExitCode.Success : ExitCode.Failure;
		}
		await this.followUntilStopped();
		return ExitCode.Success;
	}

	private async followUntilStopped(): Promise<void> {
		const ticks = subscribeTo(this.timerService.watchTicks(followPeriodMs), () => {
			void this.readAll(maxFollowedRecords);
		});
		if (!this.stopSignal.aborted) {
			await new Promise<void>(resolve => {
				this.stopSignal.addEventListener('abort', () => {
					resolve();
				});
			});
		}
		ticks.dispose();
	}

	private async readAll(maxRecords: number): Promise<void> {
		if (this.isReading) {
			return;
		}
		this.isReading = true;
		const trails = await Promise.all(this.options.entries.map(entry => this.readFrom(entry, maxRecords)));
		this.isReading = false;
		for (const trailRecord of mergeTrails(trails)) {
			const json = { instance: trailRecord.instance, ...trailRecord.record };
			writeResult(this.output, this.options.isJson, json, () => [renderTrailRecord(trailRecord)]);
		}
	}

	private async readFrom(entry: string, maxRecords: number): Promise<InstanceTrailRecord[]> {
		const position = this.findPosition(entry);
		const fetched = await this.client.fetchTrail(entry, maxRecords, position.sequence);
		if (fetched.isErr()) {
			if (!position.isFailing) {
				this.output.writeError(renderClientError(entry, fetched.error));
			}
			position.isFailing = true;
			return [];
		}
		position.isFailing = false;
		return this.acceptAnswer(entry, position, fetched.value.value, maxRecords);
	}

	/** A restarted entry numbers its records from 1 again, so a read that used the old position is repeated from 0. */
	private async acceptAnswer(
		entry: string,
		position: ReadPosition,
		answer: TrailAnswer,
		maxRecords: number,
	): Promise<InstanceTrailRecord[]> {
		const hasRestarted = position.boot !== '' && position.boot !== answer.boot;
		position.boot = answer.boot;
		if (hasRestarted) {
			this.output.writeError(`${entry}: ${answer.instance} was restarted`);
			position.sequence = 0;
			return this.readFrom(entry, maxRecords);
		}
		position.sequence = answer.records.at(-1)?.sequence ?? position.sequence;
		return answer.records.map(record => ({ instance: answer.instance, record }));
	}

	private findPosition(entry: string): ReadPosition {
		const position = this.positions.get(entry) ?? { boot: '', sequence: 0, isFailing: false };
		this.positions.set(entry, position);
		return position;
	}
}
