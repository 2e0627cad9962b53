import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { subscribeTo } from '../../../../base/common/channel';
import { ManualTimerService } from '../../../../base/common/manualTimerService';
import type { IStoreProbe, StoreError } from '../../../../core/store/common/storeClient';
import { StoreErrorKind } from '../../../../core/store/common/storeClient';
import { advanceInSteps } from '../../../../core/store/test/modelStore';
import { StorePathMonitor } from '../storePathMonitor';

const times = { intervalMs: 800, limitMs: 700, cancelMs: 1_600 };

interface Fixture {
	readonly losses: string[];
	/** Time after which each probe is answered; undefined if it never is. */
	answerMs: number | undefined;
	isRefused: boolean;
	isNeeded: boolean;
	probes: number;
	advance(durationMs: number): Promise<void>;
	/** Lets the event loop stand still; what arrives meanwhile is read after the timers that are due. */
	freeze(durationMs: number): Promise<void>;
}

function createFixture(): Fixture {
	const timers = new ManualTimerService();
	let isFrozen = false;
	let read = (): void => undefined;
	const store: IStoreProbe = {
		probe: async signal => {
			fixture.probes++;
			const failed: Result<undefined, StoreError> = err({
				kind: StoreErrorKind.Unreachable,
				detail: 'connection reset',
			});
			if (fixture.isRefused) {
				return failed;
			}
			return new Promise(resolve => {
				signal.addEventListener('abort', () => {
					resolve(failed);
				});
				if (fixture.answerMs !== undefined) {
					timers.schedule(fixture.answerMs, () => {
						read = () => {
							resolve(ok(undefined));
						};
						if (!isFrozen) {
							read();
						}
					});
				}
			});
		},
	};
	const monitor = new StorePathMonitor(store, times, timers, () => fixture.isNeeded);
	const fixture: Fixture = {
		losses: [],
		answerMs: 4,
		isRefused: false,
		isNeeded: true,
		probes: 0,
		advance: async durationMs => advanceInSteps(timers, durationMs),
		freeze: async durationMs => {
			isFrozen = true;
			timers.advanceWithoutTimers(durationMs);
			timers.advance(0);
			isFrozen = false;
			read();
			await Promise.resolve();
		},
	};
	subscribeTo(monitor.onDidLose, detail => {
		fixture.losses.push(detail);
	});
	return fixture;
}

describe('the path to the store', () => {
	it('is kept while probes are answered', async () => {
		const fixture = createFixture();
		await fixture.advance(8_000);
		expect(fixture.probes).toBe(10);
		expect(fixture.losses).toEqual([]);
	});

	it('is not probed while no other entry depends on it', async () => {
		const fixture = createFixture();
		fixture.isNeeded = false;
		await fixture.advance(8_000);
		expect(fixture.probes).toBe(0);
	});

	it('is lost within the interval and the limit of a probe after a silent cut', async () => {
		const fixture = createFixture();
		await fixture.advance(8_000);
		fixture.answerMs = undefined;
		await fixture.advance(times.intervalMs + times.limitMs + 40);
		expect(fixture.losses).toEqual(['no answer to a probe within 700 ms']);
	});

	it('is lost at once if a probe fails', async () => {
		const fixture = createFixture();
		fixture.isRefused = true;
		await fixture.advance(times.intervalMs + 4);
		expect(fixture.losses).toEqual(['a probe failed: connection reset']);
	});

	// Guards against watches that end again and again, each with a read by all readers, while the store is slow for all.
	it('is lost once at most while the store is slow', async () => {
		const fixture = createFixture();
		fixture.answerMs = 1_000;
		await fixture.advance(20_000);
		expect(fixture.losses).toHaveLength(1);
	});

	// Guards against a busy entry that takes its own delay for that of the store.
	it('is kept if the answer waits to be read when the limit passes', async () => {
		const fixture = createFixture();
		fixture.answerMs = 100;
		await fixture.advance(times.intervalMs + 8);
		await fixture.freeze(times.limitMs + 50);
		await fixture.advance(200);
		expect(fixture.losses).toEqual([]);
	});
});
