import { computeRemoteStartLimitMs } from '../remoteStartLimit';

describe('the time in which a peer has to start a forwarded request', () => {
	it('is no longer than the region of the sender would have needed', () => {
		expect(computeRemoteStartLimitMs({ remainingMs: 3_000, localFirstByteMs: 600, oneWayMs: 50 })).toBe(500);
	});

	// Guards against requests that come back when their region can no longer answer them by their deadline.
	it.each([100, 600, 1_400, 2_000, 2_800])(
		'leaves a region that needs %i ms enough time',
		localFirstByteMs => {
			const limitMs = computeRemoteStartLimitMs({ remainingMs: 3_000, localFirstByteMs, oneWayMs: 50 })!;
			expect(limitMs + 100 + localFirstByteMs).toBeLessThanOrEqual(3_000);
		},
	);

	it('is unlimited if the region of the sender could not answer afterwards', () => {
		const times = { remainingMs: 600, oneWayMs: 50 };
		expect(computeRemoteStartLimitMs({ ...times, localFirstByteMs: 550 })).toBeUndefined();
		expect(
			computeRemoteStartLimitMs({ ...times, localFirstByteMs: Number.POSITIVE_INFINITY }),
		).toBeUndefined();
	});
});
