/**
 * Registered targets by service, as requests ask for them. Built when a request asks after a change and kept until the
 * next one.
 */

import type { DiscoveredTarget } from '../../../core/discovery/common/discoveredTarget';
import type { Discovery, KnownTarget } from '../../../core/discovery/common/discovery';
import type { RegionName, ServiceName, SoftwareVersion } from '../../../core/ids/common/ids';
import type { RankedTarget } from '../../common/scheduling/prefixRanking';
import { computeTextHash } from '../../common/scheduling/prefixRanking';

/** A usable target with its region. */
export interface LocatedTarget extends RankedTarget {
	readonly region: RegionName;
}

/** The targets of one service. */
export interface ServiceTargets {
	/** Targets of this entry's region, whether usable or not. */
	readonly local: readonly KnownTarget[];
	/** Usable targets of all regions. */
	readonly usable: readonly LocatedTarget[];
	/** Regions that have a usable target, with the software versions of these. */
	readonly versionsByRegion: ReadonlyMap<RegionName, ReadonlySet<SoftwareVersion | undefined>>;
}

/** Indexes the targets of a discovery. */
export class TargetIndex {
	private readonly services = new Map<ServiceName, ServiceTargets>();
	private visits = 0;

	constructor(
		private readonly ownRegion: RegionName,
		private readonly discovery: Discovery,
	) {}

	/** Number of targets visited so far to build the index. */
	get visitCount(): number {
		return this.visits;
	}

	/** Discards the index after a change of the discovery. */
	clear(): void {
		this.services.clear();
	}

	find(service: ServiceName): ServiceTargets {
		const known = this.services.get(service);
		if (known !== undefined) {
			return known;
		}
		const created = this.build(service);
		this.services.set(service, created);
		return created;
	}

	isUsable({ isLeaving, zone }: DiscoveredTarget): boolean {
		return !isLeaving && !this.discovery.isEvacuated(zone);
	}

	private build(service: ServiceName): ServiceTargets {
		const all = this.discovery.list();
		this.visits += all.length;
		const ofService = all.filter(({ target }) => target.service === service);
		const usable = ofService
			.filter(({ target }) => this.isUsable(target))
			.map(({ target: { id, region, version } }) => ({ id, idHash: computeTextHash(id), region, version }));
		const versionsByRegion = new Map<RegionName, Set<SoftwareVersion | undefined>>();
		for (const { region, version } of usable) {
			versionsByRegion.set(region, (versionsByRegion.get(region) ?? new Set()).add(version));
		}
		return {
			local: ofService.filter(({ target }) => target.region === this.ownRegion),
			usable,
			versionsByRegion,
		};
	}
}
