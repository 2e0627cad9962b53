/**
 * Decides when the crashes that this entry saw are reported to the other entries of its region.
 *
 * A request that crashes targets does so one after the other, and each report has to arrive before the request is
 * sent again. When many targets crash at once, for example with a rack, every entry of the region sees every crash. A
 * report of each entry to each other entry for each crash would occupy their processors for seconds, in which they read
 * answers, disconnects and deadlines late.
 *
 * Therefore the first crash is reported at once, and crashes that follow shortly are collected in one report for which
 * no request waits. A crash that leads to the refusal of a request is always reported at once, also if another entry
 * saw the other crash of the request.
 *
 * A report is limited in bytes, because it is encoded for each entry of the region, and decoded there together with
 * those of all others. What does not fit reaches the other entries with the next views.
 */

import type { IDisposable } from '../../../base/common/lifecycle';
import { Disposable, toDisposable } from '../../../base/common/lifecycle';
import type { ITimerService } from '../../../base/common/timerService';
import { waitAtMost } from '../../../base/common/waitFor';
import type { Fingerprint, TargetId } from '../../../core/ids/common/ids';
import { takeWithin } from '../fleetView/sightingPicker';
import type { CrashSighting } from './quarantine';

/** Sends sightings to the other entries of the region; resolves when they have received them. */
export type SendSightings = (sightings: readonly CrashSighting[]) => Promise<void>;

/** A target that crashed with requests in flight. */
export interface ObservedCrash {
	readonly target: TargetId;
	/** Of the requests and of the parts of their prompts that may have caused the crash. */
	readonly fingerprints: readonly Fingerprint[];
	/** Whether one of the requests or parts is refused because of this crash, and was not before. */
	readonly isRequestRefused: boolean;
}

interface UnsentSighting {
	readonly fingerprint: Fingerprint;
	readonly target: TargetId;
	readonly seenMs: number;
}

/** Minimum time between two reports without a refused request. */
const minReportIntervalMs = 1_000;

/** Exceeds the sightings of the requests that one target serves at a time for one entry. */
const maxReportBytes = 4_000;

/** Longer than peers usually take to answer; an unresponsive one may take seconds. */
const maxWaitForReportMs = 100;

/** Reports the crashes that one entry sees. */
export class CrashReporter extends Disposable {
	private unsent: UnsentSighting[] = [];
	private lastReportMs = Number.NEGATIVE_INFINITY;
	private reportInProgress: Promise<void> = Promise.resolve();
	private reportTimer: IDisposable | undefined;

	constructor(
		private readonly sendSightings: SendSightings,
		private readonly timers: ITimerService,
	) {
		super();
		this.register(
			toDisposable(() => {
				this.reportTimer?.dispose();
			}),
		);
	}

	/** Resolves when the other entries have received the crash, or immediately if it is reported later. */
	async share({ target, fingerprints, isRequestRefused }: ObservedCrash): Promise<void> {
		const nowMs = this.timers.getNow();
		this.unsent.push(...fingerprints.map(fingerprint => ({ fingerprint, target, seenMs: nowMs })));
		const waitMs = this.lastReportMs + minReportIntervalMs - nowMs;
		if (!isRequestRefused && waitMs > 0) {
			this.scheduleReport(waitMs);
			return;
		}
		// Crashes seen while a report is on its way are sent together in the next one.
		await waitAtMost(this.timers, maxWaitForReportMs, this.reportInProgress);
		await this.sendUnsent(new Set(isRequestRefused ? fingerprints : []));
	}

	/**
	 * Reports the collected crashes at once if one of the given requests, which are refused because of crashes that other
	 * entries saw, was in flight at them. The other entries do not know of these crashes, so they would still accept it.
	 */
	sendIfRefused(refused: ReadonlySet<Fingerprint>): void {
		if (this.unsent.some(({ fingerprint }) => refused.has(fingerprint))) {
			void this.sendUnsent(refused);
		}
	}

	private scheduleReport(delayMs: number): void {
		this.reportTimer ??= this.timers.schedule(delayMs, () => {
			void this.sendUnsent();
		});
	}

	private sendUnsent(refused: ReadonlySet<Fingerprint> = new Set()): Promise<void> {
		const nowMs = this.timers.getNow();
		const sightings = this.unsent.map(({ fingerprint, target, seenMs }) => {
			return { fingerprint, target, ageMs: nowMs - seenMs };
		});
		if (sightings.length > 0) {
			this.unsent = [];
			this.lastReportMs = nowMs;
			// Peers that a report did not reach receive the sightings with the next view.
			this.reportInProgress = this.sendSightings(pickReported(sightings, refused)).catch(() => undefined);
		}
		this.reportTimer?.dispose();
		this.reportTimer = undefined;
		return this.reportInProgress;
	}
}

/** Keeps the sightings of refused requests, then the latest ones, if not all fit in a report. */
function pickReported(
	sightings: readonly CrashSighting[],
	refused: ReadonlySet<Fingerprint>,
): readonly CrashSighting[] {
	const latestFirst = [...sightings].reverse();
	const isRefused = ({ fingerprint }: CrashSighting): boolean => refused.has(fingerprint);
	const ordered = [...latestFirst.filter(isRefused), ...latestFirst.filter(sighting => !isRefused(sighting))];
	const kept = new Set(takeWithin(ordered, maxReportBytes));
	return sightings.filter(sighting => kept.has(sighting));
}
