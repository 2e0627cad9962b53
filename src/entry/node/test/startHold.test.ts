import { ManualTimerService } from '../../../base/common/manualTimerService';
import { StartHold } from '../startHold';

interface HeldStart {
	readonly timers: ManualTimerService;
	readonly hold: StartHold;
	readState(): void;
}

function createStart(): HeldStart {
	const timers = new ManualTimerService();
	let isRead = false;
	const hold = new StartHold(() => isRead, timers);
	return {
		timers,
		hold,
		readState: () => {
			isRead = true;
		},
	};
}

async function advance(timers: ManualTimerService, ms: number): Promise<void> {
	timers.advance(ms);
	await Promise.resolve();
}

describe('the first requests of a process', () => {
	// All instances were lost and come back. A caller reaches one that listens and has not read its
	// configuration yet; refused, the caller would have spent its only retry.
	it('wait until the state is read', async () => {
		const { timers, hold, readState } = createStart();
		let isServed = false;
		void hold.findHold()?.then(() => {
			isServed = true;
		});
		await advance(timers, 200);
		expect(isServed).toBe(false);
		readState();
		await advance(timers, 20);
		expect(isServed).toBe(true);
		expect(hold.findHold()).toBeUndefined();
	});

	// The store is down when the process starts. Callers must be told at once where to turn, not held.
	it('do not wait for state that does not come', async () => {
		const { timers, hold } = createStart();
		let isTold = false;
		void hold.findHold()?.then(() => {
			isTold = true;
		});
		await advance(timers, 710);
		expect(isTold).toBe(true);
		expect(hold.findHold()).toBeUndefined();
	});

	it('are not held where the state is read already', () => {
		const { hold, readState } = createStart();
		readState();
		expect(hold.findHold()).toBeUndefined();
	});
});
