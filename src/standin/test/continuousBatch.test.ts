import fc from 'fast-check';
import { ManualTimerService } from '../../base/common/manualTimerService';
import { RequestClass, requestClasses } from '../../core/requests/common/requestClass';
import type { SequenceHandle, SequenceRequest } from '../common/continuousBatch';
import { ContinuousBatch } from '../common/continuousBatch';

const timing = { tokenMs: 10, tokenMsPerRunning: 2, prefillMsPerToken: 1 };

interface Fixture {
	readonly timers: ManualTimerService;
	readonly batch: ContinuousBatch;
	/** The callbacks in order, as `NAME start`, `NAME token` and `NAME end at MS`. */
	readonly events: string[];
	submit(name: string, more?: Partial<SequenceRequest>): SequenceHandle;
}

function createFixture(slots: number): Fixture {
	const timers = new ManualTimerService();
	const batch = new ContinuousBatch(slots, timing, timers);
	const events: string[] = [];
	return {
		timers,
		batch,
		events,
		submit: (name, more = {}) =>
			batch.submit({
				requestClass: RequestClass.Normal,
				maxTokens: 1,
				handleStart: () => {
					events.push(`${name} start`);
					return 0;
				},
				handleToken: () => events.push(`${name} token`),
				handleEnd: () => events.push(`${name} end at ${timers.getNow()}`),
				...more,
			}),
	};
}

describe('ContinuousBatch', () => {
	it('adds a sequence at the end of a step and takes longer per token from then on', () => {
		const { timers, events, submit } = createFixture(2);
		submit('a', { maxTokens: 2 });
		submit('b', { maxTokens: 2 });
		timers.advance(1_000);
		expect(events.filter(event => event.includes('end'))).toEqual(['a end at 22', 'b end at 32']);
	});

	it('gives a free slot to the waiting sequence with the most urgent class', () => {
		const { timers, events, submit } = createFixture(1);
		submit('first');
		submit('draft', { requestClass: RequestClass.Draft });
		submit('normal');
		submit('urgent', { requestClass: RequestClass.Urgent });
		timers.advance(1_000);
		expect(events.filter(event => event.includes('start'))).toEqual([
			'first start',
			'urgent start',
			'normal start',
			'draft start',
		]);
	});

	it('generates the first token after the prompt is processed', () => {
		const { timers, events, submit } = createFixture(1);
		submit('long', { handleStart: () => 35 });
		timers.advance(40);
		expect(events).toEqual([]);
		timers.advance(10);
		expect(events).toEqual(['long token', 'long end at 50']);
	});

	it('frees the slot of a cancelled sequence immediately', () => {
		const { timers, events, submit } = createFixture(1);
		const cancelled = submit('cancelled', { maxTokens: 1_000 });
		submit('next');
		timers.advance(15);
		cancelled.dispose();
		timers.advance(20);
		expect(events).toEqual([
			'cancelled start',
			'cancelled token',
			'next start',
			'next token',
			'next end at 30',
		]);
	});

	it('generates no tokens for a paused sequence and continues it after it is resumed', () => {
		const { timers, events, submit } = createFixture(1);
		const handle = submit('paused', { maxTokens: 2 });
		timers.advance(10);
		handle.setPaused(true);
		timers.advance(1_000);
		expect(events).toEqual(['paused start', 'paused token']);
		handle.setPaused(false);
		timers.advance(10);
		expect(events.at(-1)).toBe('paused end at 1020');
	});

	it('completes all sequences and never runs more of them than it has slots', () => {
		const sequence = fc.record({
			maxTokens: fc.integer({ min: 1, max: 5 }),
			promptTokens: fc.integer({ min: 0, max: 50 }),
			requestClass: fc.constantFrom(...requestClasses),
			afterMs: fc.integer({ min: 0, max: 40 }),
		});
		fc.assert(
			fc.property(
				fc.array(sequence, { maxLength: 20 }),
				fc.integer({ min: 1, max: 4 }),
				(sequences, slots) => {
					const timers = new ManualTimerService();
					let maxRunning = 0;
					const batch = new ContinuousBatch(slots, timing, timers, load => {
						maxRunning = Math.max(maxRunning, load.running);
					});
					const ended: number[] = [];
					for (const { maxTokens, promptTokens, requestClass, afterMs } of sequences) {
						timers.advance(afterMs);
						let tokens = 0;
						batch.submit({
							requestClass,
							maxTokens,
							handleStart: () => promptTokens,
							handleToken: index => {
								expect(index).toBe(tokens++);
							},
							handleEnd: () => ended.push(tokens),
						});
					}
					timers.advance(100_000);
					expect(ended.sort()).toEqual(sequences.map(({ maxTokens }) => maxTokens).sort());
					expect(maxRunning).toBeLessThanOrEqual(slots);
					expect(batch.getLoad()).toEqual({ running: 0, waiting: 0, slots });
				},
			),
			{ seed: 11 },
		);
	});
});
