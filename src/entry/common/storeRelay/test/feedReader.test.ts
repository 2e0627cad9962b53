import { ManualTimerService } from '../../../../base/common/manualTimerService';
import type { InstanceId } from '../../../../core/ids/common/ids';
import { FeedReader, FeedWaitEnd } from '../feedReader';
import type { FeedMessage } from '../storeFeed';
import { computeFeedTimes } from '../storeFeed';

const maxDelayMs = 3_000;

interface ReaderFixture {
	readonly timers: ManualTimerService;
	readonly reader: FeedReader;
	/** Returns the age of the latest state. */
	getAgeMs(): number;
	wait(durationMs: number): Promise<FeedWaitEnd | undefined>;
}

function createReader(isAgeBounded = true): ReaderFixture {
	const timers = new ManualTimerService(50_000);
	const reader = new FeedReader(
		'watcher' as InstanceId,
		{ prefix: 'op/', revision: 1, era: 1 },
		{ open: () => ({ dispose: () => undefined }) },
		computeFeedTimes(maxDelayMs, isAgeBounded),
		timers,
		timers,
	);
	return {
		timers,
		reader,
		getAgeMs: () => timers.getNow() - reader.getLatest()!.asOfMs,
		wait: async durationMs => {
			let end: FeedWaitEnd | undefined;
			void reader.wait(1_800, new AbortController().signal).then(found => {
				end = found;
			});
			timers.advance(durationMs);
			for (let turn = 0; turn < 10; turn++) {
				await Promise.resolve();
			}
			return end;
		},
	};
}

function createHeartbeat(elapsedMs: number | undefined, ageMs: number): FeedMessage {
	return { revision: 1, era: 1, ageMs, elapsedMs, isListing: false, written: [], removed: [] };
}

describe('the age of a relayed message', () => {
	// Guards against a state that appears young because its message was held up on a cut or lossy link.
	it('contains the 3 s for which the message was held up', () => {
		const { timers, reader, getAgeMs } = createReader();
		timers.advance(10);
		reader.receive(createHeartbeat(5, 20));
		expect(getAgeMs()).toBe(25);
		timers.advance(3_595);
		reader.receive(createHeartbeat(605, 20));
		expect(getAgeMs()).toBe(3_020);
	});

	it('contains the whole time since the feed was opened if the first message is held up', () => {
		const { timers, reader, getAgeMs } = createReader();
		timers.advance(3_000);
		reader.receive(createHeartbeat(0, 20));
		expect(getAgeMs()).toBe(3_020);
	});

	// Guards against a state that lies in the future because the watcher's clock runs faster, or jumped.
	it('is never below the age that the watcher sent', () => {
		const { timers, reader, getAgeMs } = createReader();
		timers.advance(1_000);
		reader.receive(createHeartbeat(1_100, 20));
		expect(getAgeMs()).toBe(20);
		timers.advance(3_600);
		reader.receive(createHeartbeat(1_700, 20));
		expect(getAgeMs()).toBe(3_020);
	});

	// Guards against another age of deployments that have set no bound, whose feeds last for days.
	it('counts from the arrival without a bound', () => {
		const { timers, reader, getAgeMs } = createReader(false);
		timers.advance(3_000);
		reader.receive(createHeartbeat(0, 20));
		expect(getAgeMs()).toBe(20);
	});
});

describe('a feed with bounded ages', () => {
	it('ends a wait with each heartbeat', async () => {
		const { timers, reader, wait } = createReader();
		timers.schedule(600, () => {
			reader.receive(createHeartbeat(600, 20));
		});
		expect(await wait(599)).toBeUndefined();
		expect(await wait(1)).toBe(FeedWaitEnd.Unchanged);
	});

	// Guards against a reader that stays with a watcher whose state grows old although the feed is not silent.
	it('is lost once its state is too old', async () => {
		const { timers, reader, wait } = createReader();
		timers.advance(10);
		reader.receive(createHeartbeat(0, 2_500));
		expect(await wait(400)).toBeUndefined();
		expect(await wait(100)).toBe(FeedWaitEnd.Lost);
		expect(reader.lostReason).toContain('ms old');
	});

	// Guards against ages without the way of a message, from a watcher of an earlier release.
	it('is lost if the watcher does not send the time since it accepted the feed', async () => {
		const { reader, wait } = createReader();
		reader.receive(createHeartbeat(undefined, 0));
		expect(await wait(1)).toBe(FeedWaitEnd.Lost);
	});

	it('is to be opened again after 30 s, without a bound never', () => {
		const { timers, reader } = createReader();
		const { timers: otherTimers, reader: other } = createReader(false);
		timers.advance(29_999);
		otherTimers.advance(300_000);
		expect(reader.isRenewalDue()).toBe(false);
		timers.advance(1);
		expect(reader.isRenewalDue()).toBe(true);
		expect(other.isRenewalDue()).toBe(false);
	});
});
