/**
 * Requests of all kinds while paths to targets and between entries are cut and opened again, targets fail in each way or are
 * removed, and entries stop, all drawn from a seed.
 *
 * For a long run, set the seeds: `CUT_SEEDS=$(seq -s, 1 200) npx jest src/entry/node/test/drawnCuts.test.ts`.
 */

import { SeededRandom } from '../../../base/common/random';
import { RouteKind } from '../../../core/manifest/common/routes';
import type { CapturingSink } from '../requests/test/flowFixtures';
import { CutOffRegions } from './cutOffRegion';
import type { RoutedRequest } from './routedRequests';
import type { Reply } from './scriptedTargetClient';
import { CutMode, ReplyKind, wholeReply } from './scriptedTargetClient';

const shortRunSeeds = Array.from({ length: 40 }, (_, index) => index + 1);
const seeds = process.env.CUT_SEEDS?.split(',').map(Number) ?? shortRunSeeds;
const settleMs = 12_000;
const callersMs = 16_000;
/** Two steps of the clock, and the way of a message between entries. */
const toleranceMs = 30;
const pauseBetweenRequestsMs = 40;
const pauseBetweenChangesMs = 600;
const maxLimitMs = 4_000;
const minLimitMs = 200;

interface SentRequest extends RoutedRequest {
	readonly number: number;
	readonly entry: string;
	readonly sentMs: number;
	readonly sink: CapturingSink;
}

/** A request that had no answer at its deadline, or two. */
interface UnansweredRequest extends RoutedRequest {
	readonly number: number;
	readonly entry: string;
	readonly sentMs: number;
	readonly answers: number;
}

function pick<T>(random: SeededRandom, items: readonly T[]): T {
	return items[random.pickBelow(items.length)]!;
}

function pickReply(random: SeededRandom): Reply {
	const isWhole = random.pickFraction() < 0.8;
	const kind = isWhole ? ReplyKind.Whole : pick(random, Object.values(ReplyKind));
	const runMs = random.pickFraction() < 0.1 ? random.pickBelow(3_000) : wholeReply.runMs;
	return { kind, runMs, hasPart: random.pickFraction() < 0.5 };
}

function pickRequest(random: SeededRandom): RoutedRequest {
	const kind = pick(random, Object.values(RouteKind));
	return {
		kind,
		isResumable: kind === RouteKind.Stream && random.pickFraction() < 0.7,
		attempts: 1 + random.pickBelow(3),
		limitMs: minLimitMs + random.pickBelow(maxLimitMs - minLimitMs),
	};
}

/** The entries and callers of one seed. */
class DrawnCuts {
	private readonly random: SeededRandom;
	private readonly site: CutOffRegions;
	private readonly sent: SentRequest[] = [];
	private readonly broken: UnansweredRequest[] = [];

	constructor(seed: number) {
		this.random = new SeededRandom(seed);
		this.site = new CutOffRegions({
			entriesPerRegion: 1 + this.random.pickBelow(3),
			targetsPerRegion: 1 + this.random.pickBelow(4),
			requestsPerSecond: 0,
			isRegionRequired: this.random.pickFraction() < 0.3,
			isRepeatable: true,
			mode: pick(this.random, Object.values(CutMode)),
			seed,
			pickReply,
		});
	}

	async run(): Promise<readonly UnansweredRequest[]> {
		const { site } = this;
		await site.advance(settleMs);
		const untilMs = site.timers.getNow() + callersMs;
		this.scheduleRepeatedly(pauseBetweenRequestsMs, untilMs, () => {
			this.send();
		});
		this.scheduleRepeatedly(pauseBetweenChangesMs, untilMs, () => {
			this.applyChange();
		});
		await site.advance(callersMs + maxLimitMs + toleranceMs);
		site.dispose();
		return this.broken;
	}

	/** Lists what the metrics of all entries show of requests that were not ended in time. */
	async listOverdue(): Promise<readonly string[]> {
		return (await Promise.all(this.site.entries.map(entry => entry.listOverdue()))).flat();
	}

	countSent(): number {
		return this.sent.length;
	}

	private scheduleRepeatedly(meanMs: number, untilMs: number, run: () => void): void {
		const { timers } = this.site;
		const pauseMs = Math.round(-Math.log(1 - this.random.pickFraction()) * meanMs);
		timers.schedule(pauseMs, () => {
			if (timers.getNow() < untilMs) {
				run();
				this.scheduleRepeatedly(meanMs, untilMs, run);
			}
		});
	}

	private send(): void {
		const { site, random, sent } = this;
		// Callers of the first region, to which requests with a home are bound.
		const entry = pick(random, site.listIn('kingston'));
		if (entry.hasStopped()) {
			return;
		}
		const routed = pickRequest(random);
		const sink = site.sendRouted(entry, routed);
		const request = { ...routed, number: sent.length, entry: entry.id, sentMs: site.timers.getNow(), sink };
		sent.push(request);
		site.timers.schedule(routed.limitMs + toleranceMs, () => {
			this.checkAnswers(request);
		});
	}

	private checkAnswers({ sink, ...request }: SentRequest): void {
		const ends = [sink.hasEnded, sink.isCut, sink.refusal !== undefined];
		const answers = ends.filter(Boolean).length;
		if (answers !== 1) {
			this.broken.push({ ...request, answers });
		}
	}

	private applyChange(): void {
		const { site, random } = this;
		const entry = pick(random, site.entries);
		const changes: readonly (() => void)[] = [
			() => {
				site.cut([entry]);
			},
			() => {
				site.cut(site.listIn('kingston'));
			},
			() => {
				site.cut(site.entries);
			},
			() => {
				site.openPaths([entry]);
			},
			() => {
				site.openPaths();
			},
			() => {
				site.openPaths();
			},
			() => {
				site.setPeersCut(entry, pick(random, site.entries), true);
			},
			() => {
				site.setPeersCut(entry, pick(random, site.entries), false);
			},
			() => {
				if (random.pickFraction() < 0.2) {
					entry.removeTarget(random.pickBelow(site.options.targetsPerRegion));
				}
			},
			() => {
				if (random.pickFraction() < 0.1) {
					entry.stop();
				}
			},
		];
		pick(random, changes)();
	}
}

jest.setTimeout(30_000);

describe('a request while paths are cut, targets fail and entries stop', () => {
	// Guards against callers that get no answer by their deadline, or two, since their request waits where nothing serves it.
	it.each(seeds)('has one answer at its deadline or the timeout of its route: seed %d', async seed => {
		const cuts = new DrawnCuts(seed);
		const broken = await cuts.run();
		const overdue = await cuts.listOverdue();
		expect({ seed, broken, overdue }).toEqual({ seed, broken: [], overdue: [] });
		expect(cuts.countSent()).toBeGreaterThan(0);
	});
});
