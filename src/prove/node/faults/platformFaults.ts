/**
 * Faults of the platform and of the operators' pipelines. Each ends by publishing a new manifest, which must
 * then be in force at every reachable entry in time.
 */

import { listTargetsInRegion } from '../../../demo/common/deploymentAddresses';
import { regions, services } from '../../../demo/common/exampleNames';
import { waitFor } from '../../../demo/common/poll';
import type { Manifest } from '../../../core/manifest/common/manifest';
import { TargetIntent } from '../../../core/manifest/common/manifest';
import { FaultKind } from '../../common/faultSchedule';
import type { CampaignContext, IFault } from '../campaignContext';
import { pickByIndex } from '../campaignContext';
import { checkNoNewRequests } from './targetFaults';

const faultMs = 1_500;

/** Enables one fault setting of the simulated platform for a while. */
export class PlatformSettingFault implements IFault {
	constructor(
		readonly kind: FaultKind,
		private readonly faultSettings: object,
		private readonly normalSettings: object,
	) {}

	async run(context: CampaignContext): Promise<void> {
		context.log.recordFault(this.kind, 'platform');
		await setPlatform(context, this.faultSettings);
		await waitFor(context.stage.timers, faultMs);
		await setPlatform(context, this.normalSettings);
		await context.manifestMonitor.putAndWait(context.stage.manifest);
	}
}

/** Creates the faults that consist of one setting of the simulated platform. */
export function createPlatformSettingFaults(): IFault[] {
	return [
		new PlatformSettingFault(FaultKind.PlatformDown, { down: true }, { down: false }),
		new PlatformSettingFault(FaultKind.PlatformSilent, { silent: true }, { silent: false }),
	];
}

/**
 * The platform serves an older version than before: first a stale read, then as if restored from a backup.
 */
export class PlatformServesOldVersionFault implements IFault {
	readonly kind = FaultKind.PlatformServesOldVersion;

	async run(context: CampaignContext): Promise<void> {
		const { stage, manifestMonitor, log } = context;
		log.recordFault(this.kind, 'platform');
		const newest = await manifestMonitor.put(withOrganisationWeight(stage.manifest, 2));
		await setPlatform(context, { staleVersion: newest - 1 });
		await waitFor(stage.timers, faultMs);
		await setPlatform(context, { staleVersion: null });
		await manifestMonitor.put(withOrganisationWeight(stage.manifest, 3), newest - 1);
		await waitFor(stage.timers, faultMs);
		await manifestMonitor.putAndWait(stage.manifest);
	}
}

/** Two pipelines publish different manifests under one version. */
export class ConcurrentPublicationsFault implements IFault {
	readonly kind = FaultKind.ConcurrentPublications;

	async run(context: CampaignContext): Promise<void> {
		const { stage, manifestMonitor, log } = context;
		const version = manifestMonitor.getPublishedVersion() + 1;
		log.recordFault(this.kind, `version ${version}`);
		await Promise.all([
			manifestMonitor.put(withOrganisationWeight(stage.manifest, 2), version),
			manifestMonitor.put(withOrganisationWeight(stage.manifest, 3), version),
		]);
		await waitFor(stage.timers, faultMs);
		await manifestMonitor.putAndWait(stage.manifest);
	}
}

/** A manifest marks an inference engine as leaving. */
export class TargetLeavingInManifestFault implements IFault {
	readonly kind = FaultKind.TargetLeavingInManifest;

	async run(context: CampaignContext, place: number): Promise<void> {
		const { stage, manifestMonitor, log } = context;
		const target = pickByIndex(
			listTargetsInRegion(stage.addresses, services.assistant, regions.kingston),
			place,
		);
		log.recordFault(this.kind, target.id);
		await manifestMonitor.putAndWait(withLeavingTargets(stage.manifest, [target.id]));
		await checkNoNewRequests(context, target);
		await manifestMonitor.putAndWait(stage.manifest);
	}
}

/** Returns the manifest with the given targets marked as leaving. */
export function withLeavingTargets(manifest: Manifest, ids: readonly string[]): Manifest {
	const targets = manifest.targets.map(target =>
		ids.includes(target.id) ? { ...target, intent: TargetIntent.Leaving } : target,
	);
	return { ...manifest, targets };
}

/** Returns a different manifest, whose changed organisation weights affect no invariant of a campaign. */
function withOrganisationWeight(manifest: Manifest, weight: number): Manifest {
	const organisations = manifest.organisations.map(organisation => ({ ...organisation, weight }));
	return { ...manifest, organisations };
}

async function setPlatform({ stage }: CampaignContext, patch: object): Promise<void> {
	await stage.admin.setFaults(stage.addresses.platformAdmin, 'platform', patch);
}
