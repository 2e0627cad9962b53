/**
 * Whom this entry can speak to: instances that it has heard of, those that the instance list names and that
 * have not spoken yet, and the seeds of its settings. Seeds may name instances that were replaced long ago,
 * so one that nobody is known at is asked the more rarely the more often it was asked, and every second only
 * while nobody else is known to live. It is never given up: after a partition so long that the two sides
 * forgot each other, with the platform away, the seeds are the only way back.
 */

import type { IRandom } from '../../../base/common/random';
import type { InstanceId } from '../../../core/ids/common/ids';
import type { ListedInstance } from '../../../core/platformClient/common/instanceList';
import { ListedState } from '../../../core/platformClient/common/instanceList';
import type { ExchangePlanner } from '../../common/fleetView/exchangePlanner';
import type { FleetView } from '../../common/fleetView/fleetView';

/** One instance to exchange views with; a seed's id shows only once it answers. */
export interface ExchangeContact {
	readonly instance: InstanceId | undefined;
	readonly peerUrl: string;
}

/** What the contacts need of this entry. */
export interface ContactPlace {
	readonly id: InstanceId;
	readonly peerUrl: string;
	readonly seeds: readonly string[];
}

/**
 * A seed that was asked n times is asked again in one of 1 + n periods, and no more rarely than in one of
 * these: a fleet that starts together finds itself within seconds, and a seed that is gone costs little.
 */
const rarestSeedPeriods = 20;

/** Knows the addresses of the others. */
export class Contacts {
	private listed: readonly ListedInstance[] = [];
	private readonly timesAsked = new Map<string, number>();

	constructor(
		private readonly own: ContactPlace,
		private readonly views: FleetView,
		private readonly plan: ExchangePlanner,
		private readonly random: IRandom,
	) {}

	setListed(instances: readonly ListedInstance[]): void {
		this.listed = instances.filter(({ id }) => id !== this.own.id);
	}

	/** Instances that the list names as live and that have not spoken. */
	listSilent(): readonly ListedInstance[] {
		return this.listed.filter(({ id, state }) => state === ListedState.Live && !this.views.has(id));
	}

	/** The instances to exchange views with in this period: one or two that it knows, and one unknown of each kind. */
	pick(nowMs: number): readonly ExchangeContact[] {
		const known = this.plan.pickPeers(nowMs);
		const isAlone = known.every(({ isSuspect }) => isSuspect);
		const picked = [
			...known.map(({ view }) => ({ instance: view.instance, peerUrl: view.peerUrl })),
			this.pickOne(this.listSilent().map(createListedContact)),
			this.pickSeed(nowMs, isAlone),
		];
		return picked.filter(contact => contact !== undefined);
	}

	/** Everybody that can be told something. */
	listAll(nowMs: number): readonly ExchangeContact[] {
		const heard = this.views
			.list(nowMs)
			.map(({ view }) => ({ instance: view.instance, peerUrl: view.peerUrl }));
		return [...heard, ...this.listSilent().map(createListedContact), ...this.listSeeds(nowMs)];
	}

	findUrl(instance: InstanceId, nowMs: number): string | undefined {
		const heard = this.views.find(instance, nowMs)?.view.peerUrl;
		return heard ?? this.listed.find(({ id }) => id === instance)?.peerUrl;
	}

	private pickSeed(nowMs: number, isAlone: boolean): ExchangeContact | undefined {
		const seed = this.pickOne(this.listSeeds(nowMs));
		if (seed === undefined) {
			return undefined;
		}
		const times = this.timesAsked.get(seed.peerUrl) ?? 0;
		const periods = Math.min(rarestSeedPeriods, 1 + times);
		if (!isAlone && this.random.pickFraction() * periods >= 1) {
			return undefined;
		}
		this.timesAsked.set(seed.peerUrl, times + 1);
		return seed;
	}

	/** Seeds at whose address no instance is known. */
	private listSeeds(nowMs: number): readonly ExchangeContact[] {
		const taken = new Set(this.views.list(nowMs).map(({ view }) => view.peerUrl));
		taken.add(this.own.peerUrl);
		return this.own.seeds.filter(seed => !taken.has(seed)).map(peerUrl => ({ instance: undefined, peerUrl }));
	}

	private pickOne(contacts: readonly ExchangeContact[]): ExchangeContact | undefined {
		return contacts[this.random.pickBelow(contacts.length)];
	}
}

function createListedContact({ id, peerUrl }: ListedInstance): ExchangeContact {
	return { instance: id, peerUrl };
}
