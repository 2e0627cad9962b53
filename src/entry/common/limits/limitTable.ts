/**
 * The organisations of a manifest that have a limit. Messages between entries name an organisation by a key of 32 bits:
 * with names, the reports of 540 organisations would exceed the bytes that an entry may use for control.
 */

import type { ManifestVersion, OrganisationName } from '../../../core/ids/common/ids';
import type { Manifest } from '../../../core/manifest/common/manifest';
import type { OrganisationLimit } from '../../../core/manifest/common/organisations';
import type { Brand } from '../../../base/common/brand';
import { computeMixedHash, computeTextHash } from '../scheduling/prefixRanking';

/** Names an organisation in messages between entries; an unsigned number of 32 bits. */
export type OrganisationKey = Brand<number, 'OrganisationKey'>;

/** An organisation with a limit. */
export interface LimitedOrganisation {
	readonly name: OrganisationName;
	readonly key: OrganisationKey;
	readonly limit: OrganisationLimit;
}

const keySalt = 0x6c696d69;

/** The limits of one manifest. */
export class LimitTable {
	private readonly byName = new Map<OrganisationName, LimitedOrganisation>();
	private readonly byKey = new Map<OrganisationKey, LimitedOrganisation>();

	constructor(
		readonly version: ManifestVersion,
		organisations: Manifest['organisations'],
	) {
		const limited = organisations.filter(({ limit }) => limit !== undefined);
		const sorted = [...limited].sort((left, right) => (left.name < right.name ? -1 : 1));
		for (const { name, limit } of sorted) {
			if (limit !== undefined) {
				this.add(name, limit);
			}
		}
	}

	get size(): number {
		return this.byName.size;
	}

	findByName(name: OrganisationName): LimitedOrganisation | undefined {
		return this.byName.get(name);
	}

	findByKey(key: OrganisationKey): LimitedOrganisation | undefined {
		return this.byKey.get(key);
	}

	list(): Iterable<LimitedOrganisation> {
		return this.byName.values();
	}

	/** Two names with the same hash get different keys; the order by name makes these the same at all entries. */
	private add(name: OrganisationName, limit: OrganisationLimit): void {
		let key = computeMixedHash(keySalt, computeTextHash(name)) as OrganisationKey;
		while (this.byKey.has(key)) {
			key = ((key + 1) >>> 0) as OrganisationKey;
		}
		const organisation = { name, key, limit };
		this.byName.set(name, organisation);
		this.byKey.set(key, organisation);
	}
}
