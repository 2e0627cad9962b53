/**
 * Checks that no entry replaces its manifest by an older one, or by another one of the same version.
 */

/** The manifest that was in force at an entry at one moment, as reported by its status. */
export interface ManifestObservation {
	readonly entry: string;
	readonly boot: string;
	readonly version: number;
	readonly digest: string;
}

/** Compares each observation with the previous one of the same start (`boot`) of an entry. */
export class ManifestRegressionCheck {
	private readonly latestByBoot = new Map<string, ManifestObservation>();

	/**
	 * Stores an observation. Returns a description if the manifest regressed since the previous one, else
	 * undefined.
	 */
	checkObservation(observation: ManifestObservation): string | undefined {
		const previous = this.latestByBoot.get(observation.boot);
		this.latestByBoot.set(observation.boot, observation);
		if (previous === undefined || observation.version > previous.version) {
			return undefined;
		}
		if (observation.version < previous.version) {
			return `${observation.entry} went from version ${previous.version} back to ${observation.version}`;
		}
		return observation.digest === previous.digest
			? undefined
			: `${observation.entry} replaced its manifest of version ${previous.version} by another one`;
	}
}
