/**
 * Ranks the entries that a caller is told to use. There is no load balancer in front of the entries, so this
 * ranking distributes callers among them, while entries start and stop and callers repeat their lookups. A fixed
 * order would send all callers of a zone to one entry. A new random order for each lookup would discard the
 * callers' connections. If all callers were given the entry with the most capacity, it would be overloaded at
 * once.
 *
 * Entries in the caller's zone are ranked first, then those in its region. Within each tier the order is random,
 * weighted by free capacity. A caller keeps its current entry while that entry is good. Otherwise only a share of
 * the callers moves at each lookup.
 */

import type { IRandom } from '../../../base/common/random';
import type { InstanceId, RegionName, ZoneName } from '../../../core/ids/common/ids';
import type { LookupParameters } from '../scheduling/policy';
import { defaultLookupParameters } from '../scheduling/policy';
import type { ServiceRoom } from '../scheduling/serviceScheduler';

/** An entry that may be named to a caller. */
export interface CandidateEntry {
	readonly instance: InstanceId;
	readonly region: RegionName;
	readonly zone: ZoneName;
	readonly isLeaving: boolean;
	/** Whether the entry has been silent for too long or could not be reached. Such entries are ranked last. */
	readonly isSuspect: boolean;
	/** The latest reported capacity for the service, if any. */
	readonly room: ServiceRoom | undefined;
	/** Age of the report, in milliseconds. */
	readonly ageMs: number;
}

/** What is known about the caller. */
export interface LookupContext {
	readonly region: RegionName;
	/** Undefined if the caller's zone is unknown. */
	readonly zone: ZoneName | undefined;
	/** The entry that the caller uses now, if the lookup names it. */
	readonly previous: InstanceId | undefined;
}

/** Location of a caller that chooses an entry itself, and the number of its routes that have each region as a home. */
export interface UsableEntriesContext extends Pick<LookupContext, 'region' | 'zone'> {
	readonly homes: ReadonlyMap<RegionName, number>;
}

interface WeightedEntry {
	readonly entry: CandidateEntry;
	/** 0 for the caller's zone, 1 for its region, 2 for other regions. Suspected entries follow as 3 to 5. */
	readonly tier: number;
	weight: number;
	/** Entries with smaller keys are ranked first within a tier. */
	sortKey: number;
}

const tierCount = 3;

/** Returns the entries to name to the caller, the best first. */
export function rankEntries(
	context: LookupContext,
	entries: readonly CandidateEntry[],
	random: IRandom,
	options: LookupParameters = defaultLookupParameters,
): readonly InstanceId[] {
	const tiers = createTiers(context, entries);
	const ranked: WeightedEntry[] = [];
	for (const tier of tiers) {
		if (ranked.length >= options.maxEntries) {
			break;
		}
		weighEntries(tier, options);
		for (const item of tier) {
			// An exponential random number divided by the weight. The probability of the smallest key is proportional
			// to the weight.
			item.sortKey = -Math.log(1 - random.pickFraction()) / item.weight;
		}
		ranked.push(...tier.sort((left, right) => left.sortKey - right.sortKey));
	}
	const preferred = findPreferredEntry(context, ranked, random, options);
	const ordered =
		preferred === undefined ? ranked : [preferred, ...ranked.filter(item => item !== preferred)];
	return ordered.slice(0, options.maxEntries).map(item => item.entry.instance);
}

/**
 * Returns the entries from which a caller may choose itself: those of its zone, else those of its region, else
 * those of the regions that are homes of most of its routes. The first of these groups with a live entry is used.
 * Callers that choose at random from it are distributed evenly. If no entry is known to be live, suspected entries
 * are returned, which is better than returning none.
 *
 * While all entries of a region are being replaced, its callers are directed to other regions. In a region that
 * may not answer them, their requests would be read where this is forbidden. The routes of one host may have no
 * home region in common. Then a region that may read most of them violates the fewest restrictions.
 */
export function listUsableEntries<TEntry extends CandidateEntry>(
	entries: readonly TEntry[],
	{ region, zone, homes }: UsableEntriesContext,
): readonly TEntry[] {
	const notLeaving = entries.filter(entry => !entry.isLeaving);
	const live = notLeaving.filter(entry => !entry.isSuspect);
	const groups = [
		live.filter(entry => entry.region === region && entry.zone === zone),
		live.filter(entry => entry.region === region),
		listEntriesWithMostRoutes(live, homes),
		notLeaving,
	];
	return groups.find(group => group.length > 0) ?? [];
}

function listEntriesWithMostRoutes<TEntry extends CandidateEntry>(
	entries: readonly TEntry[],
	homes: ReadonlyMap<RegionName, number>,
): readonly TEntry[] {
	const countRoutes = ({ region }: TEntry): number => homes.get(region) ?? 0;
	const maxRoutes = Math.max(...entries.map(countRoutes));
	return entries.filter(entry => countRoutes(entry) === maxRoutes);
}

/** Groups the entries that are not leaving by tier. */
function createTiers(context: LookupContext, entries: readonly CandidateEntry[]): WeightedEntry[][] {
	const tiers: WeightedEntry[][] = Array.from({ length: 2 * tierCount }, () => []);
	for (const entry of entries) {
		if (!entry.isLeaving) {
			const tier = computeTier(entry, context);
			tiers[tier]?.push({ entry, tier, weight: 1, sortKey: 0 });
		}
	}
	return tiers;
}

function computeTier(entry: CandidateEntry, { region, zone }: LookupContext): number {
	const firstTier = entry.isSuspect ? tierCount : 0;
	if (entry.region !== region) {
		return firstTier + 2;
	}
	return firstTier + (entry.zone === zone ? 0 : 1);
}

/** Sets weights from the reported capacities. An unknown capacity counts as the mean, and an old one fades to it. */
function weighEntries(items: readonly WeightedEntry[], options: LookupParameters): void {
	const reported = items.filter(item => item.entry.room !== undefined);
	for (const item of reported) {
		item.weight = computeWeight(item.entry.room, options);
	}
	const mean = computeMean(reported);
	for (const item of items) {
		const reportWeight =
			item.entry.room === undefined ? 0 : Math.exp(-item.entry.ageMs / options.roomDecayMs);
		item.weight = mean + (item.weight - mean) * reportWeight;
	}
}

function computeMean(items: readonly WeightedEntry[]): number {
	return items.length === 0 ? 1 : items.reduce((sum, item) => sum + item.weight, 0) / items.length;
}

/** One plus the free slots, reduced by the wait. The one keeps the weight of a full entry above zero. */
function computeWeight(room: ServiceRoom | undefined, { halvingWaitMs }: LookupParameters): number {
	return room === undefined ? 1 : (room.freeSlots + 1) / (1 + room.waitMs / halvingWaitMs);
}

/** Returns the caller's current entry if it should be ranked first. */
function findPreferredEntry(
	{ previous }: LookupContext,
	ranked: readonly WeightedEntry[],
	random: IRandom,
	options: LookupParameters,
): WeightedEntry | undefined {
	const current = ranked.find(item => item.entry.instance === previous);
	const [best] = ranked;
	if (current === undefined || best === undefined || current.entry.isSuspect) {
		return undefined;
	}
	const mean = computeMean(ranked.filter(item => item.tier === best.tier));
	const isGood = current.tier === best.tier && current.weight >= mean * options.moveBelowShare;
	return isGood || random.pickFraction() >= options.moveShare ? current : undefined;
}
