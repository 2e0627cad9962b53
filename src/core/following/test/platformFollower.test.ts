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
	/** Moves the clock in small steps, so that reads and waits take turns. */
	advance(durationMs: number): Promise<void>;
}

/** A follower whose reads are answered at once by `answer`. */
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
	it('emits each version and asks on from there', async () => {
		const following = createFollowing(read => ok(read <= 3 ? { version: read } : undefined));
		void following.follower.follow();
		await following.advance(1_000);
		following.follower.dispose();
		expect(following.versions).toEqual([1, 2, 3]);
		expect(following.reads.slice(0, 4).map(read => read.after)).toEqual([0, 1, 2, 3]);
	});

	it('asks rarely, and not in step with others, while the platform is away', async () => {
		// The platform goes down for a minute. Entries that all ask again at once, and again every second,
		// trip its rate limit when it comes back, and the outage goes on for everybody.
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

	it('comes back no sooner than it was told to, and not in step with others', async () => {
		// A fleet that lost the platform comes back to it together and is refused with one time to return.
		// If all return exactly then, they are refused together once more.
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

	it('does not spin where a watch is answered at once with nothing new', async () => {
		// Something between the two ends answers for the platform without waiting. An entry that asked again
		// at once would spend its core and the platform's whole rate on it.
		const following = createFollowing(() => ok(undefined));
		void following.follower.follow();
		await following.advance(10_000);
		following.follower.dispose();
		expect(following.reads.length).toBeLessThanOrEqual(50);
	});

	// The platform falls silent for some seconds, and a version is published on its return. A read that was begun
	// in the silence and is waited out keeps the entry on the version before, seconds longer than the fleet is
	// given to follow, and callers are served by rules that were replaced.
	it('has what was published at the end of a silence within the time allowed', async () => {
		for (let lengthMs = 500; lengthMs <= 30_000; lengthMs += 500) {
			const delayMs = await measureDelay({ fromMs: 12_000, toMs: 12_000 + lengthMs });
			expect(delayMs).toBeLessThanOrEqual(maxDelayMs);
		}
	});
});

/** Milliseconds from the end of a silence, when version 2 is published, until a follower has it. */
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
