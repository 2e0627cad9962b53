import fc from 'fast-check';
import { computeAcceptMs, planShutdown } from '../shutdownPlan';

describe('planShutdown', () => {
	it('exits before the platform kills the process, for any grace period', () => {
		fc.assert(
			fc.property(fc.double({ min: 1, max: 600, noNaN: true }), seconds => {
				const times = planShutdown(seconds);
				const { maxAnnounceDelayMs, refuseMs, endRequestsMs, exitMs } = times;
				for (const announcedMs of [0, maxAnnounceDelayMs / 2, maxAnnounceDelayMs]) {
					expect(computeAcceptMs(times, announcedMs) + refuseMs).toBeLessThan(endRequestsMs);
				}
				expect(endRequestsMs).toBeLessThan(exitMs);
				expect(exitMs).toBeLessThan(seconds * 1_000);
			}),
			{ seed: 3 },
		);
	});

	// Entries are stopped two seconds after each other, with eight seconds for each stop. If each accepted requests
	// for most of its time, both entries of a region would be leaving at once, and its callers would be directed to
	// another region.
	it('finishes refusing early enough for the second entry of a region to take over', () => {
		const times = planShutdown(8);
		expect(computeAcceptMs(times, 0) + times.refuseMs).toBeLessThan(2_500);
	});

	// A process takes three seconds to finish its requests and to start again. If the region's other entry is stopped
	// meanwhile and leaves at once, callers are directed to regions that may not read their requests.
	it('delays the announcement of the last entry until the previous one can be back', () => {
		expect(planShutdown(8).maxAnnounceDelayMs).toBe(3_000);
	});

	// An entry waits until the other entry of its region is back, and accepts a request four seconds after the
	// signal. The target has just become slow, and the platform kills the process in the middle of the answer.
	it('leaves five eighths of the time to finish accepted requests, however late the announcement was', () => {
		const times = planShutdown(8);
		const acceptMs = [0, 1_500, 2_900, 3_000].map(announcedMs => computeAcceptMs(times, announcedMs));
		expect(acceptMs).toEqual([2_000, 3_000, 3_000, 3_000]);
	});

	it('has no time limit if the platform does not kill the process', () => {
		const times = planShutdown(undefined);
		expect(times).toMatchObject({ maxAnnounceDelayMs: 0, refuseMs: 6_000, exitMs: Infinity });
		expect(computeAcceptMs(times, 0)).toBe(0);
	});
});
