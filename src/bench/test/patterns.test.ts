import { RequestClass } from '../../core/requests/common/requestClass';
import { fifo, leastInFlight, ours, oursWithoutBudget, randomChoice } from '../common/contenders';
import type { Contender } from '../common/contenders';
import { ModelEnd } from '../common/entryModel';
import type { CallerRecord, ExperimentOptions, ExperimentResult } from '../common/experiment';
import { defaultExperiment, Experiment, ResendRule } from '../common/experiment';
import { createDrafts, createMix, createQuestions } from '../common/scenarios/loads';
import { computeAnsweredShare, computeLatency, computeSummary } from '../common/summary';
import type { RequestKind } from '../common/workload';
import { createEvenPicker } from '../common/workload';

function run(
	contender: Contender,
	kinds: readonly RequestKind[],
	more: Partial<ExperimentOptions> = {},
): ExperimentResult {
	const options = { ...defaultExperiment, seed: 5, durationMs: 30_000, kinds };
	return new Experiment({ ...options, createScheduler: contender.create, ...more }).run();
}

function computeP99({ records }: ExperimentResult): number {
	return computeLatency(records, RequestClass.Urgent, 0.99);
}

function isRefused(record: CallerRecord): boolean {
	return record.end === ModelEnd.Refused;
}

describe('decisions under load, by what callers receive', () => {
	// Offices open and a weekend's requests come in at four times what the targets can do. Without admission
	// nearly every answer is late, and the service works for nobody.
	it('answers as many in a burst as at full load, and tells the others at once', () => {
		const burst = run(ours, [createQuestions(4)]);
		const full = run(ours, [createQuestions(1)]);
		expect(computeSummary(burst).goodput).toBeGreaterThan(0.95 * computeSummary(full).goodput);
		expect(computeSummary(burst).failedShare).toBeLessThan(0.001);
		expect(computeSummary(burst).longestRefusalMs).toBeLessThan(300);
		expect(computeSummary(run(fifo, [createQuestions(4)])).goodput).toBeLessThan(
			0.5 * computeSummary(burst).goodput,
		);
	});

	// The everyday mix comes in at three times the capacity for longer than a draft's deadline.
	it('answers more of a lasting overload than any baseline', () => {
		const more = { durationMs: 60_000, countFromMs: 20_000 };
		const own = computeSummary(run(ours, createMix(3), more)).goodput;
		for (const baseline of [fifo, leastInFlight, randomChoice]) {
			expect(computeSummary(run(baseline, createMix(3), more)).goodput).toBeLessThan(own);
		}
	});

	// One organisation's script runs wild at ten times its share. The callers of the others must not notice.
	it('keeps nine organisations whole beside a hot one', () => {
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
		const share = (contender: Contender): number =>
			computeAnsweredShare(run(contender, kinds).records, record => record.organisation !== 'hot');
		expect(share(ours)).toBeGreaterThan(0.99);
		expect(share(leastInFlight)).toBeLessThan(0.7);
	});

	// A target's fan fails and it answers five times slower. One caller in eight would wait for it.
	it('keeps the slowest hundredth within a fifth when one target of eight is slow', () => {
		const events = [{ atMs: 0, apply: (targets: ExperimentResult['targets']) => targets[0]?.setSpeed(0.2) }];
		const more = { countFromMs: 10_000 };
		const healthy = computeP99(run(ours, [createQuestions(0.5)], more));
		const slow = { ...more, events: events as ExperimentOptions['events'] };
		expect(computeP99(run(ours, [createQuestions(0.5)], slow)) / healthy).toBeLessThan(1.2);
		expect(computeP99(run(leastInFlight, [createQuestions(0.5)], slow)) / healthy).toBeGreaterThan(1.5);
	});

	// Drafts of 30 to 60 s fill the service, and a crew at a gate asks a question of a third of a second.
	it('answers questions among drafts nearly as fast as alone', () => {
		const kinds = [createQuestions(0.3), createDrafts(1.2)];
		const more = { durationMs: 120_000, countFromMs: 60_000 };
		const alone = computeP99(run(ours, [createQuestions(0.3)], more));
		expect(computeP99(run(ours, kinds, more)) / alone).toBeLessThan(1.3);
		expect(computeP99(run(leastInFlight, kinds, more)) / alone).toBeGreaterThan(1.5);
	});

	// Prompts share prefixes that fit the caches only if each is kept in one place.
	it('sends a prefix where it is cached and overloads no target by it', () => {
		const pickPrefix = createEvenPicker('prefix', 160);
		const kinds = [createQuestions(0.45, { pickPrefix, coldMs: 300 })];
		const hits = (contender: Contender): number => {
			const { targets } = run(contender, kinds, { cachedPrefixes: 30, entryCount: 3 });
			const slotMs = targets.map(({ totals }) => totals.slotMs);
			const mean = slotMs.reduce((sum, ms) => sum + ms, 0) / slotMs.length;
			expect(Math.max(...slotMs) / mean).toBeLessThan(1.25);
			const found = targets.reduce((sum, { totals }) => sum + totals.prefixHits, 0);
			return found / targets.reduce((sum, { totals }) => sum + totals.startedJobs, 0);
		};
		expect(hits(ours)).toBeGreaterThan(0.85);
		expect(hits(randomChoice)).toBeLessThan(0.3);
	});

	// Every target is out for ten seconds and callers return when they were told to. Returning together they
	// would be refused together, and the storm would outlast its cause.
	it('spreads refused callers so that a storm ends with its cause', () => {
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
		const backs = result.records.flatMap(({ sentMs }) => sentMs.slice(1)).filter(atMs => atMs > 20_000);
		const bins = new Map<number, number>();
		for (const atMs of backs) {
			const bin = Math.floor(atMs / 1_000);
			bins.set(bin, (bins.get(bin) ?? 0) + 1);
		}
		expect(Math.max(...bins.values())).toBeLessThan((1.5 * result.records.length) / 60);
	});

	// Every target takes each request and breaks it off. Retries must not multiply the load on them.
	it('adds at most a tenth to the load by retries in an outage', () => {
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

	// Half of the targets break off requests all the time, so that retries have somewhere to succeed.
	it('spends no more on retries than its successes earn', () => {
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

	it('holds back nothing: every caller gets one end, and the refused ones a time to come back', () => {
		const { records } = run(ours, createMix(2), { durationMs: 20_000 });
		expect(records.every(record => record.end !== undefined)).toBe(true);
		const refused = records.filter(isRefused);
		expect(refused.length).toBeGreaterThan(100);
		expect(refused.every(record => (record.retryNotBeforeMs[0] ?? 0) > record.plannedMs)).toBe(true);
	});
});
