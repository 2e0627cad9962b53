/**
 * Callers that send each call once, to an entry of their home region or, for misdirected calls, of another
 * region.
 */

import { createCheck, createDraft, createEcho, regionKeys } from '../calls';
import { CallKind } from '../sendRecord';
import type { CallerContext, ICampaignCaller } from './campaignCaller';
import { pickRandom, pickRandomEntry } from './campaignCaller';

/** Sends calls that may be repeated, at random a check or an echo. */
export class RepeatableCaller implements ICampaignCaller {
	constructor(private readonly callerContext: CallerContext) {}

	async runCall(callId: string): Promise<void> {
		const { home, random, sender } = this.callerContext;
		const call = random.pickBelow(2) === 0 ? createCheck(callId, home) : createEcho(callId, home, random);
		await sender.send(call, pickRandomEntry(this.callerContext, home));
	}
}

/** Requests streamed drafts of `tokens` tokens. */
export class DraftCaller implements ICampaignCaller {
	constructor(
		private readonly callerContext: CallerContext,
		private readonly tokens: number,
	) {}

	async runCall(callId: string): Promise<void> {
		const { home, sender } = this.callerContext;
		await sender.send(createDraft(callId, home, this.tokens), pickRandomEntry(this.callerContext, home));
	}
}

/** Sends calls that must run in their home region to entries of other regions. */
export class MisdirectedCaller implements ICampaignCaller {
	constructor(private readonly callerContext: CallerContext) {}

	async runCall(callId: string): Promise<void> {
		const { home, random, sender } = this.callerContext;
		const otherRegions = regionKeys.filter(region => region !== home);
		const call = createCheck(callId, home, CallKind.Misdirected);
		await sender.send(call, pickRandomEntry(this.callerContext, pickRandom(random, otherRegions)));
	}
}
