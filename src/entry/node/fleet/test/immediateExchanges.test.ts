import { create } from '@bufbuild/protobuf';
import { subscribeTo } from '../../../../base/common/channel';
import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { SeededRandom } from '../../../../base/common/random';
import { RingAuditTrail } from '../../../../core/audit/common/ringAuditTrail';
import type { InstanceId, RegionName, TargetId, ZoneName } from '../../../../core/ids/common/ids';
import { ShareCrashesRequestSchema } from '../../../../gen/anvilroad/peer/v1/peer_pb';
import { CrashReporter } from '../../../common/quarantine/crashReporter';
import { Quarantine } from '../../../common/quarantine/quarantine';
import type { PeerClients } from '../../peers/peerClients';
import { CrashDetector } from '../../requests/crashDetector';
import type { AcceptedCall } from '../../requests/requestRun';
import type { CrashReport } from '../entryFleet';
import { EntryFleet } from '../entryFleet';
import { encodeView } from '../viewCodec';
import { createView, region } from './views';

/** A fleet view of one entry, and the addresses of the peers that it has called. */
interface RecordedFleet {
	readonly fleet: EntryFleet;
	readonly timers: ManualTimerService;
	/** Returns the peers with which views were exchanged since the last call. */
	takeContacted(): readonly string[];
	/** The peers to which crashes were reported. */
	readonly reportedTo: readonly string[];
}

function createRecordedFleet(others: number): RecordedFleet {
	const contacted: string[] = [];
	const reportedTo: string[] = [];
	const peers = {
		open: (peerUrl: string) => ({
			client: {
				exchangeViews: () => {
					contacted.push(peerUrl);
					return Promise.resolve({ views: [] });
				},
				shareCrashes: () => {
					reportedTo.push(peerUrl);
					return Promise.resolve({});
				},
			},
		}),
		closeAbsent: () => undefined,
	};
	const location = {
		id: 'self' as InstanceId,
		region,
		zone: 'khomas-a' as ZoneName,
		peerUrl: 'http://self:2',
		seeds: [],
	};
	const timers = new ManualTimerService();
	const fleet = new EntryFleet(
		location,
		() => createView('self'),
		peers as unknown as PeerClients,
		timers,
		new SeededRandom(3),
		new RingAuditTrail(100, () => new Date(0)),
	);
	fleet.receiveViews(Array.from({ length: others }, (_, index) => encodeView(createView(`entry-${index}`))));
	return { fleet, timers, takeContacted: () => contacted.splice(0), reportedTo };
}

function createTargetId(index: number): TargetId {
	return `engine-${index}` as TargetId;
}

/** Creates the parts of a call that identify it after a crash. */
function createCall(body: string): AcceptedCall {
	const head = { service: 'report-writer', organisation: 'default', method: 'POST', path: '/v1/run' };
	return { head, body: Buffer.from(body) } as unknown as AcceptedCall;
}

/** Lets time pass, and returns the peers contacted meanwhile, those of each moment apart. */
function listContactedWithin({ timers, takeContacted }: RecordedFleet, durationMs: number): string[][] {
	const stepMs = 50;
	const moments = [takeContacted()];
	for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
		timers.advance(stepMs);
		moments.push(takeContacted());
	}
	return moments.map(contacted => [...contacted]);
}

function countAtOneMoment(moments: readonly string[][]): number {
	return Math.max(...moments.map(({ length }) => length));
}

/** Exchanges of a large fleet at one moment, with the regular ones of a period. */
const maxAtOneMoment = 8 + 2;

describe('a new manifest', () => {
	/** Lists the peers that are contacted at the moment at which the second manifest is accepted. */
	function listContactedAfterSecond(others: number): readonly string[] {
		const recorded = createRecordedFleet(others);
		recorded.fleet.shareManifest();
		listContactedWithin(recorded, 5_000);
		recorded.fleet.shareManifest();
		return recorded.takeContacted();
	}

	// Guards against entries that do nothing else for a second after a change, since each exchanges views with each other.
	it('starts no more exchanges in a fleet of hundreds than in one of dozens', () => {
		const inDozens = listContactedAfterSecond(30);
		const inHundreds = listContactedAfterSecond(300);
		expect(inHundreds).toHaveLength(inDozens.length);
		expect(new Set(inHundreds).size).toBe(inHundreds.length);
	});

	it('is announced to all entries of a small fleet', () => {
		expect(listContactedAfterSecond(6)).toHaveLength(6);
	});

	// Guards against event loops that are late when many entries start at one moment.
	it('is announced to all entries of the region, a few at a time, if it is the first one', () => {
		const recorded = createRecordedFleet(300);
		recorded.fleet.shareManifest();
		const moments = listContactedWithin(recorded, 5_000);
		expect(new Set(moments.flat()).size).toBe(300);
		expect(countAtOneMoment(moments)).toBeLessThanOrEqual(maxAtOneMoment);
	});
});

describe('the exchanges after a suspension or a late turn of the event loop', () => {
	// Guards against entries that are late together and become later, since each exchanges views with each other.
	it('are few, and leave all other entries in use', async () => {
		const { fleet, timers, takeContacted } = createRecordedFleet(84);
		timers.advanceWithoutTimers(30_000);
		await fleet.exchangeWithSome();
		expect(takeContacted()).toHaveLength(8);
		timers.advance(1_000);
		const usable = fleet.listCandidates(undefined).filter(({ isSuspect }) => !isSuspect);
		expect(usable).toHaveLength(84);
	});
});

describe.each([
	{
		event: 'the announcement that an entry is leaving',
		share: (fleet: EntryFleet) => {
			fleet.exchangeWithRegion();
		},
	},
	{
		event: 'the first manifest',
		share: (fleet: EntryFleet) => {
			fleet.shareManifest();
		},
	},
])('$event', ({ share }) => {
	function createSharingFleet(): RecordedFleet {
		const recorded = createRecordedFleet(27);
		const overrides = { region: 'erongo' as RegionName };
		const others = Array.from({ length: 57 }, (_, index) => createView(`elsewhere-${index}`, overrides));
		recorded.fleet.receiveViews(others.map(encodeView));
		share(recorded.fleet);
		return recorded;
	}

	// Guards against event loops that are late when half of the entries are stopped or started at one moment.
	it('starts few exchanges at one moment, and no more than for its region and a few others', () => {
		const moments = listContactedWithin(createSharingFleet(), 900);
		expect(countAtOneMoment(moments)).toBeLessThanOrEqual(8);
		expect(moments.flat().length).toBeLessThanOrEqual(27 + 8);
	});

	// Guards against callers that are directed to an entry after it has ceased to accept requests, or not to a new one.
	it('reaches each other entry of the region within half a second', () => {
		const contacted = listContactedWithin(createSharingFleet(), 500).flat();
		const inRegion = contacted.filter(url => !url.includes('elsewhere'));
		expect(new Set(inRegion).size).toBe(27);
	});
});

describe('targets that crash at the same time', () => {
	const crashCount = 18;

	/** Counts the reports to each other entry until some seconds after the crash. */
	async function countReportsByPeer(
		others: number,
		createBody = (index: number): string => `prompt ${index}`,
		intervalMs = 0,
	): Promise<ReadonlyMap<string, number>> {
		const { fleet, timers, takeContacted, reportedTo } = createRecordedFleet(others);
		const reporter = new CrashReporter(sightings => fleet.sendCrashReport(region, sightings), timers);
		const detector = new CrashDetector(
			new Quarantine(),
			() => Promise.resolve(true),
			crash => reporter.share(crash),
			timers,
		);
		const calls = Array.from({ length: crashCount }, (_, index) => createCall(createBody(index)));
		const checks = calls.map(async (call, index) => {
			await new Promise<void>(resolve => timers.schedule(index * intervalMs, resolve));
			await detector.checkForCrash(createTargetId(index), [call]);
		});
		for (let index = 0; index <= crashCount; index++) {
			timers.advance(intervalMs);
			await new Promise(resolve => setImmediate(resolve));
		}
		await Promise.all(checks);
		expect(takeContacted()).toEqual([]);
		timers.advance(5_000);
		const counts = new Map<string, number>();
		for (const url of reportedTo) {
			counts.set(url, (counts.get(url) ?? 0) + 1);
		}
		reporter.dispose();
		return counts;
	}

	// Guards against event loops that are seconds late after the loss of a rack, because each entry calls each other
	// entry of its region for each target.
	it('cause at most two reports to each other entry of the region', async () => {
		const counts = await countReportsByPeer(27);
		expect(counts.size).toBe(27);
		expect(Math.max(...counts.values())).toBeLessThanOrEqual(2);
	});

	// Guards against the same lateness if a request that is already refused was in flight at the targets, for example
	// because many callers send the same request.
	it('cause one report more for a request that is refused after the second crash', async () => {
		const counts = await countReportsByPeer(27, () => 'the same prompt', 30);
		expect(Math.max(...counts.values())).toBeLessThanOrEqual(3);
	});
});

describe('a crash report', () => {
	it('reaches the entries that receive it', () => {
		const { fleet } = createRecordedFleet(1);
		const received: CrashReport[] = [];
		const subscription = subscribeTo(fleet.onDidReportCrashes, report => received.push(report));
		const crashSightings = [{ fingerprint: 'f', target: 'engine-1', ageMs: 7 }];
		fleet.receiveCrashReport(create(ShareCrashesRequestSchema, { region, crashSightings }));
		subscription.dispose();
		expect(received).toEqual([{ region, sightings: crashSightings }]);
	});
});

describe('the work counts of a fleet', () => {
	it('have each exchange of either side and each crash report', async () => {
		const { fleet } = createRecordedFleet(3);
		await fleet.exchangeWithSome();
		fleet.receiveViews([encodeView(createView('entry-1'))]);
		fleet.receiveCrashReport(create(ShareCrashesRequestSchema, { region, crashSightings: [] }));
		expect(fleet.getWorkCounts()).toEqual({
			exchangesReceived: 2,
			exchangesStarted: 3,
			crashReportsReceived: 1,
		});
	});
});
