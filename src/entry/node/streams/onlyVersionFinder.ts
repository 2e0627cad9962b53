/**
 * Finds the only version that targets of a service have run lately, for a caller that does not name the stream which it resumes.
 *
 * An entry that has just started does not know which versions served before, and one that the store does not reach does not know which ones
 * have started since. A few other entries are therefore asked for the versions that they have seen. Callers come back together after a
 * restart or a break, so the questions are asked for all of them at once, and again only after an interval.
 */

import type { IRandom } from '../../../base/common/random';
import { orderRandomly } from '../../../base/common/random';
import type { ITimerService } from '../../../base/common/timerService';
import { waitAtMost } from '../../../base/common/waitFor';
import type { RegionName, ServiceName, SoftwareVersion } from '../../../core/ids/common/ids';
import type { ITargetRegistry } from '../targets/targetDirectory';
import type { IHistoryPeers, OriginPeer } from './originPeers';

/** Entries asked of the own region, and of the others. Some may have just started, or be out of reach of the store. */
const maxAsked = 2;
/** Time for the answers of the own region and of the others; a caller waits for them. */
const nearAnswerMs = 200;
const farAnswerMs = 250;
/** Bounds the questions while many callers resume streams. */
const askIntervalMs = 500;

/** The parts of the registry that know the registered versions. */
export type VersionRegistry = Pick<
	ITargetRegistry,
	'findOnlyVersion' | 'hasOneVersion' | 'isStoreReached' | 'addVersionHistory'
>;

export class OnlyVersionFinder {
	private asking: Promise<void> | undefined;
	private askedMs = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly region: RegionName,
		private readonly registry: VersionRegistry,
		private readonly peers: IHistoryPeers,
		private readonly timers: ITimerService,
		private readonly random: IRandom,
	) {}

	/** Returns the only version, or undefined if there are several or if that is not certain. */
	async find(service: ServiceName): Promise<SoftwareVersion | undefined> {
		if (this.registry.hasOneVersion(service)) {
			this.asking ??= this.askIfDue(service).finally(() => {
				this.asking = undefined;
			});
			await this.asking;
		}
		return this.registry.findOnlyVersion(service);
	}

	private async askIfDue(service: ServiceName): Promise<void> {
		const peers = orderRandomly(this.random, this.peers.list());
		const nowMs = this.timers.getNow();
		if (peers.length === 0 || nowMs - this.askedMs < askIntervalMs) {
			return;
		}
		this.askedMs = nowMs;
		const near = peers.filter(({ region }) => region === this.region);
		const far = peers.filter(({ region }) => region !== this.region);
		await this.askAll(near.slice(0, maxAsked), nearAnswerMs);
		const isDoubtful = !this.isKnown(service) || !this.registry.isStoreReached();
		if (near.length === 0 || (isDoubtful && this.registry.hasOneVersion(service))) {
			await this.askAll(far.slice(0, maxAsked), farAnswerMs);
		}
	}

	private isKnown(service: ServiceName): boolean {
		return this.registry.findOnlyVersion(service) !== undefined;
	}

	private async askAll(peers: readonly OriginPeer[], timeoutMs: number): Promise<void> {
		await waitAtMost(this.timers, timeoutMs, Promise.all(peers.map(peer => this.ask(peer, timeoutMs))));
	}

	/** Entries that don't answer, or are of a release that doesn't know the question, add nothing. */
	private async ask({ instance }: OriginPeer, timeoutMs: number): Promise<void> {
		const history = await this.peers.askVersionHistory(instance, timeoutMs).catch(() => undefined);
		if (history !== undefined) {
			this.registry.addVersionHistory(history, instance);
		}
	}
}
