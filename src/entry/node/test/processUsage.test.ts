import { readProcessUsage } from '../processUsage';

describe('readProcessUsage', () => {
	it('returns idle time that grows while the event loop waits, and processor time that never falls', async () => {
		const before = readProcessUsage();
		await new Promise(resolve => setTimeout(resolve, 20));
		const after = readProcessUsage();
		expect(after.idleMs).toBeGreaterThan(before.idleMs);
		expect(after.cpuMs).toBeGreaterThanOrEqual(before.cpuMs);
	});
});
