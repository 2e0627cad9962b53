/**
 * Protects targets against requests that crash them. The load it is designed for is a single request that crashes
 * every target that runs it and is sent again, to this entry (proxy process) or others, by a caller that got no
 * answer. Without this module one retry and five such resends crash seven targets, and with them the service.
 *
 * A request is identified by its fingerprint. When a target crashes, a sighting is recorded for every fingerprint
 * that was in flight there. One sighting proves little, because all requests but one are bystanders. They are
 * retried on separate targets, so that the next crash involves only one of them. A fingerprint with two sightings
 * is refused for some minutes by this entry and, through the sightings that entries exchange, by the other entries
 * of the region.
 *
 * Assumptions: only one crashing request is active at a time (a bystander that shares its second target with
 * another crashing request is wrongly refused for the same time), sightings arrive before the request is sent
 * again, and the time between two crashes of a target is longer than `sameCrashWindowMs`.
 *
 * Requests that all differ and share a part of their prompts are recognised by that part (`PromptPartQuarantine`).
 *
 * Two crashes are the minimum that distinguishes the crashing request from its bystanders without refusing them.
 * Five minutes of refusal outlast the automatic resends of a caller, and ten minutes of retention cover the time
 * until its next attempt.
 */

import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import type { Fingerprint, TargetId } from '../../../core/ids/common/ids';
import { isPartFingerprint, PromptPartQuarantine } from './promptPartQuarantine';
import type { TargetCrash } from './targetCrash';
import { addCrash, getLastCrashMs, isCrashAmong } from './targetCrash';

/** A request, or a part of prompts, that was in flight at a target when the target crashed. */
export interface CrashSighting {
	readonly fingerprint: Fingerprint;
	readonly target: TargetId;
	/** Milliseconds since the crash. */
	readonly ageMs: number;
	/** Instead of a crash: the part was answered, which contradicts sightings of it. */
	readonly isAnswered?: boolean;
}

/** Limits of the quarantine. */
export interface QuarantineLimits {
	/** Time after its last crash for which a fingerprint is refused, in milliseconds. */
	readonly refuseForMs: number;
	/** Time after its last crash for which a fingerprint is kept, in milliseconds. */
	readonly retentionMs: number;
	/**
	 * Sightings at one target less than this apart, in milliseconds, are one crash reported by several entries. A
	 * sighting seems younger by its transit and late reading at each of the entries that pass it on.
	 */
	readonly sameCrashWindowMs: number;
	/** Maximum number of fingerprints kept with one crash, and separately with more crashes. */
	readonly maxFingerprints: number;
	/** Time for which a single sighting is sent to peers, in milliseconds: several exchanges of views. */
	readonly shareForMs: number;
	/** Maximum number of sightings in one view. */
	readonly maxSharedSightings: number;
}

export const defaultQuarantineLimits: QuarantineLimits = {
	refuseForMs: 300_000,
	retentionMs: 600_000,
	sameCrashWindowMs: 10_000,
	maxFingerprints: 2_048,
	shareForMs: 15_000,
	maxSharedSightings: 512,
};

const minCrashesToRefuse = 2;

/** Maximum number of crashes kept for a fingerprint; more would not change the decision. */
const maxCrashesPerFingerprint = 4;

function listNewestFirst(
	entries: Iterable<readonly [Fingerprint, readonly TargetCrash[]]>,
	nowMs: number,
): readonly CrashSighting[] {
	return [...entries]
		.flatMap(([fingerprint, crashes]) =>
			crashes.map(({ target, atMs }) => ({ fingerprint, target, ageMs: nowMs - atMs })),
		)
		.sort((left, right) => left.ageMs - right.ageMs);
}

/** Quarantine of one entry. */
export class Quarantine {
	readonly parts = new PromptPartQuarantine();
	/** Fingerprints with one crash, kept separately so that many bystanders do not evict refused fingerprints. */
	private readonly suspects = new Map<Fingerprint, readonly TargetCrash[]>();
	private readonly refused = new Map<Fingerprint, readonly TargetCrash[]>();

	constructor(private readonly limits: QuarantineLimits = defaultQuarantineLimits) {}

	/** Returns the refusal of a request that was in flight at two or more crashes, or undefined. */
	findRefusal(fingerprint: Fingerprint, nowMs: number): RequestError | undefined {
		const leftMs = getLastCrashMs(this.refused.get(fingerprint) ?? []) + this.limits.refuseForMs - nowMs;
		if (leftMs <= 0) {
			return undefined;
		}
		return createRequestError(
			ErrorKind.Quarantined,
			`in flight at ${minCrashesToRefuse} or more target crashes`,
			{
				retryAfterMs: leftMs,
			},
		);
	}

	/** Whether a request was in flight at a crash and must not share a target with another such request. */
	isSuspect(fingerprint: Fingerprint): boolean {
		return this.suspects.has(fingerprint) || this.refused.has(fingerprint);
	}

	/**
	 * Whether a request may start on a target that runs the given requests. A target runs at most one suspect: two
	 * bystanders of one crash would otherwise both be in flight at the next crash, and both be refused.
	 */
	isAllowedAlongside(fingerprint: Fingerprint, running: Iterable<Fingerprint>): boolean {
		if (!this.isSuspect(fingerprint)) {
			return true;
		}
		for (const other of running) {
			if (this.isSuspect(other)) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Records the crash of a target with the given requests in flight. Call this only if a new connection to the
	 * target was refused or the target has restarted. A broken connection alone may be a network fault, and a
	 * network partition would make every request in flight a suspect.
	 */
	noteTargetCrash(target: TargetId, inFlight: Iterable<Fingerprint>, nowMs: number): void {
		for (const fingerprint of inFlight) {
			this.noteCrashSighting({ fingerprint, target, ageMs: 0 }, nowMs);
		}
	}

	/** Records sightings of a peer, and returns the fingerprints that are refused because of them. */
	noteCrashSightings(sightings: readonly CrashSighting[], nowMs: number): ReadonlySet<Fingerprint> {
		const ofParts = sightings.filter(({ fingerprint }) => isPartFingerprint(fingerprint));
		const ofRequests = sightings.filter(({ fingerprint }) => !isPartFingerprint(fingerprint));
		const refusedParts = this.parts.noteSightings(ofParts, nowMs);
		return new Set([...refusedParts, ...this.noteRequestSightings(ofRequests, nowMs)]);
	}

	private noteRequestSightings(sightings: readonly CrashSighting[], nowMs: number): ReadonlySet<Fingerprint> {
		const fingerprints = new Set(sightings.map(({ fingerprint }) => fingerprint));
		const accepted = [...fingerprints].filter(
			fingerprint => this.findRefusal(fingerprint, nowMs) === undefined,
		);
		for (const sighting of sightings) {
			this.noteCrashSighting(sighting, nowMs);
		}
		return new Set(accepted.filter(fingerprint => this.findRefusal(fingerprint, nowMs) !== undefined));
	}

	/** Records a sighting of this entry or of a peer. Repeated reports of the same crash are ignored. */
	noteCrashSighting(sighting: CrashSighting, nowMs: number): void {
		const { fingerprint, target, ageMs } = sighting;
		const crash = { target, atMs: nowMs - ageMs };
		const known = this.refused.get(fingerprint) ?? this.suspects.get(fingerprint) ?? [];
		if (ageMs >= this.limits.retentionMs || isCrashAmong(crash, known, this.limits.sameCrashWindowMs)) {
			return;
		}
		const crashes = addCrash(known, crash, maxCrashesPerFingerprint);
		this.suspects.delete(fingerprint);
		this.refused.delete(fingerprint);
		this.put(crashes.length >= minCrashesToRefuse ? this.refused : this.suspects, fingerprint, crashes);
	}

	/**
	 * Returns the sightings to include in this entry's view: those of parts of prompts, those of refused requests,
	 * then those of other suspects, each the newest first. Sightings of refused requests are included as long as they
	 * are kept, so that a restarted entry receives them. Sightings of other suspects, which are many, are included
	 * only until every entry has received them.
	 */
	listCrashSightings(nowMs: number): readonly CrashSighting[] {
		const { shareForMs, maxSharedSightings } = this.limits;
		const recentSuspects = [...this.suspects].filter(
			([, crashes]) => nowMs - getLastCrashMs(crashes) < shareForMs,
		);
		const ofRequests = [...listNewestFirst(this.refused, nowMs), ...listNewestFirst(recentSuspects, nowMs)];
		return [...this.parts.listSightings(nowMs), ...ofRequests].slice(0, maxSharedSightings);
	}

	/** Removes fingerprints whose last crash is older than `retentionMs`. Call this about once a second. */
	expire(nowMs: number): void {
		this.parts.expire(nowMs);
		for (const map of [this.suspects, this.refused]) {
			for (const [fingerprint, crashes] of map) {
				if (nowMs - getLastCrashMs(crashes) >= this.limits.retentionMs) {
					map.delete(fingerprint);
				}
			}
		}
	}

	countFingerprints(): number {
		return this.suspects.size + this.refused.size;
	}

	private put(
		into: Map<Fingerprint, readonly TargetCrash[]>,
		fingerprint: Fingerprint,
		crashes: readonly TargetCrash[],
	): void {
		into.set(fingerprint, crashes);
		for (const oldest of into.keys()) {
			if (into.size <= this.limits.maxFingerprints) {
				return;
			}
			into.delete(oldest);
		}
	}
}
