import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { SeededRandom } from '../../../../base/common/random';
import type { VersionHistory } from '../../../../core/discovery/common/seenVersions';
import type { InstanceId, RegionName, ServiceName, SoftwareVersion } from '../../../../core/ids/common/ids';
import type { OriginPeer } from '../originPeers';
import type { VersionRegistry } from '../onlyVersionFinder';
import { OnlyVersionFinder } from '../onlyVersionFinder';
import { createPeer } from './originFixtures';

const service = 'writer' as ServiceName;
const v1 = 'v1' as SoftwareVersion;
const v2 = 'v2' as SoftwareVersion;
const near = ['khomas-2', 'khomas-3', 'khomas-4'].map(name => createPeer(name));
const far = ['erongo-1', 'oshana-1', 'oshana-2'].map(name => createPeer(name, name.slice(0, 6)));

function createHistory(version: SoftwareVersion, followedMs = 30_000): VersionHistory {
	return { revision: 1, era: 1, followedMs, versions: [{ service, version, ageMs: 0 }] };
}

interface FinderFixture {
	readonly finder: OnlyVersionFinder;
	readonly asked: readonly InstanceId[];
	readonly timers: ManualTimerService;
	/** Lets the time for answers pass. */
	find(): Promise<SoftwareVersion | undefined>;
	answer(from: readonly OriginPeer[], history: VersionHistory): void;
	stopStore(): void;
}

/** A registry that knows v1, and other entries with histories. Those without one don't answer. */
function createFinder(peers: readonly OriginPeer[], isFollowed: boolean): FinderFixture {
	const timers = new ManualTimerService();
	const versions = new Set([v1]);
	const state = { isFollowed, isReached: true };
	const registry: VersionRegistry = {
		hasOneVersion: () => versions.size === 1,
		findOnlyVersion: () => (state.isFollowed && versions.size === 1 ? v1 : undefined),
		isStoreReached: () => state.isReached,
		addVersionHistory: ({ followedMs, versions: seen }) => {
			state.isFollowed ||= followedMs >= 15_000;
			for (const { version } of seen) {
				versions.add(version!);
			}
		},
	};
	const histories = new Map<InstanceId, VersionHistory>();
	const asked: InstanceId[] = [];
	const finder = new OnlyVersionFinder(
		'khomas' as RegionName,
		registry,
		{
			list: () => peers,
			askVersionHistory: async peer => {
				asked.push(peer);
				const history = histories.get(peer);
				return history === undefined ? new Promise(() => undefined) : Promise.resolve(history);
			},
		},
		timers,
		new SeededRandom(1),
	);
	const find = async (): Promise<SoftwareVersion | undefined> => {
		const found = finder.find(service);
		for (let round = 0; round < 2; round++) {
			await new Promise(resolve => setImmediate(resolve));
			timers.advance(250);
		}
		return found;
	};
	const answer = (from: readonly OriginPeer[], history: VersionHistory): void => {
		for (const { instance } of from) {
			histories.set(instance, history);
		}
	};
	const stopStore = (): void => {
		state.isReached = false;
	};
	return { finder, find, answer, asked, timers, stopStore };
}

describe('the only version of a service', () => {
	// Guards against callers that are refused for seconds at an entry that has just started.
	it('is known from another entry of the region after a start', async () => {
		const { find, answer, asked } = createFinder([...near, ...far], false);
		answer(near, createHistory(v1));
		expect(await find()).toBe(v1);
		expect(asked).toHaveLength(2);
		expect(asked.every(instance => instance.startsWith('khomas'))).toBe(true);
	});

	it('is known from another region if no entry of the own one knows enough', async () => {
		const { find, answer } = createFinder([...near, ...far], false);
		answer(near, createHistory(v1, 300));
		answer(far, createHistory(v1));
		expect(await find()).toBe(v1);
	});

	it('is not known if no other entry knows enough', async () => {
		const { find, answer } = createFinder([...near, ...far], false);
		answer([...near, ...far], createHistory(v1, 300));
		expect(await find()).toBeUndefined();
	});

	// Guards against streams joined from two versions by an entry that the store does not reach.
	it('is none if another entry has seen a second one, also if this one has followed the store for long', async () => {
		const { find, answer } = createFinder(near, true);
		answer(near, createHistory(v2));
		expect(await find()).toBeUndefined();
	});

	// Guards against the same where the store does not reach this region.
	it('is none if an entry of another region has seen a second one while the store does not answer', async () => {
		const { find, answer, stopStore } = createFinder([...near, ...far], true);
		answer(near, createHistory(v1));
		answer(far, createHistory(v2));
		stopStore();
		expect(await find()).toBeUndefined();
	});

	// Guards against callers that are refused where an entry is alone, or the others are silent or of an earlier release.
	it('needs no answer if this entry has followed the store for long', async () => {
		expect(await createFinder([], true).find()).toBe(v1);
		expect(await createFinder(near, true).find()).toBe(v1);
	});

	// Guards against an outage that keeps the other entries busy with questions.
	it('is asked for in an interval, whatever the number of callers', async () => {
		const { finder, answer, asked, timers } = createFinder(near, true);
		answer(near, createHistory(v1));
		await Promise.all(Array.from({ length: 100 }, async () => finder.find(service)));
		timers.advance(499);
		await finder.find(service);
		expect(asked).toHaveLength(2);
		timers.advance(1);
		await finder.find(service);
		expect(asked).toHaveLength(4);
	});
});
