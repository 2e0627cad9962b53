/**
 * Finds the route of a request and the service that answers it. Routes are grouped by host and sorted by the
 * length of their prefix once for each manifest, so that a request is compared only with the routes of its own
 * host, even if the manifest grows by hundreds of routes.
 */

import type { ManifestRoute } from '../../../core/manifest/common/routes';
import type { RegionName, ServiceName } from '../../../core/ids/common/ids';
import { computeMixedHash, computeTextHash } from '../scheduling/prefixRanking';

/** The routes of one manifest. */
export class RouteTable {
	private readonly routesByHost = new Map<string, ManifestRoute[]>();

	constructor(routes: readonly ManifestRoute[]) {
		for (const route of routes) {
			const hostRoutes = this.routesByHost.get(route.host) ?? [];
			hostRoutes.push(route);
			this.routesByHost.set(route.host, hostRoutes);
		}
		for (const hostRoutes of this.routesByHost.values()) {
			hostRoutes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
		}
	}

	/** Returns the home regions of the routes of a host, each with the number of its routes. */
	countHomes(host: string): ReadonlyMap<RegionName, number> {
		const counts = new Map<RegionName, number>();
		for (const { homes } of this.routesByHost.get(parseHostName(host)) ?? []) {
			for (const home of homes) {
				counts.set(home, (counts.get(home) ?? 0) + 1);
			}
		}
		return counts;
	}

	/** Returns the route with the longest prefix of the path, or undefined. `host` may include a port. */
	find(host: string, path: string): ManifestRoute | undefined {
		return this.routesByHost.get(parseHostName(host))?.find(route => path.startsWith(route.pathPrefix));
	}
}

/** Returns the host in lower case without its port. */
function parseHostName(host: string): string {
	return host.toLowerCase().replace(/:\d+$/, '');
}

const hashRange = 0x1_0000_0000;

/**
 * Chooses the service of a request by the weights of its route. The choice is a hash of the request id, so that
 * an entry to which the request is forwarded chooses the same service.
 */
export function chooseService({ name, services }: ManifestRoute, requestId: string): ServiceName | undefined {
	const total = services.reduce((sum, { weight }) => sum + weight, 0);
	const randomFraction = computeMixedHash(computeTextHash(requestId), computeTextHash(name)) / hashRange;
	let remaining = randomFraction * total;
	for (const { service, weight } of services) {
		remaining -= weight;
		if (remaining < 0) {
			return service;
		}
	}
	return services.at(-1)?.service;
}
