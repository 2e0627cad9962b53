/**
 * Simulates a fleet that serves plain requests in three regions, on a virtual clock. One region after the other has more
 * load than its targets can do. For comparison, an ideal dispatcher knows all targets and their slow periods in advance.
 */

import { ManualTimerService } from '../../../../base/common/manualTimerService';
import type { IRandom } from '../../../../base/common/random';
import { SeededRandom } from '../../../../base/common/random';
import type {
	InstanceId,
	OrganisationName,
	RegionName,
	RequestId,
	TargetId,
} from '../../../../core/ids/common/ids';
import { RequestClass } from '../../../../core/requests/common/requestClass';
import type { IServiceScheduler, SchedulableRequest, ServiceRoom } from '../../scheduling/serviceScheduler';
import { createPosition } from '../../workScheduling/test/fleetPositions';
import { EngineSpeed } from '../../workScheduling/test/unequalSpeeds';
import { WorkScheduler } from '../../workScheduling/workScheduler';
import { FirstByteSendAwayPolicy } from '../firstByteSendAwayPolicy';
import type { ISendAwayPolicy, RemoteOffer } from '../sendAwayPolicy';
import { PlainEntry } from './plainEntry';
import { PlainTarget } from './plainTarget';

/** A fleet and its load. Times are in milliseconds. */
export interface PlainFleetOptions {
	readonly entriesPerRegion: number;
	readonly targetsPerRegion: number;
	readonly slots: number;
	/** Requests a second in a region at its peak, and outside of it. */
	readonly peakPerSecond: number;
	readonly quietPerSecond: number;
	/** Time after which the peak moves to the next region. */
	readonly peakMs: number;
	readonly peaks: number;
	readonly minOfferAgeMs: number;
	readonly maxOfferAgeMs: number;
	readonly createScheduler: (random: IRandom, entries: number) => IServiceScheduler;
	readonly createPolicy: (random: IRandom) => ISendAwayPolicy;
}

/** The load that was seen on a deployment. */
export const movingPeak: PlainFleetOptions = {
	entriesPerRegion: 30,
	targetsPerRegion: 2,
	slots: 6,
	peakPerSecond: 256,
	quietPerSecond: 15.5,
	peakMs: 10_000,
	peaks: 3,
	minOfferAgeMs: 500,
	maxOfferAgeMs: 3_000,
	createScheduler: (random, entries) => new WorkScheduler(random, () => createPosition(entries)),
	createPolicy: random => new FirstByteSendAwayPolicy(random),
};

/** What the callers of a kind received, as shares of their number. */
export interface PlainResult {
	readonly callers: number;
	readonly inAim: number;
	readonly late: number;
	readonly refused: number;
	/** Mean time to an answer, in milliseconds. */
	readonly meanMs: number;
}

/** What callers received in the region that had the peak when they arrived, and in the others. */
export interface PlainResults {
	readonly peak: PlainResult;
	readonly quiet: PlainResult;
	/** Requests that were forwarded, and those of them that came back, as shares of all. */
	readonly sent: number;
	readonly returned: number;
}

/** Runs the fleet with a scheduler and a policy in each entry, or with the ideal dispatcher. */
export function runPlainFleet(options: PlainFleetOptions, seed: number, isIdeal = false): PlainResults {
	return new PlainFleet(options, seed).run(isIdeal);
}

interface PlainCaller {
	readonly id: RequestId;
	readonly region: number;
	readonly arrivedMs: number;
	readonly workMs: number;
	readonly isRepeatable: boolean;
	readonly isPeak: boolean;
}

interface CallerEnd {
	readonly isPeak: boolean;
	/** Undefined if the request was refused. */
	readonly tookMs: number | undefined;
}

/** An entry with the capacity that it published at past times. */
interface PublishingEntry {
	readonly entry: PlainEntry;
	readonly regionIndex: number;
	readonly rooms: ServiceRoom[];
}

const regions = ['region-1', 'region-2', 'region-3'] as RegionName[];
const oneWayMs = 55;
const aimMs = 500;
const deadlineMs = 3_000;
const minWorkMs = 60;
const maxWorkMs = 86;
const publishMs = 250;
const drainMs = 6_000;
/** Slow periods of some tenths of a second, 15% of the time. */
const speeds = {
	fastSlowness: 1,
	slowSlowness: 1,
	slowEvery: 1,
	periodFactor: 2.5,
	periodMs: 400,
	meanPauseMs: 2_267,
};

class PlainFleet {
	private readonly timers = new ManualTimerService();
	private readonly random: SeededRandom;
	private readonly ends: CallerEnd[] = [];
	private readonly entries: PublishingEntry[] = [];
	private readonly speeds: EngineSpeed[][];

	constructor(
		private readonly options: PlainFleetOptions,
		private readonly seed: number,
	) {
		this.random = new SeededRandom(seed);
		const untilMs = options.peakMs * options.peaks + drainMs;
		this.speeds = regions.map(() =>
			Array.from(
				{ length: options.targetsPerRegion },
				() => new EngineSpeed(1, speeds, untilMs, this.random),
			),
		);
	}

	run(isIdeal: boolean): PlainResults {
		const callers = this.createCallers();
		if (isIdeal) {
			this.dispatchIdeally(callers);
		} else {
			this.createEntries();
			this.dispatchToEntries(callers);
		}
		const counts = this.entries.map(({ entry }) => entry.counts);
		return {
			peak: computeResult(this.ends.filter(({ isPeak }) => isPeak)),
			quiet: computeResult(this.ends.filter(({ isPeak }) => !isPeak)),
			sent: counts.reduce((sum, { sent }) => sum + sent, 0) / callers.length,
			returned: counts.reduce((sum, { returned }) => sum + returned, 0) / callers.length,
		};
	}

	private createCallers(): PlainCaller[] {
		const { peakMs, peaks, peakPerSecond, quietPerSecond } = this.options;
		const callers: PlainCaller[] = [];
		for (let period = 0; period < peaks; period++) {
			for (let region = 0; region < regions.length; region++) {
				const isPeak = period % regions.length === region;
				const perMs = (isPeak ? peakPerSecond : quietPerSecond) / 1_000;
				const endMs = (period + 1) * peakMs;
				const pickPauseMs = (): number => -Math.log(1 - this.random.pickFraction()) / perMs;
				for (let atMs = period * peakMs + pickPauseMs(); atMs < endMs; atMs += pickPauseMs()) {
					const workMs = minWorkMs + (maxWorkMs - minWorkMs) * this.random.pickFraction();
					const isRepeatable = this.random.pickFraction() < 0.5;
					const id = `r-${callers.length}` as RequestId;
					callers.push({ id, region, arrivedMs: atMs, workMs, isRepeatable, isPeak });
				}
			}
		}
		return callers.sort((left, right) => left.arrivedMs - right.arrivedMs);
	}

	private createEntries(): void {
		const { entriesPerRegion, slots, createScheduler, createPolicy } = this.options;
		regions.forEach((region, regionIndex) => {
			const targets = new Map(
				(this.speeds[regionIndex] ?? []).map((speed, index) => {
					const id = `target-${regionIndex}-${index}` as TargetId;
					return [id, new PlainTarget(id, slots, speed, this.timers)] as const;
				}),
			);
			for (let index = 0; index < entriesPerRegion; index++) {
				const position = this.entries.length;
				const random = new SeededRandom(this.seed * 1_000 + position);
				const scheduler = createScheduler(random, entriesPerRegion);
				const described = [...targets.values()].map(target => target.describe(entriesPerRegion));
				scheduler.setTargets(described, 0);
				const entry = new PlainEntry(`entry-${position}` as InstanceId, region, {
					scheduler,
					policy: createPolicy(random),
					targets,
					timers: this.timers,
					listOffers: () => this.listOffers(position, regionIndex),
					findEntry: instance => this.findEntry(instance),
				});
				this.entries.push({ entry, regionIndex, rooms: [] });
			}
		});
	}

	private findEntry(instance: InstanceId): PlainEntry {
		const found = this.entries.find(({ entry }) => entry.instance === instance);
		if (found === undefined) {
			throw new Error(`no entry ${instance}`);
		}
		return found.entry;
	}

	/** Lists the offers of other regions. Each is replaced when it has the highest age. */
	private listOffers(reader: number, readerRegion: number): readonly RemoteOffer[] {
		const { minOfferAgeMs, maxOfferAgeMs } = this.options;
		const nowMs = this.timers.getNow();
		return this.entries.flatMap(({ entry, regionIndex, rooms }, publisher) => {
			const phaseMs = (reader * 317 + publisher * 911) % (maxOfferAgeMs - minOfferAgeMs);
			const ageMs = minOfferAgeMs + ((nowMs + phaseMs) % (maxOfferAgeMs - minOfferAgeMs));
			const room = rooms[Math.floor((nowMs - ageMs) / publishMs)];
			if (regionIndex === readerRegion || room === undefined) {
				return [];
			}
			const { instance, region } = entry;
			return [{ instance, region, room, ageMs, oneWayMs, linkBytesPerMs: 1_000 }];
		});
	}

	private dispatchToEntries(callers: readonly PlainCaller[]): void {
		const { peakMs, peaks, entriesPerRegion } = this.options;
		const publishRooms = (): void => {
			for (const { entry, rooms } of this.entries) {
				rooms.push(entry.measureRoom());
			}
		};
		for (let atMs = 0; atMs < peakMs * peaks; atMs += publishMs) {
			this.timers.schedule(atMs, publishRooms);
		}
		for (const caller of callers) {
			const index = caller.region * entriesPerRegion + this.random.pickBelow(entriesPerRegion);
			this.timers.schedule(caller.arrivedMs, () => {
				const handleEnd = (isAnswered: boolean): void => {
					this.noteEnd(caller, isAnswered ? this.timers.getNow() : undefined);
				};
				const request = createRequest(caller);
				this.entries[index]?.entry.receive({ request, workMs: caller.workMs, handleEnd });
			});
		}
		this.timers.advance(peakMs * peaks + drainMs);
	}

	/** Gives each request in the order of arrival to the target that answers it soonest. */
	private dispatchIdeally(callers: readonly PlainCaller[]): void {
		const { slots } = this.options;
		const targets = this.speeds.flatMap((ofRegion, region) =>
			ofRegion.map(speed => ({ region, speed, freeMs: Array.from({ length: slots }, () => 0) })),
		);
		for (const caller of callers) {
			const choices = targets.map(({ region, speed, freeMs }) => {
				const pathMs = region === caller.region ? 0 : oneWayMs;
				const slot = freeMs.indexOf(Math.min(...freeMs));
				const startMs = Math.max(caller.arrivedMs + pathMs, freeMs[slot] ?? 0);
				const freeAgainMs = startMs + speed.computeDurationMs(caller.workMs, startMs);
				return { freeMs, slot, freeAgainMs, answeredMs: freeAgainMs + pathMs };
			});
			const best = choices.reduce((left, right) => (right.answeredMs < left.answeredMs ? right : left));
			best.freeMs[best.slot] = best.freeAgainMs;
			this.noteEnd(caller, best.answeredMs);
		}
	}

	private noteEnd({ isPeak, arrivedMs }: PlainCaller, answeredMs: number | undefined): void {
		this.ends.push({ isPeak, tookMs: answeredMs === undefined ? undefined : answeredMs - arrivedMs });
	}
}

function createRequest({ id, arrivedMs, isRepeatable }: PlainCaller): SchedulableRequest {
	return {
		id,
		organisation: 'callers' as OrganisationName,
		requestClass: RequestClass.Normal,
		arrivedMs,
		deadlineMs: arrivedMs + deadlineMs,
		prefixKey: undefined,
		bodyBytes: 800,
		isRepeatable,
		work: { dueMs: arrivedMs + aimMs, urgency: 1, prompt: undefined, maxAttempts: 2, isResumable: false },
	};
}

function computeResult(ends: readonly CallerEnd[]): PlainResult {
	const answered = ends.flatMap(({ tookMs }) =>
		tookMs === undefined || tookMs > deadlineMs ? [] : [tookMs],
	);
	const inAim = answered.filter(tookMs => tookMs <= aimMs).length;
	return {
		callers: ends.length,
		inAim: inAim / ends.length,
		late: (answered.length - inAim) / ends.length,
		refused: (ends.length - answered.length) / ends.length,
		meanMs: answered.reduce((sum, tookMs) => sum + tookMs, 0) / Math.max(1, answered.length),
	};
}
