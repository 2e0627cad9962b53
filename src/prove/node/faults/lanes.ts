/**
 * Faults that run beside one another. Those of one lane act on the same things and follow one another;
 * lanes overlap as the seed has it.
 */

import type { IFault } from '../field';
import { FreezeEntryFault, KillEntryFault, StopEntryFault } from './entryFaults';
import { CutLinksFault, IsolateRegionFault, SilenceLinksFault } from './linkFaults';
import {
	createSwitchedPlatformFaults,
	OperatorsRaceFault,
	PlatformGoesBackFault,
	TargetLeavesByManifestFault,
} from './platformFaults';
import {
	CrashingRequestFault,
	createSwitchedFaults,
	SilenceTargetFault,
	TargetLeavesByWordFault,
} from './targetFaults';

/** Entries and the links between them. */
const entryLane: readonly IFault[] = [
	new KillEntryFault(),
	new FreezeEntryFault(),
	new StopEntryFault(),
	new CutLinksFault(),
	new SilenceLinksFault(),
	new IsolateRegionFault(),
];

const targetLane: readonly IFault[] = [
	...createSwitchedFaults(),
	new SilenceTargetFault(),
	new TargetLeavesByWordFault(),
	new CrashingRequestFault(),
];

/** The platform and what is published there. */
const platformLane: readonly IFault[] = [
	...createSwitchedPlatformFaults(),
	new PlatformGoesBackFault(),
	new OperatorsRaceFault(),
	new TargetLeavesByManifestFault(),
];

export const lanes: readonly (readonly IFault[])[] = [entryLane, targetLane, platformLane];
