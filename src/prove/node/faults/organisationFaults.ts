/**
 * Faults of organisations: a key is withdrawn, and an organisation sends several times its limit.
 */

import type { EntryAddresses } from '../../../demo/common/deploymentAddresses';
import { listEntriesInRegion } from '../../../demo/common/deploymentAddresses';
import { regions } from '../../../demo/common/exampleNames';
import { waitFor } from '../../../demo/common/poll';
import type { Manifest } from '../../../core/manifest/common/manifest';
import type { KeyDigest } from '../../../core/ids/common/ids';
import { createOverloadingCheck, createWithdrawnCheck } from '../../common/calls';
import { pickRandom } from '../../common/callers/campaignCaller';
import { guest } from '../../common/campaignKeys';
import { FaultKind } from '../../common/faultSchedule';
import { Invariant } from '../../common/invariants';
import type { CampaignContext, IFault } from '../campaignContext';
import { computeKeyDigest } from '../preparedExample';

const withdrawnSends = 40;
const withdrawnPauseMs = 50;

/** Withdraws a key, and sends requests with it to entries at which the manifest without it is in force. */
export class WithdrawKeyFault implements IFault {
	readonly kind = FaultKind.WithdrawKey;

	async run(context: CampaignContext): Promise<void> {
		const { stage, log, manifestMonitor } = context;
		log.recordFault(this.kind, guest.organisation);
		const publishedMs = stage.timers.getNow();
		await manifestMonitor.putAndWait(removeKey(stage.manifest, computeKeyDigest(guest.withdrawnKey)));
		let refused = 0;
		for (let number = 0; number < withdrawnSends; number++) {
			refused += (await this.sendWithdrawn(context, number, publishedMs)) ? 1 : 0;
			await waitFor(stage.timers, withdrawnPauseMs);
		}
		if (refused === 0) {
			log.recordViolation(Invariant.EveryFaultInjected, `${this.kind}: no request was refused for its key`);
		}
		await manifestMonitor.putAndWait(stage.manifest);
	}

	/** Returns whether the request was refused for its key. Entries that were disrupted may have the older manifest. */
	private async sendWithdrawn(
		{ stage, sender, disruptions, random }: CampaignContext,
		number: number,
		publishedMs: number,
	): Promise<boolean> {
		const entries = listEntriesInRegion(stage.addresses, regions.kingston).filter(({ instance }) =>
			disruptions.isUndisruptedSince(instance, publishedMs),
		);
		if (entries.length === 0) {
			return false;
		}
		const { record } = await sender.send(
			createWithdrawnCheck(`withdrawn-${publishedMs}-${number}`),
			pickRandom(random, entries),
		);
		return record.errorKind === 'key-unknown';
	}
}

const overloadMs = 14_000;
const overloadPauseMs = 8;

/** An organisation sends about four times its limit. */
export class OverloadingOrganisationFault implements IFault {
	readonly kind = FaultKind.OverloadingOrganisation;

	async run(context: CampaignContext): Promise<void> {
		const { stage, log } = context;
		const startMs = stage.timers.getNow();
		const entries = listEntriesInRegion(stage.addresses, regions.kingston);
		log.recordFault(this.kind, regions.kingston);
		const sends: Promise<boolean>[] = [];
		while (stage.timers.getNow() - startMs < overloadMs) {
			sends.push(this.sendOne(context, entries, sends.length));
			await waitFor(stage.timers, overloadPauseMs);
		}
		const areLimited = await Promise.all(sends);
		if (!areLimited.includes(true)) {
			log.recordViolation(Invariant.EveryFaultInjected, `${this.kind}: no request exceeded the limit`);
		}
	}

	/** Returns whether the request was refused for the limit. */
	private async sendOne(
		{ random, sender }: CampaignContext,
		entries: readonly EntryAddresses[],
		number: number,
	): Promise<boolean> {
		const call = createOverloadingCheck(`overloading-${number}`);
		const { record } = await sender.send(call, pickRandom(random, entries));
		return record.errorKind === 'limit-reached';
	}
}

function removeKey(manifest: Manifest, digest: KeyDigest): Manifest {
	const organisations = manifest.organisations.map(organisation => ({
		...organisation,
		keys: organisation.keys.filter(key => key !== digest),
	}));
	return { ...manifest, organisations };
}
