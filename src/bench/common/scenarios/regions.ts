/**
 * Load patterns with two regions that can forward requests to each other: load peaks at different times,
 * capacities that differ tenfold, and a region that goes down and returns with empty caches. 31 % of the
 * requests may be answered in their home region only.
 */

import type { IRandom } from '../../../base/common/random';
import type {
	ISendAwayPolicy,
	SendAwayDecision,
	SendAwayContext,
} from '../../../entry/common/sendAway/sendAwayPolicy';
import { CostBasedSendAwayPolicy } from '../../../entry/common/sendAway/costBasedSendAwayPolicy';
import { NeverSendAwayPolicy } from '../../../entry/common/sendAway/sendAwayPolicy';
import { ModelEnd } from '../entryModel';
import type { RegionEvent, RegionOptions, RegionRecord, RegionResult } from '../regionExperiment';
import { RegionExperiment } from '../regionExperiment';
import type { Figure, Scenario, ScenarioGoal, ScenarioReport } from '../scenario';
import { createFigure } from '../scenario';
import { computeQuantile } from '../summary';
import type { RequestKind } from '../workload';
import { createEvenPicker } from '../workload';
import type { LoadProfile } from './loads';
import { createQuestions, maxFleetThroughput } from './loads';

/** Baseline: forwards a request if no slot is free here and another region reported a free slot. */
class GreedyPolicy implements ISendAwayPolicy {
	decide({ localRoom, offers }: SendAwayContext): SendAwayDecision {
		const offer = offers.find(({ room }) => room.freeSlots > 0);
		const sendTo = localRoom.freeSlots <= 0 ? offer?.instance : undefined;
		return { sendTo, reason: 'greedy' };
	}

	recordEnd(): void {
		return;
	}
}

interface SendAwayContender {
	readonly name: string;
	readonly create: (random: IRandom) => ISendAwayPolicy;
}

const contenders: readonly SendAwayContender[] = [
	{ name: 'anvilroad', create: random => new CostBasedSendAwayPolicy(random) },
	{ name: 'no sending away', create: () => new NeverSendAwayPolicy() },
	{ name: 'greedy', create: () => new GreedyPolicy() },
];

const bytesPerMegabit = 125;
const linkShare = 0.5;
const homeOnlyShare = 0.31;
const durationMs = 240_000;
const periodMs = 120_000;
const targetsPerRegion = 4;
/** Capacity of a region of four targets, as a fraction of the capacity of the default fleet. */
const regionCapacityFraction = (targetsPerRegion * 8) / (maxFleetThroughput * 1.25);
const maxSwing = 0.1;

function createKinds(
	loadFraction: number,
	capacityFraction: number,
	profile: LoadProfile,
	maxOfProfile: number,
): RequestKind[] {
	return [
		createQuestions(
			loadFraction * capacityFraction,
			{
				boundShare: homeOnlyShare,
				bodyBytes: 200_000,
				deadlineMs: 8_000,
				pickPrefix: createEvenPicker('prefix', 64),
				coldMs: 300,
			},
			profile,
			maxOfProfile,
		),
	];
}

interface RegionScenarioOptions {
	readonly name: string;
	readonly pattern: string;
	readonly regions: readonly RegionOptions[];
	readonly linkMegabitsPerSecond: number;
	readonly events?: readonly RegionEvent[];
	/** Goals in addition to the goals that all region patterns share. */
	readonly createGoals?: (own: RegionResult, baseline: RegionResult) => ScenarioGoal[];
}

function run(scenario: RegionScenarioOptions, contender: SendAwayContender, seed: number): RegionResult {
	return new RegionExperiment({
		seed,
		regions: scenario.regions,
		createPolicy: contender.create,
		durationMs,
		slots: 8,
		batchSlowdown: 0.25,
		cachedPrefixes: 64,
		oneWayMs: 55,
		linkBytesPerMs: scenario.linkMegabitsPerSecond * bytesPerMegabit,
		linkShare,
		answerBytes: 8_000,
		offerPeriodMs: 1_000,
		offerLagMs: 1_000,
		events: scenario.events ?? [],
	}).run();
}

function computeP99(records: readonly RegionRecord[], matches: (record: RegionRecord) => boolean): number {
	const answered = records.filter(record => record.end === ModelEnd.Answered && matches(record));
	return computeQuantile(
		answered.map(record => record.endMs - record.plannedMs),
		0.99,
	);
}

function computeAnsweredShare(records: readonly RegionRecord[]): number {
	return records.filter(record => record.end === ModelEnd.Answered).length / records.length;
}

function computeLinkUse({ links }: RegionResult): number {
	return Math.max(0, ...links.map(link => link.maxBytesPerSecond / 1_000 / (link.bytesPerMs * linkShare)));
}

/**
 * Computes by how much the forwarded share of the first region changes on average from one span of ten seconds
 * to the next. Requests bound to their home region are left out.
 */
function computeSwing(records: readonly RegionRecord[]): number {
	const spanMs = 10_000;
	const shares: number[] = [];
	for (let fromMs = 0; fromMs < durationMs; fromMs += spanMs) {
		const inSpan = records.filter(
			record =>
				record.region === 'first' &&
				!record.isHomeRegionOnly &&
				record.plannedMs >= fromMs &&
				record.plannedMs < fromMs + spanMs,
		);
		shares.push(inSpan.filter(record => record.isSentAway).length / Math.max(1, inSpan.length));
	}
	const changes = shares.slice(1).map((share, index) => Math.abs(share - (shares[index] ?? 0)));
	return changes.reduce((sum, change) => sum + change, 0) / changes.length;
}

function listFigures(result: RegionResult): Figure[] {
	const { records, links, targets } = result;
	const sent = records.filter(record => record.isSentAway);
	const answered = records.filter(record => record.end === ModelEnd.Answered).length;
	const bytes = links.reduce((sum, link) => sum + link.totalBytes, 0);
	const slotMs = targets.reduce((sum, target) => sum + target.totals.slotMs, 0);
	return [
		createFigure('answered', computeAnsweredShare(records) * 100, '%'),
		createFigure(
			'p99',
			computeP99(records, () => true),
			'ms',
		),
		createFigure('sent away', (sent.length / records.length) * 100, '%'),
		createFigure('sent answered', computeAnsweredShare(sent) * 100, '%'),
		createFigure(
			'sent p99',
			computeP99(records, record => record.isSentAway),
			'ms',
		),
		createFigure('link / cap', computeLinkUse(result), ''),
		createFigure('swing per 10 s', computeSwing(records), ''),
		createFigure('slot-s per answer', slotMs / 1_000 / answered, 's'),
		createFigure('link kB per answer', bytes / 1_000 / answered, 'kB'),
	];
}

function createCommonGoals(own: RegionResult, baseline: RegionResult): ScenarioGoal[] {
	const sentP99 = computeP99(own.records, record => record.isSentAway);
	const baselineP99 = computeP99(baseline.records, record => !record.isHomeRegionOnly);
	return [
		{ text: 'p99 of sent beside staying', value: sentP99 / baselineP99, bound: 1, isLeast: false },
		{
			text: 'answered beside staying',
			value: computeAnsweredShare(own.records) / computeAnsweredShare(baseline.records),
			bound: 1,
			isLeast: true,
		},
		{ text: 'most of the link beside its cap', value: computeLinkUse(own), bound: 1, isLeast: false },
		{
			text: 'swing of the share per 10 s',
			value: computeSwing(own.records),
			bound: maxSwing,
			isLeast: false,
		},
	];
}

function createRegionScenario(options: RegionScenarioOptions): Scenario {
	const { name, pattern } = options;
	return {
		name,
		run(seed: number): ScenarioReport {
			const results = contenders.map(contender => run(options, contender, seed));
			const [own, baseline] = results;
			const rows = results.map((result, index) => ({
				contender: contenders[index]?.name ?? '',
				figures: listFigures(result),
			}));
			const goals = own === undefined || baseline === undefined ? [] : createCommonGoals(own, baseline);
			return { name, pattern, seed, rows, goals };
		},
	};
}

const meanLoad = 0.9;
const loadAmplitude = 0.6;

function createSineProfile(phase: number): LoadProfile {
	return nowMs => meanLoad + loadAmplitude * Math.sin((2 * Math.PI * nowMs) / periodMs + phase);
}

function createOffsetPeakRegions(): RegionOptions[] {
	return [0, Math.PI].map((phase, index) => ({
		name: index === 0 ? 'first' : 'second',
		targetCount: targetsPerRegion,
		kinds: createKinds(1, regionCapacityFraction, createSineProfile(phase), meanLoad + loadAmplitude),
	}));
}

/** The second region is down from second 60 to second 120 and receives no requests in that time. */
function createRegionsWithOutage(): RegionOptions[] {
	const isOut = (nowMs: number): boolean => nowMs >= 60_000 && nowMs < 120_000;
	return [
		{
			name: 'first',
			targetCount: targetsPerRegion,
			kinds: createKinds(1, regionCapacityFraction, () => 1.3, 1.3),
		},
		{
			name: 'second',
			targetCount: targetsPerRegion,
			kinds: createKinds(1, regionCapacityFraction, nowMs => (isOut(nowMs) ? 0 : 0.3), 0.3),
		},
	];
}

function createDownEvent(atMs: number, isDown: boolean): RegionEvent {
	return {
		atMs,
		region: 'second',
		apply: targets => {
			for (const target of targets) {
				target.setDown(isDown);
			}
		},
	};
}

export const regionScenarios: readonly Scenario[] = [
	createRegionScenario({
		name: 'offset peaks, 100 Mb/s',
		pattern: 'two regions between 0.3x and 1.5x in opposite phase, 200 kB a request',
		regions: createOffsetPeakRegions(),
		linkMegabitsPerSecond: 100,
	}),
	createRegionScenario({
		name: 'offset peaks, 1400 Mb/s',
		pattern: 'the same on a wide link',
		regions: createOffsetPeakRegions(),
		linkMegabitsPerSecond: 1_400,
	}),
	createRegionScenario({
		name: 'capacity tenfold apart',
		pattern: 'a region of one target at 1.5x beside one of ten at 0.5x',
		regions: [
			{ name: 'first', targetCount: 1, kinds: createKinds(1.5, regionCapacityFraction / 4, () => 1, 1) },
			{
				name: 'second',
				targetCount: 10,
				kinds: createKinds(0.5, (regionCapacityFraction * 10) / 4, () => 1, 1),
			},
		],
		linkMegabitsPerSecond: 100,
	}),
	createRegionScenario({
		name: 'region lost and cold',
		pattern: 'the first region at 1.3x beside one at 0.3x that is out for a minute and returns cold',
		regions: createRegionsWithOutage(),
		linkMegabitsPerSecond: 1_400,
		events: [createDownEvent(60_000, true), createDownEvent(120_000, false)],
	}),
];
