import * as fc from 'fast-check';
import { subscribeTo } from '../../../base/common/channel';
import { ManualTimerService } from '../../../base/common/manualTimerService';
import { SeededRandom } from '../../../base/common/random';
import type { FollowedChange, StoreRestore } from '../common/storeFollower';
import { StoreFollower } from '../common/storeFollower';
import type { ModelStoreCopy } from './modelStore';
import { advanceInSteps, ModelStore } from './modelStore';

const maxDelayMs = 5_000;

interface Following {
	readonly store: ModelStore;
	readonly follower: StoreFollower;
	readonly changes: FollowedChange[];
	readonly restores: StoreRestore[];
	/** Values by key, as a subscriber derives them from the changes. */
	readonly held: Map<string, string>;
	advance(durationMs: number): Promise<void>;
}

function startFollowing(): Following {
	const timers = new ManualTimerService();
	const store = new ModelStore(timers);
	const follower = new StoreFollower('', store, timers, new SeededRandom(1), maxDelayMs);
	const changes: FollowedChange[] = [];
	const restores: StoreRestore[] = [];
	const held = new Map<string, string>();
	subscribeTo(follower.onDidChange, change => {
		changes.push(change);
		for (const { key, value } of change.written) {
			held.set(key, Buffer.from(value).toString());
		}
		for (const key of change.removed) {
			held.delete(key);
		}
	});
	subscribeTo(follower.onDidRestore, restore => restores.push(restore));
	void follower.follow();
	const advance = async (durationMs: number): Promise<void> => advanceInSteps(timers, durationMs);
	return { store, follower, changes, restores, held, advance };
}

describe('a store that is restored from an older copy', () => {
	// Guards against missed changes when the restored store passes the last known revision before the next watch.
	it('is listed again after it has passed the last known revision', async () => {
		const { store, held, restores, advance } = startFollowing();
		store.put('a', 'old');
		await advance(100);
		const copy = store.createCopy();
		store.put('b', 'lost');
		store.put('c', 'lost too');
		await advance(100);
		store.applyCopy(copy);
		store.put('a', 'new');
		store.put('d', 'new');
		store.put('e', 'new');
		await advance(1_000);
		expect(Object.fromEntries(held)).toEqual(store.listValues());
		expect(restores).toMatchObject([{ fromEra: 1, toEra: 2, heldRevision: 4 }]);
	});

	// Guards against an outdated value of a key that has the same revision after the restore.
	it('reports every item again, including one with the same revision', async () => {
		const { store, held, advance } = startFollowing();
		const copy = store.createCopy();
		store.put('a', 'first');
		await advance(100);
		store.applyCopy(copy);
		store.put('a', 'second');
		await advance(1_000);
		expect(held.get('a')).toBe('second');
	});

	// Guards against a listing that combines pages of two eras.
	it('is listed from the start when it is restored between two pages', async () => {
		const { store, held, advance } = startFollowing();
		const copy = store.createCopy();
		for (const key of ['a', 'b', 'c', 'd', 'e']) {
			store.put(key, 'before');
		}
		await advance(8);
		store.applyCopy(copy);
		store.put('d', 'after');
		await advance(1_000);
		expect(Object.fromEntries(held)).toEqual({ d: 'after' });
	});

	// Guards against a missed second restore while the store is being listed after the first.
	it('is listed once more when it is restored again during the listing', async () => {
		const { store, held, restores, advance } = startFollowing();
		const copy = store.createCopy();
		for (const key of ['a', 'b', 'c']) {
			store.put(key, 'before');
		}
		await advance(100);
		store.applyCopy(copy);
		store.put('b', 'between');
		for (let step = 0; step < 250 && restores.length === 0; step++) {
			await advance(4);
		}
		store.applyCopy(copy);
		store.put('c', 'after');
		await advance(1_000);
		expect(Object.fromEntries(held)).toEqual({ c: 'after' });
		expect(restores.map(({ toEra }) => toEra)).toEqual([2, 3]);
	});

	// Guards against applying answers of the old era after another follower has seen the new era.
	it('is reported as restored when another follower has seen a higher era', async () => {
		const { store, follower, restores, changes, advance } = startFollowing();
		store.put('a', 'value');
		await advance(100);
		const before = changes.length;
		follower.updateEra(2);
		await advance(20);
		expect(restores).toMatchObject([{ fromEra: 1, toEra: 2 }]);
		expect(changes.length).toBe(before);
		follower.updateEra(2);
		expect(restores.length).toBe(1);
	});

	// Guards against dropping targets that are missing from the copy but register again shortly.
	it('marks the listing as one whose missing items may be written again', async () => {
		const { store, changes, advance } = startFollowing();
		const copy = store.createCopy();
		store.put('a', 'value');
		await advance(100);
		store.applyCopy(copy);
		await advance(500);
		expect(changes.at(-1)).toMatchObject({ removed: ['a'], isAfterOutage: true, isRestored: true });
	});

	// Guards against treating answers without an era as a restore.
	it('is watched as before when its answers include no era', async () => {
		const { store, held, restores, advance } = startFollowing();
		store.includesEra = false;
		store.put('a', 'one');
		await advance(100);
		store.put('a', 'two');
		await advance(100);
		expect(held.get('a')).toBe('two');
		expect(restores).toEqual([]);
	});

	const keys = fc.constantFrom('a', 'b', 'c', 'd', 'e');
	const steps = fc.array(
		fc.oneof(
			fc.record({ kind: fc.constant('put' as const), key: keys, value: fc.string({ maxLength: 3 }) }),
			fc.record({ kind: fc.constant('remove' as const), key: keys }),
			fc.record({ kind: fc.constant('copy' as const) }),
			fc.record({ kind: fc.constant('restore' as const) }),
			fc.record({ kind: fc.constant('wait' as const), durationMs: fc.integer({ min: 1, max: 400 }) }),
		),
		{ maxLength: 30 },
	);

	// Guards against sequences of writes, restores and waits after which a follower differs from the store.
	it('matches the values of the follower once writes stop', async () => {
		await fc.assert(
			fc.asyncProperty(steps, async plan => {
				const { store, follower, held, advance } = startFollowing();
				let copy: ModelStoreCopy = store.createCopy();
				for (const step of plan) {
					switch (step.kind) {
						case 'put':
							store.put(step.key, step.value);
							break;
						case 'remove':
							store.remove(step.key);
							break;
						case 'copy':
							copy = store.createCopy();
							break;
						case 'restore':
							store.applyCopy(copy);
							break;
						case 'wait':
							await advance(step.durationMs);
					}
				}
				await advance(8_000);
				follower.dispose();
				expect(Object.fromEntries(held)).toEqual(store.listValues());
			}),
			{ seed: 26, numRuns: 60 },
		);
	});
});
