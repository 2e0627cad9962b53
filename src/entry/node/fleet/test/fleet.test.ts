import * as fc from 'fast-check';
import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { SeededRandom } from '../../../../base/common/random';
import { RingAuditTrail } from '../../../../core/audit/common/ringAuditTrail';
import type { InstanceId, ManifestVersion, ZoneName } from '../../../../core/ids/common/ids';
import { parseInstanceList } from '../../../../core/platformClient/common/instanceList';
import type { EntryView } from '../../../common/fleetView/entryView';
import { estimateViewBytes } from '../../../common/fleetView/entryView';
import { defaultFleetViewParameters } from '../../../common/scheduling/policy';
import { PeerClients } from '../../peers/peerClients';
import type { PeerConnection } from '../../peers/peerClients';
import { EntryFleet } from '../entryFleet';
import { ManifestFetcher } from '../manifestFetcher';
import { decodeView, encodeView } from '../viewCodec';
import { createView, region } from './views';

/** Creates a fleet with a stopped clock, so that it sends nothing. */
function createFleet(timers = new ManualTimerService()): EntryFleet {
	const place = {
		id: 'self' as InstanceId,
		region,
		zone: 'khomas-a' as ZoneName,
		peerUrl: 'http://self:2',
		seeds: [],
	};
	const trail = new RingAuditTrail(100, () => new Date(0));
	return new EntryFleet(
		place,
		() => createView('self'),
		new PeerClients({}, undefined),
		timers,
		new SeededRandom(3),
		trail,
	);
}

function createList(entries: readonly [string, string][]): ReturnType<typeof parseInstanceList> {
	const instances = entries.map(([id, state]) => ({
		id,
		kind: 'entry',
		region,
		zone: 'khomas-a',
		callerUrl: `http://${id}:1`,
		peerUrl: `http://${id}:2`,
		state,
	}));
	return parseInstanceList(JSON.stringify({ instances }));
}

const uint32 = fc.integer({ min: 0, max: 0xffff_ffff });
const runningPerTarget = fc.integer({ min: 0, max: 100_000 }).map(tenths => tenths / 10);
const room = fc.record({
	waitMs: uint32,
	freeSlots: uint32,
	running: uint32,
	queued: uint32,
	runningPerTarget,
});

const anyView: fc.Arbitrary<EntryView> = fc
	.record({
		sequence: fc.nat(),
		isLeaving: fc.boolean(),
		manifestVersion: fc.nat().map(version => version as ManifestVersion),
		manifestDigest: fc.string(),
		ageMs: uint32,
		callerUrl: fc.webUrl(),
		peerUrl: fc.webUrl(),
		rooms: fc.array(fc.record({ service: fc.string(), room })),
		leavingTargets: fc.array(fc.string()),
		crashSightings: fc.array(fc.record({ fingerprint: fc.string(), target: fc.string(), ageMs: uint32 })),
	})
	.map(fields => createView('entry-2', fields as unknown as Partial<EntryView>));

describe('view codec', () => {
	it('preserves every field of every view', () => {
		fc.assert(
			fc.property(anyView, view => {
				expect(decodeView(encodeView(view))).toEqual(view);
			}),
			{ seed: 21, numRuns: 100 },
		);
	});

	// An entry without a usable target predicts an infinite wait. If the number were not clamped, encoding would fail
	// in each of its exchanges, and the other entries would consider a healthy entry down.
	it('clamps numbers that the protocol cannot represent', () => {
		const rooms = [{ service: 's', room: { waitMs: Infinity, freeSlots: -0.5, running: 1, queued: 0 } }];
		const message = encodeView(createView('entry-2', { rooms: rooms as unknown as EntryView['rooms'] }));
		expect(message.services[0]).toMatchObject({ waitMs: 0xffff_ffff, freeSlots: 0 });
	});
});

describe('EntryFleet', () => {
	// An entry starts in a running fleet and has received only one view so far. If it divided the targets by two, it
	// would send them many times its share of the load until it has received all views.
	it('counts listed entries before their views are received', () => {
		const fleet = createFleet();
		fleet.receiveViews([encodeView(createView('entry-1'))]);
		const list = createList([
			['self', 'live'],
			['entry-1', 'live'],
			['entry-2', 'live'],
			['entry-3', 'leaving'],
		])._unsafeUnwrap();
		fleet.setInstanceList(list);
		expect(fleet.countLive(region, region)).toBe(3);
		expect(fleet.listCandidates(undefined).map(({ instance }) => instance)).toEqual(['entry-1', 'entry-2']);
	});

	// The instance list is outdated and marks an entry as leaving that was restarted in place. Once it is listed as
	// live again and sends a view, lookups must return it again.
	it('lists an entry as usable again once the instance list marks it as live', () => {
		const timers = new ManualTimerService();
		const fleet = createFleet(timers);
		fleet.receiveViews([encodeView(createView('entry-1'))]);
		fleet.setInstanceList(createList([['entry-1', 'leaving']])._unsafeUnwrap());
		expect(fleet.listCandidates(undefined)[0]?.isLeaving).toBe(true);
		fleet.setInstanceList(createList([['entry-1', 'live']])._unsafeUnwrap());
		timers.advance(500);
		fleet.receiveViews([encodeView(createView('entry-1', { sequence: 2 }))]);
		expect(fleet.listCandidates(undefined)[0]).toMatchObject({ isLeaving: false, isSuspect: false });
	});

	// In a fleet of hundreds each view is refreshed rarely. A time limit suited to seven entries would suspect nearly
	// all of them at any time, and lookups would prefer distant entries to near ones.
	it('allows longer silence in a large fleet', () => {
		const countLiveAfter = (size: number, silentMs: number): number => {
			const fleet = createFleet();
			const views = Array.from({ length: size }, (_, index) => createView(`entry-${index}`));
			fleet.receiveViews(views.map(encodeView));
			fleet.getLifecycles().expire(silentMs);
			return fleet.getLifecycles().listLive().length;
		};
		expect(countLiveAfter(6, 30_000)).toBe(0);
		expect(countLiveAfter(90, 30_000)).toBe(90);
		expect(countLiveAfter(90, 200_000)).toBe(0);
	});
});

describe('the answer to an exchange in a large fleet', () => {
	const { bytesPerSecond } = defaultFleetViewParameters;

	/** Counts the bytes of the answer to an entry's first exchange, by a fleet that knows 100 others. */
	function countAnswerBytes(sequence: number): number {
		const fleet = createFleet();
		for (let index = 0; index < 100; index++) {
			fleet.receiveViews([encodeView(createView(`entry-${index}`, { sequence: 1_000 }))]);
		}
		const answer = fleet.receiveViews([encodeView(createView('asking', { sequence }))]);
		return answer.map(decodeView).reduce((sum, view) => sum + estimateViewBytes(view), 0);
	}

	// Guards against a byte budget that is exceeded until each entry has met each other one, for minutes in a large fleet.
	it('keeps to the budget for an entry that has run for some time, also the first time', () => {
		expect(countAnswerBytes(1_000)).toBeLessThanOrEqual(bytesPerSecond / 4);
	});

	it('shows an entry that has just started many others', () => {
		expect(countAnswerBytes(1)).toBeGreaterThan(bytesPerSecond);
	});
});

describe('ManifestFetcher', () => {
	function createFetcher(): {
		readonly fetcher: ManifestFetcher;
		readonly asked: InstanceId[];
		readonly timers: ManualTimerService;
	} {
		const timers = new ManualTimerService();
		const asked: InstanceId[] = [];
		const fetchFromPeer = (instance: InstanceId): Promise<void> => {
			asked.push(instance);
			return new Promise(() => undefined);
		};
		return {
			fetcher: new ManifestFetcher({ getVersion: () => 3, fetchFromPeer }, timers),
			asked,
			timers,
		};
	}

	// A new version is reported by many views at once, and the first peer asked for it does not answer. Asking all
	// peers would transfer the document many times; waiting for the first one would keep the old version active.
	it('asks one peer at a time, and another one if the first does not answer', () => {
		const { fetcher, asked, timers } = createFetcher();
		const peer = {} as PeerConnection;
		for (const [name, version] of [
			['a', 3],
			['b', 4],
			['c', 4],
		] as const) {
			void fetcher.fetch(name as InstanceId, version as ManifestVersion, peer);
		}
		expect(asked).toEqual(['b']);
		timers.advance(2_000);
		void fetcher.fetch('c' as InstanceId, 4 as ManifestVersion, peer);
		expect(asked).toEqual(['b', 'c']);
	});
});
