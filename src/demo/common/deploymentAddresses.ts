/**
 * The addresses of all processes and targets of a running deployment. `npm run demo -- --hold` prints them as
 * a JSON document on its first line.
 */

/** Addresses of one entry, the proxy process that callers connect to. */
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

/** Addresses of one target, with the admin port that configures its faults. */
export interface TargetAddresses {
	readonly id: string;
	readonly service: string;
	readonly region: string;
	readonly zone: string;
	readonly url: string;
	readonly admin: string;
}

/** Addresses of the relay that simulates a link between regions. */
export interface LinkAddresses {
	readonly name: string;
	/** The address on which the relay accepts connections, as `host:port`. */
	readonly listen: string;
	readonly admin: string;
}

/** Addresses of one process that hosts stand-ins. */
export interface StandinAddresses {
	readonly name: string;
	readonly admin: string;
	readonly pid: number;
}

/** Addresses of the whole deployment. */
export interface DeploymentAddresses {
	readonly ready: true;
	readonly entries: readonly EntryAddresses[];
	readonly targets: readonly TargetAddresses[];
	readonly links: readonly LinkAddresses[];
	readonly standins: readonly StandinAddresses[];
	/** Base URL of the platform stand-in. */
	readonly platform: string;
	/** Base URL of the admin port of the platform stand-in. */
	readonly platformAdmin: string;
}

/** Lists the entries of one region, in the order of their names. */
export function listEntriesInRegion(addresses: DeploymentAddresses, region: string): EntryAddresses[] {
	return addresses.entries.filter(entry => entry.region === region);
}

/** Lists the targets of one service in one region. */
export function listTargetsInRegion(
	addresses: DeploymentAddresses,
	service: string,
	region: string,
): TargetAddresses[] {
	return addresses.targets.filter(target => target.service === service && target.region === region);
}
