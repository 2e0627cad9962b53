/**
 * What the faults of a campaign act on.
 */

import type { IRandom } from '../../base/common/random';
import type { Deployment } from '../../demo/node/deployment';
import type { ProcessManager } from '../../demo/node/processManager';
import type { DeploymentContext } from '../../demo/common/scenario';
import type { CallSender } from '../common/callSender';
import type { CampaignLog } from '../common/campaignLog';
import type { Disturbances } from '../common/disturbances';
import type { FaultKind } from '../common/faultSchedule';
import type { ManifestWatch } from './manifestWatch';

/** The running deployment with everything that watches it. */
export interface Field {
	readonly stage: DeploymentContext;
	readonly fleet: ProcessManager;
	readonly deployment: Deployment;
	readonly log: CampaignLog;
	readonly disturbances: Disturbances;
	readonly manifests: ManifestWatch;
	/** Sends the calls that faults themselves make. */
	readonly sender: CallSender;
	readonly random: IRandom;
}

/** Injects one kind of fault and takes it back. */
export interface IFault {
	readonly kind: FaultKind;
	/**
	 * Ends when the fault is taken back and what it disturbed is ready again.
	 *
	 * @param place Reduced to one of the places that the fault can strike.
	 */
	run(field: Field, place: number): Promise<void>;
}

/** The item at a place; there must be items. */
export function getAt<TItem>(items: readonly TItem[], place: number): TItem {
	const item = items[place % items.length];
	if (item === undefined) {
		throw new Error('a fault has no place to strike');
	}
	return item;
}
