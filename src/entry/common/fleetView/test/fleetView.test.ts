import * as fc from 'fast-check';
import { SeededRandom } from '../../../../base/common/random';
import type {
	BootId,
	InstanceId,
	ManifestVersion,
	RegionName,
	ServiceName,
	ZoneName,
} from '../../../../core/ids/common/ids';
import { defaultFleetViewParameters } from '../../scheduling/policy';
import type { EntryView } from '../entryView';
import { estimateViewBytes } from '../entryView';
import { ExchangePlan } from '../exchangePlan';
import { FleetView } from '../fleetView';

const self = 'entry-self' as InstanceId;
const service = 'report-writer' as ServiceName;

function createView(instance: string, more: Partial<EntryView> = {}): EntryView {
	return {
		instance: instance as InstanceId,
		bootId: 'boot-1' as BootId,
		sequence: 1,
		region: 'khomas' as RegionName,
		zone: 'khomas-a' as ZoneName,
		callerUrl: 'http://10.0.0.1:7001',
		peerUrl: 'http://10.0.0.1:7002',
		isLeaving: false,
		manifestVersion: 1 as ManifestVersion,
		manifestDigest: '0123456789abcdef',
		ageMs: 0,
		rooms: [{ service, room: { waitMs: 100, freeSlots: 4, running: 2, queued: 0 } }],
		leavingTargets: [],
		crashSightings: [],
		...more,
	};
}

function createRoomView(instance: string, freeSlots: number): EntryView {
	return createView(instance, {
		rooms: [{ service, room: { waitMs: 0, freeSlots, running: 0, queued: 0 } }],
	});
}

describe('FleetView', () => {
	it('ends with the highest sequence whatever the order in which views arrive', () => {
		fc.assert(
			fc.property(fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 1 }), sequences => {
				const fleet = new FleetView(self);
				sequences.forEach((sequence, index) => {
					fleet.merge([createView('entry-2', { sequence, ageMs: index })], index);
				});
				const known = fleet.find('entry-2' as InstanceId, sequences.length);
				expect(known?.view.sequence).toBe(Math.max(...sequences));
			}),
			{ seed: 11, numRuns: 100 },
		);
	});

	// An entry restarts and its first views are lost; a peer still passes on what its predecessor said. Taken
	// for news, this would send callers to a process that has gone.
	it('never goes back to an earlier boot', () => {
		const fleet = new FleetView(self);
		fleet.merge([createView('entry-2', { sequence: 90 })], 1_000);
		fleet.merge([createView('entry-2', { bootId: 'boot-2' as BootId, sequence: 1 })], 2_000);
		expect(fleet.merge([createView('entry-2', { sequence: 91, ageMs: 10 })], 2_500)).toEqual([]);
		expect(fleet.find('entry-2' as InstanceId, 2_500)?.view.bootId).toBe('boot-2');
	});

	it('says nothing of itself by what others pass on', () => {
		const fleet = new FleetView(self);
		expect(fleet.merge([createView(self)], 0)).toEqual([]);
		expect(fleet.list(0)).toEqual([]);
	});

	// An entry dies without a word. Its last view stays in the fleet and must lose its weight, then its name.
	it('draws old room to the mean, suspects the silent and forgets them later', () => {
		const fleet = new FleetView(self);
		fleet.merge([createRoomView('entry-2', 20), createRoomView('entry-3', 0)], 0);
		const instance = 'entry-2' as InstanceId;
		expect(fleet.estimateRoom(instance, service, 0)?.freeSlots).toBe(20);
		expect(fleet.estimateRoom(instance, service, 60_000)?.freeSlots).toBeLessThan(10.1);
		expect(fleet.find(instance, 4_000)?.isSuspect).toBe(false);
		expect(fleet.find(instance, 6_000)?.isSuspect).toBe(true);
		expect(fleet.expire(119_000)).toEqual([]);
		expect(fleet.expire(121_000)).toContain('entry-2');
		expect(fleet.merge([createView('entry-2', { ageMs: 121_000 })], 121_000)).toEqual([]);
	});

	// An entry's own process is frozen for a while. If the others' silence in that time counted, it would wake
	// to a fleet that it takes for dead and name no other entry to its callers.
	it('counts no silence while its own process slept', () => {
		const fleet = new FleetView(self);
		fleet.merge([createView('entry-2')], 0);
		fleet.noteOwnSleep(200_000);
		expect(fleet.expire(203_000)).toEqual([]);
		expect(fleet.find('entry-2' as InstanceId, 203_000)).toMatchObject({ ageMs: 3_000, isSuspect: false });
	});

	it('suspects an instance that cannot be reached before its silence does', () => {
		const fleet = new FleetView(self);
		const instance = 'entry-2' as InstanceId;
		fleet.merge([createView(instance)], 0);
		fleet.noteExchange(instance, false);
		expect(fleet.find(instance, 100)?.isSuspect).toBe(false);
		fleet.noteExchange(instance, false);
		expect(fleet.find(instance, 100)?.isSuspect).toBe(true);
		fleet.merge([createView(instance, { sequence: 2 })], 200);
		expect(fleet.find(instance, 200)?.isSuspect).toBe(false);
	});
});

/** A fleet in one process: every node exchanges with one peer a second. */
class ModelFleet {
	bytes = 0;
	private readonly views: EntryView[] = [];
	private readonly fleets: FleetView[] = [];
	private readonly plans: ExchangePlan[] = [];
	private readonly random = new SeededRandom(5);

	constructor(size: number) {
		for (let index = 0; index < size; index++) {
			const zone = `zone-${index % 7}` as ZoneName;
			const region = `region-${(index % 7) % 3}` as RegionName;
			const view = createView(`entry-${index}`, { zone, region });
			const fleet = new FleetView(view.instance);
			this.views.push(view);
			this.fleets.push(fleet);
			this.plans.push(new ExchangePlan({ region, zone }, fleet, this.random));
		}
		for (const fleet of this.fleets) {
			fleet.merge(this.views, 0);
		}
	}

	run(fromSecond: number, untilSecond: number): void {
		for (let second = fromSecond; second < untilSecond; second++) {
			this.views.forEach((_, index) => {
				this.exchange(index, second * 1_000);
			});
		}
	}

	setManifest(index: number, version: number): void {
		this.views[index] = { ...this.views[index]!, manifestVersion: version as ManifestVersion };
	}

	countWith(version: number): number {
		return this.views.filter(view => view.manifestVersion === version).length;
	}

	private exchange(index: number, nowMs: number): void {
		const peer = this.plans[index]!.pickPeer(nowMs);
		if (peer === undefined) {
			return;
		}
		const other = this.views.findIndex(view => view.instance === peer.view.instance);
		const sent = this.listFrom(index, other, nowMs);
		const answered = this.listFrom(other, index, nowMs);
		this.receive(other, sent, nowMs);
		this.receive(index, answered, nowMs);
	}

	private listFrom(index: number, to: number, nowMs: number): readonly EntryView[] {
		const own = { ...this.views[index]!, sequence: this.views[index]!.sequence + 1 };
		this.views[index] = own;
		const views = this.plans[index]!.listViews(own, this.views[to]!.instance, nowMs);
		this.bytes += 2 * views.reduce((sum, view) => sum + estimateViewBytes(view), 0);
		return views;
	}

	/** A node takes a higher manifest over, as the entry fetches it. */
	private receive(index: number, views: readonly EntryView[], nowMs: number): void {
		this.fleets[index]!.merge(views, nowMs);
		const highest = Math.max(...views.map(view => view.manifestVersion));
		if (highest > this.views[index]!.manifestVersion) {
			this.setManifest(index, highest);
		}
	}
}

describe('ExchangePlan at 360 nodes', () => {
	it('stays under its bytes a second and carries a new manifest to every node', () => {
		const nodes = 360;
		const fleet = new ModelFleet(nodes);
		fleet.run(0, 5);
		const bytesBefore = fleet.bytes;
		fleet.setManifest(0, 2);
		fleet.run(5, 20);
		expect(fleet.countWith(2)).toBe(nodes);
		const bytesPerSecond = (fleet.bytes - bytesBefore) / nodes / 15;
		expect(bytesPerSecond).toBeLessThanOrEqual(defaultFleetViewParameters.bytesPerSecond * 1.1);
	});
});
