/**
 * Faults of one entry: it is killed, frozen for longer than a ticket lives, or told to stop under load.
 */

import type { EntryAddresses } from '../../../demo/common/deploymentAddresses';
import { waitFor } from '../../../demo/common/poll';
import { isCleanEnd } from '../../../demo/node/processManager';
import { ticketLifeMs } from '../../common/callers/payer';
import { FaultKind } from '../../common/faultSchedule';
import { Invariant } from '../../common/invariants';
import type { Field, IFault } from '../field';
import { getAt } from '../field';

const deadMs = 300;
const recoveryMs = 500;
const frozenMs = ticketLifeMs + 1_200;
/** Above the grace and the longest stream of a campaign; one that takes longer did not end by itself. */
const stopLimitMs = 30_000;

/** Kills an entry and starts it anew. */
export class KillEntryFault implements IFault {
	readonly kind = FaultKind.KillEntry;

	async run(field: Field, place: number): Promise<void> {
		const entry = getAt(field.stage.addresses.entries, place);
		field.log.noteFault(this.kind, entry.instance);
		await runDisturbed(field, entry, () => killAndRestart(field, entry));
		await waitFor(field.stage.timers, recoveryMs);
	}
}

/** Freezes an entry until every ticket that it knew has expired, and wakes it. */
export class FreezeEntryFault implements IFault {
	readonly kind = FaultKind.FreezeEntry;

	async run(field: Field, place: number): Promise<void> {
		const entry = getAt(field.stage.addresses.entries, place);
		field.log.noteFault(this.kind, entry.instance);
		await runDisturbed(field, entry, async () => {
			field.fleet.freeze(entry.instance);
			await waitFor(field.stage.timers, frozenMs);
			field.fleet.resume(entry.instance);
		});
		await waitFor(field.stage.timers, recoveryMs);
	}
}

/** Asks an entry to stop while it is in use, and starts it anew. */
export class StopEntryFault implements IFault {
	readonly kind = FaultKind.StopEntry;

	async run(field: Field, place: number): Promise<void> {
		const entry = getAt(field.stage.addresses.entries, place);
		field.log.noteFault(this.kind, entry.instance);
		await renewEntry(field, entry);
	}
}

/** Stops an entry as operators do, and starts it anew once it has ended. */
export async function renewEntry(field: Field, entry: EntryAddresses): Promise<void> {
	await runDisturbed(field, entry, async () => {
		const report = await field.fleet.stop(entry.instance, stopLimitMs);
		if (!isCleanEnd(report.end)) {
			const how = report.end === undefined ? 'was killed' : `code ${String(report.end.code)}`;
			field.log.noteViolation(Invariant.GracefulStop, `${entry.instance} did not end by itself: ${how}`);
		}
		await startAgain(field, entry);
	});
}

/** Ends an entry at once and starts it anew. */
export async function killAndRestart(field: Field, entry: EntryAddresses): Promise<void> {
	await field.fleet.kill(entry.instance);
	await waitFor(field.stage.timers, deadMs);
	await startAgain(field, entry);
}

/** Marks an entry as out of reach for as long as something is done to it. */
export async function runDisturbed(
	field: Field,
	entry: EntryAddresses,
	run: () => Promise<void>,
): Promise<void> {
	field.disturbances.begin(entry.instance);
	await run();
	field.disturbances.end(entry.instance, field.stage.timers.getNow());
}

async function startAgain(field: Field, entry: EntryAddresses): Promise<void> {
	await field.fleet.startAgain(entry.instance);
	await field.deployment.waitForReady(entry.instance);
}
