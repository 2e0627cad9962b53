/**
 * Decides whether a request with a key may be sent now. Only reads of the platform's store reveal that a key was withdrawn, so
 * what an entry knows has an age. While the age is inside its limit, the keys of the manifest are valid. Beyond it, a request
 * with a key is refused as temporarily unavailable and never as unauthorised, since its key may well be valid.
 *
 * docs/design/revoked-keys.md derives the limit and lists the moments at which a request is checked.
 */

import type { RequestError } from '../../../core/errors/common/errorKinds';
import { createRequestError, ErrorKind } from '../../../core/errors/common/errorKinds';
import type { CallHead } from '../callers/callHead';
import type { ManifestIndex } from '../placement/manifestIndex';

/** What is known of the keys, and when. Times are in milliseconds. */
export interface KeyKnowledge {
	/** Time since the keys were known to be those of the store; undefined before its first answer. */
	readonly ageMs: number | undefined;
	/** Time until the next answer is due at the latest, or until the store is asked again after a failure. */
	readonly nextReadInMs: number;
}

/** Checks a request before it is sent, and again at each further send. */
export interface IKeyCheck {
	/** Returns why a request may not be sent now, or undefined if it may. */
	findRefusal(head: Pick<CallHead, 'keyDigest'>): RequestError | undefined;
}

/** The check of an entry whose settings set no bound for withdrawn keys. */
export const noKeyCheck: IKeyCheck = { findRefusal: () => undefined };

/** The relative error of one clock while a time service corrects it; 500 ppm is the limit of most, doubled. */
const maxClockRateError = 0.001;
/** The clocks in an age: of this entry, of the watcher and of the store, and the time of day that shows suspensions. */
const clocks = 4;
/** The clocks of a reader and its watcher, over the longest time for which a feed is read. */
const feedDriftMs = 60;
/** Suspensions that are too short to be detected, and the rounding of waits and times of day. */
const undetectedMs = 13;
/** Time from a check to the write, which follow each other in one turn of the event loop, on a busy machine. */
const writeMs = 100;

/** Returns the age up to which keys are accepted. */
export function computeMaxKeyAgeMs(withdrawnWithinMs: number): number {
	const rateErrorMs = clocks * maxClockRateError * withdrawnWithinMs;
	return withdrawnWithinMs - rateErrorMs - feedDriftMs - undetectedMs - writeMs;
}

/** The longest delay of a change, as a share of the bound: one failed read or one lost watcher then fits into the bound. */
const maxDelayShare = 0.6;

/** Returns the maximum delay of a change for a bound; undefined stands for no bound. */
export function computeMaxDelayMs(newsWithinMs: number, withdrawnWithinMs: number | undefined): number {
	return withdrawnWithinMs === undefined
		? newsWithinMs
		: Math.min(newsWithinMs, maxDelayShare * withdrawnWithinMs);
}

/** Whether keys of the manifest are accepted at present. */
export function isConfirmed({ ageMs }: KeyKnowledge, maxAgeMs: number): boolean {
	return ageMs !== undefined && ageMs <= maxAgeMs;
}

/** Returns why a request with a key may not be sent now, or undefined if it may. */
export function findKeyRefusal(
	{ keyDigest }: Pick<CallHead, 'keyDigest'>,
	index: Pick<ManifestIndex, 'findKeyOwner'> | undefined,
	knowledge: KeyKnowledge,
	maxAgeMs: number,
): RequestError | undefined {
	if (keyDigest === undefined) {
		return undefined;
	}
	if (index === undefined || !isConfirmed(knowledge, maxAgeMs)) {
		return createRequestError(ErrorKind.KeyUnconfirmed, describeKnowledge(knowledge, maxAgeMs), {
			retryAfterMs: Math.max(1, Math.ceil(knowledge.nextReadInMs)),
		});
	}
	return index.findKeyOwner(keyDigest) === undefined
		? createRequestError(ErrorKind.KeyUnknown, 'the key belongs to no organisation')
		: undefined;
}

function describeKnowledge({ ageMs }: KeyKnowledge, maxAgeMs: number): string {
	return ageMs === undefined
		? 'the store has not answered yet'
		: `the keys were last confirmed ${Math.round(ageMs)} ms ago, at most ${Math.floor(maxAgeMs)} ms allowed`;
}
