/**
 * A caller who does as told: it looks up which entries to use, asks again when the lookup is no longer
 * valid, goes on to the next entry where one refuses or is gone, and comes back when told to.
 */

import { z } from 'zod';
import type { CallAnswer } from '../../../demo/common/caller';
import { parseJson } from '../../../demo/common/caller';
import type { EntryAddresses } from '../../../demo/common/deploymentAddresses';
import { organisations, services } from '../../../demo/common/exampleNames';
import { waitFor } from '../../../demo/common/poll';
import type { CampaignLog } from '../campaignLog';
import { createCheck } from '../calls';
import { Invariant } from '../invariants';
import type { SendRecord } from '../sendRecord';
import { Told } from '../sendRecord';
import type { CallerSurroundings, ICampaignCaller } from './campaignCaller';
import { pickEntry } from './campaignCaller';

const lookupSchema = z.object({
	validForMs: z.number(),
	entries: z.array(z.object({ instance: z.string() })).min(1),
});
const refusalSchema = z.object({ retryAfterMs: z.number() });

const mostTries = 6;
/** Where a refusal names no time. */
const usualPauseMs = 100;

/** Makes calls that must not fail, whichever entries come and go. */
export class Follower implements ICampaignCaller {
	private entries: readonly EntryAddresses[] = [];
	private validUntilMs = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly surroundings: CallerSurroundings,
		private readonly log: CampaignLog,
	) {}

	async runCall(callId: string): Promise<void> {
		const told: string[] = [];
		for (let attempt = 0; attempt < mostTries; attempt++) {
			const record = await this.sendOnce(`${callId}-${attempt}`, attempt);
			if (record.told === Told.Answered) {
				return;
			}
			told.push(`${record.told} ${record.errorKind}${record.fault} at ${record.entry}`);
			if (!isToldToGoOn(record)) {
				break;
			}
		}
		this.log.noteViolation(Invariant.RollingReplacement, `${callId}: ${told.join(', then ')}`);
	}

	private async sendOnce(callId: string, attempt: number): Promise<SendRecord> {
		const { home, sender, stage } = this.surroundings;
		await this.updateEntries();
		const entry = this.entries[attempt % this.entries.length] ?? pickEntry(this.surroundings, home);
		const { answer, record } = await sender.send(createCheck(callId, home), entry);
		if (record.told === Told.NotRun) {
			await waitFor(stage.timers, getRetryAfterMs(answer));
		}
		if (record.told !== Told.Answered) {
			this.validUntilMs = Number.NEGATIVE_INFINITY;
		}
		return record;
	}

	private async updateEntries(): Promise<void> {
		const { stage, home } = this.surroundings;
		if (stage.timers.getNow() < this.validUntilMs) {
			return;
		}
		const { callers } = pickEntry(this.surroundings, home);
		const url = `${callers}/v1/entries?service=${services.bookings}&organisation=${organisations[home]}`;
		const lookup = lookupSchema.safeParse(parseJson(await stage.caller.send({ method: 'GET', url }))).data;
		if (lookup === undefined) {
			return;
		}
		const named = lookup.entries.map(({ instance }) => instance);
		this.entries = named.flatMap(name => stage.addresses.entries.filter(entry => entry.instance === name));
		this.validUntilMs = stage.timers.getNow() + lookup.validForMs;
	}
}

/** Refused with nothing run, or never taken: the next entry may be asked without a doubt. */
function isToldToGoOn({ told, fault }: SendRecord): boolean {
	return told === Told.NotRun || (told === Told.Nothing && fault.includes('ECONNREFUSED'));
}

function getRetryAfterMs(answer: CallAnswer): number {
	return refusalSchema.safeParse(parseJson(answer)).data?.retryAfterMs ?? usualPauseMs;
}
