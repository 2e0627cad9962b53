import { ManualTimerService } from '../../../base/common/manualTimerService';
import { SleepDetector } from '../sleepDetector';

interface Sleeper {
	readonly timers: ManualTimerService;
	readonly guard: SleepDetector;
	readonly slept: number[];
	answerRefresh: () => void;
}

function createSleeper(): Sleeper {
	const timers = new ManualTimerService();
	const slept: number[] = [];
	const sleeper: Sleeper = {
		timers,
		slept,
		answerRefresh: () => undefined,
		guard: new SleepDetector(
			() =>
				new Promise(resolve => {
					sleeper.answerRefresh = resolve;
				}),
			ms => slept.push(ms),
			timers,
		),
	};
	return sleeper;
}

describe('SleepDetector', () => {
	it('holds nothing back while the process is awake', () => {
		const { timers, guard, slept } = createSleeper();
		timers.advance(60_000);
		expect(guard.findHold()).toBeUndefined();
		expect(slept).toEqual([]);
	});

	it('holds the first request after a sleep, before any tick, until fresh state came', async () => {
		// A process is frozen for a minute while a target leaves. The connection of a caller is the first
		// thing it sees on waking; decided on at once, the request would go to the target that left.
		const sleeper = createSleeper();
		sleeper.timers.advance(1_000);
		sleeper.timers.advanceWithoutTimers(60_000);
		const hold = sleeper.guard.findHold();
		expect(hold).toBeDefined();
		expect(sleeper.slept).toHaveLength(1);
		sleeper.answerRefresh();
		await hold;
		expect(sleeper.guard.findHold()).toBeUndefined();
	});

	it('goes on with what it holds where nobody answers', async () => {
		// The region was cut off meanwhile. Held for good, its own crews would get no answer at all.
		const sleeper = createSleeper();
		sleeper.timers.advanceWithoutTimers(60_000);
		const hold = sleeper.guard.findHold();
		sleeper.timers.advance(1_000);
		await hold;
		expect(sleeper.guard.findHold()).toBeUndefined();
	});
});
