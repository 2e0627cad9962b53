import type { InstanceId, TargetId } from '../../../core/ids/common/ids';
import type { ColdFleetOptions } from './coldTargetFleet';
import { ColdTargetFleet } from './coldTargetFleet';

/** Excess and slack over the declared rate at which a cold target crashes. */
const coldExcess = 1.5;
const coldSlack = 3;

const settleMs = 30_000;
const returnSpreadMs = 1_300;

/** The trouble of the entries around the return of the targets, as shares of them. */
interface Trouble {
	/** Killed up to a second before the first target starts, and started again before the last one has. */
	readonly restarted: number;
	readonly stalled: number;
	/** Share of the pairs of entries that can't exchange views. */
	readonly cutPairs: number;
}

interface Site extends Omit<ColdFleetOptions, 'seed'> {
	readonly name: string;
}

const sites: readonly Site[] = [
	{
		name: '28 entries',
		entries: 28,
		targets: 6,
		requestsPerSecond: 5.3,
		coldMs: 3_000,
	},
	{
		name: '2 entries',
		entries: 2,
		targets: 4,
		requestsPerSecond: 2.4,
		coldMs: 6_000,
	},
	{
		name: '26 entries, low rate',
		entries: 26,
		targets: 6,
		requestsPerSecond: 2.4,
		coldMs: 6_000,
	},
];

const troubles: readonly (Trouble & { readonly name: string })[] = [
	{ name: 'no trouble', restarted: 0, stalled: 0, cutPairs: 0 },
	{ name: 'entries that start', restarted: 0.6, stalled: 0, cutPairs: 0 },
	{ name: 'all entries starting', restarted: 1, stalled: 0, cutPairs: 0 },
	{ name: 'entries that stall', restarted: 0, stalled: 0.6, cutPairs: 0 },
	{ name: 'entries that suspect one another', restarted: 0, stalled: 0, cutPairs: 0.5 },
	{ name: 'entries that start while cut off from each other', restarted: 0.5, stalled: 0, cutPairs: 0.5 },
	{ name: 'all entries starting while cut off from each other', restarted: 1, stalled: 0, cutPairs: 1 },
	{ name: 'all of it', restarted: 0.4, stalled: 0.4, cutPairs: 0.4 },
];

const seeds = [1, 2];

function listTargets(count: number): readonly TargetId[] {
	return Array.from({ length: count }, (_, index) => `engine-${index}` as TargetId);
}

function cutPairs(fleet: ColdTargetFleet, share: number): void {
	for (const [index, left] of fleet.entryIds.entries()) {
		for (const right of fleet.entryIds.slice(index + 1)) {
			if (fleet.random.pickFraction() < share) {
				fleet.cutPair(left, right);
			}
		}
	}
}

function scheduleTrouble(fleet: ColdTargetFleet, { restarted, stalled }: Trouble): void {
	const { timers, random } = fleet;
	const restart = (id: InstanceId): void => {
		timers.schedule(1_000 * random.pickFraction(), () => {
			fleet.killEntry(id);
		});
		timers.schedule(1_000 + returnSpreadMs * random.pickFraction(), () => {
			fleet.startEntry(id);
		});
	};
	for (const id of fleet.entryIds) {
		if (random.pickFraction() < restarted) {
			restart(id);
		} else if (random.pickFraction() < stalled) {
			timers.schedule(1_000 + returnSpreadMs * random.pickFraction(), () => {
				fleet.pauseEntry(id, 2_500 * random.pickFraction());
			});
		}
	}
}

/** Returns all targets of a region, cold, while its entries are in trouble, and runs on until a second after the last is warm. */
async function runReturn(options: ColdFleetOptions, trouble: Trouble): Promise<ColdTargetFleet> {
	const fleet = new ColdTargetFleet(options);
	await fleet.advance(settleMs);
	cutPairs(fleet, trouble.cutPairs);
	// Long enough for entries to suspect those that they can't reach.
	await fleet.advance(trouble.cutPairs > 0 ? 10_000 : 0);
	scheduleTrouble(fleet, trouble);
	for (const target of listTargets(options.targets)) {
		fleet.timers.schedule(1_000 + returnSpreadMs * fleet.random.pickFraction(), () => {
			fleet.startTarget(target);
		});
	}
	await fleet.advance(1_000 + returnSpreadMs + options.coldMs);
	return fleet;
}

jest.setTimeout(120_000);

describe.each(sites)('targets that return cold to a region of $name', site => {
	const bound = site.requestsPerSecond * coldExcess + coldSlack;

	// Guards against floods at cold targets if entries disagree about who is live, and against a limit that keeps callers
	// waiting although the targets are warm.
	describe.each(troubles)('with $name', trouble => {
		it('get no more than they bear, and serve again once they are warm', async () => {
			for (const seed of seeds) {
				const fleet = await runReturn({ ...site, seed }, trouble);
				const busiest = fleet.countBusiestColdSecond();
				expect({ seed, isFlooded: busiest > bound, busiest }).toEqual({ seed, isFlooded: false, busiest });
				await fleet.advance(1_000);
				expect(fleet.countServingTargets()).toBe(site.targets);
				fleet.dispose();
			}
		});
	});

	// Guards against a limit that leaves cold targets idle, so that a region that is back turns its callers away.
	it('serve at least half of the rate that they bear while they are cold, if the entries are well', async () => {
		for (const seed of seeds) {
			const fleet = await runReturn({ ...site, seed }, troubles[0]!);
			const borne = (site.targets * site.requestsPerSecond * site.coldMs) / 1_000;
			expect(fleet.countColdArrivals()).toBeGreaterThanOrEqual(borne / 2);
			fleet.dispose();
		}
	});
});
