import { DisposableStore, toDisposable } from '../../../../base/common/lifecycle';
import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { SeededRandom } from '../../../../base/common/random';
import type { BootId, InstanceId, ManifestVersion, ZoneName } from '../../../../core/ids/common/ids';
import { noLoopLag } from '../../../common/intake/loopLagGate';
import { RequestIntake } from '../../../common/intake/requestIntake';
import type { DemandAnswer, DemandReport, ZoneSums } from '../../../common/limits/limitMessages';
import type { OrganisationKey } from '../../../common/limits/limitTable';
import { PeerFailure } from '../../../common/limits/zoneDirectory';
import { HeldBytes } from '../../callers/bodyReader';
import { ImmediateTurnScheduler } from '../../immediateTurnScheduler';
import { PeerClients } from '../../peers/peerClients';
import type { IPeerHandler } from '../../peers/peerServer';
import { PeerServer } from '../../peers/peerServer';
import type { DemandReceiver } from '../demandPeers';
import { DemandPeers } from '../demandPeers';

const coordinator = 'entry-2' as InstanceId;
const key = 0xffff_fff0 as OrganisationKey;
const zone = 'khomas-a' as ZoneName;
const manifestVersion = 7 as ManifestVersion;

const report: DemandReport = {
	instance: 'entry-1' as InstanceId,
	zone,
	manifestVersion,
	overMs: 250,
	items: [{ key, asked: 3_000, admitted: -400 }],
};

const sums: ZoneSums = {
	instance: 'entry-1' as InstanceId,
	boot: 'boot-1' as BootId,
	zone,
	manifestVersion,
	countedMs: 90_000,
	intervalMs: 250,
	reporting: 12,
	known: 14,
	receivedZones: ['khomas-b' as ZoneName],
	counts: [{ key, asked: 0xffff_ffff, admitted: 5, level: -700 }],
};

let owned = new DisposableStore();

beforeEach(() => {
	owned = new DisposableStore();
});

afterEach(() => {
	owned.dispose();
});

/** Starts the server of another entry, and returns what sends to it. */
async function startPeer(receiver: DemandReceiver | undefined): Promise<DemandPeers> {
	const timers = new ManualTimerService();
	const random = new SeededRandom(1);
	const intake = new RequestIntake(new ImmediateTurnScheduler(), timers, random, () => undefined);
	const server = new PeerServer(
		{} as IPeerHandler,
		new HeldBytes(1_024),
		1_024,
		intake,
		timers,
		noLoopLag,
		undefined,
		undefined,
		receiver,
	);
	owned.add(toDisposable(() => void server.close()));
	const { port } = await server.listen({ host: '127.0.0.1', port: 0 });
	const clients = owned.add(new PeerClients({}, undefined));
	return new DemandPeers(
		instance => (instance === coordinator ? clients.open(`http://127.0.0.1:${port}`) : undefined),
		() => undefined,
	);
}

async function sendReport(
	peers: DemandPeers,
	instance = coordinator,
): Promise<{ answer: DemandAnswer | undefined; failure: PeerFailure | undefined }> {
	return new Promise(resolve => {
		peers.sendReport(instance, report, (answer, failure) => {
			resolve({ answer, failure });
		});
	});
}

describe('messages that share limits between entries', () => {
	it('carry a report and its answer', async () => {
		const received: DemandReport[] = [];
		const answer = { isReady: true, isClose: true, fractions: [{ key, fraction: 0.25, fleetDemand: 900 }] };
		const peers = await startPeer({
			receiveReport: message => {
				received.push(message);
				return answer;
			},
			receiveSums: () => undefined,
		});
		expect(await sendReport(peers)).toEqual({ answer, failure: undefined });
		expect(received).toEqual([report]);
	});

	it('carry the sums of a zone', async () => {
		const received: ZoneSums[] = [];
		const peers = await startPeer({
			receiveReport: () => undefined,
			receiveSums: message => {
				received.push(message);
			},
		});
		const isReceived = await new Promise(resolve => {
			peers.sendSums(coordinator, sums, resolve);
		});
		expect(isReceived).toBe(true);
		expect(received).toEqual([sums]);
	});

	// Guards against a release that is rolled out and waits for a coordinator that never answers.
	it('tell an entry without the call from one that cannot be reached', async () => {
		const peers = await startPeer(undefined);
		expect(await sendReport(peers)).toEqual({ answer: undefined, failure: PeerFailure.Unsupported });
		const unknown = await sendReport(peers, 'entry-3' as InstanceId);
		expect(unknown).toEqual({ answer: undefined, failure: PeerFailure.Unreachable });
	});

	it('fail at an entry whose manifest has no limits', async () => {
		const peers = await startPeer({ receiveReport: () => undefined, receiveSums: () => undefined });
		expect(await sendReport(peers)).toEqual({ answer: undefined, failure: PeerFailure.Unreachable });
	});
});
