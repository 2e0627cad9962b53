/**
 * Faults of one entry: it is killed, frozen for longer than the lifetime of a ticket, or stopped under load.
 */

import type { EntryAddresses } from '../../../demo/common/deploymentAddresses';
import { waitFor } from '../../../demo/common/poll';
import { isCleanEnd } from '../../../demo/node/processManager';
import { ticketLifetimeMs } from '../../common/callers/paymentCaller';
import { FaultKind } from '../../common/faultSchedule';
import { Invariant } from '../../common/invariants';
import type { CampaignContext, IFault } from '../campaignContext';
import { pickByIndex } from '../campaignContext';

const restartDelayMs = 300;
const recoveryMs = 500;
const freezeMs = ticketLifetimeMs + 1_200;
/**
 * Longer than the grace period and the longest stream of a campaign: an entry that is still running then
 * counts as not ending by itself.
 */
const stopTimeoutMs = 30_000;

/** Kills an entry and starts it again. */
export class KillEntryFault implements IFault {
	readonly kind = FaultKind.KillEntry;

	async run(context: CampaignContext, place: number): Promise<void> {
		const entry = pickByIndex(context.stage.addresses.entries, place);
		context.log.recordFault(this.kind, entry.instance);
		await runDisrupted(context, entry, () => killAndStartEntry(context, entry));
		await waitFor(context.stage.timers, recoveryMs);
	}
}

/** Freezes an entry until every ticket issued before the freeze has expired, and resumes it. */
export class FreezeEntryFault implements IFault {
	readonly kind = FaultKind.FreezeEntry;

	async run(context: CampaignContext, place: number): Promise<void> {
		const entry = pickByIndex(context.stage.addresses.entries, place);
		context.log.recordFault(this.kind, entry.instance);
		await runDisrupted(context, entry, async () => {
			context.fleet.freeze(entry.instance);
			await waitFor(context.stage.timers, freezeMs);
			context.fleet.resume(entry.instance);
		});
		await waitFor(context.stage.timers, recoveryMs);
	}
}

/** Stops an entry gracefully while it is in use, and starts it again. */
export class StopEntryFault implements IFault {
	readonly kind = FaultKind.StopEntry;

	async run(context: CampaignContext, place: number): Promise<void> {
		const entry = pickByIndex(context.stage.addresses.entries, place);
		context.log.recordFault(this.kind, entry.instance);
		await stopAndStartEntry(context, entry);
	}
}

/** Stops an entry gracefully, as operators do, and starts it again once it has exited. */
export async function stopAndStartEntry(context: CampaignContext, entry: EntryAddresses): Promise<void> {
	await runDisrupted(context, entry, async () => {
		const report = await context.fleet.stop(entry.instance, stopTimeoutMs);
		if (!isCleanEnd(report.end)) {
			const exit = report.end === undefined ? 'was killed' : `code ${String(report.end.code)}`;
			context.log.recordViolation(Invariant.GracefulStop, `${entry.instance} did not end by itself: ${exit}`);
		}
		await startEntry(context, entry);
	});
}

/** Kills an entry without a graceful stop, and starts it again. */
export async function killAndStartEntry(context: CampaignContext, entry: EntryAddresses): Promise<void> {
	await context.fleet.kill(entry.instance);
	await waitFor(context.stage.timers, restartDelayMs);
	await startEntry(context, entry);
}

/** Marks an entry as disrupted while `run` is in progress. */
export async function runDisrupted(
	context: CampaignContext,
	entry: EntryAddresses,
	run: () => Promise<void>,
): Promise<void> {
	context.disruptions.begin(entry.instance);
	await run();
	context.disruptions.end(entry.instance, context.stage.timers.getNow());
}

async function startEntry(context: CampaignContext, entry: EntryAddresses): Promise<void> {
	await context.fleet.startAgain(entry.instance);
	await context.deployment.waitForReady(entry.instance);
}
