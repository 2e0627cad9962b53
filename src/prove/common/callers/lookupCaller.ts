/**
 * A caller that follows the lookup protocol: it looks up which entries to use, repeats the lookup when the
 * result has expired or a call has failed, retries at the next entry when one refuses the call or the
 * connection, and waits as long as a refusal demands.
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
import { SendOutcome } from '../sendRecord';
import type { CallerContext, ICampaignCaller } from './campaignCaller';
import { pickRandomEntry } from './campaignCaller';

const lookupSchema = z.object({
	validForMs: z.number(),
	entries: z.array(z.object({ instance: z.string() })).min(1),
});
const refusalSchema = z.object({ retryAfterMs: z.number() });

const maxAttempts = 6;
/** Pause before a retry if the refusal gives none. */
const defaultRetryAfterMs = 100;

/** Makes calls that must be answered even while entries are stopped and started. */
export class LookupCaller implements ICampaignCaller {
	private entries: readonly EntryAddresses[] = [];
	private validUntilMs = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly callerContext: CallerContext,
		private readonly log: CampaignLog,
	) {}

	async runCall(callId: string): Promise<void> {
		const outcomes: string[] = [];
		for (let attempt = 0; attempt < maxAttempts; attempt++) {
			const record = await this.sendOnce(`${callId}-${attempt}`, attempt);
			if (record.told === SendOutcome.Answered) {
				return;
			}
			outcomes.push(`${record.told} ${record.errorKind}${record.fault} at ${record.entry}`);
			if (!isSafeToRetry(record)) {
				break;
			}
		}
		this.log.recordViolation(Invariant.RollingReplacement, `${callId}: ${outcomes.join(', then ')}`);
	}

	private async sendOnce(callId: string, attempt: number): Promise<SendRecord> {
		const { home, sender, stage } = this.callerContext;
		await this.updateEntries();
		const entry = this.entries[attempt % this.entries.length] ?? pickRandomEntry(this.callerContext, home);
		const { answer, record } = await sender.send(createCheck(callId, home), entry);
		if (record.told === SendOutcome.NotRun) {
			await waitFor(stage.timers, getRetryAfterMs(answer));
		}
		if (record.told !== SendOutcome.Answered) {
			this.validUntilMs = Number.NEGATIVE_INFINITY;
		}
		return record;
	}

	private async updateEntries(): Promise<void> {
		const { stage, home } = this.callerContext;
		if (stage.timers.getNow() < this.validUntilMs) {
			return;
		}
		const { callers } = pickRandomEntry(this.callerContext, home);
		const url = `${callers}/v1/entries?service=${services.bookings}&organisation=${organisations[home]}`;
		const lookup = lookupSchema.safeParse(parseJson(await stage.caller.send({ method: 'GET', url }))).data;
		if (lookup === undefined) {
			return;
		}
		const instances = lookup.entries.map(({ instance }) => instance);
		this.entries = instances.flatMap(name =>
			stage.addresses.entries.filter(entry => entry.instance === name),
		);
		this.validUntilMs = stage.timers.getNow() + lookup.validForMs;
	}
}

/** Whether the call has certainly not run: it was refused as not run, or the connection was refused. */
function isSafeToRetry({ told, fault }: SendRecord): boolean {
	return told === SendOutcome.NotRun || (told === SendOutcome.NoResponse && fault.includes('ECONNREFUSED'));
}

function getRetryAfterMs(answer: CallAnswer): number {
	return refusalSchema.safeParse(parseJson(answer)).data?.retryAfterMs ?? defaultRetryAfterMs;
}
