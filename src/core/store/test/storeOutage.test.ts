import { subscribeTo } from '../../../base/common/channel';
import { ManualTimerService } from '../../../base/common/manualTimerService';
import { SeededRandom } from '../../../base/common/random';
import { StoreFollower } from '../common/storeFollower';
import type { Outage } from './outageStore';
import { OutageStore } from './outageStore';

/** An entry is held to what was confirmed once the store has been well for this long. */
const contactMs = 5_000;
const stepMs = 20;

async function waitForPromises(): Promise<void> {
	for (let turn = 0; turn < 12; turn++) {
		await Promise.resolve();
	}
}

/** Milliseconds from the end of an outage, where an item is written, until a follower has it. */
async function measureNewsDelay(outage: Outage, seed: number): Promise<number> {
	const timers = new ManualTimerService();
	const store = new OutageStore(timers, outage);
	const follower = new StoreFollower('op/', store, timers, new SeededRandom(seed));
	let heldRevision = 0;
	subscribeTo(follower.onDidChange, ({ revision }) => {
		heldRevision = revision;
	});
	timers.schedule(outage.toMs, () => {
		store.write();
	});
	void follower.follow();
	while (heldRevision < 2 && timers.getNow() < outage.toMs + 4 * contactMs) {
		await waitForPromises();
		timers.advance(stepMs);
	}
	follower.dispose();
	return timers.getNow() - outage.toMs;
}

describe('StoreFollower after an outage in which the store is silent', () => {
	// The store falls silent for some seconds: it refuses nothing, calls just hang. Once it is back operators
	// change the configuration, and five seconds later requests are still handled by the one before, so a caller
	// gets the old service and the old timeout. All entries are late together, since none has news for the others.
	it.each([1, 2, 3])(
		'has what was written when the store came back five seconds later, seed %i',
		async seed => {
			const delays: number[] = [];
			for (let lengthMs = 100; lengthMs <= 14_000; lengthMs += 100) {
				delays.push(await measureNewsDelay({ fromMs: 5_000, toMs: 5_000 + lengthMs }, seed));
			}
			expect(Math.max(...delays)).toBeLessThanOrEqual(contactMs);
		},
	);
});
