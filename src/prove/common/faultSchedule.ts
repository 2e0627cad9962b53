/**
 * Draws the faults of a campaign from its seed: every kind once, in an order and at places of the seed's
 * choice, and in the long form some of them again.
 */

import type { IRandom } from '../../base/common/random';

/** Every kind of fault that a campaign injects. */
export enum FaultKind {
	KillEntry = 'kill-entry',
	FreezeEntry = 'freeze-entry',
	StopEntry = 'stop-entry',
	CutLinks = 'cut-links',
	SilenceLinks = 'silence-links',
	/** Connections open to a target lose their far end for good. */
	SilenceTarget = 'silence-target',
	/** Runs requests and answers none. */
	TargetSilent = 'target-silent',
	TargetDiesMidAnswer = 'target-dies-mid-answer',
	TargetRefuses = 'target-refuses',
	TargetCrossesAnswers = 'target-crosses-answers',
	TargetLeavesByWord = 'target-leaves-by-word',
	TargetLeavesByManifest = 'target-leaves-by-manifest',
	PlatformDown = 'platform-down',
	PlatformSilent = 'platform-silent',
	PlatformGoesBack = 'platform-goes-back',
	OperatorsRace = 'operators-race',
	IsolateRegion = 'isolate-region',
	CrashingRequest = 'crashing-request',
}

/** One fault of a schedule. */
export interface PlannedFault {
	readonly kind: FaultKind;
	/** Index that the injecting code reduces to one of the entries, regions or targets at hand. */
	readonly place: number;
}

const placeRange = 1_000;
const faultsAgain: readonly FaultKind[] = [FaultKind.KillEntry, FaultKind.FreezeEntry];

/** Draws the schedule; the short form has every kind once. */
export function planFaults(random: IRandom, kinds: readonly FaultKind[], isShort: boolean): PlannedFault[] {
	const again = isShort ? [] : faultsAgain.filter(kind => kinds.includes(kind));
	return pickOrder(random, [...kinds, ...again]).map(kind => ({ kind, place: random.pickBelow(placeRange) }));
}

/** The kinds that a list of injected faults leaves out. */
export function listMissing(kinds: readonly FaultKind[], injected: readonly FaultKind[]): FaultKind[] {
	return kinds.filter(kind => !injected.includes(kind));
}

/** A uniformly drawn order of the items. */
function pickOrder<TItem>(random: IRandom, items: readonly TItem[]): TItem[] {
	const left = [...items];
	return items.flatMap(() => left.splice(random.pickBelow(left.length), 1));
}
