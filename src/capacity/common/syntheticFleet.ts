/**
 * Creates a synthetic fleet for measurements: entries distributed over regions and zones, and a manifest with any
 * number of targets and organisations.
 */

/** Id and location of one entry. */
export interface SyntheticInstance {
	readonly id: string;
	readonly region: string;
	readonly zone: string;
}

/** Size of a synthetic manifest. */
export interface ManifestSize {
	readonly targets: number;
	readonly organisations: number;
}

const modelCount = 7;
const slotsPerTarget = 8;
const weightBytes = 16_000_000_000;
const maxOrganisationWeight = 3;

/** The zones of the fleet with their regions: 7 zones in 3 regions. */
export const syntheticZones = [
	{ region: 'north', zone: 'north-a' },
	{ region: 'north', zone: 'north-b' },
	{ region: 'north', zone: 'north-c' },
	{ region: 'middle', zone: 'middle-a' },
	{ region: 'middle', zone: 'middle-b' },
	{ region: 'south', zone: 'south-a' },
	{ region: 'south', zone: 'south-b' },
] as const;

const regions = [...new Set(syntheticZones.map(({ region }) => region))];

/** Returns the entry with this index. Index 0 is the measured entry. */
export function createSyntheticInstance(index: number): SyntheticInstance {
	return { id: `entry-${index}`, ...pickZone(index) };
}

/** Returns the text of a manifest. `variant` changes the weights of the organisations, so that versions differ. */
export function formatSyntheticManifest(size: ManifestSize, variant: number): string {
	return JSON.stringify({
		regions: regions.map(name => ({
			name,
			zones: syntheticZones.filter(({ region }) => region === name).map(({ zone }) => zone),
		})),
		links: [createLink('north', 'middle'), createLink('north', 'south'), createLink('middle', 'south')],
		organisations: createList(size.organisations, index => ({
			name: `organisation-${index}`,
			home: regions[index % regions.length],
			weight: 1 + ((index + variant) % maxOrganisationWeight),
		})),
		models: createList(modelCount, index => ({ name: `model-${index}`, version: '1', weightBytes })),
		services: createList(modelCount, index => ({
			name: `service-${index}`,
			kind: 'engine',
			model: `model-${index}`,
			residency: 'any',
			repeat: 'idempotent',
			slotsPerTarget,
		})),
		targets: createList(size.targets, index => ({
			id: `target-${index}`,
			service: `service-${index % modelCount}`,
			...pickZone(Math.floor(index / modelCount)),
			url: `http://127.0.0.1:${firstTargetPort + index}`,
		})),
	});
}

/** Port of the first target. Nothing listens on these ports: an entry without requests does not connect to targets. */
const firstTargetPort = 40_000;

function pickZone(index: number): { readonly region: string; readonly zone: string } {
	const { region, zone } = syntheticZones[index % syntheticZones.length] ?? syntheticZones[0];
	return { region, zone };
}

function createLink(from: string, to: string): object {
	return { between: [from, to], oneWayMs: 55, megabitsPerSecond: 1_400 };
}

function createList<TItem>(length: number, create: (index: number) => TItem): TItem[] {
	return Array.from({ length }, (_, index) => create(index));
}
