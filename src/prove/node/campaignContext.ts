/**
 * What a campaign and its faults act on, and the interface of a fault.
 */

import type { IRandom } from '../../base/common/random';
import type { Deployment } from '../../demo/node/deployment';
import type { ProcessManager } from '../../demo/node/processManager';
import type { DeploymentContext } from '../../demo/common/scenario';
import type { CallSender } from '../common/callSender';
import type { CampaignLog } from '../common/campaignLog';
import type { EntryDisruptions } from '../common/entryDisruptions';
import type { FaultKind } from '../common/faultSchedule';
import type { ManifestMonitor } from './manifestMonitor';

/** The running deployment, and the log and monitors of the campaign. */
export interface CampaignContext {
	readonly stage: DeploymentContext;
	readonly fleet: ProcessManager;
	readonly deployment: Deployment;
	readonly log: CampaignLog;
	readonly disruptions: EntryDisruptions;
	readonly manifestMonitor: ManifestMonitor;
	/** Sends the calls of the fault phase, including those that faults make. */
	readonly sender: CallSender;
	readonly random: IRandom;
}

/** Injects and reverts one kind of fault. */
export interface IFault {
	readonly kind: FaultKind;
	/**
	 * Injects the fault. Resolves when it is reverted and the affected components are ready again.
	 *
	 * @param place Index that is reduced modulo the number of candidates, to select the one that the fault
	 * affects.
	 */
	run(context: CampaignContext, place: number): Promise<void>;
}

/** Picks the item at an index modulo the number of items. Throws if there is none. */
export function pickByIndex<TItem>(items: readonly TItem[], place: number): TItem {
	const item = items[place % items.length];
	if (item === undefined) {
		throw new Error('no candidate for a fault');
	}
	return item;
}
