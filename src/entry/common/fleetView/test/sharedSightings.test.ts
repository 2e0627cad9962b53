import { SeededRandom } from '../../../../base/common/random';
import type { BootId, Fingerprint, InstanceId, TargetId } from '../../../../core/ids/common/ids';
import { Quarantine } from '../../quarantine/quarantine';
import { defaultFleetViewParameters } from '../../scheduling/policy';
import type { EntryView } from '../entryView';
import { estimateViewBytes } from '../entryView';
import { ExchangePlanner } from '../exchangePlanner';
import { FleetView } from '../fleetView';
import { createView } from './views';

const others = 85;
const refusedRequest = 'aaaaaaaaaaaaaaaa' as Fingerprint;
/** A message sent and one received, in an exchange that the node starts and in one that a peer starts. */
const messagesPerPeriod = 4;

/** A quarantine that refuses one request, after a crash of more targets with 30 requests each. */
function createQuarantine(crashedTargets = 20): Quarantine {
	const quarantine = new Quarantine();
	quarantine.noteTargetCrash('engine-a' as TargetId, [refusedRequest], 0);
	quarantine.noteTargetCrash('engine-b' as TargetId, [refusedRequest], 5_000);
	for (let target = 0; target < crashedTargets; target++) {
		const bystanders = Array.from(
			{ length: 30 },
			(_, index) => `bystander-${target}-${index}` as Fingerprint,
		);
		quarantine.noteTargetCrash(`engine-${target}` as TargetId, bystanders, 9_000);
	}
	return quarantine;
}

/** The messages of an entry of a large fleet; it and the others hold the same sightings. */
class LargeFleet {
	private readonly fleet = new FleetView('self' as InstanceId);
	private readonly planner: ExchangePlanner;
	private readonly nowMs = 10_000;
	private sequence = 1_000;

	constructor(private readonly quarantine: Quarantine) {
		const own = createView('self');
		this.planner = new ExchangePlanner(own, this.fleet, new SeededRandom(7));
		const views = Array.from({ length: others }, (_, index) => this.createView(`entry-${index}`));
		this.fleet.merge(views, this.nowMs);
	}

	listViews(isPeerNew = false): readonly EntryView[] {
		const peer = 'entry-1' as InstanceId;
		return this.planner.listViews(this.createView('self'), peer, this.nowMs, isPeerNew);
	}

	private createView(instance: string): EntryView {
		return createView(instance, {
			bootId: `boot-of-${instance}` as BootId,
			sequence: this.sequence++,
			crashSightings: this.quarantine.listCrashSightings(this.nowMs),
		});
	}
}

function sumBytes(views: readonly EntryView[]): number {
	return views.reduce((sum, view) => sum + estimateViewBytes(view), 0);
}

describe('messages of a large fleet after many targets have crashed', () => {
	// Guards against event loop turns of a second, because each exchange carries all sightings of the region.
	it('keep to the byte budget, also with the views that are passed on', () => {
		const fleet = new LargeFleet(createQuarantine());
		for (let message = 0; message < 50; message++) {
			expect(sumBytes(fleet.listViews())).toBeLessThanOrEqual(
				defaultFleetViewParameters.bytesPerSecond / messagesPerPeriod,
			);
		}
	});

	// Guards against entries that hear of no others for minutes, because sightings fill all messages.
	it.each([0, 20])('pass on as many views as without sightings, after %i crashes', crashedTargets => {
		const countViews = (quarantine: Quarantine): number => new LargeFleet(quarantine).listViews().length;
		expect(countViews(createQuarantine(crashedTargets))).toBe(countViews(new Quarantine()));
		expect(countViews(createQuarantine(crashedTargets))).toBeGreaterThan(1);
	});

	// Guards against a restarted entry that forwards a refused request to another target, because the sightings of
	// bystanders displaced those of the request.
	it('let a restarted entry refuse the crashing request after one answer', () => {
		const restarted = new Quarantine();
		for (const sighting of new LargeFleet(createQuarantine()).listViews(true)[0]!.crashSightings) {
			restarted.noteCrashSighting(sighting, 10_000);
		}
		expect(restarted.findRefusal(refusedRequest, 10_000)).toBeDefined();
	});

	it('show a restarted entry about as many others as sightings', () => {
		const views = new LargeFleet(createQuarantine()).listViews(true);
		expect(views.length).toBeGreaterThan(10);
	});

	// Guards against a lost crash report that is never repaired, because a message has space for one sighting only.
	it('let an entry that missed the report refuse the crashing request after some exchanges', () => {
		const fleet = new LargeFleet(createQuarantine());
		const missed = new Quarantine();
		for (let exchange = 0; exchange < 20; exchange++) {
			for (const sighting of fleet.listViews()[0]!.crashSightings) {
				missed.noteCrashSighting(sighting, 10_000);
			}
		}
		expect(missed.findRefusal(refusedRequest, 10_000)).toBeDefined();
	});
});
