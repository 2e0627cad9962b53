import type { ColdTargetTurns } from '../coldTargetRateLimiter';
import { ColdTargetRateLimiter } from '../coldTargetRateLimiter';

const requestsPerSecond = 2.4;
const coldMs = 6_000;
const stepMs = 5;

/** Returns the times of all requests if every entry always has waiting requests and sends whenever it may. */
function listSends(entryCount: number): number[] {
	const sends: number[] = [];
	const limiters = Array.from({ length: entryCount }, (_, entryIndex) => ({
		limiter: new ColdTargetRateLimiter(),
		turns: { coldUntilMs: coldMs, requestsPerSecond, entryCount, entryIndex } satisfies ColdTargetTurns,
	}));
	for (let nowMs = 0; nowMs < coldMs; nowMs += stepMs) {
		for (const { limiter, turns } of limiters) {
			if (limiter.isSendAllowed(turns, nowMs)) {
				limiter.noteSent(turns, nowMs);
				sends.push(nowMs);
			}
		}
	}
	return sends;
}

function countBusiestSecond(sends: readonly number[]): number {
	return Math.max(...sends.map(from => sends.filter(at => at >= from && at < from + 1_000).length));
}

describe('ColdTargetRateLimiter', () => {
	// Guards against crashing engines that restart while callers wait at every entry. If each entry only limited its
	// own share of the rate, the first requests of all entries would arrive in the same second.
	it.each([1, 3, 26])('keeps the rate of %i entries within the limit in every second', entries => {
		const busiest = countBusiestSecond(listSends(entries));
		expect(busiest).toBeLessThanOrEqual(Math.floor(requestsPerSecond + 2));
	});

	it.each([1, 3, 26])('lets %i entries use the whole rate', entries => {
		expect(listSends(entries).length).toBeGreaterThanOrEqual(
			Math.floor((coldMs / 1_000) * requestsPerSecond) - 1,
		);
	});

	it('returns the time of the next turn', () => {
		const limiter = new ColdTargetRateLimiter();
		const turns: ColdTargetTurns = {
			coldUntilMs: 10_000,
			requestsPerSecond: 2,
			entryCount: 4,
			entryIndex: 1,
		};
		const nextMs = limiter.getNextSendMs(turns, 100);
		expect(limiter.isSendAllowed(turns, nextMs + 1)).toBe(true);
		expect(limiter.isSendAllowed(turns, nextMs - 1)).toBe(false);
		limiter.noteSent(turns, nextMs + 1);
		expect(limiter.isSendAllowed(turns, nextMs + 2)).toBe(false);
		expect(limiter.getNextSendMs(turns, nextMs + 2)).toBeCloseTo(nextMs + 2_000, 6);
	});

	it('allows every request if the rate is not limited', () => {
		const turns: ColdTargetTurns = {
			coldUntilMs: 10_000,
			requestsPerSecond: Infinity,
			entryCount: 4,
			entryIndex: 1,
		};
		const limiter = new ColdTargetRateLimiter();
		limiter.noteSent(turns, 0);
		expect(limiter.isSendAllowed(turns, 0)).toBe(true);
	});
});
