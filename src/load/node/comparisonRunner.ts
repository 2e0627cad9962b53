/**
 * Carries a comparison out: for each round and each way an open part, which gives latencies at a fixed
 * rate, and a closed part, which gives the throughput for each core.
 */

import type { Round, Way, WayResult } from '../common/comparison';
import { orderWays } from '../common/comparison';
import type { LoadOptions } from '../common/loadOptions';
import { LoadMode } from '../common/loadOptions';
import type { LoadRunner } from './loadRunner';
import { readProcessorSeconds } from './processorTime';

/** A way and what its requests look like. */
export interface ComparedWay {
	readonly way: Way;
	readonly options: LoadOptions;
	/** The process between caller and target, whose processor time is counted. */
	readonly pid: number | undefined;
}

/** Alternates rounds between the ways. */
export class ComparisonRunner {
	constructor(
		private readonly runner: LoadRunner,
		private readonly ways: readonly ComparedWay[],
	) {}

	/** Runs each way once for `durationMs`, so that no measured round pays for a cold start. */
	async start(durationMs: number): Promise<void> {
		for (const { options } of this.ways) {
			await this.runner.run({ ...options, mode: LoadMode.Closed, durationMs });
		}
	}

	async runRound(roundIndex: number): Promise<Round> {
		const results: WayResult[] = [];
		const names = this.ways.map(({ way }) => way);
		for (const name of orderWays(names, roundIndex)) {
			const compared = this.ways.find(({ way }) => way === name);
			if (compared !== undefined) {
				results.push(await this.measure(compared));
			}
		}
		return results;
	}

	private async measure({ way, options, pid }: ComparedWay): Promise<WayResult> {
		const open = await this.runner.run({ ...options, mode: LoadMode.Open });
		const before = await this.readSeconds(pid);
		const closed = await this.runner.run({ ...options, mode: LoadMode.Closed });
		const after = await this.readSeconds(pid);
		const closedProcessorSeconds = before === undefined || after === undefined ? undefined : after - before;
		return { way, open, closed, closedProcessorSeconds };
	}

	private async readSeconds(pid: number | undefined): Promise<number | undefined> {
		return pid === undefined ? undefined : readProcessorSeconds(pid);
	}
}
