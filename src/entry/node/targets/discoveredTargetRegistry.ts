/**
 * The targets of this entry's region that registered themselves with the platform: their connections, and
 * what their registrations and the evacuations of zones allow. How well they work is not looked at here; the
 * scheduler learns it from their answers.
 */

import { connect } from 'node:net';
import type { Stream } from 'most';
import { Channel, subscribeTo } from '../../../base/common/channel';
import { Disposable, toDisposable } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';
import type { DiscoveredTarget } from '../../../core/discovery/common/discoveredTarget';
import type { Discovery, KnownTarget } from '../../../core/discovery/common/discovery';
import type { RegionName, ServiceName, TargetId } from '../../../core/ids/common/ids';
import type { ManifestService } from '../../../core/manifest/common/manifest';
import { computeTextHash, findBestRanked } from '../../common/scheduling/prefixRanking';
import type { SchedulableTarget } from '../../common/scheduling/serviceScheduler';
import type { IndexedManifest } from '../manifest/manifestKeeper';
import { TargetClient } from './targetClient';
import type { DescribedTarget, EntrySharing, ITargetRegistry } from './targetDirectory';
import type { Place } from './targetRegistry';

/** A target that has not taken a connection by then is slow or cut off, and a caller is waiting. */
const deathTimeoutMs = 300;
/** Codes of a port that nobody listens on. */
const deathCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'ECONNRESET']);
/** How often removals that were held back are looked at, in milliseconds. */
const expiryMs = 250;

interface OpenClient {
	readonly client: TargetClient;
	readonly generation: number;
}

/** Owns the connections to the region's registered targets. */
export class DiscoveredTargetRegistry extends Disposable implements ITargetRegistry {
	private readonly clients = new Map<TargetId, OpenClient>();
	private readonly changes = this.register(new Channel<ServiceName>());
	private services: readonly ServiceName[] = [];

	readonly onDidChange: Stream<ServiceName> = this.changes.stream;

	constructor(
		private readonly place: Place,
		private readonly discovery: Discovery,
		private readonly timers: ITimerService,
	) {
		super();
		this.register(
			subscribeTo(discovery.onDidChange, () => {
				this.setClients();
				this.emitAll();
			}),
		);
		this.register(
			subscribeTo(timers.watchTicks(expiryMs), ({ nowMs }) => {
				discovery.expire(nowMs);
			}),
		);
		this.register(
			toDisposable(() => {
				for (const { client } of this.clients.values()) {
					void client.close();
				}
			}),
		);
	}

	setManifest({ accepted }: IndexedManifest): void {
		this.services = accepted.manifest.services.map(({ name }) => name);
		this.emitAll();
	}

	listSchedulable(service: ManifestService, { entries, place }: EntrySharing): readonly SchedulableTarget[] {
		const { warmUp, promptCache } = service;
		return this.listKnown(service.name).map(({ target, coldUntilMs, endsMs, generation }) => ({
			id: target.id,
			zone: target.zone,
			isSameZone: target.zone === this.place.zone,
			slots: target.slots,
			share: 1 / entries,
			isLeaving: !this.isUsable(target),
			registered: {
				generation,
				coldUntilMs,
				coldRequestsPerSecond: warmUp?.requestsPerSecond ?? Infinity,
				entries,
				place,
				endsMs,
				cacheTokens: promptCache?.tokens ?? 0,
			},
		}));
	}

	listDescribed(service: ServiceName): readonly DescribedTarget[] {
		const nowMs = this.timers.getNow();
		return this.listKnown(service).map(known => ({
			id: known.target.id,
			zone: known.target.zone,
			state: this.describeState(known, nowMs),
			lastSign: 'registration',
		}));
	}

	findClient(target: TargetId): TargetClient | undefined {
		return this.clients.get(target)?.client;
	}

	findAddress(target: TargetId): string | undefined {
		const url = this.discovery.find(target)?.target.url;
		return url === undefined ? undefined : new URL(url).host;
	}

	noteAnswerHead(): void {
		return;
	}

	noteAttemptEnd(): void {
		return;
	}

	isServed(service: ServiceName, region: RegionName): boolean {
		return this.discovery
			.list()
			.some(({ target }) => target.service === service && target.region === region && this.isUsable(target));
	}

	findOwnerRegion(
		service: ServiceName,
		partId: string,
		allowed: ReadonlySet<RegionName> | undefined,
	): RegionName | undefined {
		const usable = this.discovery
			.list()
			.filter(({ target }) => target.service === service && this.isUsable(target))
			.filter(({ target }) => allowed?.has(target.region) !== false)
			.map(({ target }) => ({ id: target.id, idHash: computeTextHash(target.id), region: target.region }));
		return findBestRanked(usable, partId, 1)[0]?.region;
	}

	async probeDeath(target: TargetId): Promise<boolean> {
		const url = this.discovery.find(target)?.target.url;
		return url !== undefined && (await isPortClosed(new URL(url)));
	}

	/** Registrations are read by every entry itself. */
	notePeerWords(): void {
		return;
	}

	listLeavingByOwnWord(): readonly TargetId[] {
		return [];
	}

	private isUsable({ isLeaving, zone }: DiscoveredTarget): boolean {
		return !isLeaving && !this.discovery.isEvacuated(zone);
	}

	private listKnown(service: ServiceName): readonly KnownTarget[] {
		return this.discovery
			.list()
			.filter(({ target }) => target.service === service && target.region === this.place.region);
	}

	private describeState({ target, coldUntilMs }: KnownTarget, nowMs: number): string {
		if (target.isLeaving) {
			return 'leaving';
		}
		if (this.discovery.isEvacuated(target.zone)) {
			return 'evacuated';
		}
		return nowMs < coldUntilMs ? 'cold' : 'live';
	}

	/** Another start of a target has none of the old connections. */
	private setClients(): void {
		for (const [id, { client, generation }] of [...this.clients]) {
			if (this.discovery.find(id)?.generation !== generation) {
				this.clients.delete(id);
				void client.close();
			}
		}
		for (const { target, generation } of this.discovery.list()) {
			if (target.region === this.place.region && !this.clients.has(target.id)) {
				this.clients.set(target.id, { client: new TargetClient(target.url), generation });
			}
		}
	}

	private emitAll(): void {
		for (const service of this.services) {
			this.changes.emit(service);
		}
	}
}

/** Whether nobody listens on a port any more. */
async function isPortClosed({ hostname, port }: URL): Promise<boolean> {
	return new Promise(resolve => {
		const socket = connect({ host: hostname, port: Number(port), timeout: deathTimeoutMs });
		const finish = (isClosed: boolean): void => {
			socket.destroy();
			resolve(isClosed);
		};
		socket.once('connect', () => {
			finish(false);
		});
		socket.once('timeout', () => {
			finish(false);
		});
		socket.once('error', (error: NodeJS.ErrnoException) => {
			finish(deathCodes.has(error.code ?? ''));
		});
	});
}
