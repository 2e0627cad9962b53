import fc from 'fast-check';
import { ManualTimerService } from '../../base/common/manualTimerService';
import { DelayLine } from '../common/delayLine';
import { SharedRate } from '../common/sharedRate';

interface Arrival {
	readonly item: string;
	readonly atMs: number;
}

function createLine(
	timers: ManualTimerService,
	rate: SharedRate,
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
	it('delays each piece and shares the bandwidth with other connections', () => {
		const timers = new ManualTimerService();
		const rate = new SharedRate(1_000);
		const left = createLine(timers, rate);
		const right = createLine(timers, rate);
		left.line.push('a', 100);
		right.line.push('b', 100);
		timers.advance(1_000);
		expect(left.arrivals).toEqual([{ item: 'a', atMs: 155 }]);
		expect(right.arrivals).toEqual([{ item: 'b', atMs: 255 }]);
	});

	it('keeps its pieces while it is held and then gives them out in order', () => {
		const timers = new ManualTimerService();
		const { line, arrivals } = createLine(timers, new SharedRate(1_000));
		line.push('a', 1);
		line.setHeld(true);
		line.push('b', 1);
		timers.advance(10_000);
		expect(arrivals).toEqual([]);
		line.setHeld(false);
		timers.advance(0);
		expect(arrivals.map(({ item }) => item)).toEqual(['a', 'b']);
		expect(line.getQueuedBytes()).toBe(0);
	});

	it('gives everything out in order whatever the sizes and times', () => {
		const piece = fc.record({ bytes: fc.nat(5_000), afterMs: fc.nat(200), isHeld: fc.boolean() });
		fc.assert(
			fc.property(fc.array(piece, { maxLength: 30 }), pieces => {
				const timers = new ManualTimerService();
				const { line, arrivals } = createLine(timers, new SharedRate(10_000));
				for (const [index, { bytes, afterMs, isHeld }] of pieces.entries()) {
					timers.advance(afterMs);
					line.setHeld(isHeld);
					line.push(String(index), bytes);
				}
				line.setHeld(false);
				timers.advance(100_000);
				expect(arrivals.map(({ item }) => item)).toEqual(pieces.map((_, index) => String(index)));
			}),
			{ seed: 5 },
		);
	});
});
