import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { SeededRandom } from '../../../../base/common/random';
import type { VersionHistory } from '../../../../core/discovery/common/seenVersions';
import type { InstanceId, ServiceName, SoftwareVersion } from '../../../../core/ids/common/ids';
import { noLoopLag } from '../../../common/intake/loopLagGate';
import { RequestIntake } from '../../../common/intake/requestIntake';
import { HeldBytes } from '../../callers/bodyReader';
import type { EntryFleet } from '../../fleet/entryFleet';
import { ImmediateTurnScheduler } from '../../immediateTurnScheduler';
import { PeerClients } from '../../peers/peerClients';
import type { IPeerHandler } from '../../peers/peerServer';
import { PeerServer } from '../../peers/peerServer';
import { OriginPeers } from '../originPeers';

const answerMs = 2_000;

/** Asks an entry that describes this history over its port. */
async function askEntry(history: VersionHistory | undefined): Promise<VersionHistory | undefined> {
	const timers = new ManualTimerService();
	const intake = new RequestIntake(
		new ImmediateTurnScheduler(),
		timers,
		new SeededRandom(1),
		() => undefined,
	);
	const server = new PeerServer(
		{} as IPeerHandler,
		new HeldBytes(1_024),
		1_024,
		intake,
		timers,
		noLoopLag,
		undefined,
		undefined,
		undefined,
		{ describeVersionHistory: () => history },
	);
	const { port } = await server.listen({ host: '127.0.0.1', port: 0 });
	const clients = new PeerClients({}, undefined);
	const fleet = { findPeer: () => clients.open(`http://127.0.0.1:${port}`) } as Partial<EntryFleet>;
	const peers = new OriginPeers('khomas-1' as InstanceId, fleet as EntryFleet);
	try {
		return await peers.askVersionHistory('khomas-2' as InstanceId, answerMs);
	} finally {
		clients.dispose();
		await server.close();
	}
}

describe('the question for the versions that another entry has seen', () => {
	it('is answered over its port', async () => {
		const versions = [
			{ service: 'writer' as ServiceName, version: 'v1' as SoftwareVersion, ageMs: 0 },
			{ service: 'writer' as ServiceName, version: 'v2' as SoftwareVersion, ageMs: 4_000 },
		];
		const history = { revision: 70, era: undefined, followedMs: 30_000, versions };
		expect(await askEntry(history)).toEqual(history);
	});

	it('has no answer if that entry is not certain of the registrations', async () => {
		expect(await askEntry(undefined)).toBeUndefined();
	});
});
