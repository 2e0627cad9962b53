import { SeededRandom } from '../../../../base/common/random';
import type { RequestId } from '../../../../core/ids/common/ids';
import { AttemptEnd, SlownessSource } from '../../scheduling/serviceScheduler';
import { PaceMemory } from '../paceMemory';
import { TargetLoadModel } from '../targetLoadModel';
import { computeTypicalPace, TargetPace } from '../targetPace';
import { defaultWorkPolicy } from '../workPolicy';
import { createEngineTarget, createPromptedRequest, createUnsharedPrompt } from './engineSimulation';

const { estimate, queue, retry } = defaultWorkPolicy;
const seeds = [1, 2, 3];

function createPace(memory = new PaceMemory(estimate)): TargetPace {
	return new TargetPace(memory, estimate);
}

function createModel(): TargetLoadModel {
	const target = createEngineTarget('engine-1', { slots: 12, cacheTokens: 300_000 });
	return new TargetLoadModel(target, estimate, queue);
}

/** Reports at random times of targets that are slow in periods of the given length, a fifth of the time. */
function noteReports(memory: PaceMemory, periodMs: number, gapMs: number, seed: number): TargetPace {
	const random = new SeededRandom(seed);
	const pace = createPace(memory);
	let nextChangeMs = 0;
	let isSlow = false;
	for (let nowMs = 0; nowMs < 200_000; nowMs += 2 * gapMs * random.pickFraction()) {
		while (nowMs > nextChangeMs) {
			isSlow = !isSlow;
			nextChangeMs += isSlow ? periodMs : 8 * periodMs * random.pickFraction();
		}
		pace.noteReport(isSlow ? 1.75 : 0.7, nowMs);
	}
	return pace;
}

describe('PaceMemory', () => {
	// Guards against a fixed time for which reports are trusted, where slow periods of other deployments are longer.
	it.each(seeds)('learns how long slow periods last, seed %i', seed => {
		const short = new PaceMemory(estimate);
		const long = new PaceMemory(estimate);
		noteReports(short, 500, 600, seed);
		noteReports(long, 5_000, 600, seed);
		expect(short.computeShare(60)).toBeGreaterThan(0.6);
		expect(short.computeShare(900)).toBeLessThan(0.35);
		expect(long.computeShare(900)).toBeGreaterThan(0.5);
	});

	it('starts with a share that falls with the age', () => {
		const memory = new PaceMemory(estimate);
		expect(memory.computeShare(0)).toBe(1);
		expect(memory.computeShare(estimate.initialPaceTimeConstantMs)).toBeCloseTo(Math.exp(-1), 6);
	});
});

describe('TargetPace', () => {
	it.each(seeds)('averages over fast and slow periods, seed %i', seed => {
		const pace = noteReports(new PaceMemory(estimate), 500, 2_000, seed);
		expect(pace.lasting).toBeGreaterThan(0.7);
		expect(pace.lasting).toBeLessThan(1.3);
	});

	it('returns from the last report to the lasting slowness, and keeps that', () => {
		const pace = createPace();
		for (let nowMs = 0; nowMs < 100_000; nowMs += 5_000) {
			pace.noteReport(1, nowMs);
		}
		pace.noteReport(2.5, 100_000);
		expect(pace.estimate(100_000)).toBeCloseTo(2.5, 1);
		expect(pace.estimate(110_000)).toBeCloseTo(pace.lasting, 1);
		expect(pace.estimate(10_000_000)).toBeCloseTo(pace.lasting, 6);
	});

	// Guards against reports of one slow period, of which many arrive together, that count as many slow periods.
	it('counts reports shortly after each other as little more than one', () => {
		const pace = createPace();
		for (let nowMs = 0; nowMs < 100_000; nowMs += 5_000) {
			pace.noteReport(1, nowMs);
		}
		for (let nowMs = 100_000; nowMs < 100_050; nowMs++) {
			pace.noteReport(2.5, nowMs);
		}
		expect(pace.lasting).toBeLessThan(1.4);
	});

	it('takes a target that has not reported for as slow as the others', () => {
		const slow = createPace();
		slow.noteReport(2, 0);
		const unknown = createPace();
		const typical = computeTypicalPace([slow, unknown]);
		unknown.setTypical(typical);
		expect(typical).toBeGreaterThan(1);
		expect(unknown.lasting).toBe(typical);
		expect(unknown.source).toBe(SlownessSource.OtherTargets);
	});

	// Guards against a target that stops reporting after an update of its software and keeps its last slowness for ever.
	it('has the usual pace once a target answers without its slowness', () => {
		const pace = createPace();
		pace.noteReport(2, 0);
		pace.noteReport(undefined, 100);
		expect(pace.source).toBe(SlownessSource.Reports);
		pace.noteReport(undefined, 200);
		pace.noteReport(undefined, 300);
		expect(pace.source).toBe(SlownessSource.AnswerTimes);
		expect(pace.estimate(300)).toBe(1);
	});

	it('ignores the order in which reports arrive late', () => {
		const pace = createPace();
		pace.noteReport(1, 1_000);
		pace.noteReport(9, 500);
		expect(pace.estimate(1_000)).toBeCloseTo(1, 6);
	});
});

/** Answers of a target, with the times of its true slowness and the reports of the claimed one. */
function noteAnswers(model: TargetLoadModel, trueSlowness: number, claimed: number | undefined): void {
	for (let answer = 0; answer < 30; answer++) {
		const startedMs = answer * 5_000;
		const id = `r-${answer}` as RequestId;
		const times = { dueAfterMs: 1_000, deadlineMs: 9_000, urgency: 0 };
		const request = createPromptedRequest(id, createUnsharedPrompt(id, 3_500), times, startedMs);
		const endMs = startedMs + model.computeIdleFirstByteMs(request) * trueSlowness;
		model.noteStart(request, false, 0, startedMs);
		model.noteLoad({ running: 1, waiting: 0, slots: 12, ageMs: 0, slowness: claimed }, endMs);
		model.noteFirstByte(id, endMs);
		model.noteEnd(id, AttemptEnd.Answered, retry, endMs);
	}
}

describe('TargetLoadModel with a reported slowness', () => {
	// Guards against a slowness that counts twice, once as reported and once by answer times.
	it('expects the true time of a target that reports truly', () => {
		const model = createModel();
		noteAnswers(model, 2.5, 2.5);
		const { lasting, correction, source } = model.describeSlowness(200_000);
		expect(lasting).toBeCloseTo(2.5, 0);
		expect(correction).toBe(1);
		expect(source).toBe(SlownessSource.Reports);
	});

	// Guards against a target that all entries overload because it claims to be fast.
	it('corrects by answer times a target that always claims to be fast', () => {
		const model = createModel();
		noteAnswers(model, 1.7, 0.7);
		expect(model.describeSlowness(200_000).lasting).toBeGreaterThan(1.5);
	});

	it('learns from answer times alone where a target reports nothing', () => {
		const model = createModel();
		noteAnswers(model, 2.5, undefined);
		const { lasting, source, reportAgeMs } = model.describeSlowness(200_000);
		expect(lasting).toBeCloseTo(2.5, 0);
		expect(source).toBe(SlownessSource.AnswerTimes);
		expect(reportAgeMs).toBeUndefined();
	});

	it('forgets the reports of a process that has been replaced', () => {
		const model = createModel();
		noteAnswers(model, 2.5, 2.5);
		const { description } = model;
		model.setTarget({ ...description, registered: { ...description.registered!, generation: 2 } });
		expect(model.describeSlowness(200_000)).toMatchObject({
			lasting: 1,
			source: SlownessSource.OtherTargets,
		});
	});
});
