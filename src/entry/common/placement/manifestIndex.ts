/**
 * A manifest indexed for lookups by name. Each request looks up its service and organisation. Scanning 540
 * organisations for each of some thousand requests per second would cost more than all other checks of the
 * head, so the maps are built once for each accepted manifest.
 */

import type {
	KeyDigest,
	OrganisationName,
	RegionName,
	ServiceName,
	TargetId,
} from '../../../core/ids/common/ids';
import type {
	Manifest,
	ManifestOrganisation,
	ManifestService,
	ManifestTarget,
} from '../../../core/manifest/common/manifest';
import type { ManifestRoute } from '../../../core/manifest/common/routes';
import { RouteTable } from '../routing/routeTable';

/** The index of one accepted manifest. */
export class ManifestIndex {
	private readonly services: ReadonlyMap<ServiceName, ManifestService>;
	private readonly organisations: ReadonlyMap<OrganisationName, ManifestOrganisation>;
	private readonly organisationsByKey = new Map<KeyDigest, ManifestOrganisation>();
	private readonly targets: ReadonlyMap<TargetId, ManifestTarget>;
	private readonly targetsByService = new Map<ServiceName, ManifestTarget[]>();
	private readonly routes: RouteTable;

	constructor(readonly manifest: Manifest) {
		this.routes = new RouteTable(manifest.routes);
		this.services = new Map(manifest.services.map(service => [service.name, service]));
		this.organisations = new Map(
			manifest.organisations.map(organisation => [organisation.name, organisation]),
		);
		for (const organisation of manifest.organisations) {
			for (const digest of organisation.keys) {
				this.organisationsByKey.set(digest, organisation);
			}
		}
		this.targets = new Map(manifest.targets.map(target => [target.id, target]));
		for (const target of manifest.targets) {
			const serviceTargets = this.targetsByService.get(target.service) ?? [];
			this.targetsByService.set(target.service, [...serviceTargets, target]);
		}
	}

	/** Returns the route of a request by its host and path. */
	findRoute(host: string, path: string): ManifestRoute | undefined {
		return this.routes.find(host, path);
	}

	/** Returns the home regions of the routes of a host, each with the number of its routes. */
	countHomes(host: string): ReadonlyMap<RegionName, number> {
		return this.routes.countHomes(host);
	}

	findService(name: ServiceName): ManifestService | undefined {
		return this.services.get(name);
	}

	findOrganisation(name: OrganisationName): ManifestOrganisation | undefined {
		return this.organisations.get(name);
	}

	/** Returns the organisation that a key identifies, or undefined if the key is unknown or withdrawn. */
	findKeyOwner(digest: KeyDigest): ManifestOrganisation | undefined {
		return this.organisationsByKey.get(digest);
	}

	findTarget(id: TargetId): ManifestTarget | undefined {
		return this.targets.get(id);
	}

	/** Returns the targets of a service in a region, in the order of the manifest. */
	listTargets(service: ServiceName, region: RegionName): readonly ManifestTarget[] {
		return (this.targetsByService.get(service) ?? []).filter(target => target.region === region);
	}
}
