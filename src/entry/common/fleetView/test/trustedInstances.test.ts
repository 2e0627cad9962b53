import * as fc from 'fast-check';
import type { BootId, InstanceId, RegionName, ZoneName } from '../../../../core/ids/common/ids';
import type { EntryView } from '../entryView';
import { FleetView } from '../fleetView';
import { createView } from './views';

function createViewOf(index: number, sequence: number, ageMs: number, boot: number): EntryView {
	return createView(`entry-${index}`, {
		bootId: `boot-${index}-${boot}` as BootId,
		sequence,
		region: `region-${index % 3}` as RegionName,
		zone: `zone-${index % 6}` as ZoneName,
		ageMs,
	});
}

type Step = (fleet: FleetView, nowMs: number, sequence: number) => void;

const index = fc.nat({ max: 11 });
const anyStep: fc.Arbitrary<Step> = fc.oneof(
	fc
		.record({ index, ageMs: fc.nat({ max: 12_000 }), boot: fc.nat({ max: 2 }) })
		.map(({ index: of, ageMs, boot }): Step => (fleet, nowMs, sequence) => {
			fleet.merge([createViewOf(of, sequence, ageMs, boot)], nowMs);
		}),
	fc.record({ index, isReached: fc.boolean() }).map(({ index: of, isReached }): Step => fleet => {
		fleet.recordExchange(`entry-${of}` as InstanceId, isReached);
	}),
	fc.nat({ max: 3_000 }).map((sleptMs): Step => fleet => {
		fleet.noteOwnSleep(sleptMs);
	}),
	fc.constant<Step>((fleet, nowMs) => {
		fleet.expire(nowMs);
	}),
);

function listIds(views: readonly { readonly view: EntryView }[]): string[] {
	return views.map(({ view }) => `${view.instance} ${view.bootId}`).sort();
}

describe('the list of trusted instances', () => {
	// Guards against a list that is kept although an instance went silent, came back, moved or could not be reached.
	it('is at every moment what a new list would be', () => {
		const walk = fc.array(fc.record({ step: anyStep, waitMs: fc.nat({ max: 40_000 }) }), { maxLength: 60 });
		fc.assert(
			fc.property(walk, steps => {
				const fleet = new FleetView('self' as InstanceId);
				let nowMs = 0;
				for (const [sequence, { step, waitMs }] of steps.entries()) {
					nowMs += waitMs % 7 === 0 ? waitMs : waitMs / 20;
					step(fleet, nowMs, sequence + 1);
					const expected = fleet.list(nowMs).filter(({ isSuspect }) => !isSuspect);
					expect(listIds(fleet.listTrusted(nowMs))).toEqual(listIds(expected));
				}
			}),
			{ seed: 32, numRuns: 500 },
		);
	});
});
