import { RequestClass } from '../../core/requests/common/requestClass';
import { fifo, leastInFlight, ours, oursWithoutBudget, randomChoice } from '../common/contenders';
import type { Contender } from '../common/contenders';
import { ModelEnd } from '../common/entryModel';
import type { CallerRecord, ExperimentOptions, ExperimentResult } from '../common/experiment';
import { defaultExperiment, Experiment, ResendRule } from '../common/experiment';
import { createDrafts, createMixedLoad, createQuestions } from '../common/scenarios/loads';
import { computeAnsweredShare, computeLatency, computeSummary } from '../common/summary';
import type { RequestKind } from '../common/workload';
import { createEvenPicker } from '../common/workload';

function run(
	contender: Contender,
	kinds: readonly RequestKind[],
	overrides: Partial<ExperimentOptions> = {},
): ExperimentResult {
	const options = { ...defaultExperiment, seed: 5, durationMs: 30_000, kinds };
	return new Experiment({ ...options, createScheduler: contender.create, ...overrides }).run();
}

function computeP99({ records }: ExperimentResult): number {
	return computeLatency(records, RequestClass.Urgent, 0.99);
}

function isRefused(record: CallerRecord): boolean {
	return record.end === ModelEnd.Refused;
}

describe('scheduling under load, measured by the answers that callers receive', () => {
	// Requests arrive at four times the capacity of the targets. Without admission control nearly every answer
	// misses its deadline, so the work of the targets is wasted.
	it('keeps its goodput in a burst and refuses the excess requests at once', () => {
		const burst = run(ours, [createQuestions(4)]);
		const full = run(ours, [createQuestions(1)]);
		expect(computeSummary(burst).goodput).toBeGreaterThan(0.95 * computeSummary(full).goodput);
		expect(computeSummary(burst).failedShare).toBeLessThan(0.001);
		expect(computeSummary(burst).longestRefusalMs).toBeLessThan(300);
		expect(computeSummary(run(fifo, [createQuestions(4)])).goodput).toBeLessThan(
			0.5 * computeSummary(burst).goodput,
		);
	});

	// Mixed requests arrive at three times the capacity for the whole run.
	it('has a higher goodput than every baseline under lasting overload', () => {
		const overrides = { durationMs: 60_000, countFromMs: 20_000 };
		const own = computeSummary(run(ours, createMixedLoad(3), overrides)).goodput;
		for (const baseline of [fifo, leastInFlight, randomChoice]) {
			expect(computeSummary(run(baseline, createMixedLoad(3), overrides)).goodput).toBeLessThan(own);
		}
	});

	// One organisation sends ten times its share. Requests of the other organisations must still be answered.
	it('answers nine organisations as usual while a tenth sends ten times its share', () => {
		const pickOrganisation = createEvenPicker('organisation', 19);
		const isHot = (name: string): boolean => Number(name.split('-')[1]) >= 9;
		const kinds = [
			createQuestions(1.52, {
				pickOrganisation: random => {
					const name = pickOrganisation(random);
					return isHot(name) ? 'hot' : name;
				},
			}),
		];
		const computeOthersShare = (contender: Contender): number =>
			computeAnsweredShare(run(contender, kinds).records, record => record.organisation !== 'hot');
		expect(computeOthersShare(ours)).toBeGreaterThan(0.99);
		expect(computeOthersShare(leastInFlight)).toBeLessThan(0.7);
	});

	// One target answers five times slower. If the scheduler kept using it as before, one caller in eight would
	// wait for the slow target.
	it('raises the p99 latency by less than 20 % when one target of eight is slow', () => {
		const events = [{ atMs: 0, apply: (targets: ExperimentResult['targets']) => targets[0]?.setSpeed(0.2) }];
		const overrides = { countFromMs: 10_000 };
		const healthy = computeP99(run(ours, [createQuestions(0.5)], overrides));
		const slow = { ...overrides, events: events as ExperimentOptions['events'] };
		expect(computeP99(run(ours, [createQuestions(0.5)], slow)) / healthy).toBeLessThan(1.2);
		expect(computeP99(run(leastInFlight, [createQuestions(0.5)], slow)) / healthy).toBeGreaterThan(1.5);
	});

	// Drafts of 30 to 60 s fill all slots. Questions, which take 0.3 s, must not wait for the drafts to end.
	it('answers questions among drafts nearly as fast as alone', () => {
		const kinds = [createQuestions(0.3), createDrafts(1.2)];
		const overrides = { durationMs: 120_000, countFromMs: 60_000 };
		const alone = computeP99(run(ours, [createQuestions(0.3)], overrides));
		expect(computeP99(run(ours, kinds, overrides)) / alone).toBeLessThan(1.3);
		expect(computeP99(run(leastInFlight, kinds, overrides)) / alone).toBeGreaterThan(1.5);
	});

	// Prompts share prefixes. All prefixes fit the caches only if each prefix is cached on a single target.
	it('routes requests to the target that caches their prefix without overloading any target', () => {
		const pickPrefix = createEvenPicker('prefix', 160);
		const kinds = [createQuestions(0.45, { pickPrefix, coldMs: 300 })];
		const computeHitShare = (contender: Contender): number => {
			const { targets } = run(contender, kinds, { cachedPrefixes: 30, entryCount: 3 });
			const slotMs = targets.map(({ totals }) => totals.slotMs);
			const mean = slotMs.reduce((sum, ms) => sum + ms, 0) / slotMs.length;
			expect(Math.max(...slotMs) / mean).toBeLessThan(1.25);
			const found = targets.reduce((sum, { totals }) => sum + totals.prefixHits, 0);
			return found / targets.reduce((sum, { totals }) => sum + totals.startedJobs, 0);
		};
		expect(computeHitShare(ours)).toBeGreaterThan(0.85);
		expect(computeHitShare(randomChoice)).toBeLessThan(0.3);
	});

	// All targets are down for ten seconds and refused callers resend at the time given in the refusal. If all of
	// them resent at the same time, most would be refused again and the overload would outlast the outage.
	it('spreads the resends of refused callers so that the overload ends with the outage', () => {
		const events = [10_000, 20_000].map((atMs, index) => ({
			atMs,
			apply: (targets: ExperimentResult['targets']) => {
				targets.forEach(target => {
					target.setDown(index === 0);
				});
			},
		}));
		const result = run(ours, [createQuestions(0.7)], {
			durationMs: 60_000,
			events,
			resend: ResendRule.AfterRetryDelay,
		});
		const after = result.records.filter(record => record.plannedMs >= 25_000);
		expect(computeAnsweredShare(after)).toBeGreaterThan(0.99);
		const resendTimes = result.records.flatMap(({ sentMs }) => sentMs.slice(1)).filter(atMs => atMs > 20_000);
		const bins = new Map<number, number>();
		for (const atMs of resendTimes) {
			const bin = Math.floor(atMs / 1_000);
			bins.set(bin, (bins.get(bin) ?? 0) + 1);
		}
		expect(Math.max(...bins.values())).toBeLessThan((1.5 * result.records.length) / 60);
	});

	// Every target accepts each request and aborts it. Retries must not multiply the load on the targets.
	it('adds at most 10 % to the load by retries in an outage', () => {
		const events = [
			{
				atMs: 0,
				apply: (targets: ExperimentResult['targets']) => {
					targets.forEach(target => {
						target.setFailing(true);
					});
				},
			},
		];
		const attempts = ({ attempts: made, records }: ExperimentResult): number => made / records.length;
		expect(attempts(run(ours, [createQuestions(0.7)], { events }))).toBeLessThan(1.1);
		expect(attempts(run(leastInFlight, [createQuestions(0.7)], { events }))).toBe(1);
	});

	// Half of the targets abort every request, so a retry can succeed on one of the other targets.
	it('keeps retries within the retry budget, which grows with successful answers', () => {
		const events = [
			{
				atMs: 0,
				apply: (targets: ExperimentResult['targets']) => {
					targets.slice(0, 4).forEach(target => {
						target.setFailing(true);
					});
				},
			},
		];
		const result = run(ours, [createQuestions(0.4)], { events });
		expect(result.retries).toBeLessThanOrEqual(10 + 0.1 * result.answers);
		const unbounded = run(oursWithoutBudget, [createQuestions(0.4)], { events });
		expect(computeAnsweredShare(result.records)).toBeGreaterThan(0.95);
		expect(computeAnsweredShare(unbounded.records)).toBeGreaterThan(0.95);
	});

	it('gives every caller a result, and every refused caller a time to resend', () => {
		const { records } = run(ours, createMixedLoad(2), { durationMs: 20_000 });
		expect(records.every(record => record.end !== undefined)).toBe(true);
		const refused = records.filter(isRefused);
		expect(refused.length).toBeGreaterThan(100);
		expect(refused.every(record => (record.retryNotBeforeMs[0] ?? 0) > record.plannedMs)).toBe(true);
	});
});
