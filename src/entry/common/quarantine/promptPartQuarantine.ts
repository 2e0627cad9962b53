/**
 * Protects targets against a part of prompts that crashes them. The load it is designed for is requests that all
 * differ, come to all entries (proxy processes) and share one part, under which each target that begins to answer
 * crashes. The fingerprint of a whole request does not recognise them, so each would crash a target.
 *
 * When a target crashes, a sighting is recorded for each part of the prompts in flight there, except those that are
 * known to be sound: lately a target answered beyond its first event with them. Entries exchange sightings over all
 * regions: prompts, unlike targets, do not belong to one. A part is refused after `minCrashes` crashes, so that all
 * entries know it before many more have happened.
 *
 * Requests with a crashing part hold sound ones too, such as the first part of all requests of a route, and an entry
 * that has just started knows none of these as sound. So a crash that a refused part explains does not count for
 * other parts. The part with the most crashes is the first to be refused; of several, the one deepest in its prompt,
 * because the first parts are shared most. An entry that gets a sighting of a part which it knows as sound answers
 * with that in its views, since one that refuses the part by mistake gets no answers with it. An outage that ends
 * several targets at once does not count as a series: the crashes have to be spread over `minSpreadMs`.
 */

import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import type { Fingerprint, ServiceName, TargetId } from '../../../core/ids/common/ids';
import type { PromptShape } from '../prompts/promptShape';
import type { CrashSighting } from './quarantine';
import type { TargetCrash } from './targetCrash';
import { addCrash, getLastCrashMs, isCrashAmong } from './targetCrash';

/** Limits of the quarantine of prompt parts. */
export interface PromptPartLimits {
	/** Crashes after which a part is refused. */
	readonly minCrashes: number;
	/** Minimum time between the first and the last of these crashes, in milliseconds. */
	readonly minSpreadMs: number;
	/**
	 * Crashes of one target less than this apart, in milliseconds, are the same. Less than a target takes to start
	 * again.
	 */
	readonly sameCrashWindowMs: number;
	/** Time after its last crash for which a part is refused, in milliseconds. */
	readonly refuseForMs: number;
	/** Time after its last crash for which a part that is not refused is kept, in milliseconds. */
	readonly suspectForMs: number;
	/** Time after an answer for which its parts are not suspected, in milliseconds. */
	readonly soundForMs: number;
	/** Time for which others are told that a part is sound after a sighting of it, in milliseconds. */
	readonly contradictForMs: number;
	readonly maxSuspects: number;
	readonly maxSoundParts: number;
	/** Maximum number of sightings in one view. */
	readonly maxSharedSightings: number;
}

export const defaultPromptPartLimits: PromptPartLimits = {
	minCrashes: 3,
	minSpreadMs: 1_000,
	sameCrashWindowMs: 1_500,
	refuseForMs: 300_000,
	suspectForMs: 60_000,
	soundForMs: 60_000,
	contradictForMs: 10_000,
	maxSuspects: 512,
	maxSoundParts: 4_096,
	maxSharedSightings: 64,
};

interface SuspectedPart {
	/** In order of time. */
	readonly crashes: readonly TargetCrash[];
	/** The last position in the prompts that this entry has got. */
	readonly depth: number;
}

const prefix = 'part:';

const noParts: ReadonlySet<Fingerprint> = new Set();

/** Depth of a part that only other entries have got. */
const unknownDepth = Number.MAX_SAFE_INTEGER;

/** More crashes than this would not change which parts are refused. */
const maxCrashesPerPart = 8;

/** Parts with longer ids would take too much of a view, and are not watched. */
const maxPartIdLength = 64;

/** Whether a fingerprint belongs to a part of prompts and not to a whole request. */
export function isPartFingerprint(fingerprint: Fingerprint): boolean {
	return fingerprint.startsWith(prefix);
}

/** Lists the parts of a prompt that other requests may share, in prompt order. */
export function listPartFingerprints(
	service: ServiceName,
	prompt: PromptShape | undefined,
): readonly Fingerprint[] {
	const shared = prompt?.parts.slice(0, -1) ?? [];
	return shared
		.filter(({ id }) => id.length <= maxPartIdLength)
		.map(({ id }) => `${prefix}${service}:${id}` as Fingerprint);
}

/** Quarantine of prompt parts at one entry. */
export class PromptPartQuarantine {
	private readonly suspects = new Map<Fingerprint, SuspectedPart>();
	/** Times of the last answers, in the order in which they became known. */
	private readonly soundMs = new Map<Fingerprint, number>();
	/** Sound parts of which sightings came, with the times of these. */
	private readonly contradicted = new Map<Fingerprint, number>();
	private refused: ReadonlySet<Fingerprint> = new Set();

	constructor(private readonly limits: PromptPartLimits = defaultPromptPartLimits) {}

	/** Whether there are parts to compare with. */
	hasSuspects(): boolean {
		return this.suspects.size > 0;
	}

	/** Returns the refusal of a request with these parts, or undefined. */
	findRefusal(parts: readonly Fingerprint[], nowMs: number): RequestError | undefined {
		if (this.noteDepths(parts)) {
			this.updateRefused();
		}
		const part = parts.find(candidate => this.isRefused(candidate, nowMs));
		if (part === undefined) {
			return undefined;
		}
		return createRequestError(
			ErrorKind.Quarantined,
			`${part} was in flight at ${this.limits.minCrashes} or more target crashes`,
			{
				retryAfterMs: this.computeRefusedUntilMs(part) - nowMs,
			},
		);
	}

	isRefused(part: Fingerprint, nowMs: number): boolean {
		return this.refused.has(part) && this.computeRefusedUntilMs(part) > nowMs;
	}

	/**
	 * Records the crash of a target with requests in flight, given by their parts. Returns the parts that may have
	 * caused it, and whether one of them is refused because of it.
	 */
	noteTargetCrash(
		target: TargetId,
		inFlight: readonly (readonly Fingerprint[])[],
		nowMs: number,
	): { readonly suspected: readonly Fingerprint[]; readonly isPartRefused: boolean } {
		const refusedBefore = this.refused;
		const suspected = [...new Set(inFlight.flat())].filter(part => !this.isSound(part, nowMs));
		for (const fingerprint of suspected) {
			this.noteCrash({ fingerprint, target, ageMs: 0 }, nowMs);
		}
		for (const parts of inFlight) {
			this.noteDepths(parts);
		}
		this.updateRefused();
		return { suspected, isPartRefused: [...this.refused].some(part => !refusedBefore.has(part)) };
	}

	/** Records sightings of this entry or of a peer, and returns the parts that are refused because of them. */
	noteSightings(sightings: readonly CrashSighting[], nowMs: number): ReadonlySet<Fingerprint> {
		if (sightings.length === 0) {
			return noParts;
		}
		const refusedBefore = this.refused;
		for (const sighting of sightings) {
			if (sighting.isAnswered === true) {
				this.noteSound(sighting.fingerprint, nowMs - sighting.ageMs, nowMs);
			} else {
				this.noteCrash(sighting, nowMs);
			}
		}
		this.updateRefused();
		return new Set([...this.refused].filter(part => !refusedBefore.has(part)));
	}

	/** Records that a target answered a request with these parts. */
	noteAnswered(parts: readonly Fingerprint[], nowMs: number): void {
		const hasSuspect = parts.some(part => this.suspects.has(part));
		for (const part of parts) {
			this.noteSound(part, nowMs, nowMs);
		}
		if (hasSuspect) {
			this.updateRefused();
		}
	}

	/**
	 * Returns the sightings to include in this entry's view: those of refused parts, contradictions, then the latest
	 * others.
	 */
	listSightings(nowMs: number): readonly CrashSighting[] {
		const list = (isRefused: boolean): readonly CrashSighting[] =>
			[...this.suspects]
				.filter(([part]) => this.refused.has(part) === isRefused)
				.flatMap(([part, { crashes }]) => this.listShared(part, crashes, nowMs))
				.sort((left, right) => left.ageMs - right.ageMs);
		return [...list(true), ...this.listContradictions(nowMs), ...list(false)].slice(
			0,
			this.limits.maxSharedSightings,
		);
	}

	/** Removes parts whose last crash is long ago. Call this about once a second. */
	expire(nowMs: number): void {
		for (const [part, { crashes }] of this.suspects) {
			const keptForMs = this.refused.has(part) ? this.limits.refuseForMs : this.limits.suspectForMs;
			if (nowMs - getLastCrashMs(crashes) >= keptForMs) {
				this.suspects.delete(part);
			}
		}
		removeOlder(this.soundMs, nowMs - this.limits.soundForMs);
		removeOlder(this.contradicted, nowMs - this.limits.contradictForMs);
		this.updateRefused();
	}

	private noteCrash({ fingerprint, target, ageMs }: CrashSighting, nowMs: number): void {
		const { crashes, depth } = this.suspects.get(fingerprint) ?? { crashes: [], depth: unknownDepth };
		const crash = { target, atMs: nowMs - ageMs };
		if (this.isSound(fingerprint, nowMs)) {
			this.contradicted.set(fingerprint, nowMs);
			return;
		}
		if (ageMs >= this.limits.refuseForMs || isCrashAmong(crash, crashes, this.limits.sameCrashWindowMs)) {
			return;
		}
		this.suspects.delete(fingerprint);
		this.suspects.set(fingerprint, {
			crashes: addCrash(crashes, crash, maxCrashesPerPart),
			depth,
		});
		removeOldest(this.suspects, this.limits.maxSuspects, part => !this.refused.has(part));
	}

	private noteSound(part: Fingerprint, atMs: number, nowMs: number): void {
		const knownMs = this.soundMs.get(part) ?? Number.NEGATIVE_INFINITY;
		this.soundMs.delete(part);
		this.soundMs.set(part, Math.max(knownMs, atMs));
		removeOldest(this.soundMs, this.limits.maxSoundParts);
		if (this.isSound(part, nowMs) && this.suspects.delete(part)) {
			this.contradicted.set(part, nowMs);
		}
	}

	private listContradictions(nowMs: number): readonly CrashSighting[] {
		return [...this.contradicted.keys()]
			.filter(part => this.isSound(part, nowMs))
			.map(fingerprint => ({
				fingerprint,
				target: '' as TargetId,
				ageMs: nowMs - (this.soundMs.get(fingerprint) ?? nowMs),
				isAnswered: true,
			}));
	}

	/** Returns whether a part of a prompt stands deeper than known before. */
	private noteDepths(parts: readonly Fingerprint[]): boolean {
		let hasChanged = false;
		for (const [depth, part] of parts.entries()) {
			const known = this.suspects.get(part);
			if (known !== undefined && (known.depth === unknownDepth || known.depth < depth)) {
				this.suspects.set(part, { ...known, depth });
				hasChanged = true;
			}
		}
		return hasChanged;
	}

	private updateRefused(): void {
		const { minCrashes, minSpreadMs, sameCrashWindowMs } = this.limits;
		const refused = new Set<Fingerprint>();
		const explained: TargetCrash[] = [];
		const candidates = [...this.suspects]
			.filter(([, { crashes }]) => crashes.length >= minCrashes)
			.sort(([, left], [, right]) => right.crashes.length - left.crashes.length || right.depth - left.depth);
		for (const [part, { crashes }] of candidates) {
			const counted = crashes.filter(crash => !isCrashAmong(crash, explained, sameCrashWindowMs));
			const spreadMs = getLastCrashMs(counted) - (counted[0]?.atMs ?? 0);
			if (counted.length >= minCrashes && spreadMs >= minSpreadMs) {
				refused.add(part);
				explained.push(...crashes);
			}
		}
		this.refused = refused;
	}

	private listShared(
		part: Fingerprint,
		crashes: readonly TargetCrash[],
		nowMs: number,
	): readonly CrashSighting[] {
		const { minCrashes } = this.limits;
		// The first and the last crashes show others how far the crashes are spread.
		const shown =
			crashes.length <= minCrashes ? crashes : [...crashes.slice(0, 1), ...crashes.slice(1 - minCrashes)];
		return shown.map(({ target, atMs }) => ({ fingerprint: part, target, ageMs: nowMs - atMs }));
	}

	private computeRefusedUntilMs(part: Fingerprint): number {
		return getLastCrashMs(this.suspects.get(part)?.crashes ?? []) + this.limits.refuseForMs;
	}

	private isSound(part: Fingerprint, nowMs: number): boolean {
		return nowMs - (this.soundMs.get(part) ?? Number.NEGATIVE_INFINITY) < this.limits.soundForMs;
	}
}

function removeOlder(times: Map<Fingerprint, number>, fromMs: number): void {
	for (const [part, atMs] of times) {
		if (atMs < fromMs) {
			times.delete(part);
		}
	}
}

function removeOldest(
	map: Map<Fingerprint, unknown>,
	maxSize: number,
	isRemovable: (part: Fingerprint) => boolean = () => true,
): void {
	for (const oldest of map.keys()) {
		if (map.size <= maxSize) {
			return;
		}
		if (isRemovable(oldest)) {
			map.delete(oldest);
		}
	}
}
