/**
 * The sequences of faults that a campaign runs in parallel. Faults of one sequence affect the same kind of
 * component and run one after the other. Which faults of different sequences overlap depends on the seed.
 */

import type { IFault } from '../campaignContext';
import { FreezeEntryFault, KillEntryFault, StopEntryFault } from './entryFaults';
import { CutLinksFault, IsolateRegionFault, SilenceLinksFault } from './linkFaults';
import { OverloadingOrganisationFault, WithdrawKeyFault } from './organisationFaults';
import {
	ConcurrentPublicationsFault,
	createPlatformSettingFaults,
	PlatformServesOldVersionFault,
	TargetLeavingInManifestFault,
} from './platformFaults';
import {
	CrashingRequestFault,
	createTargetSettingFaults,
	SilenceTargetFault,
	TargetReportsLeavingFault,
} from './targetFaults';

/** Faults of entries and of the links between them. */
const entryFaults: readonly IFault[] = [
	new KillEntryFault(),
	new FreezeEntryFault(),
	new StopEntryFault(),
	new CutLinksFault(),
	new SilenceLinksFault(),
	new IsolateRegionFault(),
];

const targetFaults: readonly IFault[] = [
	...createTargetSettingFaults(),
	new SilenceTargetFault(),
	new TargetReportsLeavingFault(),
	new CrashingRequestFault(),
];

/** Faults of the platform and of the manifests that are published there. */
const platformFaults: readonly IFault[] = [
	...createPlatformSettingFaults(),
	new PlatformServesOldVersionFault(),
	new ConcurrentPublicationsFault(),
	new TargetLeavingInManifestFault(),
	new WithdrawKeyFault(),
];

/** Faults of organisations that need no other manifest. */
const organisationFaults: readonly IFault[] = [new OverloadingOrganisationFault()];

export const faultSequences: readonly (readonly IFault[])[] = [
	entryFaults,
	targetFaults,
	platformFaults,
	organisationFaults,
];
