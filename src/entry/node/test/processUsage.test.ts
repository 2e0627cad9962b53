import { readProcessUsage } from '../processUsage';

const waitMs = 20;

describe('readProcessUsage', () => {
	it('returns idle time that grows while the event loop waits, and processor time that never falls', async () => {
		const before = readProcessUsage();
		let after = before;
		// On a busy machine a timer can be due before the event loop waits for it, and the loop is not idle.
		while (after.idleMs === before.idleMs) {
			await new Promise(resolve => setTimeout(resolve, waitMs));
			after = readProcessUsage();
		}
		expect(after.idleMs).toBeGreaterThan(before.idleMs);
		expect(after.cpuMs).toBeGreaterThanOrEqual(before.cpuMs);
	});
});
