/**
 * Every address of a running deployment. `npm run demo -- --hold` prints this document as its first line.
 */

/** One entry and its ports. */
export interface EntryAddresses {
	readonly instance: string;
	readonly region: string;
	readonly zone: string;
	/** Base URL for callers. */
	readonly callers: string;
	/** Base URL for other entries of its region. */
	readonly peers: string;
	/** Base URL for health, readiness and metrics. */
	readonly operators: string;
	readonly pid: number;
}

/** One target and the admin port that switches its faults. */
export interface TargetAddresses {
	readonly id: string;
	readonly service: string;
	readonly region: string;
	readonly zone: string;
	readonly url: string;
	readonly admin: string;
}

/** One relay of a link. */
export interface LinkAddresses {
	readonly name: string;
	/** Where it listens, as `host:port`. */
	readonly listen: string;
	readonly admin: string;
}

/** One process of stand-ins. */
export interface StandinAddresses {
	readonly name: string;
	readonly admin: string;
	readonly pid: number;
}

/** The whole deployment. */
export interface DeploymentAddresses {
	readonly ready: true;
	readonly entries: readonly EntryAddresses[];
	readonly targets: readonly TargetAddresses[];
	readonly links: readonly LinkAddresses[];
	readonly standins: readonly StandinAddresses[];
	/** Base URL of the platform, and its admin port. */
	readonly platform: string;
	readonly platformAdmin: string;
}

/** The entries of one region, in the order of their names. */
export function listEntriesOf(addresses: DeploymentAddresses, region: string): EntryAddresses[] {
	return addresses.entries.filter(entry => entry.region === region);
}

/** The targets of one service in one region. */
export function listTargetsOf(
	addresses: DeploymentAddresses,
	service: string,
	region: string,
): TargetAddresses[] {
	return addresses.targets.filter(target => target.service === service && target.region === region);
}
