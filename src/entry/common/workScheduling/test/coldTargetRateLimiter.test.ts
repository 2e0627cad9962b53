import type { ColdTurns } from '../coldTargetRateLimiter';
import { ColdAllowance } from '../coldTargetRateLimiter';

const requestsPerSecond = 2.4;
const coldMs = 6_000;
const stepMs = 5;

/** Sends whenever it is allowed, with requests always waiting at every entry. */
function listSends(entries: number): number[] {
	const sends: number[] = [];
	const known = Array.from({ length: entries }, (_, place) => ({
		allowance: new ColdAllowance(),
		turns: { coldUntilMs: coldMs, requestsPerSecond, entries, place } satisfies ColdTurns,
	}));
	for (let nowMs = 0; nowMs < coldMs; nowMs += stepMs) {
		for (const { allowance, turns } of known) {
			if (allowance.isOpen(turns, nowMs)) {
				allowance.noteSent(turns, nowMs);
				sends.push(nowMs);
			}
		}
	}
	return sends;
}

function countBusiestSecond(sends: readonly number[]): number {
	return Math.max(...sends.map(from => sends.filter(at => at >= from && at < from + 1_000).length));
}

describe('a cold target that many entries share', () => {
	// A zone's engines come back while callers wait at every entry. If each entry minds only its own part of the
	// rate, the first requests of all of them arrive in the same second; the engine crashes and is cold again.
	it.each([1, 3, 26])('is sent no more than it bears in any second by %i entries', entries => {
		const busiest = countBusiestSecond(listSends(entries));
		expect(busiest).toBeLessThanOrEqual(Math.floor(requestsPerSecond + 2));
	});

	it.each([1, 3, 26])('is used by %i entries as much as it bears', entries => {
		expect(listSends(entries).length).toBeGreaterThanOrEqual(
			Math.floor((coldMs / 1_000) * requestsPerSecond) - 1,
		);
	});

	it('says when the next turn comes', () => {
		const allowance = new ColdAllowance();
		const turns: ColdTurns = { coldUntilMs: 10_000, requestsPerSecond: 2, entries: 4, place: 1 };
		const nextMs = allowance.getNextMs(turns, 100);
		expect(allowance.isOpen(turns, nextMs + 1)).toBe(true);
		expect(allowance.isOpen(turns, nextMs - 1)).toBe(false);
		allowance.noteSent(turns, nextMs + 1);
		expect(allowance.isOpen(turns, nextMs + 2)).toBe(false);
		expect(allowance.getNextMs(turns, nextMs + 2)).toBeCloseTo(nextMs + 2_000, 6);
	});

	it('is open to all where any rate is borne', () => {
		const turns: ColdTurns = { coldUntilMs: 10_000, requestsPerSecond: Infinity, entries: 4, place: 1 };
		const allowance = new ColdAllowance();
		allowance.noteSent(turns, 0);
		expect(allowance.isOpen(turns, 0)).toBe(true);
	});
});
