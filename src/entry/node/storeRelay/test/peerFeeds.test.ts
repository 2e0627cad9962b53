import { DisposableStore, toDisposable } from '../../../../base/common/lifecycle';
import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { SeededRandom } from '../../../../base/common/random';
import type { InstanceId } from '../../../../core/ids/common/ids';
import { noLoopLag } from '../../../common/intake/loopLagGate';
import { RequestIntake } from '../../../common/intake/requestIntake';
import type { FeedMessage, FeedRequest, IFeedObserver } from '../../../common/storeRelay/storeFeed';
import { HeldBytes } from '../../callers/bodyReader';
import { ImmediateTurnScheduler } from '../../immediateTurnScheduler';
import { PeerClients } from '../../peers/peerClients';
import type { IPeerHandler, IStoreFeedServer } from '../../peers/peerServer';
import { PeerServer } from '../../peers/peerServer';
import { PeerFeedOpener } from '../peerFeeds';

const watcher = 'watcher' as InstanceId;
const request: FeedRequest = { prefix: 'servers/', revision: 7, era: 2 };

let owned = new DisposableStore();

beforeEach(() => {
	owned = new DisposableStore();
});

afterEach(() => {
	owned.dispose();
});

function createMessage(part: Partial<FeedMessage>): FeedMessage {
	return {
		revision: 9,
		era: 2,
		ageMs: 12,
		elapsedMs: 340,
		isListing: false,
		written: [],
		removed: [],
		...part,
	};
}

/** Serves feeds, and keeps what their readers asked for and receive. */
class ScriptedFeeds implements IStoreFeedServer {
	readonly requests: FeedRequest[] = [];
	readonly observers: IFeedObserver[] = [];
	readonly left: Promise<void>;
	private noteLeft: () => void = () => undefined;

	constructor() {
		this.left = new Promise(resolve => {
			this.noteLeft = resolve;
		});
	}

	addReader(asked: FeedRequest, observer: IFeedObserver): ReturnType<IStoreFeedServer['addReader']> {
		this.requests.push(asked);
		this.observers.push(observer);
		observer.receive(createMessage({ isListing: true }));
		return toDisposable(this.noteLeft);
	}
}

/** Keeps what a reader receives. */
class RecordingObserver implements IFeedObserver {
	readonly messages: FeedMessage[] = [];
	readonly ends: string[] = [];
	private readonly waiting: (() => void)[] = [];

	receive(message: FeedMessage): void {
		this.messages.push(message);
		this.waiting.splice(0).forEach(resume => {
			resume();
		});
	}

	end(reason: string): void {
		this.ends.push(reason);
		this.waiting.splice(0).forEach(resume => {
			resume();
		});
	}

	async waitUntil(isReached: (observer: RecordingObserver) => boolean): Promise<void> {
		while (!isReached(this)) {
			await new Promise<void>(resolve => {
				this.waiting.push(resolve);
			});
		}
	}
}

async function openOpener(feeds: IStoreFeedServer | undefined): Promise<PeerFeedOpener> {
	const timers = new ManualTimerService();
	const intake = new RequestIntake(
		new ImmediateTurnScheduler(),
		timers,
		new SeededRandom(1),
		() => undefined,
	);
	const handler = {} as IPeerHandler;
	const server = new PeerServer(handler, new HeldBytes(1), 1, intake, timers, noLoopLag, undefined, feeds);
	const { port } = await server.listen({ host: '127.0.0.1', port: 0 });
	const clients = new PeerClients({}, undefined);
	owned.add(
		toDisposable(() => {
			clients.dispose();
			void server.close();
		}),
	);
	return new PeerFeedOpener(instance =>
		instance === watcher ? clients.open(`http://127.0.0.1:${port}`) : undefined,
	);
}

describe('feeds between entries', () => {
	it('carry listings, changes and heartbeats as they were sent', async () => {
		const feeds = new ScriptedFeeds();
		const opener = await openOpener(feeds);
		const observer = new RecordingObserver();
		owned.add(opener.open(watcher, request, observer));
		await observer.waitUntil(({ messages }) => messages.length === 1);
		const change = createMessage({
			written: [{ key: 'servers/a', value: Buffer.from('{}'), revision: 9 }],
			removed: ['servers/b'],
		});
		feeds.observers[0]?.receive(change);
		await observer.waitUntil(({ messages }) => messages.length === 2);
		expect(feeds.requests).toEqual([request]);
		expect(observer.messages[0]).toEqual(createMessage({ isListing: true }));
		const [, received] = observer.messages;
		expect(received?.written.map(({ value }) => Buffer.from(value).toString())).toEqual(['{}']);
		expect({ ...received, written: [] }).toEqual({ ...change, written: [] });
	});

	// Guards against a watcher that goes on sending to readers which have left.
	it('end at the watcher when the reader leaves', async () => {
		const feeds = new ScriptedFeeds();
		const opener = await openOpener(feeds);
		const observer = new RecordingObserver();
		const feed = opener.open(watcher, request, observer);
		await observer.waitUntil(({ messages }) => messages.length === 1);
		feed.dispose();
		await feeds.left;
		expect(observer.ends).toEqual([]);
	});

	it('end at the reader when the watcher ends them, and when there is no such feed', async () => {
		const feeds = new ScriptedFeeds();
		const opener = await openOpener(feeds);
		const observer = new RecordingObserver();
		owned.add(opener.open(watcher, request, observer));
		await observer.waitUntil(({ messages }) => messages.length === 1);
		feeds.observers[0]?.end('the store does not answer the watcher');
		await observer.waitUntil(({ ends }) => ends.length === 1);
		const withoutStore = new RecordingObserver();
		owned.add((await openOpener(undefined)).open(watcher, request, withoutStore));
		await withoutStore.waitUntil(({ ends }) => ends.length === 1);
		const unknown = new RecordingObserver();
		owned.add(opener.open('nobody' as InstanceId, request, unknown));
		await unknown.waitUntil(({ ends }) => ends.length === 1);
		expect([observer.ends.length, withoutStore.ends.length, unknown.ends]).toEqual([1, 1, ['unknown entry']]);
	});
});
