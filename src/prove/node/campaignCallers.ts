/**
 * The callers of a phase: for each region payers, readers, drafters and some that go astray.
 */

import { SeededRandom } from '../../base/common/random';
import type { DeploymentContext } from '../../demo/common/scenario';
import type { CallSender } from '../common/callSender';
import type { CallerSurroundings, ICampaignCaller } from '../common/callers/campaignCaller';
import { runCaller } from '../common/callers/campaignCaller';
import { Payer } from '../common/callers/payer';
import { Drafter, MisdirectedCaller, Reader } from '../common/callers/plainCallers';
import type { RegionKey } from '../common/calls';
import { regionKeys } from '../common/calls';

type CallerMaker = (surroundings: CallerSurroundings) => ICampaignCaller;

/** Callers of one phase, from their start until the last call has ended. */
export class CampaignCallers {
	private isStopped = false;
	private readonly ends: Promise<void>[] = [];

	constructor(
		private readonly stage: DeploymentContext,
		private readonly sender: CallSender,
		private readonly seed: number,
	) {}

	/** @param draftTokens Length of the drafts. */
	start(draftTokens: number): void {
		for (const home of regionKeys) {
			this.startCaller(`payer-${home}-1`, home, surroundings => new Payer(surroundings));
			this.startCaller(`payer-${home}-2`, home, surroundings => new Payer(surroundings));
			this.startCaller(`reader-${home}`, home, surroundings => new Reader(surroundings));
			this.startCaller(`drafter-${home}`, home, surroundings => new Drafter(surroundings, draftTokens));
			this.startCaller(`astray-${home}`, home, surroundings => new MisdirectedCaller(surroundings));
		}
	}

	startCaller(role: string, home: RegionKey, create: CallerMaker): void {
		const name = `${this.sender.phase}-${role}`;
		const random = new SeededRandom(this.seed + this.ends.length);
		const surroundings = { stage: this.stage, sender: this.sender, random, name, home };
		this.ends.push(runCaller(create(surroundings), surroundings, () => this.isStopped));
	}

	/** Ends when every call in progress has ended. */
	async stop(): Promise<void> {
		this.isStopped = true;
		await Promise.all(this.ends);
	}
}
