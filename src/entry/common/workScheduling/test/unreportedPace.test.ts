import { computeTextHash } from '../../scheduling/prefixRanking';
import { WorkScheduler } from '../workScheduler';
import type { PromptKind } from './fleetCallers';
import type { FleetOptions } from './fleetSimulation';
import { runFleetSimulation } from './fleetSimulation';
import { createPosition } from './fleetPositions';
import { createEngineOptions } from './prefillEngine';

const timeoutMs = 60_000;

const drafts: PromptKind = {
	name: 'drafts',
	perSecond: 40,
	own: { mean: 3_000, spread: 0.8, max: 20_000 },
	shared: { mean: 6_000, spread: 0.5, max: 20_000 },
	sharedParts: 30,
	minOutputTokens: 30,
	maxOutputTokens: 60,
	urgency: 1,
	dueAfterMs: 800,
	deadlineMs: 5_000,
	leavingShare: 0.3,
	leaveAfterMs: 2_500,
	maxAttempts: 2,
	maxReturns: 2,
};

const fleet: FleetOptions = {
	entries: 6,
	engines: 4,
	engine: createEngineOptions(),
	kinds: [drafts, { ...drafts, name: 'questions', perSecond: 60, shared: undefined, urgency: 0 }],
	seconds: 4,
	maxReturnShare: 1 / 3,
	silenceFactor: 3,
};

/** Hashes of the results of all callers, by seed, as they were before targets could report their slowness. */
const digests = [
	[1, 1052995651],
	[2, 3230839151],
] as const;

describe('WorkScheduler with targets that report no slowness', () => {
	// Guards against a change of any decision in deployments whose load header has three figures.
	it.each(digests)(
		'decides with seed %i as it did before targets could report one',
		(seed, digest) => {
			const results = runFleetSimulation(
				(random, entries) => new WorkScheduler(random, () => createPosition(entries)),
				fleet,
				seed,
			);
			expect(computeTextHash(JSON.stringify(results))).toBe(digest);
		},
		timeoutMs,
	);
});
