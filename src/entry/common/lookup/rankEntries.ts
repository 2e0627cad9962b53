/**
 * Which entries a caller is told to use. No balancer stands before the entries, so this ranking is what
 * spreads callers over them. Load patterns: an entry comes or goes, and callers that ask again and again.
 * A fixed order sends all callers of a zone to one entry; a fresh draw at each lookup throws away their
 * connections; the entry with the most room, told to all, is overrun at once.
 *
 * The caller's own zone goes first, its region next. Within these the order is drawn at random, weighted by
 * room. A caller stays with its entry while that one is good; when it is not, only a part of the callers
 * moves at each lookup.
 */

import type { IRandom } from '../../../base/common/random';
import type { InstanceId, RegionName, ZoneName } from '../../../core/ids/common/ids';
import type { LookupParameters } from '../scheduling/policy';
import { defaultLookupParameters } from '../scheduling/policy';
import type { ServiceRoom } from '../scheduling/serviceScheduler';

/** An entry that a caller could be sent to. */
export interface KnownEntry {
	readonly instance: InstanceId;
	readonly region: RegionName;
	readonly zone: ZoneName;
	readonly isLeaving: boolean;
	/** Not heard of for too long; named only after all others. */
	readonly isSuspect: boolean;
	/** What it last said of the service, if anything, and how old that is in milliseconds. */
	readonly room: ServiceRoom | undefined;
	readonly ageMs: number;
}

/** What is known of the caller. */
export interface LookupQuestion {
	readonly region: RegionName;
	/** Undefined where the caller's zone is not known. */
	readonly zone: ZoneName | undefined;
	/** The entry that it uses already, if it said so. */
	readonly previous: InstanceId | undefined;
}

/** Where a caller stands that chooses by itself, and how many of its routes each region is a home of. */
export interface UsableQuestion extends Pick<LookupQuestion, 'region' | 'zone'> {
	readonly homes: ReadonlyMap<RegionName, number>;
}

interface WeighedEntry {
	readonly entry: KnownEntry;
	/** 0 for the caller's zone, 1 for its region, 2 elsewhere; suspected ones follow in the same order. */
	readonly tier: number;
	weight: number;
	/** Smaller goes first within a tier. */
	key: number;
}

const tierCount = 3;

/** The entries to name to the caller, the best first. */
export function rankEntries(
	question: LookupQuestion,
	entries: readonly KnownEntry[],
	random: IRandom,
	figures: LookupParameters = defaultLookupParameters,
): readonly InstanceId[] {
	const tiers = createTiers(question, entries);
	const ranked: WeighedEntry[] = [];
	for (const tier of tiers) {
		if (ranked.length >= figures.maxEntries) {
			break;
		}
		weighEntries(tier, figures);
		for (const item of tier) {
			// An exponential draw divided by the weight: each is the smallest with a chance equal to its weight.
			item.key = -Math.log(1 - random.pickFraction()) / item.weight;
		}
		ranked.push(...tier.sort((left, right) => left.key - right.key));
	}
	const kept = findKept(question, ranked, random, figures);
	const ordered = kept === undefined ? ranked : [kept, ...ranked.filter(item => item !== kept)];
	return ordered.slice(0, figures.maxEntries).map(item => item.entry.instance);
}

/**
 * The entries that a caller may choose from by itself: those of its zone, of its region, or of the regions
 * that may answer most of its bound routes; the first of these groups in which one is live. A caller that
 * draws one of them at random spreads evenly. Where nothing is known to be live, those that may be are better
 * than none.
 *
 * While all entries of a region are replaced, its callers are led elsewhere. Led to a region that may not
 * answer them, their requests would be read where they must not be. Routes of one host may have no home in
 * common; then a region that may see most of them does the least harm.
 */
export function listUsable<TEntry extends KnownEntry>(
	entries: readonly TEntry[],
	{ region, zone, homes }: UsableQuestion,
): readonly TEntry[] {
	const staying = entries.filter(entry => !entry.isLeaving);
	const live = staying.filter(entry => !entry.isSuspect);
	const groups = [
		live.filter(entry => entry.region === region && entry.zone === zone),
		live.filter(entry => entry.region === region),
		listOfMostRoutes(live, homes),
		staying,
	];
	return groups.find(group => group.length > 0) ?? [];
}

function listOfMostRoutes<TEntry extends KnownEntry>(
	entries: readonly TEntry[],
	homes: ReadonlyMap<RegionName, number>,
): readonly TEntry[] {
	const countRoutes = ({ region }: TEntry): number => homes.get(region) ?? 0;
	const most = Math.max(...entries.map(countRoutes));
	return entries.filter(entry => countRoutes(entry) === most);
}

/** The entries that are not leaving, by tier. */
function createTiers(question: LookupQuestion, entries: readonly KnownEntry[]): WeighedEntry[][] {
	const tiers: WeighedEntry[][] = Array.from({ length: 2 * tierCount }, () => []);
	for (const entry of entries) {
		if (!entry.isLeaving) {
			const tier = computeTier(entry, question);
			tiers[tier]?.push({ entry, tier, weight: 1, key: 0 });
		}
	}
	return tiers;
}

function computeTier(entry: KnownEntry, { region, zone }: LookupQuestion): number {
	const suspected = entry.isSuspect ? tierCount : 0;
	if (entry.region !== region) {
		return suspected + 2;
	}
	return suspected + (entry.zone === zone ? 0 : 1);
}

/** Weighs by room; what is not known, or known from long ago, counts as the mean. */
function weighEntries(weighed: readonly WeighedEntry[], figures: LookupParameters): void {
	const told = weighed.filter(item => item.entry.room !== undefined);
	for (const item of told) {
		item.weight = computeWeight(item.entry.room, figures);
	}
	const mean = computeMean(told);
	for (const item of weighed) {
		const belief = item.entry.room === undefined ? 0 : Math.exp(-item.entry.ageMs / figures.roomDecayMs);
		item.weight = mean + (item.weight - mean) * belief;
	}
}

function computeMean(items: readonly WeighedEntry[]): number {
	return items.length === 0 ? 1 : items.reduce((sum, item) => sum + item.weight, 0) / items.length;
}

/** Free slots and one, so that a full entry keeps a little weight, less the longer its wait. */
function computeWeight(room: ServiceRoom | undefined, { halvingWaitMs }: LookupParameters): number {
	return room === undefined ? 1 : (room.freeSlots + 1) / (1 + room.waitMs / halvingWaitMs);
}

/** The caller's present entry where it should stay first. */
function findKept(
	{ previous }: LookupQuestion,
	ranked: readonly WeighedEntry[],
	random: IRandom,
	figures: LookupParameters,
): WeighedEntry | undefined {
	const present = ranked.find(item => item.entry.instance === previous);
	const [best] = ranked;
	if (present === undefined || best === undefined || present.entry.isSuspect) {
		return undefined;
	}
	const mean = computeMean(ranked.filter(item => item.tier === best.tier));
	const isGood = present.tier === best.tier && present.weight >= mean * figures.moveBelowShare;
	return isGood || random.pickFraction() >= figures.moveShare ? present : undefined;
}
