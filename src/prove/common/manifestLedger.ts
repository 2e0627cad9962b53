/**
 * Which manifest each start of each entry said to have in force, and whether one ever went back.
 */

/** What an entry said at one moment. */
export interface ManifestSighting {
	readonly entry: string;
	readonly boot: string;
	readonly version: number;
	readonly digest: string;
}

/** Remembers the newest sighting of each start of an entry. */
export class ManifestLedger {
	private readonly newestByBoot = new Map<string, ManifestSighting>();

	/** Notes a sighting and tells in words where it goes back; undefined where all is well. */
	note(sighting: ManifestSighting): string | undefined {
		const before = this.newestByBoot.get(sighting.boot);
		this.newestByBoot.set(sighting.boot, sighting);
		if (before === undefined || sighting.version > before.version) {
			return undefined;
		}
		if (sighting.version < before.version) {
			return `${sighting.entry} went from version ${before.version} back to ${sighting.version}`;
		}
		return sighting.digest === before.digest
			? undefined
			: `${sighting.entry} replaced its document of version ${before.version} by another one`;
	}
}
