/**
 * Faults of the platform and of the operators' pipelines. Each ends with a new manifest, which must then
 * come into force at every reachable entry.
 */

import { listTargetsInRegion } from '../../../demo/common/deploymentAddresses';
import { regions, services } from '../../../demo/common/exampleNames';
import { waitFor } from '../../../demo/common/poll';
import type { Manifest } from '../../../core/manifest/common/manifest';
import { TargetIntent } from '../../../core/manifest/common/manifest';
import { FaultKind } from '../../common/faultSchedule';
import type { Field, IFault } from '../field';
import { getAt } from '../field';
import { checkNoNewWork } from './targetFaults';

const faultMs = 1_500;

/** Switches one fault of the platform on for a while. */
export class SwitchedPlatformFault implements IFault {
	constructor(
		readonly kind: FaultKind,
		private readonly switchedOn: object,
		private readonly switchedOff: object,
	) {}

	async run(field: Field): Promise<void> {
		field.log.noteFault(this.kind, 'platform');
		await setPlatform(field, this.switchedOn);
		await waitFor(field.stage.timers, faultMs);
		await setPlatform(field, this.switchedOff);
		await field.manifests.putAndWait(field.stage.manifest);
	}
}

/** The faults that one switch of the platform brings about. */
export function createSwitchedPlatformFaults(): IFault[] {
	return [
		new SwitchedPlatformFault(FaultKind.PlatformDown, { down: true }, { down: false }),
		new SwitchedPlatformFault(FaultKind.PlatformSilent, { silent: true }, { silent: false }),
	];
}

/** The platform serves an older version than before, first by being stale, then as if restored from a copy. */
export class PlatformGoesBackFault implements IFault {
	readonly kind = FaultKind.PlatformGoesBack;

	async run(field: Field): Promise<void> {
		const { stage, manifests, log } = field;
		log.noteFault(this.kind, 'platform');
		const newest = await manifests.put(withWeight(stage.manifest, 2));
		await setPlatform(field, { staleVersion: newest - 1 });
		await waitFor(stage.timers, faultMs);
		await setPlatform(field, { staleVersion: null });
		await manifests.put(withWeight(stage.manifest, 3), newest - 1);
		await waitFor(stage.timers, faultMs);
		await manifests.putAndWait(stage.manifest);
	}
}

/** Two pipelines publish different documents under one version. */
export class OperatorsRaceFault implements IFault {
	readonly kind = FaultKind.OperatorsRace;

	async run(field: Field): Promise<void> {
		const { stage, manifests, log } = field;
		const version = manifests.getPublishedVersion() + 1;
		log.noteFault(this.kind, `version ${version}`);
		await Promise.all([
			manifests.put(withWeight(stage.manifest, 2), version),
			manifests.put(withWeight(stage.manifest, 3), version),
		]);
		await waitFor(stage.timers, faultMs);
		await manifests.putAndWait(stage.manifest);
	}
}

/** A manifest says that an engine is leaving. */
export class TargetLeavesByManifestFault implements IFault {
	readonly kind = FaultKind.TargetLeavesByManifest;

	async run(field: Field, place: number): Promise<void> {
		const { stage, manifests, log } = field;
		const target = getAt(listTargetsInRegion(stage.addresses, services.assistant, regions.kingston), place);
		log.noteFault(this.kind, target.id);
		await manifests.putAndWait(withLeaving(stage.manifest, [target.id]));
		await checkNoNewWork(field, target);
		await manifests.putAndWait(stage.manifest);
	}
}

/** The manifest with some targets leaving. */
export function withLeaving(manifest: Manifest, ids: readonly string[]): Manifest {
	const targets = manifest.targets.map(target =>
		ids.includes(target.id) ? { ...target, intent: TargetIntent.Leaving } : target,
	);
	return { ...manifest, targets };
}

/** The manifest as another document, which changes nothing that a campaign judges. */
function withWeight(manifest: Manifest, weight: number): Manifest {
	const organisations = manifest.organisations.map(organisation => ({ ...organisation, weight }));
	return { ...manifest, organisations };
}

async function setPlatform({ stage }: Field, patch: object): Promise<void> {
	await stage.admin.setFaults(stage.addresses.platformAdmin, 'platform', patch);
}
