/**
 * Starts and stops the callers of a phase: in each region callers that send payments, repeatable calls,
 * drafts and misdirected calls.
 */

import { SeededRandom } from '../../base/common/random';
import type { DeploymentContext } from '../../demo/common/scenario';
import type { CallSender } from '../common/callSender';
import type { CallerContext, ICampaignCaller } from '../common/callers/campaignCaller';
import { runCaller } from '../common/callers/campaignCaller';
import { PaymentCaller } from '../common/callers/paymentCaller';
import { DraftCaller, MisdirectedCaller, RepeatableCaller } from '../common/callers/singleSendCallers';
import type { RegionKey } from '../common/calls';
import { regionKeys } from '../common/calls';

type CallerFactory = (callerContext: CallerContext) => ICampaignCaller;

/** The callers of one phase. */
export class CampaignCallers {
	private isStopped = false;
	private readonly callerRuns: Promise<void>[] = [];

	constructor(
		private readonly stage: DeploymentContext,
		private readonly sender: CallSender,
		private readonly seed: number,
	) {}

	/** @param draftTokens Length of the drafts, in tokens. */
	start(draftTokens: number): void {
		for (const home of regionKeys) {
			this.startCaller(`payer-${home}-1`, home, callerContext => new PaymentCaller(callerContext));
			this.startCaller(`payer-${home}-2`, home, callerContext => new PaymentCaller(callerContext));
			this.startCaller(`reader-${home}`, home, callerContext => new RepeatableCaller(callerContext));
			this.startCaller(`drafter-${home}`, home, callerContext => new DraftCaller(callerContext, draftTokens));
			this.startCaller(`astray-${home}`, home, callerContext => new MisdirectedCaller(callerContext));
		}
	}

	startCaller(role: string, home: RegionKey, create: CallerFactory): void {
		const name = `${this.sender.phase}-${role}`;
		const random = new SeededRandom(this.seed + this.callerRuns.length);
		const callerContext = { stage: this.stage, sender: this.sender, random, name, home };
		this.callerRuns.push(runCaller(create(callerContext), callerContext, () => this.isStopped));
	}

	/** Stops all callers. Resolves when every call in progress has ended. */
	async stop(): Promise<void> {
		this.isStopped = true;
		await Promise.all(this.callerRuns);
	}
}
