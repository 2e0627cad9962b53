import * as fc from 'fast-check';
import { SeededRandom } from '../../../../base/common/random';
import type {
	BootId,
	InstanceId,
	ManifestVersion,
	RegionName,
	ZoneName,
} from '../../../../core/ids/common/ids';
import { defaultFleetViewParameters } from '../../scheduling/policy';
import type { EntryView } from '../entryView';
import { estimateViewBytes } from '../entryView';
import { ExchangePlanner } from '../exchangePlanner';
import { FleetView } from '../fleetView';
import { createView, service } from './views';

const self = 'entry-self' as InstanceId;

function createRoomView(instance: string, freeSlots: number): EntryView {
	return createView(instance, {
		rooms: [{ service, room: { waitMs: 0, freeSlots, running: 0, queued: 0 } }],
	});
}

describe('FleetView', () => {
	it('keeps the highest sequence for any order of arrival', () => {
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

	// An entry has restarted, and a peer still passes on a view of the previous boot. Accepting that view would
	// direct callers to a process that no longer exists.
	it('never returns to an earlier boot', () => {
		const fleet = new FleetView(self);
		fleet.merge([createView('entry-2', { sequence: 90 })], 1_000);
		fleet.merge([createView('entry-2', { bootId: 'boot-2' as BootId, sequence: 1 })], 2_000);
		expect(fleet.merge([createView('entry-2', { sequence: 91, ageMs: 10 })], 2_500)).toEqual([]);
		expect(fleet.find('entry-2' as InstanceId, 2_500)?.view.bootId).toBe('boot-2');
	});

	it('ignores views of its own instance that peers pass on', () => {
		const fleet = new FleetView(self);
		expect(fleet.merge([createView(self)], 0)).toEqual([]);
		expect(fleet.list(0)).toEqual([]);
	});

	// An entry dies without announcing it. Its last view stays in the fleet, must fade, and must be removed later.
	it('fades old capacity to the mean, suspects silent instances and removes them later', () => {
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

	// The process of an entry is suspended for a while. If that time counted as silence of its peers, the resumed
	// entry would treat the whole fleet as dead and name no other entry to its callers.
	it('does not count the time in which its own process was suspended as silence', () => {
		const fleet = new FleetView(self);
		fleet.merge([createView('entry-2')], 0);
		fleet.noteOwnSleep(200_000);
		expect(fleet.expire(203_000)).toEqual([]);
		expect(fleet.find('entry-2' as InstanceId, 203_000)).toMatchObject({ ageMs: 3_000, isSuspect: false });
	});

	it('suspects an unreachable instance before the silence timeout', () => {
		const fleet = new FleetView(self);
		const instance = 'entry-2' as InstanceId;
		fleet.merge([createView(instance)], 0);
		fleet.recordExchange(instance, false);
		expect(fleet.find(instance, 100)?.isSuspect).toBe(false);
		fleet.recordExchange(instance, false);
		expect(fleet.find(instance, 100)?.isSuspect).toBe(true);
		fleet.merge([createView(instance, { sequence: 2 })], 200);
		expect(fleet.find(instance, 200)?.isSuspect).toBe(false);
	});
});

/** Simulates a fleet in one process. Every node starts one exchange per second. */
class ModelFleet {
	bytes = 0;
	private readonly views: EntryView[] = [];
	private readonly fleets: FleetView[] = [];
	private readonly plans: ExchangePlanner[] = [];
	private readonly random = new SeededRandom(5);

	constructor(size: number) {
		for (let index = 0; index < size; index++) {
			const zone = `zone-${index % 7}` as ZoneName;
			const region = `region-${(index % 7) % 3}` as RegionName;
			const view = createView(`entry-${index}`, { zone, region });
			const fleet = new FleetView(view.instance);
			this.views.push(view);
			this.fleets.push(fleet);
			this.plans.push(new ExchangePlanner({ region, zone }, fleet, this.random));
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

	/** Merges views and adopts a higher manifest version, as an entry does by fetching the manifest. */
	private receive(index: number, views: readonly EntryView[], nowMs: number): void {
		this.fleets[index]!.merge(views, nowMs);
		const highest = Math.max(...views.map(view => view.manifestVersion));
		if (highest > this.views[index]!.manifestVersion) {
			this.setManifest(index, highest);
		}
	}
}

describe('ExchangePlan at 360 nodes', () => {
	it('stays within its byte budget and spreads a new manifest to every node', () => {
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
