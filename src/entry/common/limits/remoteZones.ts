/**
 * The other zones, by the sums that one coordinator receives: which coordinators send their sums, which zones are cut off in either
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
	receivedMs: number;
	intervalMs: number;
	reporting: number;
	known: number;
	hasReceivedOwnZone: boolean;
	readonly counts: Map<OrganisationKey, KnownCount>;
}

interface RemoteZone {
	readonly senders: Map<BootId, Sender>;
	isCut: boolean;
	receivedMs: number;
}

/** Growth of the counts of one organisation in one zone. */
export interface CountGrowth {
	readonly count: ZoneCount;
	readonly asked: number;
	readonly admitted: number;
	readonly overMs: number;
}

/** A zone that has become cut off or reachable. */
export interface CutChange {
	readonly zone: ZoneName;
	readonly isCut: boolean;
	/** When the last sums of the zone arrived. */
	readonly receivedMs: number;
	/** Whether no sums of the zone arrive. Otherwise they do, and those of this zone do not arrive there. */
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

	/** Removes all senders, after this process has not coordinated for a while. */
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
		zone.receivedMs = nowMs;
		const factor = this.computeFactor(zone, nowMs);
		const isCounted = !zone.isCut && sender.hasReceivedOwnZone;
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
			const received = listReceivedZones(zone, nowMs);
			const isCut = !received.some(({ hasReceivedOwnZone }) => hasReceivedOwnZone);
			if (isCut !== zone.isCut) {
				zone.isCut = isCut;
				changes.push({ zone: name, isCut, receivedMs: zone.receivedMs, isSilent: received.length === 0 });
			}
		}
		return changes;
	}

	/** Returns when the last sums of a zone arrived, or undefined if it is cut off in either direction. */
	findReceivedMs(zone: ZoneName): number | undefined {
		const known = this.zones.get(zone);
		return known === undefined || known.isCut ? undefined : known.receivedMs;
	}

	/** Lists the zones whose sums arrive. */
	listReceivedZones(nowMs: number): readonly ZoneName[] {
		return [...this.zones]
			.filter(([, zone]) => listReceivedZones(zone, nowMs).length > 0)
			.map(([name]) => name);
	}

	/** Lists the coordinators of a zone whose sums arrive. */
	listSenders(zone: ZoneName, nowMs: number): readonly InstanceId[] {
		const known = this.zones.get(zone);
		return known === undefined ? [] : listReceivedZones(known, nowMs).map(({ instance }) => instance);
	}

	private getZone(name: ZoneName): RemoteZone {
		let zone = this.zones.get(name);
		if (zone === undefined) {
			zone = { senders: new Map(), isCut: true, receivedMs: 0 };
			this.zones.set(name, zone);
		}
		return zone;
	}

	private updateSender(zone: RemoteZone, sums: ZoneSums, nowMs: number): Sender {
		const { instance, boot, intervalMs, reporting, known, receivedZones } = sums;
		const counts = zone.senders.get(boot)?.counts ?? new Map<OrganisationKey, KnownCount>();
		const hasReceivedOwnZone = receivedZones.includes(this.ownZone);
		const sender = { instance, receivedMs: nowMs, intervalMs, reporting, known, hasReceivedOwnZone, counts };
		for (const [otherBoot, other] of zone.senders) {
			if (nowMs - other.receivedMs > newCoordinatorMs) {
				zone.senders.delete(otherBoot);
			}
		}
		zone.senders.set(boot, sender);
		return sender;
	}

	/** Entries that report to no coordinator whose sums arrive are assumed to have the mean demand of the others. */
	private computeFactor(zone: RemoteZone, nowMs: number): number {
		const received = listReceivedZones(zone, nowMs);
		const reporting = received.reduce((sum, sender) => sum + sender.reporting, 0);
		const known = Math.max(...received.map(sender => sender.known));
		return Math.max(1, known / Math.max(1, reporting));
	}
}

function listReceivedZones(zone: RemoteZone, nowMs: number): readonly Sender[] {
	return [...zone.senders.values()].filter(
		({ receivedMs, intervalMs }) => nowMs - receivedMs <= silentIntervals * intervalMs + silenceMarginMs,
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
	// The counts of a coordinator that has counted for long were received by others, or by this one before a restart.
	const isNew = sums.countedMs <= newCoordinatorMs;
	return {
		count,
		asked: isNew ? computeCountDifference(count.asked, 0) : 0,
		admitted: isNew ? computeCountDifference(count.admitted, 0) : 0,
		overMs: Math.min(maxCountedMs, sums.countedMs),
	};
}
