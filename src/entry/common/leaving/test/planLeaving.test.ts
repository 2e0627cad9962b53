import fc from 'fast-check';
import { planLeaving } from '../planLeaving';

describe('planLeaving', () => {
	it('ends before the platform ends the process, whatever time it gives', () => {
		fc.assert(
			fc.property(fc.double({ min: 1, max: 600, noNaN: true }), seconds => {
				const { staysMs, servesMs, listensMs, endsMs } = planLeaving(seconds);
				expect(servesMs).toBeLessThan(listensMs);
				expect(staysMs + listensMs).toBeLessThan(endsMs);
				expect(endsMs).toBeLessThan(seconds * 1_000);
			}),
			{ seed: 3 },
		);
	});

	// Entries are stopped two seconds after each other, with eight seconds for each stop. If each stayed for most
	// of its time, both entries of a region would be leaving at once, and its callers led to another region.
	it('leaves a region’s second entry time to take over from the first', () => {
		expect(planLeaving(8).listensMs).toBeLessThan(2_500);
	});

	// A process takes three seconds to finish what it has taken and to be started again. If the region's other entry
	// is stopped meanwhile and leaves at once, callers are led to regions that may not read their requests.
	it('keeps the last entry of a region until the one before it can be back', () => {
		expect(planLeaving(8).staysMs).toBe(3_000);
	});

	it('takes its time where nobody ends the process', () => {
		expect(planLeaving(undefined)).toEqual({ staysMs: 0, servesMs: 0, listensMs: 6_000, endsMs: Infinity });
	});
});
