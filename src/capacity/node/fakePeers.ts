/**
 * Many entries in one process, as far as another entry can tell: each has a fleet, a peer port and clients
 * of its own and speaks the peer protocol by the same classes as a real one. They take no requests.
 */

import { create } from '@bufbuild/protobuf';
import { err } from 'neverthrow';
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
import { RequestIntake } from '../../entry/common/intake/requestIntake';
import { HeldBytes } from '../../entry/node/callers/bodyReader';
import { ImmediateTurnScheduler } from '../../entry/node/immediateTurnScheduler';
import { EntryFleet } from '../../entry/node/fleet/entryFleet';
import { encodeView } from '../../entry/node/fleet/viewCodec';
import { PeerClients } from '../../entry/node/peers/peerClients';
import type { IPeerHandler } from '../../entry/node/peers/peerServer';
import { PeerServer } from '../../entry/node/peers/peerServer';
import { createPlace } from '../common/syntheticFleet';
import { createSyntheticView } from '../common/syntheticView';

const bodyBytes = 1_024;
const trailCapacity = 16;
const drawSeed = 20;

/** One fake entry. */
class FakePeer extends Disposable {
	private readonly peers = this.register(new PeerClients({}, undefined));
	fleet: EntryFleet | undefined;
	private readonly place;
	private readonly server: PeerServer;
	private peerUrl = '';
	private sequence = 0;

	constructor(
		private readonly index: number,
		private readonly timers: SystemTimerService,
		private readonly random: IRandom,
		private readonly observeViews: (views: readonly WireView[]) => void,
	) {
		super();
		this.place = createPlace(index);
		this.server = new PeerServer(
			this.createHandler(),
			new HeldBytes(bodyBytes),
			bodyBytes,
			new RequestIntake(new ImmediateTurnScheduler(), timers, random, () => undefined),
			timers,
			undefined,
		);
	}

	async listen(): Promise<void> {
		const { port } = await this.server.listen({ host: '127.0.0.1', port: 0 });
		this.peerUrl = `http://127.0.0.1:${port}`;
	}

	startFleet(): EntryFleet {
		const place = {
			id: this.place.id as InstanceId,
			region: this.place.region as RegionName,
			zone: this.place.zone as ZoneName,
			peerUrl: this.peerUrl,
			seeds: [],
		};
		const trail = this.register(new RingAuditTrail(trailCapacity, () => new Date()));
		this.fleet = this.register(
			new EntryFleet(place, () => this.describe(), this.peers, this.timers, this.random, trail),
		);
		return this.fleet;
	}

	describe(): EntryView {
		this.sequence++;
		return createSyntheticView(this.index, this.sequence, this.peerUrl);
	}

	describeListed(): object {
		const { peerUrl } = this;
		return { ...this.place, kind: 'entry', callerUrl: peerUrl, peerUrl, state: 'live' };
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
			describeManifest: () => create(FetchManifestResponseSchema, {}),
			planForwarded: () => err(createRequestError(ErrorKind.Leaving, 'takes no requests')),
			refuseTicketedCall: (_, error) => error,
			readHead: () => err(createRequestError(ErrorKind.Leaving, 'takes no requests')),
			accept: () => undefined,
		};
	}
}

/** All fake entries of a measurement. */
export class FakePeers {
	private readonly timers = new SystemTimerService();
	/** One source for all: sources with neighbouring seeds draw alike at first, and all would ask one peer. */
	private readonly random = new SeededRandom(drawSeed);
	private readonly peers: readonly FakePeer[];
	/** A fleet lets go of connections to strangers, and the entry is one to it until it has answered. */
	private readonly introductions = new PeerClients({}, undefined);
	private heard = 0;

	/** `measured` is the entry whose word is counted. */
	constructor(
		count: number,
		private readonly measured: string,
	) {
		const observe = (views: readonly WireView[]): void => {
			this.heard += views[0]?.instanceId === this.measured ? 1 : 0;
		};
		this.peers = Array.from(
			{ length: count },
			(_, index) => new FakePeer(index + 1, this.timers, this.random, observe),
		);
	}

	/** Exchanges that the measured entry began. */
	countHeard(): number {
		return this.heard;
	}

	/** Opens all ports and lets everybody know everybody. */
	async start(): Promise<void> {
		for (const peer of this.peers) {
			await peer.listen();
		}
		const views = this.peers.map(peer => encodeView(peer.describe()));
		for (const peer of this.peers) {
			peer.startFleet().receiveViews(views);
		}
	}

	formatInstanceList(): string {
		return JSON.stringify({ instances: this.peers.map(peer => peer.describeListed()) });
	}

	/** Each tells the entry of itself, as entries that have been there for long have done. */
	async sendOwnViews(peerUrl: string): Promise<void> {
		const { client } = this.introductions.open(peerUrl);
		for (const peer of this.peers) {
			const views = [encodeView(peer.describe())];
			const answer = await client.exchangeViews({ views });
			peer.fleet?.receiveViews(answer.views);
		}
	}

	async close(): Promise<void> {
		this.timers.dispose();
		this.introductions.dispose();
		await Promise.all(this.peers.map(peer => peer.close()));
	}
}
