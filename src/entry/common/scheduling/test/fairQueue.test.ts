import * as fc from 'fast-check';
import type { OrganisationName } from '../../../../core/ids/common/ids';
import type { QueuedRequest } from '../fairQueue';
import { FairQueue } from '../fairQueue';
import { createRequest } from './fixtures';

function createQueued(id: string, organisation: string, workMs: number): QueuedRequest {
	const request = createRequest(id, { organisation: organisation as OrganisationName });
	return { request, workMs, isRemoved: false };
}

/** Takes `count` requests and sums their work by organisation. */
function sumServed(queue: FairQueue, count: number): Map<string, number> {
	const served = new Map<string, number>();
	for (let taken = 0; taken < count; taken++) {
		const item = queue.take()!;
		const { organisation } = item.request;
		served.set(organisation, (served.get(organisation) ?? 0) + item.workMs);
	}
	return served;
}

describe('FairQueue', () => {
	// One organisation sends nine times as many requests as another. Served in order of arrival, the other would
	// get a tenth of the service and wait behind a backlog that it didn't cause.
	it('serves an organisation its share regardless of the queue length of another', () => {
		const queue = new FairQueue();
		for (let index = 0; index < 1_000; index++) {
			queue.push(createQueued(`h${index}`, index % 10 === 0 ? 'quiet' : 'hot', 100), 1);
		}
		const served = sumServed(queue, 100);
		expect(served.get('quiet')).toBe(5_000);
	});

	it('shares by work and weight, not by the number of requests', () => {
		const queue = new FairQueue();
		for (let index = 0; index < 400; index++) {
			queue.push(createQueued(`l${index}`, 'long', 1_000), 1);
			queue.push(createQueued(`s${index}`, 'short', 100), 2);
		}
		const served = sumServed(queue, 210);
		expect((served.get('short') ?? 0) / (served.get('long') ?? 1)).toBeCloseTo(2, 0);
	});

	// If an idle organisation earned credit, a later burst would make all other organisations wait until it has
	// been served as much as they were.
	it('gives an organisation no credit for the time in which it was idle', () => {
		const queue = new FairQueue();
		for (let index = 0; index < 300; index++) {
			queue.push(createQueued(`b${index}`, 'busy', 100), 1);
		}
		sumServed(queue, 100);
		for (let index = 0; index < 300; index++) {
			queue.push(createQueued(`i${index}`, 'idle', 100), 1);
		}
		const served = sumServed(queue, 100);
		expect(served.get('idle')).toBe(5_000);
	});

	it('charges an organisation afterwards for work that was estimated too low', () => {
		const queue = new FairQueue();
		for (let index = 0; index < 100; index++) {
			queue.push(createQueued(`a${index}`, 'a', 100), 1);
			queue.push(createQueued(`b${index}`, 'b', 100), 1);
		}
		queue.addCharge('a' as OrganisationName, 1_000);
		const served = sumServed(queue, 30);
		expect((served.get('b') ?? 0) - (served.get('a') ?? 0)).toBeGreaterThanOrEqual(900);
	});

	it('counts the waiting requests and their work correctly for any order of pushes, takes and removals', () => {
		const operation = fc.record({
			kind: fc.nat(4),
			organisation: fc.nat(3),
			workMs: fc.integer({ min: 1, max: 9 }),
		});
		fc.assert(
			fc.property(fc.array(operation, { maxLength: 200 }), operations => {
				const queue = new FairQueue();
				const waiting = new Set<QueuedRequest>();
				operations.forEach(({ kind, organisation, workMs }, index) => {
					const [oldest] = waiting;
					if (kind < 3) {
						const item = createQueued(`r${index}`, `o${organisation}`, workMs);
						waiting.add(item);
						queue.push(item, organisation + 1);
					} else if (kind === 3) {
						const taken = queue.take();
						expect(taken === undefined).toBe(waiting.size === 0);
						waiting.delete(taken!);
					} else if (oldest !== undefined) {
						queue.remove(oldest);
						waiting.delete(oldest);
					}
					expect(queue.size).toBe(waiting.size);
				});
				const work = [...waiting].reduce((sum, item) => sum + item.workMs, 0);
				expect(queue.queuedWorkMs).toBeCloseTo(work);
				expect(sumServed(queue, waiting.size).size).toBeLessThanOrEqual(4);
				expect(queue.take()).toBeUndefined();
			}),
			{ seed: 77, numRuns: 200 },
		);
	});
});
