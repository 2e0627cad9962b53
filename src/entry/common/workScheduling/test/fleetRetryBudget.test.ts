import { SeededRandom } from '../../../../base/common/random';
import { RetryAllowance } from '../fleetRetryBudget';
import { createWorkPolicy } from '../workPolicy';

const entries = 6;
const windowMs = 10_000;
const playedMs = 60_000;
const stepMs = 20;

interface Bounds {
	readonly ratio: number;
	readonly slack: number;
}

/** Times of requests and repeats of a service whose every answer is a failure. */
interface Sends {
	readonly requests: number[];
	readonly repeats: number[];
}

function runFailing({ ratio, slack }: Bounds): Sends {
	const random = new SeededRandom(7);
	const { retry } = createWorkPolicy({ ratio, slack, windowMs });
	const allowances = Array.from({ length: entries }, () => new RetryAllowance(retry));
	const sends: Sends = { requests: [], repeats: [] };
	for (let nowMs = 0; nowMs < playedMs; nowMs += stepMs) {
		// Callers are spread unevenly: the first entry gets about half of them.
		const place = random.pickFraction() < 0.5 ? 0 : random.pickBelow(entries);
		const allowance = allowances[place]!;
		allowance.setEntries(entries);
		allowance.noteRequest(nowMs);
		sends.requests.push(nowMs);
		if (allowance.isOpen(nowMs)) {
			allowance.noteRepeat(nowMs);
			sends.repeats.push(nowMs);
		}
	}
	return sends;
}

function countFrom(times: readonly number[], fromMs: number): number {
	return times.filter(at => at >= fromMs && at < fromMs + windowMs).length;
}

describe('repeated sends of a fleet', () => {
	// All targets of a service fail, and six entries that do not see each other's sends try again for each caller.
	// Without a bound that they share, targets that are coming back meet a multiple of their load and fall again.
	it.each([
		{ ratio: 0.05, slack: 12 },
		{ ratio: 0.2, slack: 200 },
	])('stay within the bound of their deployment: $ratio and $slack', bounds => {
		const { requests, repeats } = runFailing(bounds);
		for (let fromMs = 0; fromMs + windowMs <= playedMs; fromMs += 500) {
			const most = bounds.ratio * countFrom(requests, fromMs) + bounds.slack;
			expect(countFrom(repeats, fromMs)).toBeLessThanOrEqual(most);
		}
	});

	it('use a slack that is large', () => {
		const small = runFailing({ ratio: 0.05, slack: 12 }).repeats.length;
		const large = runFailing({ ratio: 0.05, slack: 200 }).repeats.length;
		expect(large).toBeGreaterThan(3 * small);
	});
});
