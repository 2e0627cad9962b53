import { DisposableStore, toDisposable } from '../../../base/common/lifecycle';
import { ManualTimerService } from '../../../base/common/manualTimerService';
import { SeededRandom } from '../../../base/common/random';
import { RingAuditTrail } from '../../../core/audit/common/ringAuditTrail';
import { ErrorKind } from '../../../core/errors/common/errorKinds';
import type { Fingerprint, InstanceId, RegionName, TargetId, ZoneName } from '../../../core/ids/common/ids';
import { noLoopLag } from '../../common/intake/loopLagGate';
import { RequestIntake } from '../../common/intake/requestIntake';
import { CrashReporter } from '../../common/quarantine/crashReporter';
import type { CrashSighting } from '../../common/quarantine/quarantine';
import { Quarantine } from '../../common/quarantine/quarantine';
import { HeldBytes } from '../callers/bodyReader';
import { EntryFleet } from '../fleet/entryFleet';
import { createView, region } from '../fleet/test/views';
import { encodeView } from '../fleet/viewCodec';
import { ImmediateTurnScheduler } from '../immediateTurnScheduler';
import { ManifestKeeper } from '../manifest/manifestKeeper';
import { PeerClients } from '../peers/peerClients';
import type { IPeerHandler } from '../peers/peerServer';
import { PeerServer } from '../peers/peerServer';
import { PeerViewListener } from '../peerViewListener';
import type { ITargetRegistry } from '../targets/targetDirectory';

let owned = new DisposableStore();

beforeEach(() => {
	owned = new DisposableStore();
});

afterEach(() => {
	owned.dispose();
});

function failCall(): never {
	throw new Error('unexpected call in this test');
}

const timers = new ManualTimerService();
const fingerprint = 'crashing' as Fingerprint;
const target = 'engine-1' as TargetId;

function createFleet(instance: string): EntryFleet {
	const location = {
		id: instance as InstanceId,
		region,
		zone: 'khomas-a' as ZoneName,
		peerUrl: `http://${instance}:2`,
		seeds: [],
	};
	return owned.add(
		new EntryFleet(
			location,
			() => createView(instance),
			owned.add(new PeerClients({}, undefined)),
			timers,
			new SeededRandom(1),
			new RingAuditTrail(100, () => new Date(0)),
		),
	);
}

/** Creates a reporter that adds its reports to `reports`. */
function createReporter(reports: (readonly CrashSighting[])[]): CrashReporter {
	return owned.add(
		new CrashReporter(sightings => {
			reports.push(sightings);
			return Promise.resolve();
		}, timers),
	);
}

/** Starts the peer server of an entry that applies what other entries report, and returns its address. */
async function startReceiver(quarantine: Quarantine, crashReporter = createReporter([])): Promise<string> {
	const fleet = createFleet('receiver');
	const trail = new RingAuditTrail(100, () => new Date(0));
	const manifests = owned.add(new ManifestKeeper(trail, () => undefined, timers));
	const targets = {} as ITargetRegistry;
	owned.add(new PeerViewListener({ region, manifests, targets, fleet, quarantine, crashReporter, timers }));
	const handler: IPeerHandler = {
		exchangeViews: failCall,
		receiveCrashReport: report => {
			fleet.receiveCrashReport(report);
		},
		keepStreamOrigins: failCall,
		findStreamOrigin: failCall,
		describeManifest: failCall,
		planForwarded: failCall,
		findHold: () => undefined,
		refuseTicketedCall: failCall,
		readHead: failCall,
		resolveForwardedKey: failCall,
		accept: failCall,
	};
	const turnScheduler = new ImmediateTurnScheduler();
	const intake = new RequestIntake(turnScheduler, timers, new SeededRandom(1), () => undefined);
	const server = new PeerServer(handler, new HeldBytes(1_024), 1_024, intake, timers, noLoopLag, undefined);
	owned.add(toDisposable(() => void server.close()));
	const { port } = await server.listen({ host: '127.0.0.1', port: 0 });
	return `http://127.0.0.1:${port}`;
}

/** Reports sightings to the receiver as an entry of the same region does. */
async function sendReport(
	peerUrl: string,
	reportedRegion: RegionName,
	sightings: readonly CrashSighting[],
): Promise<void> {
	const sender = createFleet('sender');
	sender.receiveViews([encodeView(createView('receiver', { peerUrl, region: reportedRegion }))]);
	await sender.sendCrashReport(reportedRegion, sightings);
}

describe('a crash report of another entry', () => {
	const sightings: readonly CrashSighting[] = [
		{ fingerprint, target, ageMs: 40 },
		{ fingerprint, target: 'engine-2' as TargetId, ageMs: 0 },
	];

	// Guards against a third crash by a request that its caller resends to another entry.
	it('makes this entry refuse the request once the report is answered', async () => {
		const quarantine = new Quarantine();
		const peerUrl = await startReceiver(quarantine);
		await sendReport(peerUrl, region, sightings);
		expect(quarantine.findRefusal(fingerprint, timers.getNow())?.kind).toBe(ErrorKind.Quarantined);
	});

	it('is ignored if it comes from another region', async () => {
		const quarantine = new Quarantine();
		const peerUrl = await startReceiver(quarantine);
		await sendReport(peerUrl, 'elsewhere' as RegionName, sightings);
		expect(quarantine.countFingerprints()).toBe(0);
	});

	// Guards against entries that hold one of two crashes each while the request is sent to the next entry.
	it('makes this entry report its own crash of the request if that was waiting for a collected report', async () => {
		const quarantine = new Quarantine();
		const reports: (readonly CrashSighting[])[] = [];
		const reporter = createReporter(reports);
		await reporter.share({ target, fingerprints: ['other' as Fingerprint], isRequestRefused: false });
		quarantine.noteTargetCrash(target, [fingerprint], timers.getNow());
		await reporter.share({ target, fingerprints: [fingerprint], isRequestRefused: false });
		expect(reports.map(report => report.map(sighting => sighting.fingerprint))).toEqual([['other']]);
		const peerUrl = await startReceiver(quarantine, reporter);
		await sendReport(peerUrl, region, sightings.slice(1));
		expect(reports.map(report => report.map(sighting => sighting.fingerprint))).toEqual([
			['other'],
			[fingerprint],
		]);
	});
});
