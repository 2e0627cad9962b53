import { subscribeTo } from '../common/channel';
import { ElapsedClock, minJumpMs } from '../common/elapsedClock';
import { ManualTimerService } from '../common/manualTimerService';

interface ClockFixture {
	readonly timers: ManualTimerService;
	readonly clock: ElapsedClock;
	readonly jumps: number[];
	/** Advances both clocks, and the time of day by `jumpMs` more. */
	advance(durationMs: number, jumpMs?: number): void;
}

function createClock(): ClockFixture {
	const timers = new ManualTimerService(1_000);
	let offsetMs = 1_700_000_000_000;
	const clock = new ElapsedClock(timers, () => Math.floor(timers.getNow() + offsetMs));
	const jumps: number[] = [];
	subscribeTo(clock.onDidJump, jumpMs => jumps.push(jumpMs));
	return {
		timers,
		clock,
		jumps,
		advance: (durationMs, jumpMs = 0) => {
			timers.advance(durationMs);
			offsetMs += jumpMs;
		},
	};
}

describe('ElapsedClock', () => {
	it('shows the monotonic time while the machine runs', () => {
		const { clock, jumps, advance } = createClock();
		for (let reading = 0; reading < 50; reading++) {
			advance(33.7);
			clock.getNow();
		}
		expect(clock.getNow()).toBeCloseTo(1_000 + 50 * 33.7);
		expect(jumps).toEqual([]);
	});

	// Guards against state that appears young after a suspension, during which the monotonic clock stood still.
	it('adds a forward jump of the time of day at the first reading after it', () => {
		const { clock, jumps, advance } = createClock();
		const beforeMs = clock.getNow();
		advance(0, 3_600_000);
		expect(clock.getNow() - beforeMs).toBe(3_600_000);
		expect(clock.getNow() - beforeMs).toBe(3_600_000);
		expect(jumps).toEqual([3_600_000]);
	});

	// Guards against a time service that sets the clock back and so makes state appear younger, or hides a later suspension.
	it('does not change with a backward jump, and adds a forward jump after it whole', () => {
		const { clock, jumps, advance } = createClock();
		const beforeMs = clock.getNow();
		advance(100, -20_000);
		expect(clock.getNow() - beforeMs).toBe(100);
		advance(100, 20_000);
		expect(clock.getNow() - beforeMs).toBe(20_200);
		expect(jumps).toEqual([20_000]);
	});

	it('does not take a slow correction of the time of day for a suspension', () => {
		const { clock, jumps, advance } = createClock();
		for (let second = 0; second < 600; second++) {
			advance(1_000, 0.5);
			clock.getNow();
		}
		expect(jumps).toEqual([]);
	});

	// Guards against suspensions that are each too short to be seen, and add up.
	it('adds a row of short jumps', () => {
		const { clock, jumps, advance } = createClock();
		for (let jump = 0; jump < 20; jump++) {
			advance(100, minJumpMs / 2);
			clock.getNow();
		}
		const totalMs = jumps.reduce((sum, jumpMs) => sum + jumpMs, 0);
		expect(totalMs).toBeGreaterThan(10 * minJumpMs - 2 * minJumpMs - 2);
	});
});
