/**
 * One campaign: the phases in their order, and the comparison of the two views at the end.
 */

import { SeededRandom } from '../../base/common/random';
import { waitFor } from '../../demo/common/poll';
import { CallSender } from '../common/callSender';
import { regionKeys } from '../common/calls';
import type { PlannedFault } from '../common/faultSchedule';
import { FaultKind, listMissing, planFaults } from '../common/faultSchedule';
import { checkLedgers, Invariant } from '../common/invariants';
import { Phase } from '../common/sendRecord';
import type { CampaignResult } from '../common/verdict';
import { CampaignCallers } from './campaignCallers';
import { lanes } from './faults/lanes';
import type { Field, IFault } from './field';
import { runReplacement } from './replacement';
import { readRuns } from './runReader';

/** What decides a campaign. */
export interface CampaignPlan {
	readonly seed: number;
	readonly isShort: boolean;
}

const calmMs = 2_500;
const calmDraftTokens = 30;
const faultDraftTokens = 60;
/** Above the time in which a caller's last copy can still reach a target. */
const settleMs = 1_500;
/** Keeps the random choices of the phases apart. */
const seedStride = 1_000;

/** Runs a campaign on a deployment that is up. */
export class Campaign {
	constructor(
		private readonly field: Field,
		private readonly plan: CampaignPlan,
	) {}

	async run(): Promise<CampaignResult> {
		const { stage, log, manifests } = this.field;
		const startMs = stage.timers.getNow();
		manifests.start();
		await this.runCalmly();
		await this.runFaults();
		await runReplacement(this.field, this.plan);
		await waitFor(stage.timers, settleMs);
		const runs = await readRuns(stage);
		this.checkEnd();
		return {
			...this.plan,
			tookMs: stage.timers.getNow() - startMs,
			sends: log.sends,
			runs: runs.reduce((sum, record) => sum + record.runs, 0),
			injected: log.injected,
			spreadMs: log.spreadMs,
			violations: [...log.violations, ...checkLedgers({ sends: log.sends, runs })],
		};
	}

	private async runCalmly(): Promise<void> {
		const { stage, log } = this.field;
		const sender = new CallSender(stage, log, Phase.Calm);
		const callers = new CampaignCallers(stage, sender, this.plan.seed);
		callers.start(calmDraftTokens);
		await waitFor(stage.timers, calmMs);
		await callers.stop();
	}

	private async runFaults(): Promise<void> {
		const { stage, sender } = this.field;
		const callers = new CampaignCallers(stage, sender, this.plan.seed + seedStride);
		callers.start(faultDraftTokens);
		await Promise.all(lanes.map((faults, index) => this.runLane(faults, index)));
		await callers.stop();
	}

	private async runLane(faults: readonly IFault[], lane: number): Promise<void> {
		const random = new SeededRandom(this.plan.seed * seedStride + lane);
		const kinds = faults.map(({ kind }) => kind).filter(kind => !this.isLeftToReplacement(kind));
		for (const planned of planFaults(random, kinds, this.plan.isShort)) {
			await this.runFault(faults, planned);
		}
	}

	/** A stop takes as long as several other faults; the short form has those of the replacement only. */
	private isLeftToReplacement(kind: FaultKind): boolean {
		return this.plan.isShort && kind === FaultKind.StopEntry;
	}

	private async runFault(faults: readonly IFault[], { kind, place }: PlannedFault): Promise<void> {
		await faults.find(fault => fault.kind === kind)?.run(this.field, place);
	}

	private checkEnd(): void {
		const { log, manifests } = this.field;
		const kinds: FaultKind[] = lanes.flat().map(({ kind }) => kind);
		for (const kind of listMissing(kinds, log.injected)) {
			log.noteViolation(Invariant.EveryFaultInjected, kind);
		}
		const behind = manifests.listBehind(manifests.getPublishedVersion(), this.field.stage.timers.getNow());
		if (behind.length > 0 || manifests.countDigests() > 1) {
			const detail = `at the end, ${manifests.countDigests()} documents; behind: ${behind.join(', ')}`;
			log.noteViolation(Invariant.ManifestSpreads, detail);
		}
		if (!regionKeys.every(region => log.sends.some(send => send.region === region))) {
			log.noteViolation(Invariant.EveryFaultInjected, 'a region had no callers');
		}
	}
}
