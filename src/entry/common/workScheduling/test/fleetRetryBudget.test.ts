import { SeededRandom } from '../../../../base/common/random';
import { FleetRetryBudget } from '../fleetRetryBudget';
import { createWorkPolicy } from '../workPolicy';

const entryCount = 6;
const windowMs = 10_000;
const simulatedMs = 60_000;
const stepMs = 20;

interface Bounds {
	readonly ratio: number;
	readonly slack: number;
}

/** Times of requests and retries of a service that fails every request. */
interface Sends {
	readonly requests: number[];
	readonly retries: number[];
}

function runFailingService({ ratio, slack }: Bounds): Sends {
	const random = new SeededRandom(7);
	const { retry } = createWorkPolicy({ ratio, slack, windowMs });
	const budgets = Array.from({ length: entryCount }, () => new FleetRetryBudget(retry));
	const sends: Sends = { requests: [], retries: [] };
	for (let nowMs = 0; nowMs < simulatedMs; nowMs += stepMs) {
		// Callers are spread unevenly: the first entry gets about half of them.
		const index = random.pickFraction() < 0.5 ? 0 : random.pickBelow(entryCount);
		const budget = budgets[index]!;
		budget.setEntryCount(entryCount);
		budget.noteRequest(nowMs);
		sends.requests.push(nowMs);
		if (budget.isRetryAllowed(nowMs)) {
			budget.noteRetry(nowMs);
			sends.retries.push(nowMs);
		}
	}
	return sends;
}

function countInWindow(times: readonly number[], fromMs: number): number {
	return times.filter(at => at >= fromMs && at < fromMs + windowMs).length;
}

describe('FleetRetryBudget', () => {
	// Guards against retries that are multiplied by the number of entries that start together and have not met yet.
	it('allows only the ratio of its requests to an entry that does not know the others', () => {
		const { retry } = createWorkPolicy({ ratio: 0.2, slack: 200, windowMs });
		const budget = new FleetRetryBudget(retry);
		budget.setEntryCount(Number.POSITIVE_INFINITY);
		budget.noteRequest(0);
		expect(budget.isRetryAllowed(0)).toBe(false);
		budget.setEntryCount(entryCount);
		expect(budget.isRetryAllowed(0)).toBe(true);
	});

	// Guards against retries that overload recovering targets: all targets of a service fail, and six entries that do
	// not see each other's retries retry every request.
	it.each([
		{ ratio: 0.05, slack: 12 },
		{ ratio: 0.2, slack: 200 },
	])('keeps the retries of the fleet within a ratio of $ratio and a slack of $slack', bounds => {
		const { requests, retries } = runFailingService(bounds);
		for (let fromMs = 0; fromMs + windowMs <= simulatedMs; fromMs += 500) {
			const maxRetries = bounds.ratio * countInWindow(requests, fromMs) + bounds.slack;
			expect(countInWindow(retries, fromMs)).toBeLessThanOrEqual(maxRetries);
		}
	});

	it('uses a large slack', () => {
		const small = runFailingService({ ratio: 0.05, slack: 12 }).retries.length;
		const large = runFailingService({ ratio: 0.05, slack: 200 }).retries.length;
		expect(large).toBeGreaterThan(3 * small);
	});
});
