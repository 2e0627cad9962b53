import { SeededRandom } from '../../../../base/common/random';
import type { BootId, RegionName, ServiceName, ZoneName } from '../../../../core/ids/common/ids';
import type { EntryView } from '../entryView';
import { ExchangePlanner, isFromNewPeer } from '../exchangePlanner';
import { FleetView } from '../fleetView';
import { createView } from './views';

const regions = ['khomas', 'erongo', 'oshana'];
const zonesPerRegion = 2;
const zoneCount = regions.length * zonesPerRegion;
const seedCount = 3;
/** Traffic may reach a fleet this many exchange periods after its machines have started. */
const startPeriods = 16;

function createViewOf(index: number): EntryView {
	const zone = index % zoneCount;
	const region = regions[zone % regions.length]!;
	return createView(`front-${region}-${zone}-${index}`, {
		bootId: `boot-of-${index}` as BootId,
		region: region as RegionName,
		zone: `${region}-${zone}` as ZoneName,
		callerUrl: `http://10.1.0.${index}:8144`,
		peerUrl: `http://10.1.0.${index}:8146`,
		rooms: createRooms(),
	});
}

function createRooms(): EntryView['rooms'] {
	const room = { waitMs: 10, freeSlots: 4, running: 2, queued: 0 };
	return ['report-writer', 'tenant-ledger'].map(name => ({ service: name as ServiceName, room }));
}

/** A fleet whose entries start at once and know only the seeds. */
class StartingFleet {
	private readonly views: EntryView[];
	private readonly fleetViews: FleetView[];
	private readonly planners: ExchangePlanner[];

	/** @param rooms The capacity that the entries report before their first manifest. */
	constructor(size: number, seed: number, rooms = createRooms()) {
		const random = new SeededRandom(seed);
		this.views = Array.from({ length: size }, (_, index) => ({ ...createViewOf(index), rooms }));
		this.fleetViews = this.views.map(({ instance }) => new FleetView(instance));
		this.planners = this.views.map(
			(view, index) => new ExchangePlanner(view, this.fleetViews[index]!, random),
		);
		for (const fleet of this.fleetViews) {
			fleet.merge(this.views.slice(0, seedCount), 0);
		}
	}

	advance(nowMs: number): void {
		this.planners.forEach((planner, from) => {
			for (const { view } of planner.pickPeers(nowMs)) {
				this.exchange(from, this.findIndex(view.instance), nowMs);
			}
		});
	}

	exchangeWithSeeds(nowMs: number): void {
		for (let from = 0; from < this.views.length; from++) {
			for (let seed = 0; seed < seedCount; seed++) {
				if (seed !== from) {
					this.exchange(from, seed, nowMs);
				}
			}
		}
	}

	/** All entries report capacity from now on, and contact the others of their region that they know. */
	acceptManifest(nowMs: number): void {
		this.views.forEach((view, index) => {
			this.views[index] = { ...view, rooms: createRooms() };
		});
		this.fleetViews.forEach((fleet, from) => {
			const { region } = this.views[from]!;
			for (const { view } of fleet.list(nowMs).filter(known => known.view.region === region)) {
				this.exchange(from, this.findIndex(view.instance), nowMs);
			}
		});
	}

	/** The smallest share of the other entries of its region of which any entry knows the capacity. */
	computeLeastKnownShare(nowMs: number): number {
		const shares = this.views.map((view, index) => {
			const others = this.views.filter(other => other.region === view.region && other !== view);
			const known = others.filter(
				({ instance }) => (this.fleetViews[index]!.find(instance, nowMs)?.view.rooms.length ?? 0) > 0,
			);
			return known.length / others.length;
		});
		return Math.min(...shares);
	}

	private findIndex(instance: EntryView['instance']): number {
		return this.views.findIndex(view => view.instance === instance);
	}

	private exchange(from: number, to: number, nowMs: number): void {
		const sent = this.listViews(from, to, nowMs);
		this.fleetViews[to]!.merge(sent, nowMs);
		this.fleetViews[from]!.merge(this.listViews(to, from, nowMs, isFromNewPeer(sent[0]!)), nowMs);
	}

	private listViews(from: number, to: number, nowMs: number, isNew = false): readonly EntryView[] {
		const own = { ...this.views[from]!, sequence: this.views[from]!.sequence + 1 };
		this.views[from] = own;
		return this.planners[from]!.listViews(own, this.views[to]!.instance, nowMs, isNew);
	}
}

describe('the discovery of a starting fleet', () => {
	// Guards against entries that know their own zone only, take too large a share of each target and overrun it.
	it.each([10, 60, 85])('shows all of %i entries nearly all of their region before traffic starts', size => {
		for (const seed of [1, 2, 3]) {
			const fleet = new StartingFleet(size, seed);
			for (let period = 1; period <= startPeriods; period++) {
				fleet.advance(period * 1_000);
			}
			expect(fleet.computeLeastKnownShare(startPeriods * 1_000)).toBeGreaterThanOrEqual(0.9);
		}
	});

	// Guards against entries that are not offered for requests, because their views are from before the first manifest.
	it.each([10, 60, 85])('shows all of %i entries the capacity of nearly all of their region', size => {
		for (const seed of [1, 2, 3]) {
			const fleet = new StartingFleet(size, seed, []);
			fleet.exchangeWithSeeds(0);
			fleet.acceptManifest(1_000);
			for (let period = 1; period <= startPeriods; period++) {
				fleet.advance(period * 1_000);
			}
			expect(fleet.computeLeastKnownShare(startPeriods * 1_000)).toBeGreaterThanOrEqual(0.9);
		}
	});
});
