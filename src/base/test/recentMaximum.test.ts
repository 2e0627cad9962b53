import { RecentMaximum } from '../common/recentMaximum';

describe('RecentMaximum', () => {
	it('returns the largest value of the window', () => {
		const maximum = new RecentMaximum(100);
		expect(maximum.get(0)).toBeUndefined();
		maximum.add(5, 0);
		maximum.add(3, 50);
		maximum.add(4, 60);
		expect(maximum.get(100)).toBe(5);
		expect(maximum.get(101)).toBe(4);
		expect(maximum.get(161)).toBeUndefined();
	});
});
