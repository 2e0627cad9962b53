import { CostBasedSendAwayPolicy } from '../../entry/common/sendAway/costBasedSendAwayPolicy';
import type { ISendAwayPolicy } from '../../entry/common/sendAway/sendAwayPolicy';
import { NeverSendAwayPolicy } from '../../entry/common/sendAway/sendAwayPolicy';
import type { IRandom } from '../../base/common/random';
import { ModelEnd } from '../common/entryModel';
import type { RegionEvent, RegionRecord, RegionResult } from '../common/regionExperiment';
import { RegionExperiment } from '../common/regionExperiment';
import { createQuestions } from '../common/scenarios/loads';
import { computeQuantile } from '../common/summary';

const bytesPerMegabit = 125;
const linkShare = 0.5;
/** Capacity of a region of four targets, as a fraction of the capacity of the default fleet. */
const regionCapacityFraction = 0.5;

function run(
	createPolicy: (random: IRandom) => ISendAwayPolicy,
	linkMegabitsPerSecond: number,
	events: readonly RegionEvent[] = [],
): RegionResult {
	const kind = { boundShare: 0.31, bodyBytes: 200_000, deadlineMs: 8_000 };
	return new RegionExperiment({
		seed: 3,
		regions: [
			{ name: 'busy', targetCount: 4, kinds: [createQuestions(1.4 * regionCapacityFraction, kind)] },
			{ name: 'idle', targetCount: 4, kinds: [createQuestions(0.3 * regionCapacityFraction, kind)] },
		],
		createPolicy,
		durationMs: 60_000,
		slots: 8,
		batchSlowdown: 0.25,
		cachedPrefixes: 64,
		oneWayMs: 55,
		linkBytesPerMs: linkMegabitsPerSecond * bytesPerMegabit,
		linkShare,
		answerBytes: 8_000,
		offerPeriodMs: 1_000,
		offerLagMs: 1_000,
		events,
	}).run();
}

const createCostBasedPolicy = (random: IRandom): ISendAwayPolicy => new CostBasedSendAwayPolicy(random);
const createNeverPolicy = (): ISendAwayPolicy => new NeverSendAwayPolicy();

function computeAnsweredShare(records: readonly RegionRecord[]): number {
	return records.filter(record => record.end === ModelEnd.Answered).length / records.length;
}

function computeP99(records: readonly RegionRecord[]): number {
	const answered = records.filter(record => record.end === ModelEnd.Answered);
	return computeQuantile(
		answered.map(record => record.endMs - record.plannedMs),
		0.99,
	);
}

describe('forwarding to another region, measured by the answers that callers receive', () => {
	// One region is overloaded and the other nearly idle. Without forwarding, a quarter of the requests of the
	// busy region are refused although the other region has free targets. A forwarded request must not be slower
	// than one that stays in its home region.
	it('answers more requests, answers forwarded requests faster, and never forwards bound requests', () => {
		const own = run(createCostBasedPolicy, 1_400);
		const baseline = run(createNeverPolicy, 1_400);
		const sent = own.records.filter(record => record.isSentAway);
		expect(sent.some(record => record.isHomeRegionOnly)).toBe(false);
		expect(computeAnsweredShare(own.records)).toBeGreaterThan(computeAnsweredShare(baseline.records) + 0.08);
		expect(computeAnsweredShare(sent)).toBeGreaterThan(0.98);
		expect(computeP99(sent)).toBeLessThan(
			computeP99(baseline.records.filter(record => !record.isHomeRegionOnly)),
		);
	});

	// The link has room for 30 such requests per second. Any further forwarded request would queue for the link.
	it('stays within its share of a link with low bandwidth', () => {
		const { links } = run(createCostBasedPolicy, 100);
		for (const link of links) {
			expect(link.maxBytesPerSecond).toBeLessThanOrEqual(link.bytesPerMs * linkShare * 1_000);
		}
		expect(Math.max(...links.map(link => link.totalBytes))).toBeGreaterThan(10_000_000);
	});

	// The idle region goes down for 15 s and returns with empty caches.
	it('stops forwarding to a region that is down and resumes gradually', () => {
		const events = [20_000, 35_000].map((atMs, index) => ({
			atMs,
			region: 'idle',
			apply: (targets: RegionResult['targets']) => {
				targets.forEach(target => {
					target.setDown(index === 0);
				});
			},
		}));
		const countSentAway = (fromMs: number, untilMs: number): number =>
			result.records.filter(r => r.isSentAway && r.plannedMs >= fromMs && r.plannedMs < untilMs).length;
		const result = run(createCostBasedPolicy, 1_400, events);
		expect(countSentAway(15_000, 20_000)).toBeGreaterThan(20);
		expect(countSentAway(26_000, 35_000)).toBe(0);
		expect(countSentAway(36_000, 38_000)).toBeLessThan(countSentAway(48_000, 50_000));
	});
});
