import { estimateArrivalMs } from '../arrivalTime';

describe('the estimated arrival of a request', () => {
	it('is its reading if the event loop keeps up', () => {
		expect(estimateArrivalMs({ readMs: 1_000, lagMs: 0 }, 3_000)).toBe(1_000);
	});

	// Guards against answers that come after the deadline of a caller whose request was read late.
	it('is earlier by the lag of the event loop', () => {
		expect(estimateArrivalMs({ readMs: 10_000, lagMs: 1_200 }, 3_000)).toBe(8_800);
	});

	// Guards against refusing all requests of an entry that was suspended, also those that have just arrived.
	it('leaves a request half of its time after any lag', () => {
		expect(estimateArrivalMs({ readMs: 60_000, lagMs: 30_000 }, 3_000) + 3_000).toBe(61_500);
	});
});
