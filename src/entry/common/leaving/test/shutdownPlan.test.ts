import fc from 'fast-check';
import { computeTakingMs, planLeaving } from '../shutdownPlan';

describe('planLeaving', () => {
	it('ends before the platform ends the process, whatever time it gives', () => {
		fc.assert(
			fc.property(fc.double({ min: 1, max: 600, noNaN: true }), seconds => {
				const times = planLeaving(seconds);
				const { staysMs, refusesMs, endsMs } = times;
				for (const saidMs of [0, staysMs / 2, staysMs]) {
					expect(computeTakingMs(times, saidMs) + refusesMs).toBeLessThan(endsMs);
				}
				expect(endsMs).toBeLessThan(seconds * 1_000);
			}),
			{ seed: 3 },
		);
	});

	// Entries are stopped two seconds after each other, with eight seconds for each stop. If each stayed for most
	// of its time, both entries of a region would be leaving at once, and its callers led to another region.
	it('leaves a region’s second entry time to take over from the first', () => {
		const times = planLeaving(8);
		expect(computeTakingMs(times, 0) + times.refusesMs).toBeLessThan(2_500);
	});

	// A process takes three seconds to finish what it has taken and to be started again. If the region's other entry
	// is stopped meanwhile and leaves at once, callers are led to regions that may not read their requests.
	it('keeps the last entry of a region until the one before it can be back', () => {
		expect(planLeaving(8).staysMs).toBe(3_000);
	});

	// An entry stays until its region's other one is back, and takes a question four seconds after the signal. The
	// target has just turned slow, and the platform ends the process in the middle of the answer.
	it('leaves five eighths of the time to finish what it took, however late it said that it leaves', () => {
		const times = planLeaving(8);
		const takingMs = [0, 1_500, 2_900, 3_000].map(saidMs => computeTakingMs(times, saidMs));
		expect(takingMs).toEqual([2_000, 3_000, 3_000, 3_000]);
	});

	it('takes its time where nobody ends the process', () => {
		const times = planLeaving(undefined);
		expect(times).toMatchObject({ staysMs: 0, refusesMs: 6_000, endsMs: Infinity });
		expect(computeTakingMs(times, 0)).toBe(0);
	});
});
