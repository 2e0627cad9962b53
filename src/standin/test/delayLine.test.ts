import fc from 'fast-check';
import { ManualTimerService } from '../../base/common/manualTimerService';
import { DelayLine } from '../common/delayLine';
import { SharedBandwidth } from '../common/sharedBandwidth';

interface Arrival {
	readonly item: string;
	readonly atMs: number;
}

function createLine(
	timers: ManualTimerService,
	rate: SharedBandwidth,
): { line: DelayLine<string>; arrivals: Arrival[] } {
	const arrivals: Arrival[] = [];
	const line = new DelayLine<string>(
		rate,
		timers,
		() => 55,
		item => arrivals.push({ item, atMs: timers.getNow() }),
	);
	return { line, arrivals };
}

describe('DelayLine', () => {
	it('delays items and shares the bandwidth with other connections', () => {
		const timers = new ManualTimerService();
		const rate = new SharedBandwidth(1_000);
		const left = createLine(timers, rate);
		const right = createLine(timers, rate);
		left.line.push('a', 100);
		right.line.push('b', 100);
		timers.advance(1_000);
		expect(left.arrivals).toEqual([{ item: 'a', atMs: 155 }]);
		expect(right.arrivals).toEqual([{ item: 'b', atMs: 255 }]);
	});

	it('keeps items while it is paused and delivers them in order when it is resumed', () => {
		const timers = new ManualTimerService();
		const { line, arrivals } = createLine(timers, new SharedBandwidth(1_000));
		line.push('a', 1);
		line.setPaused(true);
		line.push('b', 1);
		timers.advance(10_000);
		expect(arrivals).toEqual([]);
		line.setPaused(false);
		timers.advance(0);
		expect(arrivals.map(({ item }) => item)).toEqual(['a', 'b']);
		expect(line.getQueuedBytes()).toBe(0);
	});

	it('delivers all items in order for random sizes, times and pauses', () => {
		const scheduledItem = fc.record({ bytes: fc.nat(5_000), afterMs: fc.nat(200), isPaused: fc.boolean() });
		fc.assert(
			fc.property(fc.array(scheduledItem, { maxLength: 30 }), scheduledItems => {
				const timers = new ManualTimerService();
				const { line, arrivals } = createLine(timers, new SharedBandwidth(10_000));
				for (const [index, { bytes, afterMs, isPaused }] of scheduledItems.entries()) {
					timers.advance(afterMs);
					line.setPaused(isPaused);
					line.push(String(index), bytes);
				}
				line.setPaused(false);
				timers.advance(100_000);
				expect(arrivals.map(({ item }) => item)).toEqual(scheduledItems.map((_, index) => String(index)));
			}),
			{ seed: 5 },
		);
	});
});
