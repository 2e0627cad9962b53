import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { subscribeTo } from '../../../base/common/channel';
import { ManualTimerService } from '../../../base/common/manualTimerService';
import { SeededRandom } from '../../../base/common/random';
import type { PlatformError } from '../../platformClient/node/platformClient';
import { computeWatchTimings } from '../common/watchBackoff';
import { PlatformFollower } from '../node/platformFollower';
import type { Silence } from './silentPublisher';
import { SilentPublisher } from './silentPublisher';

interface Document {
	readonly version: number;
}

type Answer = Result<Document | undefined, PlatformError>;

const maxDelayMs = 9_000;

const outage: Answer = err({ detail: 'connect refused', retryAfterMs: undefined });

interface Following {
	readonly timers: ManualTimerService;
	readonly follower: PlatformFollower<Document>;
	/** When each read was made, and after which version. */
	readonly reads: { readonly atMs: number; readonly after: number }[];
	readonly versions: number[];
	/** Advances the clock in small steps and lets pending promises settle between them. */
	advance(durationMs: number): Promise<void>;
}

/** Creates a follower whose reads are answered immediately by `answer`. */
function createFollowing(answer: (read: number) => Answer, seed = 1): Following {
	const timers = new ManualTimerService();
	const reads: Following['reads'] = [];
	const versions: number[] = [];
	const follower = new PlatformFollower<Document>(
		after => {
			reads.push({ atMs: timers.getNow(), after });
			return Promise.resolve(answer(reads.length));
		},
		timers,
		new SeededRandom(seed),
		maxDelayMs,
	);
	subscribeTo(follower.onDidRead, ({ version }) => versions.push(version));
	const advance = async (durationMs: number): Promise<void> => {
		const untilMs = timers.getNow() + durationMs;
		while (timers.getNow() < untilMs) {
			await new Promise(resolve => setImmediate(resolve));
			timers.advance(50);
		}
	};
	return { timers, follower, reads, versions, advance };
}

describe('PlatformFollower', () => {
	it('emits each version and continues after it', async () => {
		const following = createFollowing(read => ok(read <= 3 ? { version: read } : undefined));
		void following.follower.follow();
		await following.advance(1_000);
		following.follower.dispose();
		expect(following.versions).toEqual([1, 2, 3]);
		expect(following.reads.slice(0, 4).map(read => read.after)).toEqual([0, 1, 2, 3]);
	});

	it('reads rarely, and at different times than other followers, while the platform is down', async () => {
		// Guards against entries that retry in step during an outage: they exceed the platform's rate limit when it
		// recovers, which prolongs the outage for all entries.
		const [first, second] = [1, 2].map(seed => createFollowing(() => outage, seed));
		for (const following of [first!, second!]) {
			void following.follower.follow();
			await following.advance(60_000);
			following.follower.dispose();
			expect(following.reads.length).toBeLessThan(60);
			expect(following.reads.length).toBeGreaterThan(10);
		}
		const times = first!.reads.slice(1, 10).map(read => read.atMs);
		expect(second!.reads.slice(1, 10).map(read => read.atMs)).not.toEqual(times);
	});

	it('retries no sooner than the platform requested, and at different times than other followers', async () => {
		// Guards against rejected retries after an outage: the platform gives all entries the same retry time, and they
		// are rejected again if all of them retry exactly at that time.
		const refused: Answer = err({ detail: 'the platform answered 429', retryAfterMs: 10_000 });
		const times = [1, 2].map(async seed => {
			const following = createFollowing(() => refused, seed);
			void following.follower.follow();
			await following.advance(45_000);
			following.follower.dispose();
			return following.reads.map(read => read.atMs);
		});
		const [first, second] = await Promise.all(times);
		const gaps = first!.slice(1).map((atMs, index) => atMs - first![index]!);
		expect(Math.min(...gaps)).toBeGreaterThanOrEqual(10_000);
		expect(second).not.toEqual(first);
	});

	it('pauses when a watch is answered immediately without a new version', async () => {
		// Guards against a tight loop when an intermediary answers for the platform without waiting: it would use up the
		// entry's CPU and the platform's rate limit.
		const following = createFollowing(() => ok(undefined));
		void following.follower.follow();
		await following.advance(10_000);
		following.follower.dispose();
		expect(following.reads.length).toBeLessThanOrEqual(50);
	});

	// Guards against a read that begins while the platform does not respond and hangs after its recovery: callers would
	// be served by replaced rules for longer than the maximum delay.
	it('receives a version published at the end of a silence within the maximum delay', async () => {
		for (let lengthMs = 500; lengthMs <= 30_000; lengthMs += 500) {
			const delayMs = await measureDelay({ fromMs: 12_000, toMs: 12_000 + lengthMs });
			expect(delayMs).toBeLessThanOrEqual(maxDelayMs);
		}
	});
});

/** Returns the milliseconds from the end of a silence, when version 2 is published, until a follower receives it. */
async function measureDelay(silence: Silence): Promise<number> {
	const timers = new ManualTimerService();
	const publisher = new SilentPublisher(timers, silence);
	const { answerTimeoutMs } = computeWatchTimings(maxDelayMs);
	const waitForTimeout = (afterMs: number): Promise<Answer> =>
		new Promise(resolve => {
			timers.schedule(afterMs, () => {
				resolve(outage);
			});
		});
	const follower = new PlatformFollower<Document>(
		(after, waitMs) => {
			const read = publisher.read(after, waitMs).then((): Answer => {
				const { version } = publisher;
				return ok(version > after ? { version } : undefined);
			});
			return Promise.race([read, waitForTimeout(waitMs + answerTimeoutMs)]);
		},
		timers,
		new SeededRandom(1),
		maxDelayMs,
	);
	let heldVersion = 0;
	subscribeTo(follower.onDidRead, ({ version }) => {
		heldVersion = version;
	});
	void follower.follow();
	while (heldVersion < 2) {
		await new Promise(resolve => setImmediate(resolve));
		timers.advance(100);
	}
	follower.dispose();
	return timers.getNow() - silence.toMs;
}
