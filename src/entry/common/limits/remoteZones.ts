/**
 * The other zones, as one coordinator hears them: which coordinators send their sums, which zones are cut off in either
 * direction, and what their cumulative counts have grown by. Counts are cumulative, so a lost message is made up for by
 * the next one.
 */

import type { BootId, InstanceId, ZoneName } from '../../../core/ids/common/ids';
import type { ZoneCount, ZoneSums } from './limitMessages';
import { computeCountDifference } from './limitMessages';
import type { OrganisationKey } from './limitTable';

interface KnownCount {
	asked: number;
	admitted: number;
	atMs: number;
}

interface Sender {
	instance: InstanceId;
	heardMs: number;
	intervalMs: number;
	reporting: number;
	known: number;
	hearsOwnZone: boolean;
	readonly counts: Map<OrganisationKey, KnownCount>;
}

interface RemoteZone {
	readonly senders: Map<BootId, Sender>;
	isCut: boolean;
	heardMs: number;
}

/** Growth of the counts of one organisation in one zone. */
export interface CountGrowth {
	readonly count: ZoneCount;
	readonly asked: number;
	readonly admitted: number;
	readonly overMs: number;
}

/** A zone whose state changed between cut off and heard. */
export interface CutChange {
	readonly zone: ZoneName;
	readonly isCut: boolean;
	/** When the zone was last heard. */
	readonly heardMs: number;
	/** Whether the zone was silent. Otherwise it is heard, and does not hear this one. */
	readonly isSilent: boolean;
}

/** Messages may be late by one interval and the latency of a link. */
const silentIntervals = 2;
const silenceMarginMs = 600;

/**
 * Coordinators send each organisation with new requests at least once in this time. An organisation that was idle for
 * longer had its requests at the end.
 */
const maxCountedMs = 4_000;

/** Counts of a coordinator that began to count later than this have not been counted by its predecessor. */
const newCoordinatorMs = 10_000;

/** The other zones of the fleet. */
export class RemoteZones {
	private readonly zones = new Map<ZoneName, RemoteZone>();

	constructor(private readonly ownZone: ZoneName) {}

	/** Forgets who was heard, after this process has not coordinated for a while. */
	clear(): void {
		for (const zone of this.zones.values()) {
			zone.isCut = true;
			zone.senders.clear();
		}
	}

	/**
	 * Records a message and returns the growth of the counts; empty if the zone was cut off, because it used a share of
	 * its own meanwhile.
	 */
	receive(sums: ZoneSums, nowMs: number): readonly CountGrowth[] {
		const zone = this.getZone(sums.zone);
		const sender = this.updateSender(zone, sums, nowMs);
		zone.heardMs = nowMs;
		const factor = this.computeFactor(zone, nowMs);
		const isCounted = !zone.isCut && sender.hearsOwnZone;
		return sums.counts.flatMap(count => {
			const growth = takeGrowth(sender, sums, count, nowMs);
			const { asked, admitted } = growth;
			return isCounted ? [{ ...growth, asked: asked * factor, admitted: admitted * factor }] : [];
		});
	}

	/** Updates which zones are cut off, and returns the changes. */
	update(nowMs: number): readonly CutChange[] {
		const changes: CutChange[] = [];
		for (const [name, zone] of this.zones) {
			const heard = listHeard(zone, nowMs);
			const isCut = !heard.some(({ hearsOwnZone }) => hearsOwnZone);
			if (isCut !== zone.isCut) {
				zone.isCut = isCut;
				changes.push({ zone: name, isCut, heardMs: zone.heardMs, isSilent: heard.length === 0 });
			}
		}
		return changes;
	}

	/** Returns when a zone was last heard, or undefined if it is cut off in either direction. */
	findHeardMs(zone: ZoneName): number | undefined {
		const known = this.zones.get(zone);
		return known === undefined || known.isCut ? undefined : known.heardMs;
	}

	/** Lists the zones that this one hears. */
	listHeard(nowMs: number): readonly ZoneName[] {
		return [...this.zones].filter(([, zone]) => listHeard(zone, nowMs).length > 0).map(([name]) => name);
	}

	/** Lists the coordinators of a zone that are heard. */
	listSenders(zone: ZoneName, nowMs: number): readonly InstanceId[] {
		const known = this.zones.get(zone);
		return known === undefined ? [] : listHeard(known, nowMs).map(({ instance }) => instance);
	}

	private getZone(name: ZoneName): RemoteZone {
		let zone = this.zones.get(name);
		if (zone === undefined) {
			zone = { senders: new Map(), isCut: true, heardMs: 0 };
			this.zones.set(name, zone);
		}
		return zone;
	}

	private updateSender(zone: RemoteZone, sums: ZoneSums, nowMs: number): Sender {
		const { instance, boot, intervalMs, reporting, known, hears } = sums;
		const counts = zone.senders.get(boot)?.counts ?? new Map<OrganisationKey, KnownCount>();
		const hearsOwnZone = hears.includes(this.ownZone);
		const sender = { instance, heardMs: nowMs, intervalMs, reporting, known, hearsOwnZone, counts };
		for (const [otherBoot, other] of zone.senders) {
			if (nowMs - other.heardMs > newCoordinatorMs) {
				zone.senders.delete(otherBoot);
			}
		}
		zone.senders.set(boot, sender);
		return sender;
	}

	/** Entries that report to no coordinator that is heard are assumed to have the mean demand of the others. */
	private computeFactor(zone: RemoteZone, nowMs: number): number {
		const heard = listHeard(zone, nowMs);
		const reporting = heard.reduce((sum, sender) => sum + sender.reporting, 0);
		const known = Math.max(...heard.map(sender => sender.known));
		return Math.max(1, known / Math.max(1, reporting));
	}
}

function listHeard(zone: RemoteZone, nowMs: number): readonly Sender[] {
	return [...zone.senders.values()].filter(
		({ heardMs, intervalMs }) => nowMs - heardMs <= silentIntervals * intervalMs + silenceMarginMs,
	);
}

function takeGrowth(sender: Sender, sums: ZoneSums, count: ZoneCount, nowMs: number): CountGrowth {
	const known = sender.counts.get(count.key);
	sender.counts.set(count.key, { asked: count.asked, admitted: count.admitted, atMs: nowMs });
	if (known !== undefined) {
		return {
			count,
			asked: computeCountDifference(count.asked, known.asked),
			admitted: computeCountDifference(count.admitted, known.admitted),
			overMs: Math.min(maxCountedMs, nowMs - known.atMs),
		};
	}
	// The counts of a coordinator that has counted for long were heard by others, or by this one before a restart.
	const isNew = sums.countedMs <= newCoordinatorMs;
	return {
		count,
		asked: isNew ? computeCountDifference(count.asked, 0) : 0,
		admitted: isNew ? computeCountDifference(count.admitted, 0) : 0,
		overMs: Math.min(maxCountedMs, sums.countedMs),
	};
}
