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
/** A region of four targets has half of the capacity that loads are told in. */
const regionPart = 0.5;

function run(
	createPolicy: (random: IRandom) => ISendAwayPolicy,
	megabits: number,
	events: readonly RegionEvent[] = [],
): RegionResult {
	const kind = { boundShare: 0.31, bodyBytes: 200_000, deadlineMs: 8_000 };
	return new RegionExperiment({
		seed: 3,
		regions: [
			{ name: 'busy', targetCount: 4, kinds: [createQuestions(1.4 * regionPart, kind)] },
			{ name: 'idle', targetCount: 4, kinds: [createQuestions(0.3 * regionPart, kind)] },
		],
		createPolicy,
		durationMs: 60_000,
		slots: 8,
		batchSlowdown: 0.25,
		cachedPrefixes: 64,
		oneWayMs: 55,
		linkBytesPerMs: megabits * bytesPerMegabit,
		linkShare,
		answerBytes: 8_000,
		offerPeriodMs: 1_000,
		offerLagMs: 1_000,
		events,
	}).run();
}

const send = (random: IRandom): ISendAwayPolicy => new CostBasedSendAwayPolicy(random);
const stay = (): ISendAwayPolicy => new NeverSendAwayPolicy();

function computeAnswered(records: readonly RegionRecord[]): number {
	return records.filter(record => record.end === ModelEnd.Answered).length / records.length;
}

function computeP99(records: readonly RegionRecord[]): number {
	const answered = records.filter(record => record.end === ModelEnd.Answered);
	return computeQuantile(
		answered.map(record => record.endMs - record.plannedMs),
		0.99,
	);
}

describe('sending away, by what callers receive', () => {
	// One region has its peak while the other idles. Without sending away a quarter of the busy one's callers
	// is refused beside free targets; what is sent must not be worse off than if it had stayed.
	it('answers more than staying does, sooner for those that are sent, and leaves bound requests at home', () => {
		const own = run(send, 1_400);
		const home = run(stay, 1_400);
		const sent = own.records.filter(record => record.isSentAway);
		expect(sent.some(record => record.isHomeRegionOnly)).toBe(false);
		expect(computeAnswered(own.records)).toBeGreaterThan(computeAnswered(home.records) + 0.08);
		expect(computeAnswered(sent)).toBeGreaterThan(0.98);
		expect(computeP99(sent)).toBeLessThan(
			computeP99(home.records.filter(record => !record.isHomeRegionOnly)),
		);
	});

	// The link carries 30 such requests a second. Beyond that each request sent would wait for the link.
	it('keeps to its part of a thin link', () => {
		const { links } = run(send, 100);
		for (const link of links) {
			expect(link.maxBytesPerSecond).toBeLessThanOrEqual(link.bytesPerMs * linkShare * 1_000);
		}
		expect(Math.max(...links.map(link => link.totalBytes))).toBeGreaterThan(10_000_000);
	});

	// The idle region is lost for a while and comes back with cold caches.
	it('stops sending to a region that is lost and climbs back in steps', () => {
		const events = [20_000, 35_000].map((atMs, index) => ({
			atMs,
			region: 'idle',
			apply: (targets: RegionResult['targets']) => {
				targets.forEach(target => {
					target.setDown(index === 0);
				});
			},
		}));
		const sentIn = (fromMs: number, untilMs: number): number =>
			result.records.filter(r => r.isSentAway && r.plannedMs >= fromMs && r.plannedMs < untilMs).length;
		const result = run(send, 1_400, events);
		expect(sentIn(15_000, 20_000)).toBeGreaterThan(20);
		expect(sentIn(26_000, 35_000)).toBe(0);
		expect(sentIn(36_000, 38_000)).toBeLessThan(sentIn(48_000, 50_000));
	});
});
