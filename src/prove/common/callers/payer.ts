/**
 * Payers who do not trust their line: each payment has one ticket and is sent several times, to the same
 * and to other entries, at once and later, also after the ticket's life.
 */

import { waitFor } from '../../../demo/common/poll';
import { z } from 'zod';
import type { CallAnswer } from '../../../demo/common/caller';
import { parseJson } from '../../../demo/common/caller';
import type { EntryAddresses } from '../../../demo/common/deploymentAddresses';
import { organisations, services } from '../../../demo/common/exampleNames';
import { createPayment } from '../calls';
import { Phase } from '../sendRecord';
import type { CallerSurroundings, ICampaignCaller } from './campaignCaller';
import { pickEntry } from './campaignCaller';

const ticketsSchema = z.object({ tickets: z.array(z.string()) });

/** Life of a ticket in a campaign, in milliseconds: short, so that freezes outlast it. */
export const ticketLifeMs = 2_000;

const lookupLimitMs = 3_000;
const mostCopies = 3;
const longestWaitMs = 300;
/** One payment in so many is sent again after its ticket expired. */
const lateOneIn = 10;

/** Makes payments. */
export class Payer implements ICampaignCaller {
	constructor(private readonly surroundings: CallerSurroundings) {}

	async runCall(callId: string): Promise<void> {
		const { home, random } = this.surroundings;
		const issuer = pickEntry(this.surroundings, home);
		const ticket = await this.fetchTicket(issuer);
		if (ticket === undefined) {
			return;
		}
		const call = createPayment(callId, home, ticket);
		const copies = 1 + random.pickBelow(mostCopies);
		const sends = Array.from({ length: copies }, (_, index) => ({
			entry: index === 0 ? issuer : pickEntry(this.surroundings, home),
			delayMs: index === 0 || random.pickBelow(2) === 0 ? 0 : random.pickBelow(longestWaitMs),
		}));
		await Promise.all(sends.map(({ entry, delayMs }) => this.sendLater(call, entry, delayMs)));
		if (this.surroundings.sender.phase !== Phase.Calm && random.pickBelow(lateOneIn) === 0) {
			await this.sendLater(call, pickEntry(this.surroundings, home), ticketLifeMs);
		}
	}

	private async sendLater(
		call: ReturnType<typeof createPayment>,
		entry: EntryAddresses,
		delayMs: number,
	): Promise<void> {
		await waitFor(this.surroundings.stage.timers, delayMs);
		await this.surroundings.sender.send(call, entry);
	}

	private async fetchTicket(entry: EntryAddresses): Promise<string | undefined> {
		const { stage, home } = this.surroundings;
		const query = `service=${services.bookings}&organisation=${organisations[home]}&tickets=1`;
		const answer = await Promise.race([
			stage.caller.send({ method: 'GET', url: `${entry.callers}/v1/entries?${query}` }),
			waitFor(stage.timers, lookupLimitMs),
		]);
		return answer === undefined ? undefined : parseTicket(answer);
	}
}

function parseTicket(answer: CallAnswer): string | undefined {
	return ticketsSchema.safeParse(parseJson(answer)).data?.tickets[0];
}
