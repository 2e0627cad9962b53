import { ManualTimerService } from '../../../../base/common/manualTimerService';
import type { InstanceId, StreamId } from '../../../../core/ids/common/ids';
import { computeStreamKey } from '../../../common/streams/streamOrigins';
import type { OriginPeer } from '../originPeers';
import { StreamOriginKeeper } from '../streamOriginKeeper';
import { createOwnOrigin, createPeer, createStream, ScriptedOriginPeers } from './originFixtures';

const self = createPeer('khomas-1', 'khomas', 'khomas-a');
const others = [createPeer('khomas-2'), createPeer('erongo-1', 'erongo'), createPeer('oshana-1', 'oshana')];
const stream = '86648caa46c6a7a1' as StreamId;

function createKeeper(peers: readonly OriginPeer[] = others): {
	keeper: StreamOriginKeeper;
	peers: ScriptedOriginPeers;
	advance: (ms: number) => Promise<void>;
} {
	const timers = new ManualTimerService();
	const scripted = new ScriptedOriginPeers(peers);
	const keeper = new StreamOriginKeeper(self, scripted, timers);
	const advance = async (ms: number): Promise<void> => {
		timers.advance(ms);
		await new Promise(resolve => setImmediate(resolve));
	};
	return { keeper, peers: scripted, advance };
}

describe('reports of origins to holders', () => {
	it('are collected, and go to another zone and another region', async () => {
		const { keeper, peers, advance } = createKeeper();
		keeper.noteBegun(createStream('a'));
		keeper.noteBegun(createStream('b'));
		expect(peers.reports).toEqual([]);
		await advance(200);
		expect(peers.reports.map(({ groups }) => groups[0]?.keys.length)).toEqual([2, 2]);
		expect(peers.reports[0]?.to).toBe('khomas-2');
		await advance(1_000);
		expect(peers.reports).toHaveLength(2);
	});

	// Guards against streams that nobody knows any more, after a holder and then the entry that began them were replaced.
	it('are repeated to the holder that takes the place of a lost one', async () => {
		const { keeper, peers, advance } = createKeeper();
		keeper.noteBegun(createStream('a'));
		await advance(200);
		peers.peers = [createPeer('khomas-3'), ...others.slice(1)];
		keeper.noteBegun(createStream('b'));
		await advance(200);
		const latest = peers.reports.filter(({ to }) => to === 'khomas-3');
		expect(latest.map(({ groups }) => groups[0]?.keys.length)).toEqual([2]);
	});

	it('are repeated to a holder that has not received them', async () => {
		const { keeper, peers, advance } = createKeeper();
		peers.silent.add('khomas-2' as InstanceId);
		keeper.noteBegun(createStream('a'));
		await advance(200);
		expect(peers.reports.map(({ to }) => to)).not.toContain('khomas-2');
		peers.silent.clear();
		await advance(200);
		expect(peers.reports.map(({ to }) => to)).toContain('khomas-2');
	});

	// Guards against the last streams before a lull, which no later stream's report would carry.
	it('follow for streams that began while a report was on its way', async () => {
		const { keeper, peers, advance } = createKeeper();
		peers.isSlow = true;
		keeper.noteBegun(createStream('a'));
		await advance(200);
		keeper.noteBegun(createStream('b'));
		await advance(200);
		expect(peers.reports).toHaveLength(2);
		for (const answer of peers.pendingAnswers.splice(0)) {
			answer();
		}
		await advance(0);
		await advance(200);
		expect(peers.reports).toHaveLength(4);
	});

	// Guards against a version that is reported although the target may have started again with another one.
	it('contain a stream only once its origin is certain', async () => {
		const { keeper, peers, advance } = createKeeper();
		let isCertain = false;
		const findOrigin = (): ReturnType<typeof createOwnOrigin> | undefined =>
			isCertain ? createOwnOrigin('v1') : undefined;
		keeper.noteBegun({ ...createStream(stream), findOrigin });
		await advance(200);
		expect(peers.reports).toEqual([]);
		expect(keeper.answer(computeStreamKey(stream))).toBeUndefined();
		isCertain = true;
		expect(keeper.answer(computeStreamKey(stream))?.origin.version).toBe('v1');
		await advance(200);
		expect(peers.reports).toHaveLength(2);
	});

	it('leave out streams whose answer is complete', async () => {
		const { keeper, peers, advance } = createKeeper();
		keeper.noteBegun({ ...createStream('a'), isAnswered: () => true });
		await advance(200);
		expect(peers.reports).toEqual([]);
	});
});

describe('the look-up of an origin', () => {
	it('needs no other entry for a stream that this one began or holds', async () => {
		const { keeper, peers } = createKeeper();
		keeper.noteBegun(createStream('a', 'v1'));
		const groups = [{ origin: createOwnOrigin('v2'), keys: [computeStreamKey('b' as StreamId)] }];
		keeper.receive('erongo-1' as InstanceId, groups);
		expect(await keeper.find('a' as StreamId)).toMatchObject({ version: 'v1', source: 'this entry' });
		expect(await keeper.find('b' as StreamId)).toMatchObject({ version: 'v2', source: 'erongo-1' });
		expect(peers.asked).toEqual([]);
	});

	it('asks the region first, and the others only if nobody there knows the stream', async () => {
		const { keeper, peers, advance } = createKeeper();
		peers.known.set('khomas-2' as InstanceId, { origin: createOwnOrigin('v1'), ageMs: 40 });
		expect(await keeper.find(stream)).toMatchObject({ version: 'v1', source: 'khomas-2', learnedMs: -40 });
		expect(peers.asked).toEqual(['khomas-2']);
		peers.known.clear();
		peers.known.set('oshana-1' as InstanceId, { origin: createOwnOrigin('v2'), ageMs: 0 });
		const found = keeper.find('another' as StreamId);
		await advance(0);
		expect(await found).toMatchObject({ version: 'v2', source: 'oshana-1' });
	});

	// Guards against callers that wait for entries which are frozen or cut off.
	it('takes no answer for unknown, and ends within half a second if entries are silent', async () => {
		const { keeper, peers, advance } = createKeeper();
		for (const { instance } of others) {
			peers.silent.add(instance);
		}
		const found = keeper.find(stream);
		await advance(200);
		await advance(250);
		expect(await found).toBeUndefined();
	});

	// Guards against an outage that keeps the other entries busy with questions.
	it('asks for a bounded number of streams at a time', async () => {
		const { keeper, peers, advance } = createKeeper(others.slice(0, 1));
		peers.silent.add('khomas-2' as InstanceId);
		const found = Array.from({ length: 100 }, async (_, index) => keeper.find(`s-${index}` as StreamId));
		expect(peers.asked).toHaveLength(64);
		await advance(200);
		await advance(250);
		expect(await Promise.all(found)).toEqual(Array.from({ length: 100 }, () => undefined));
	});
});
