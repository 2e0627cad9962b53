/**
 * The peers that this entry can exchange views with: instances with a known view, instances from the instance list
 * without one, and the seed addresses from the settings. A seed may be the address of an instance that was replaced
 * long ago. A seed with no known instance at its address is therefore contacted less often after each attempt, and
 * once a second only while no other live instance is known. It is never removed: after a partition so long that the
 * views of both sides have expired, and with the platform unavailable, the seeds are the only way to reconnect.
 */

import type { IRandom } from '../../../base/common/random';
import { orderRandomly } from '../../../base/common/random';
import type { InstanceId } from '../../../core/ids/common/ids';
import type { ListedInstance } from '../../../core/platformClient/common/instanceList';
import { ListedState } from '../../../core/platformClient/common/instanceList';
import type { ExchangePlanner } from '../../common/fleetView/exchangePlanner';
import type { FleetView } from '../../common/fleetView/fleetView';

/** One instance to exchange views with. The instance id of a seed is unknown until it answers. */
export interface ExchangeContact {
	readonly instance: InstanceId | undefined;
	readonly peerUrl: string;
}

/** Identity, address and seeds of this entry. */
export interface LocalContact {
	readonly id: InstanceId;
	readonly peerUrl: string;
	readonly seeds: readonly string[];
}

/**
 * A seed that was contacted n times is contacted again in one of 1 + n periods on average, but no less often than in
 * one of this many periods. A fleet that starts at once connects within seconds, and a seed that no longer exists costs little.
 */
const maxSeedPeriods = 20;

/** Selects the peers to exchange views with. */
export class PeerContacts {
	private listedInstances: readonly ListedInstance[] = [];
	private withoutView: readonly ListedInstance[] = [];
	/** Membership of the fleet view that `withoutView` belongs to, or undefined after a change of the list. */
	private withoutViewVersion: number | undefined;
	private readonly seedAttempts = new Map<string, number>();

	constructor(
		private readonly localContact: LocalContact,
		private readonly fleetView: FleetView,
		private readonly exchangePlan: ExchangePlanner,
		private readonly random: IRandom,
	) {}

	setListedInstances(instances: readonly ListedInstance[]): void {
		this.listedInstances = instances.filter(({ id }) => id !== this.localContact.id);
		this.withoutViewVersion = undefined;
	}

	/** Instances that are live in the instance list and have no known view; the same array until that changes. */
	listWithoutView(): readonly ListedInstance[] {
		const { membershipVersion } = this.fleetView;
		if (this.withoutViewVersion !== membershipVersion) {
			this.withoutViewVersion = membershipVersion;
			this.withoutView = this.listedInstances.filter(
				({ id, state }) => state === ListedState.Live && !this.fleetView.has(id),
			);
		}
		return this.withoutView;
	}

	/** Selects the contacts for this period: one or two peers with a view, one listed instance without one, one seed. */
	pick(nowMs: number): readonly ExchangeContact[] {
		const knownPeers = this.exchangePlan.pickPeers(nowMs);
		const hasNoLivePeer = knownPeers.every(({ isSuspect }) => isSuspect);
		const picked = [
			...knownPeers.map(({ view }) => ({ instance: view.instance, peerUrl: view.peerUrl })),
			this.pickOne(this.listWithoutView().map(createListedContact)),
			this.pickSeed(nowMs, hasNoLivePeer),
		];
		return picked.filter(contact => contact !== undefined);
	}

	/** Lists all instances that views can be sent to. */
	listAll(nowMs: number): readonly ExchangeContact[] {
		const withView = this.fleetView
			.list(nowMs)
			.map(({ view }) => ({ instance: view.instance, peerUrl: view.peerUrl }));
		return [...withView, ...this.listWithoutView().map(createListedContact), ...this.listSeeds(nowMs)];
	}

	/** Selects up to `count` random contacts. */
	pickSome(count: number, nowMs: number): readonly ExchangeContact[] {
		return this.orderRandomly(this.listAll(nowMs)).slice(0, count);
	}

	/** Returns the contacts in random order, so that entries which do the same do not all begin with the same one. */
	orderRandomly(contacts: readonly ExchangeContact[]): readonly ExchangeContact[] {
		return orderRandomly(this.random, contacts);
	}

	findUrl(instance: InstanceId, nowMs: number): string | undefined {
		const viewUrl = this.fleetView.find(instance, nowMs)?.view.peerUrl;
		return viewUrl ?? this.listedInstances.find(({ id }) => id === instance)?.peerUrl;
	}

	private pickSeed(nowMs: number, hasNoLivePeer: boolean): ExchangeContact | undefined {
		const seed = this.pickOne(this.listSeeds(nowMs));
		if (seed === undefined) {
			return undefined;
		}
		const attempts = this.seedAttempts.get(seed.peerUrl) ?? 0;
		const periods = Math.min(maxSeedPeriods, 1 + attempts);
		if (!hasNoLivePeer && this.random.pickFraction() * periods >= 1) {
			return undefined;
		}
		this.seedAttempts.set(seed.peerUrl, attempts + 1);
		return seed;
	}

	/** Seeds with no known instance at their address. */
	private listSeeds(nowMs: number): readonly ExchangeContact[] {
		const knownUrls = new Set(this.fleetView.list(nowMs).map(({ view }) => view.peerUrl));
		knownUrls.add(this.localContact.peerUrl);
		return this.localContact.seeds
			.filter(seed => !knownUrls.has(seed))
			.map(peerUrl => ({ instance: undefined, peerUrl }));
	}

	private pickOne(contacts: readonly ExchangeContact[]): ExchangeContact | undefined {
		return contacts[this.random.pickBelow(contacts.length)];
	}
}

function createListedContact({ id, peerUrl }: ListedInstance): ExchangeContact {
	return { instance: id, peerUrl };
}
