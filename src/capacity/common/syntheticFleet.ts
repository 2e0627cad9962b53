/**
 * A fleet of any size for measurements: a manifest with as many targets, organisations and models as wanted,
 * and entries spread over regions and zones.
 */

/** Where one entry stands. */
export interface SyntheticPlace {
	readonly id: string;
	readonly region: string;
	readonly zone: string;
}

/** How large the manifest is. */
export interface ManifestSize {
	readonly targets: number;
	readonly organisations: number;
}

const models = 7;
const slotsPerTarget = 8;
const weightBytes = 16_000_000_000;
const weightSteps = 3;

/** Zones with the region of each: 3 regions, 7 zones. */
const zones = [
	{ region: 'north', zone: 'north-a' },
	{ region: 'north', zone: 'north-b' },
	{ region: 'north', zone: 'north-c' },
	{ region: 'middle', zone: 'middle-a' },
	{ region: 'middle', zone: 'middle-b' },
	{ region: 'south', zone: 'south-a' },
	{ region: 'south', zone: 'south-b' },
] as const;

const regions = [...new Set(zones.map(({ region }) => region))];

/** The n-th entry of the fleet; entry 0 is the one that is measured. */
export function createPlace(index: number): SyntheticPlace {
	return { id: `entry-${index}`, ...pickZone(index) };
}

/** The text of a manifest; `note` makes two of one size differ, as two versions do. */
export function formatManifest(size: ManifestSize, note: number): string {
	return JSON.stringify({
		regions: regions.map(name => ({
			name,
			zones: zones.filter(({ region }) => region === name).map(({ zone }) => zone),
		})),
		links: [createLink('north', 'middle'), createLink('north', 'south'), createLink('middle', 'south')],
		organisations: createList(size.organisations, index => ({
			name: `organisation-${index}`,
			home: regions[index % regions.length],
			weight: 1 + ((index + note) % weightSteps),
		})),
		models: createList(models, index => ({ name: `model-${index}`, version: '1', weightBytes })),
		services: createList(models, index => ({
			name: `service-${index}`,
			kind: 'engine',
			model: `model-${index}`,
			residency: 'any',
			repeat: 'idempotent',
			slotsPerTarget,
		})),
		targets: createList(size.targets, index => ({
			id: `target-${index}`,
			service: `service-${index % models}`,
			...pickZone(Math.floor(index / models)),
			url: `http://127.0.0.1:${firstTargetPort + index}`,
		})),
	});
}

/** Nothing listens there: without requests an entry opens no connection to a target. */
const firstTargetPort = 40_000;

function pickZone(index: number): { readonly region: string; readonly zone: string } {
	const { region, zone } = zones[index % zones.length] ?? zones[0];
	return { region, zone };
}

function createLink(from: string, to: string): object {
	return { between: [from, to], oneWayMs: 55, megabitsPerSecond: 1_400 };
}

function createList<TItem>(length: number, create: (index: number) => TItem): TItem[] {
	return Array.from({ length }, (_, index) => create(index));
}
