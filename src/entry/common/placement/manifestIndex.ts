/**
 * A manifest prepared for lookups. A request asks for its service and organisation by name; scanning 540
 * organisations for each of some thousand requests a second would cost more than the rest of the head's
 * checks, so the names are put into maps once for each accepted manifest.
 */

import type { OrganisationName, RegionName, ServiceName, TargetId } from '../../../core/ids/common/ids';
import type {
	Manifest,
	ManifestOrganisation,
	ManifestService,
	ManifestTarget,
} from '../../../core/manifest/common/manifest';
import type { ManifestRoute } from '../../../core/manifest/common/routes';
import { RouteTable } from '../routing/routeTable';

/** One accepted manifest by name. */
export class ManifestIndex {
	private readonly services: ReadonlyMap<ServiceName, ManifestService>;
	private readonly organisations: ReadonlyMap<OrganisationName, ManifestOrganisation>;
	private readonly targets: ReadonlyMap<TargetId, ManifestTarget>;
	private readonly targetsOfServices = new Map<ServiceName, ManifestTarget[]>();
	private readonly routes: RouteTable;

	constructor(readonly manifest: Manifest) {
		this.routes = new RouteTable(manifest.routes);
		this.services = new Map(manifest.services.map(service => [service.name, service]));
		this.organisations = new Map(
			manifest.organisations.map(organisation => [organisation.name, organisation]),
		);
		this.targets = new Map(manifest.targets.map(target => [target.id, target]));
		for (const target of manifest.targets) {
			const known = this.targetsOfServices.get(target.service) ?? [];
			this.targetsOfServices.set(target.service, [...known, target]);
		}
	}

	/** The route of a request, by the host that it names and the path that it asks for. */
	findRoute(host: string, path: string): ManifestRoute | undefined {
		return this.routes.find(host, path);
	}

	/** The regions that may answer every request to a host; undefined where all may. */
	countHomes(host: string): ReadonlyMap<RegionName, number> {
		return this.routes.countHomes(host);
	}

	findService(name: ServiceName): ManifestService | undefined {
		return this.services.get(name);
	}

	findOrganisation(name: OrganisationName): ManifestOrganisation | undefined {
		return this.organisations.get(name);
	}

	findTarget(id: TargetId): ManifestTarget | undefined {
		return this.targets.get(id);
	}

	/** The targets of a service in a region, in the order of the manifest. */
	listTargets(service: ServiceName, region: RegionName): readonly ManifestTarget[] {
		return (this.targetsOfServices.get(service) ?? []).filter(target => target.region === region);
	}
}
