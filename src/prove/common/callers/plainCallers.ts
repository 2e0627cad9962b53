/**
 * Callers who send each call once, to an entry of their own region or, by mistake, of another.
 */

import { createCheck, createDraft, createEcho, regionKeys } from '../calls';
import { CallKind } from '../sendRecord';
import type { CallerSurroundings, ICampaignCaller } from './campaignCaller';
import { pickEntry, pickOne } from './campaignCaller';

/** Asks what may be asked twice, by turns for a count and for its bytes. */
export class Reader implements ICampaignCaller {
	constructor(private readonly surroundings: CallerSurroundings) {}

	async runCall(callId: string): Promise<void> {
		const { home, random, sender } = this.surroundings;
		const call = random.pickBelow(2) === 0 ? createCheck(callId, home) : createEcho(callId, home, random);
		await sender.send(call, pickEntry(this.surroundings, home));
	}
}

/** Reads streamed drafts of so many tokens. */
export class Drafter implements ICampaignCaller {
	constructor(
		private readonly surroundings: CallerSurroundings,
		private readonly tokens: number,
	) {}

	async runCall(callId: string): Promise<void> {
		const { home, sender } = this.surroundings;
		await sender.send(createDraft(callId, home, this.tokens), pickEntry(this.surroundings, home));
	}
}

/** Sends bound calls to entries of another region. */
export class MisdirectedCaller implements ICampaignCaller {
	constructor(private readonly surroundings: CallerSurroundings) {}

	async runCall(callId: string): Promise<void> {
		const { home, random, sender } = this.surroundings;
		const others = regionKeys.filter(region => region !== home);
		const call = createCheck(callId, home, CallKind.Misdirected);
		await sender.send(call, pickEntry(this.surroundings, pickOne(random, others)));
	}
}
