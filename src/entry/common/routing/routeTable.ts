/**
 * Finds the route of a request. Routes are grouped by host and sorted by the length of their prefix once for
 * each manifest, so that a manifest that grows by hundreds of routes costs a request a look at those of its
 * own host only.
 */

import type { ManifestRoute } from '../../../core/manifest/common/routes';
import type { RegionName, ServiceName } from '../../../core/ids/common/ids';
import { computeMixedHash, computeTextHash } from '../scheduling/prefixRanking';

/** The routes of one manifest. */
export class RouteTable {
	private readonly byHost = new Map<string, ManifestRoute[]>();

	constructor(routes: readonly ManifestRoute[]) {
		for (const route of routes) {
			const known = this.byHost.get(route.host) ?? [];
			known.push(route);
			this.byHost.set(route.host, known);
		}
		for (const known of this.byHost.values()) {
			known.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
		}
	}

	/** The regions that are homes of routes of a host, each with the number of these routes. */
	countHomes(host: string): ReadonlyMap<RegionName, number> {
		const counts = new Map<RegionName, number>();
		for (const { homes } of this.byHost.get(readHostName(host)) ?? []) {
			for (const home of homes) {
				counts.set(home, (counts.get(home) ?? 0) + 1);
			}
		}
		return counts;
	}

	/** The route whose prefix is the longest that begins the path, or undefined. `host` may name a port. */
	find(host: string, path: string): ManifestRoute | undefined {
		return this.byHost.get(readHostName(host))?.find(route => path.startsWith(route.pathPrefix));
	}
}

/** A host without its port, in lower case. */
function readHostName(host: string): string {
	return host.toLowerCase().replace(/:\d+$/, '');
}

const hashRange = 0x1_0000_0000;

/**
 * The service of a request, by the weights of its route. The choice follows from the request's id, so that an
 * entry to which the request is forwarded chooses the same.
 */
export function chooseService({ name, services }: ManifestRoute, requestId: string): ServiceName | undefined {
	const total = services.reduce((sum, { weight }) => sum + weight, 0);
	const draw = computeMixedHash(computeTextHash(requestId), computeTextHash(name)) / hashRange;
	let left = draw * total;
	for (const { service, weight } of services) {
		left -= weight;
		if (left < 0) {
			return service;
		}
	}
	return services.at(-1)?.service;
}
