import type { Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { DisposableStore, toDisposable } from '../../../../base/common/lifecycle';
import { ManualTimerService } from '../../../../base/common/manualTimerService';
import { SeededRandom } from '../../../../base/common/random';
import type { InstanceId, StreamId } from '../../../../core/ids/common/ids';
import { noLoopLag } from '../../../common/intake/loopLagGate';
import { RequestIntake } from '../../../common/intake/requestIntake';
import { computeStreamKey } from '../../../common/streams/streamOrigins';
import { HeldBytes } from '../../callers/bodyReader';
import type { EntryFleet } from '../../fleet/entryFleet';
import { ImmediateTurnScheduler } from '../../immediateTurnScheduler';
import { PeerClients } from '../../peers/peerClients';
import type { IPeerHandler } from '../../peers/peerServer';
import { PeerServer } from '../../peers/peerServer';
import { OriginPeers } from '../originPeers';
import { createOwnOrigin } from './originFixtures';

/** Control traffic of an entry in both directions and roles, of which reports may use all but that of views. */
const maxBytesPerSecond = 2_000;
/** At the size that the design aims at. */
const streamsPerSecond = 8_600 / 360;
const reportsPerSecond = 2;
const holders = 2;
const reports = 50;

let owned = new DisposableStore();

afterEach(() => {
	owned.dispose();
});

/** Opens a relay that counts the bytes in both directions. */
async function openCountingRelay(port: number): Promise<{ port: number; count: () => number }> {
	const sockets: Socket[] = [];
	const relay = createServer(near => {
		const far = connect({ host: '127.0.0.1', port });
		sockets.push(near);
		near.pipe(far).pipe(near);
		near.on('error', () => undefined);
		far.on('error', () => undefined);
	});
	await new Promise<void>(resolve => relay.listen(0, '127.0.0.1', resolve));
	owned.add(
		toDisposable(() => {
			relay.close();
		}),
	);
	const count = (): number =>
		sockets.reduce((sum, { bytesRead, bytesWritten }) => sum + bytesRead + bytesWritten, 0);
	return { port: (relay.address() as AddressInfo).port, count };
}

describe('reports of origins between entries', () => {
	// Guards against origins that use the bytes which a node may spend on control in a large fleet.
	it('stay within the control budget of a node at 8,600 streams a second and 360 entries', async () => {
		owned = new DisposableStore();
		const timers = new ManualTimerService();
		const received: number[] = [];
		const handler = {
			keepStreamOrigins: (_, groups) => received.push(groups[0]?.keys.length ?? 0),
		} as Partial<IPeerHandler> as IPeerHandler;
		const intake = new RequestIntake(
			new ImmediateTurnScheduler(),
			timers,
			new SeededRandom(1),
			() => undefined,
		);
		const server = new PeerServer(handler, new HeldBytes(1_024), 1_024, intake, timers, noLoopLag, undefined);
		const { port } = await server.listen({ host: '127.0.0.1', port: 0 });
		const relay = await openCountingRelay(port);
		const clients = owned.add(new PeerClients({}, undefined));
		const fleet = { findPeer: () => clients.open(`http://127.0.0.1:${relay.port}`) } as Partial<EntryFleet>;
		const peers = new OriginPeers('khomas-1' as InstanceId, fleet as EntryFleet);
		const send = async (index: number): Promise<void> => {
			const keys = Array.from({ length: Math.ceil(streamsPerSecond / reportsPerSecond) }, (_, number) =>
				computeStreamKey(`${index}-${number}` as StreamId),
			);
			const groups = [{ origin: createOwnOrigin('v1.2'), keys }];
			await peers.sendOrigins('khomas-2' as InstanceId, groups, 1_000);
		};
		await send(0);
		const startBytes = relay.count();
		for (let index = 1; index <= reports; index++) {
			await send(index);
		}
		const bytesPerReport = (relay.count() - startBytes) / reports;
		expect(received).toHaveLength(reports + 1);
		const roles = 2;
		const bytesPerSecond = bytesPerReport * reportsPerSecond * holders * roles;
		expect(Math.round(bytesPerSecond)).toBeLessThanOrEqual(maxBytesPerSecond);
		clients.dispose();
		await server.close();
	});
});
