import { ManualTimerService } from '../../../base/common/manualTimerService';
import { SleepDetector } from '../sleepDetector';

interface DetectorFixture {
	readonly timers: ManualTimerService;
	readonly detector: SleepDetector;
	readonly sleepDurationsMs: number[];
	answerRefresh: () => void;
}

function createDetector(): DetectorFixture {
	const timers = new ManualTimerService();
	const slept: number[] = [];
	const sleeper: DetectorFixture = {
		timers,
		sleepDurationsMs: slept,
		answerRefresh: () => undefined,
		detector: new SleepDetector(
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
	it('holds no requests while the process is running normally', () => {
		const { timers, detector: guard, sleepDurationsMs: slept } = createDetector();
		timers.advance(60_000);
		expect(guard.findHold()).toBeUndefined();
		expect(slept).toEqual([]);
	});

	it('holds the first request after a suspension until the state is refreshed, without waiting for a timer', async () => {
		// A process is suspended for a minute while a target leaves. A caller's request is the first event after
		// it resumes. Handled immediately, the request would be sent to the target that left.
		const sleeper = createDetector();
		sleeper.timers.advance(1_000);
		sleeper.timers.advanceWithoutTimers(60_000);
		const hold = sleeper.detector.findHold();
		expect(hold).toBeDefined();
		expect(sleeper.sleepDurationsMs).toHaveLength(1);
		sleeper.answerRefresh();
		await hold;
		expect(sleeper.detector.findHold()).toBeUndefined();
	});

	it('continues with the state it has if no answer arrives', async () => {
		// The region was isolated meanwhile. Without a time limit its own callers would never get an answer.
		const sleeper = createDetector();
		sleeper.timers.advanceWithoutTimers(60_000);
		const hold = sleeper.detector.findHold();
		sleeper.timers.advance(1_000);
		await hold;
		expect(sleeper.detector.findHold()).toBeUndefined();
	});

	// Guards against requests that are handled with state from before a suspension, which the monotonic clock does not show.
	it('holds requests after a suspension that another clock has shown', async () => {
		const fixture = createDetector();
		fixture.detector.recordSleep(5_000);
		expect(fixture.sleepDurationsMs).toEqual([5_000]);
		const hold = fixture.detector.findHold();
		expect(hold).toBeDefined();
		fixture.answerRefresh();
		await hold;
		expect(fixture.detector.findHold()).toBeUndefined();
	});
});
