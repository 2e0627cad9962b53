/**
 * A caller that sends duplicates: each payment has one ticket and is sent one or more times, to the entry that
 * issued the ticket and to random entries of the region, at once and later, also after the ticket has expired.
 */

import { waitFor } from '../../../demo/common/poll';
import { z } from 'zod';
import type { CallAnswer } from '../../../demo/common/caller';
import { parseJson } from '../../../demo/common/caller';
import type { EntryAddresses } from '../../../demo/common/deploymentAddresses';
import { organisations, services } from '../../../demo/common/exampleNames';
import { createPayment } from '../calls';
import { Phase } from '../sendRecord';
import type { CallerContext, ICampaignCaller } from './campaignCaller';
import { pickRandomEntry } from './campaignCaller';

const ticketsSchema = z.object({ tickets: z.array(z.string()) });

/** Lifetime of a ticket in a campaign, in milliseconds. Short, so that the freeze of an entry lasts longer. */
export const ticketLifetimeMs = 2_000;

const lookupTimeoutMs = 3_000;
const maxInitialSends = 3;
const maxDelayMs = 300;
/** One in this number of payments is sent again after its ticket has expired. */
const lateSendOneIn = 10;

/** Makes payments with duplicate sends. */
export class PaymentCaller implements ICampaignCaller {
	constructor(private readonly callerContext: CallerContext) {}

	async runCall(callId: string): Promise<void> {
		const { home, random } = this.callerContext;
		const issuer = pickRandomEntry(this.callerContext, home);
		const ticket = await this.fetchTicket(issuer);
		if (ticket === undefined) {
			return;
		}
		const call = createPayment(callId, home, ticket);
		const sendCount = 1 + random.pickBelow(maxInitialSends);
		const sends = Array.from({ length: sendCount }, (_, index) => ({
			entry: index === 0 ? issuer : pickRandomEntry(this.callerContext, home),
			delayMs: index === 0 || random.pickBelow(2) === 0 ? 0 : random.pickBelow(maxDelayMs),
		}));
		await Promise.all(sends.map(({ entry, delayMs }) => this.sendDelayed(call, entry, delayMs)));
		if (this.callerContext.sender.phase !== Phase.Calm && random.pickBelow(lateSendOneIn) === 0) {
			await this.sendDelayed(call, pickRandomEntry(this.callerContext, home), ticketLifetimeMs);
		}
	}

	private async sendDelayed(
		call: ReturnType<typeof createPayment>,
		entry: EntryAddresses,
		delayMs: number,
	): Promise<void> {
		await waitFor(this.callerContext.stage.timers, delayMs);
		await this.callerContext.sender.send(call, entry);
	}

	private async fetchTicket(entry: EntryAddresses): Promise<string | undefined> {
		const { stage, home } = this.callerContext;
		const query = `service=${services.bookings}&organisation=${organisations[home]}&tickets=1`;
		const answer = await Promise.race([
			stage.caller.send({ method: 'GET', url: `${entry.callers}/v1/entries?${query}` }),
			waitFor(stage.timers, lookupTimeoutMs),
		]);
		return answer === undefined ? undefined : parseTicket(answer);
	}
}

function parseTicket(answer: CallAnswer): string | undefined {
	return ticketsSchema.safeParse(parseJson(answer)).data?.tickets[0];
}
