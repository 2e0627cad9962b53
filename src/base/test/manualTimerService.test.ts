import { subscribeTo } from '../common/channel';
import { ManualTimerService } from '../common/manualTimerService';
import type { Tick } from '../common/timerService';

describe('ManualTimerService', () => {
	it('runs callbacks in the order of their time and, at equal times, in the order of scheduling', () => {
		const timers = new ManualTimerService();
		const ran: string[] = [];
		timers.schedule(20, () => ran.push('late'));
		timers.schedule(10, () => ran.push('first'));
		timers.schedule(10, () => ran.push('second'));
		timers.schedule(15, () => ran.push('cancelled')).dispose();
		timers.advance(20);
		expect(ran).toEqual(['first', 'second', 'late']);
	});

	it('emits ticks until the subscription ends, and one tick for the time without timers', () => {
		const timers = new ManualTimerService();
		const ticks: Tick[] = [];
		const subscription = subscribeTo(timers.watchTicks(100), tick => ticks.push(tick));
		timers.advance(200);
		timers.advanceWithoutTimers(5_000);
		timers.advance(100);
		subscription.dispose();
		timers.advance(1_000);
		expect(ticks.slice(0, 3).map(tick => tick.elapsedMs)).toEqual([100, 100, 5_000]);
		expect(ticks.length).toBeLessThanOrEqual(4);
	});
});
