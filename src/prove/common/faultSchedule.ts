/**
 * Creates the fault schedule of a campaign from its random seed: every kind of fault once, in random order
 * and at random places. The long form repeats some kinds.
 */

import type { IRandom } from '../../base/common/random';
import { orderRandomly } from '../../base/common/random';

/** Every kind of fault that a campaign injects. */
export enum FaultKind {
	KillEntry = 'kill-entry',
	FreezeEntry = 'freeze-entry',
	StopEntry = 'stop-entry',
	CutLinks = 'cut-links',
	SilenceLinks = 'silence-links',
	/** Open connections to a target permanently stop carrying data. New connections work. */
	SilenceTarget = 'silence-target',
	/** A target runs requests and sends no answers. */
	TargetSilent = 'target-silent',
	TargetDiesMidAnswer = 'target-dies-mid-answer',
	TargetRefuses = 'target-refuses',
	TargetAnswersWrongAttempt = 'target-crosses-answers',
	TargetReportsLeaving = 'target-leaves-by-word',
	TargetLeavingInManifest = 'target-leaves-by-manifest',
	PlatformDown = 'platform-down',
	PlatformSilent = 'platform-silent',
	PlatformServesOldVersion = 'platform-goes-back',
	ConcurrentPublications = 'operators-race',
	IsolateRegion = 'isolate-region',
	CrashingRequest = 'crashing-request',
	/** A target works slowly for a while and reports it. */
	TargetSlow = 'target-slow',
	WithdrawKey = 'withdraw-key',
	OverloadingOrganisation = 'overloading-organisation',
}

/** One fault of a schedule. */
export interface PlannedFault {
	readonly kind: FaultKind;
	/** Index that the fault reduces modulo the number of its candidate entries, regions or targets. */
	readonly place: number;
}

const placeCount = 1_000;
const repeatedFaults: readonly FaultKind[] = [FaultKind.KillEntry, FaultKind.FreezeEntry];

/** Creates a random schedule. The short form has every kind once. */
export function planFaults(random: IRandom, kinds: readonly FaultKind[], isShort: boolean): PlannedFault[] {
	const repeated = isShort ? [] : repeatedFaults.filter(kind => kinds.includes(kind));
	return orderRandomly(random, [...kinds, ...repeated]).map(kind => ({
		kind,
		place: random.pickBelow(placeCount),
	}));
}

/** Lists the kinds that do not occur among the injected faults. */
export function listMissing(kinds: readonly FaultKind[], injected: readonly FaultKind[]): FaultKind[] {
	return kinds.filter(kind => !injected.includes(kind));
}
