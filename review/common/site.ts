/**
 * A small deployment in one region: the store, its configuration, servers that renew their registrations, and entries.
 */

import type { Entry } from './entry';
import type { CaseContext } from './caseRunner';
import { waitFor } from './ports';
import { Store } from './store';
import type { TargetOptions } from './target';
import { healthPath, Target } from './target';

const heartbeatMs = 1_200;
const region = 'kingston';
export const zone = 'kingston-a';
const zones = { [zone]: region };

/** Figures of the services of the smallest deployment. */
export const coldPerSecond = 6.5;
const engineFigures = { warmup_s: 3, cold_per_s: coldPerSecond };

const routeFigures = { host: 'rounds.example', goal_ms: 600, attempts: 2, priority: 2 };

/** The routes that cases use, by the name of the kind of request. */
const routes = {
	settle: {
		...routeFigures,
		name: 'job-settle',
		path_prefix: '/settle/',
		kind: 'non_idempotent',
		service: 'bookings',
		attempts: 1,
		timeout_ms: 4_000,
	},
	lookup: {
		...routeFigures,
		name: 'visit-lookup',
		path_prefix: '/visits/',
		kind: 'idempotent',
		service: 'bookings',
		timeout_ms: 4_000,
	},
	/** All clients ask the same, so that their requests have one path and no body. */
	slots: {
		...routeFigures,
		name: 'open-slots',
		path_prefix: '/open-slots/',
		kind: 'idempotent',
		service: 'bookings',
		timeout_ms: 4_000,
	},
	/** With the time that the sheet gives the longest kind of request. */
	export: {
		...routeFigures,
		name: 'round-export',
		path_prefix: '/export/',
		kind: 'idempotent',
		service: 'bookings',
		timeout_ms: 10_000,
	},
	query: {
		...routeFigures,
		name: 'van-query',
		path_prefix: '/query/',
		kind: 'stream',
		service: 'round-assistant',
		gap_aim_ms: 300,
		resumable: false,
		attempts: 1,
		priority: 0,
		timeout_ms: 5_000,
		sticky: true,
	},
};

export function createConfiguration(
	version: number,
	listed: readonly unknown[] = Object.values(routes),
): unknown {
	return {
		version,
		routes: listed,
		services: [
			{
				name: 'round-assistant',
				health_path: healthPath,
				max_conns: 360,
				engine: { slots: 64, kv_capacity: 332_642 },
				...engineFigures,
			},
			{ name: 'bookings', health_path: healthPath, max_conns: 96 },
		],
		limits: {
			max_header_bytes: 16_384,
			max_body_bytes: 8_388_608,
			header_timeout_ms: 3_000,
			idle_timeout_ms: 15_000,
		},
	};
}

/** The store and the servers of a site. */
export class Site {
	readonly store = new Store();
	readonly targets: Target[] = [];
	/** Servers that don't renew their registrations. */
	private readonly paused = new Set<Target>();
	storeAddress = '';

	async open(targets: readonly TargetOptions[]): Promise<void> {
		this.storeAddress = await this.store.open();
		this.store.put('op/config', createConfiguration(1));
		for (const [index, options] of targets.entries()) {
			const target = new Target(options);
			await target.open();
			this.targets.push(target);
			this.register(target);
			setTimeout(
				() => {
					this.scheduleHeartbeats(target);
				},
				(heartbeatMs * index) / targets.length,
			);
		}
	}

	private scheduleHeartbeats(target: Target): void {
		setInterval(() => {
			if (!this.paused.has(target)) {
				this.register(target);
			}
		}, heartbeatMs);
	}

	register(target: Target): void {
		this.paused.delete(target);
		this.store.put(`servers/${target.options.id}`, target.describe());
	}

	/** The server reports that it leaves; it goes on to serve. Returns the time of the acknowledgement. */
	drain(target: Target): number {
		this.paused.add(target);
		this.store.put(`servers/${target.options.id}`, target.describe('draining'));
		return Date.now();
	}

	/** The server crashes, and starts again under its id after a time. */
	async renew(target: Target, downMs: number): Promise<void> {
		this.paused.add(target);
		await target.kill();
		await waitFor(downMs);
		await target.renew();
		this.register(target);
	}
}

/** Adds the two entries that a zone of the smallest deployment has. */
export async function addEntries(
	context: CaseContext,
	findStore: (index: number) => Promise<string>,
): Promise<readonly Entry[]> {
	const entries: Entry[] = [];
	for (const index of [0, 1]) {
		const store = await findStore(index);
		entries.push(await context.addEntry({ node: `front-${zone}-${index + 1}`, region, zone, zones, store }));
	}
	return entries;
}
