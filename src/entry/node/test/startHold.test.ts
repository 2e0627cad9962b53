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
	// All instances restart. A caller reaches one that listens but has not read its configuration yet. A refusal
	// would use up the caller's only retry.
	it('wait until the state is available', async () => {
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

	// The store is down when the process starts. Callers must be refused soon and named other entries, not held
	// indefinitely.
	it('are held only for a limited time if the state does not become available', async () => {
		const { timers, hold } = createStart();
		let hasEnded = false;
		void hold.findHold()?.then(() => {
			hasEnded = true;
		});
		await advance(timers, 710);
		expect(hasEnded).toBe(true);
		expect(hold.findHold()).toBeUndefined();
	});

	it('are not held if the state is already available', () => {
		const { hold, readState } = createStart();
		readState();
		expect(hold.findHold()).toBeUndefined();
	});
});
