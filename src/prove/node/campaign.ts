/**
 * Runs the phases of a campaign in order, and checks at the end the callers' records against the targets'
 * records.
 */

import { SeededRandom } from '../../base/common/random';
import { waitFor } from '../../demo/common/poll';
import { CallSender } from '../common/callSender';
import { regionKeys } from '../common/calls';
import type { PlannedFault } from '../common/faultSchedule';
import { FaultKind, listMissing, planFaults } from '../common/faultSchedule';
import { checkRecords, Invariant } from '../common/invariants';
import { checkLimit, checkTrueRefusals, checkWithdrawnKeys } from '../common/organisationChecks';
import { Phase } from '../common/sendRecord';
import type { CampaignResult } from '../common/verdict';
import { CampaignCallers } from './campaignCallers';
import type { CampaignContext, IFault } from './campaignContext';
import { faultSequences } from './faults/faultSequences';
import { runReplacement } from './replacement';
import { readRuns } from './runReader';

/** The parameters of a campaign. */
export interface CampaignPlan {
	readonly seed: number;
	readonly isShort: boolean;
}

const calmPhaseMs = 2_500;
const calmDraftTokens = 30;
const faultDraftTokens = 60;
/** Longer than the time in which the last duplicate of a call can still reach a target. */
const settlingMs = 1_500;
/** Separates the random seeds of the phases and of the fault sequences. */
const seedStride = 1_000;

/** Runs a campaign on a running deployment. */
export class Campaign {
	constructor(
		private readonly context: CampaignContext,
		private readonly plan: CampaignPlan,
	) {}

	async run(): Promise<CampaignResult> {
		const { stage, log, manifestMonitor } = this.context;
		const startMs = stage.timers.getNow();
		manifestMonitor.start();
		await this.runCalmPhase();
		await this.runFaultPhase();
		await runReplacement(this.context, this.plan);
		await waitFor(stage.timers, settlingMs);
		const runs = await readRuns(stage);
		this.checkFinalState();
		const records = { sends: log.sends, runs };
		return {
			...this.plan,
			tookMs: stage.timers.getNow() - startMs,
			sends: log.sends,
			runs: runs.reduce((sum, record) => sum + record.runs, 0),
			injected: log.injected,
			spreadMs: log.spreadMs,
			violations: [
				...log.violations,
				...checkRecords(records),
				...checkWithdrawnKeys(records),
				...checkLimit(records),
				...checkTrueRefusals(records),
			],
		};
	}

	private async runCalmPhase(): Promise<void> {
		const { stage, log } = this.context;
		const sender = new CallSender(stage, log, Phase.Calm);
		const callers = new CampaignCallers(stage, sender, this.plan.seed);
		callers.start(calmDraftTokens);
		await waitFor(stage.timers, calmPhaseMs);
		await callers.stop();
	}

	private async runFaultPhase(): Promise<void> {
		const { stage, sender } = this.context;
		const callers = new CampaignCallers(stage, sender, this.plan.seed + seedStride);
		callers.start(faultDraftTokens);
		await Promise.all(faultSequences.map((faults, index) => this.runSequence(faults, index)));
		await callers.stop();
	}

	private async runSequence(faults: readonly IFault[], index: number): Promise<void> {
		const random = new SeededRandom(this.plan.seed * seedStride + index);
		const kinds = faults.map(({ kind }) => kind).filter(kind => !this.isCoveredByReplacement(kind));
		for (const planned of planFaults(random, kinds, this.plan.isShort)) {
			await this.runFault(faults, planned);
		}
	}

	/**
	 * A stop takes as long as several other faults, so the short form stops entries only in the replacement
	 * phase.
	 */
	private isCoveredByReplacement(kind: FaultKind): boolean {
		return this.plan.isShort && kind === FaultKind.StopEntry;
	}

	private async runFault(faults: readonly IFault[], { kind, place }: PlannedFault): Promise<void> {
		await faults.find(fault => fault.kind === kind)?.run(this.context, place);
	}

	private checkFinalState(): void {
		const { log, manifestMonitor } = this.context;
		const kinds: FaultKind[] = faultSequences.flat().map(({ kind }) => kind);
		for (const kind of listMissing(kinds, log.injected)) {
			log.recordViolation(Invariant.EveryFaultInjected, kind);
		}
		const outdated = manifestMonitor.listOutdatedEntries(
			manifestMonitor.getPublishedVersion(),
			this.context.stage.timers.getNow(),
		);
		if (outdated.length > 0 || manifestMonitor.countDigests() > 1) {
			const detail = `at the end, ${manifestMonitor.countDigests()} different manifests in force; outdated entries: ${outdated.join(', ')}`;
			log.recordViolation(Invariant.ManifestPropagates, detail);
		}
		if (!regionKeys.every(region => log.sends.some(send => send.region === region))) {
			log.recordViolation(Invariant.EveryFaultInjected, 'a region had no callers');
		}
	}
}
