/**
 * Executes a comparison. Each round measures each route in two parts: an open-loop part for latencies at a fixed
 * rate, and a closed-loop part for throughput per core.
 */

import type { Round, Route, RouteResult } from '../common/comparison';
import { orderRoutes } from '../common/comparison';
import type { LoadOptions } from '../common/loadOptions';
import { LoadMode } from '../common/loadOptions';
import type { LoadRunner } from './loadRunner';
import { readProcessorSeconds } from './processorTime';

/** A route and the options of its requests. */
export interface ComparedRoute {
	readonly way: Route;
	readonly options: LoadOptions;
	/** The process between caller and target, whose CPU time is measured. */
	readonly pid: number | undefined;
}

/** Runs the rounds of a comparison. */
export class ComparisonRunner {
	constructor(
		private readonly runner: LoadRunner,
		private readonly routes: readonly ComparedRoute[],
	) {}

	/** Sends load over each route for `durationMs`, so that no measured round includes a cold start. */
	async runWarmUp(durationMs: number): Promise<void> {
		for (const { options } of this.routes) {
			await this.runner.run({ ...options, mode: LoadMode.Closed, durationMs });
		}
	}

	async runRound(roundIndex: number): Promise<Round> {
		const results: RouteResult[] = [];
		const names = this.routes.map(({ way }) => way);
		for (const name of orderRoutes(names, roundIndex)) {
			const route = this.routes.find(({ way }) => way === name);
			if (route !== undefined) {
				results.push(await this.measureRoute(route));
			}
		}
		return results;
	}

	private async measureRoute({ way, options, pid }: ComparedRoute): Promise<RouteResult> {
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
