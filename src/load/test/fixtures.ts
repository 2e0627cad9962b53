/**
 * Creates load options and summaries for tests of the load tool.
 */

import type { LoadOptions } from '../common/loadOptions';
import { ArrivalProfile, LoadMode } from '../common/loadOptions';
import type { LoadSummary } from '../common/loadStatistics';

export function createOptions(more: Partial<LoadOptions> = {}): LoadOptions {
	return {
		targetUrls: ['http://127.0.0.1:9001'],
		path: '/echo',
		method: 'POST',
		bodyBytes: 64,
		ratePerSecond: 500,
		durationMs: 200,
		mode: LoadMode.Open,
		profile: ArrivalProfile.Poisson,
		connections: 4,
		seed: 7,
		isEcho: true,
		isOutcomeExpected: false,
		...more,
	};
}

export function createSummary(more: Partial<LoadSummary> = {}): LoadSummary {
	return {
		count: 100,
		ok: 100,
		refused: 0,
		failed: 0,
		okPerSecond: 100,
		p50Ms: 1,
		p90Ms: 2,
		p99Ms: 3,
		maxMs: 4,
		sendLagP99Ms: 0,
		reasons: [],
		...more,
	};
}
