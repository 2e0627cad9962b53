/**
 * Simulates many entries in one process. Each has its own fleet, peer port and peer clients, and implements the peer
 * protocol with the same classes as a real entry. Fake peers do not accept requests.
 */

import { create } from '@bufbuild/protobuf';
import { err, ok } from 'neverthrow';
import { Disposable } from '../../base/common/lifecycle';
import type { IRandom } from '../../base/common/random';
import { SeededRandom } from '../../base/common/random';
import { SystemTimerService } from '../../base/node/systemTimerService';
import { RingAuditTrail } from '../../core/audit/common/ringAuditTrail';
import { createRequestError, ErrorKind } from '../../core/errors/common/errorKinds';
import type { InstanceId, RegionName, ZoneName } from '../../core/ids/common/ids';
import type { EntryView as WireView } from '../../gen/anvilroad/peer/v1/peer_pb';
import { FetchManifestResponseSchema } from '../../gen/anvilroad/peer/v1/peer_pb';
import type { EntryView } from '../../entry/common/fleetView/entryView';
import { noLoopLag } from '../../entry/common/intake/loopLagGate';
import { RequestIntake } from '../../entry/common/intake/requestIntake';
import { HeldBytes } from '../../entry/node/callers/bodyReader';
import { ImmediateTurnScheduler } from '../../entry/node/immediateTurnScheduler';
import { EntryFleet } from '../../entry/node/fleet/entryFleet';
import { encodeView } from '../../entry/node/fleet/viewCodec';
import { PeerClients } from '../../entry/node/peers/peerClients';
import type { IPeerHandler } from '../../entry/node/peers/peerServer';
import { PeerServer } from '../../entry/node/peers/peerServer';
import { createSyntheticInstance } from '../common/syntheticFleet';
import { createSyntheticView } from '../common/syntheticView';

const maxBodyBytes = 1_024;
const auditTrailCapacity = 16;
const randomSeed = 20;

/** A simulated entry that exchanges views with its peers. */
class FakePeer extends Disposable {
	private readonly clients = this.register(new PeerClients({}, undefined));
	fleet: EntryFleet | undefined;
	private readonly instance;
	private readonly server: PeerServer;
	private peerUrl = '';
	private sequence = 0;

	constructor(
		private readonly index: number,
		private readonly timers: SystemTimerService,
		private readonly random: IRandom,
		private readonly observeViews: (views: readonly WireView[]) => void,
		private readonly services: readonly string[] | undefined,
	) {
		super();
		this.instance = createSyntheticInstance(index);
		this.server = new PeerServer(
			this.createHandler(),
			new HeldBytes(maxBodyBytes),
			maxBodyBytes,
			new RequestIntake(new ImmediateTurnScheduler(), timers, random, () => undefined),
			timers,
			noLoopLag,
			undefined,
		);
	}

	async listen(): Promise<void> {
		const { port } = await this.server.listen({ host: '127.0.0.1', port: 0 });
		this.peerUrl = `http://127.0.0.1:${port}`;
	}

	startFleet(): EntryFleet {
		const location = {
			id: this.instance.id as InstanceId,
			region: this.instance.region as RegionName,
			zone: this.instance.zone as ZoneName,
			peerUrl: this.peerUrl,
			seeds: [],
		};
		const trail = this.register(new RingAuditTrail(auditTrailCapacity, () => new Date()));
		this.fleet = this.register(
			new EntryFleet(location, () => this.createNextView(), this.clients, this.timers, this.random, trail),
		);
		return this.fleet;
	}

	createNextView(): EntryView {
		this.sequence++;
		return createSyntheticView(this.index, this.sequence, this.peerUrl, this.services);
	}

	createInstanceListItem(): object {
		const { peerUrl } = this;
		return { ...this.instance, kind: 'entry', callerUrl: peerUrl, peerUrl, state: 'live' };
	}

	close(): Promise<void> {
		this.dispose();
		return this.server.close();
	}

	private createHandler(): IPeerHandler {
		return {
			exchangeViews: views => {
				this.observeViews(views);
				return this.fleet?.receiveViews(views) ?? [];
			},
			findHold: () => undefined,
			receiveCrashReport: () => undefined,
			keepStreamOrigins: () => undefined,
			findStreamOrigin: () => undefined,
			describeManifest: () => create(FetchManifestResponseSchema, {}),
			planForwarded: () => err(createRequestError(ErrorKind.Leaving, 'fake peers do not accept requests')),
			refuseTicketedCall: (_, error) => error,
			readHead: () => err(createRequestError(ErrorKind.Leaving, 'fake peers do not accept requests')),
			resolveForwardedKey: () => ok(undefined),
			accept: () => undefined,
		};
	}
}

/** All simulated entries of a measurement. */
export class FakePeers {
	private readonly timers = new SystemTimerService();
	/**
	 * Shared by all peers. Generators with adjacent seeds return similar values at first, so that all peers would
	 * contact the same peer.
	 */
	private readonly random = new SeededRandom(randomSeed);
	private readonly peers: readonly FakePeer[];
	/**
	 * Connections for the first exchange with the measured entry. A fleet closes connections to instances that
	 * are not in its view, and the measured entry is added to the view with its first answer.
	 */
	private readonly initialExchangeClients = new PeerClients({}, undefined);
	private exchangeCount = 0;

	/** `measuredInstanceId` is the entry whose exchanges are counted; `services` are those in the views. */
	constructor(
		count: number,
		private readonly measuredInstanceId: string,
		services?: readonly string[],
	) {
		const countExchange = (views: readonly WireView[]): void => {
			this.exchangeCount += views[0]?.instanceId === this.measuredInstanceId ? 1 : 0;
		};
		this.peers = Array.from(
			{ length: count },
			(_, index) => new FakePeer(index + 1, this.timers, this.random, countExchange, services),
		);
	}

	/** Returns the number of exchanges that the measured entry has started. */
	getExchangeCount(): number {
		return this.exchangeCount;
	}

	/** Opens all peer ports and gives each fleet the views of all fake peers. */
	async start(): Promise<void> {
		for (const peer of this.peers) {
			await peer.listen();
		}
		const views = this.peers.map(peer => encodeView(peer.createNextView()));
		for (const peer of this.peers) {
			peer.startFleet().receiveViews(views);
		}
	}

	formatInstanceList(): string {
		return JSON.stringify({ instances: this.peers.map(peer => peer.createInstanceListItem()) });
	}

	/** Sends the view of each fake peer to the measured entry, as in a fleet that has run for some time. */
	async sendOwnViews(peerUrl: string): Promise<void> {
		const { client } = this.initialExchangeClients.open(peerUrl);
		for (const peer of this.peers) {
			const views = [encodeView(peer.createNextView())];
			const answer = await client.exchangeViews({ views });
			peer.fleet?.receiveViews(answer.views);
		}
	}

	async close(): Promise<void> {
		this.timers.dispose();
		this.initialExchangeClients.dispose();
		await Promise.all(this.peers.map(peer => peer.close()));
	}
}
