/**
 * Faults of one target: its open connections stop carrying data, it sends no answers, resets connections in
 * the middle of answers, refuses requests, answers with the id of another attempt, reports that it is
 * leaving, or crashes on a request.
 */

import type { TargetAddresses } from '../../../demo/common/deploymentAddresses';
import { listEntriesInRegion } from '../../../demo/common/deploymentAddresses';
import { regions, services } from '../../../demo/common/exampleNames';
import { waitFor, waitUntil } from '../../../demo/common/poll';
import { createCrash, createDraft, regionKeys } from '../../common/calls';
import { pickRandom } from '../../common/callers/campaignCaller';
import { FaultKind } from '../../common/faultSchedule';
import { Invariant } from '../../common/invariants';
import type { CampaignContext, IFault } from '../campaignContext';
import { pickByIndex } from '../campaignContext';
import { targetLinks } from '../preparedExample';

const faultMs = 1_200;
const slowPeriodFactor = 2.5;
/** Bytes of an answer after which a target resets the connection. Less than any answer of a campaign has. */
const bytesBeforeReset = 10;

/** Enables one fault setting of a simulated target for a while. */
export class TargetSettingFault implements IFault {
	constructor(
		readonly kind: FaultKind,
		private readonly faultSettings: object,
		private readonly normalSettings: object,
	) {}

	async run(context: CampaignContext, place: number): Promise<void> {
		const { admin, id } = pickByIndex(context.stage.addresses.targets, place);
		context.log.recordFault(this.kind, id);
		await context.stage.admin.setFaults(admin, id, this.faultSettings);
		await waitFor(context.stage.timers, faultMs);
		await context.stage.admin.setFaults(admin, id, this.normalSettings);
	}
}

/** Creates the faults that consist of one setting of a simulated target. */
export function createTargetSettingFaults(): IFault[] {
	return [
		new TargetSettingFault(
			FaultKind.TargetDiesMidAnswer,
			{ resetAfterBytes: bytesBeforeReset },
			{ resetAfterBytes: null },
		),
		new TargetSettingFault(FaultKind.TargetRefuses, { refuseUnrun: true }, { refuseUnrun: false }),
		new TargetSettingFault(
			FaultKind.TargetAnswersWrongAttempt,
			{ foreignAttempt: true },
			{ foreignAttempt: false },
		),
		new TargetSettingFault(
			FaultKind.TargetSlow,
			{ slowFactor: slowPeriodFactor, reportSlowness: true },
			{ slowFactor: 1, reportSlowness: false },
		),
		new TargetSettingFault(FaultKind.TargetSilent, { silentBeforeHead: true }, { silentBeforeHead: false }),
	];
}

/** Permanently silences the open connections to a target. New connections work. */
export class SilenceTargetFault implements IFault {
	readonly kind = FaultKind.SilenceTarget;

	async run(context: CampaignContext, place: number): Promise<void> {
		const { name } = pickByIndex(targetLinks, place);
		context.log.recordFault(this.kind, name);
		const links = context.stage.addresses.links.filter(link => link.name === name);
		for (const { admin } of links) {
			await context.stage.admin.setFaults(admin, name, { silenceOpen: true });
		}
		await waitFor(context.stage.timers, faultMs);
	}
}

const firstRefusalTimeoutMs = 2_500;
/** Longest time until entries stop sending requests to a leaving target. */
const maxLeavingNoticeMs = 3_000;
const observationMs = 2_000;
const leavingDraftTokens = 20;

/**
 * An inference engine refuses requests because it is leaving, and keeps listening. Other faults may keep
 * requests away from an engine, which then has no request to refuse: in that case the next engine is tried.
 */
export class TargetReportsLeavingFault implements IFault {
	readonly kind = FaultKind.TargetReportsLeaving;

	async run(context: CampaignContext, place: number): Promise<void> {
		const engines = context.stage.addresses.targets.filter(({ service }) => service === services.assistant);
		for (let step = 0; step < engines.length; step++) {
			if (await this.runAtTarget(context, pickByIndex(engines, place + step))) {
				return;
			}
		}
		context.log.recordViolation(Invariant.EveryFaultInjected, `${this.kind}: no engine refused a request`);
	}

	/** Returns whether the engine has refused a request, and so reported that it is leaving. */
	private async runAtTarget(context: CampaignContext, target: TargetAddresses): Promise<boolean> {
		const { admin, id } = target;
		await context.stage.admin.setFaults(admin, id, { leaving: true });
		const hasRefused = await this.waitForFirstRefusal(context, target);
		if (hasRefused) {
			context.log.recordFault(this.kind, id);
			await checkNoNewRequests(context, target);
		}
		await context.stage.admin.setFaults(admin, id, { leaving: false });
		return hasRefused;
	}

	private async waitForFirstRefusal(
		context: CampaignContext,
		{ admin, id, region }: TargetAddresses,
	): Promise<boolean> {
		const { stage, sender } = context;
		const home = regionKeys.find(key => key === region) ?? 'kingston';
		const before = await stage.admin.readCounter(admin, id, 'refusedUnrun');
		let number = 0;
		return waitUntil(stage.timers, firstRefusalTimeoutMs, async () => {
			number++;
			const entry = pickRandom(context.random, listEntriesInRegion(stage.addresses, region));
			await sender.send(createDraft(`leaving-${id}-${number}`, home, leavingDraftTokens), entry);
			return (await stage.admin.readCounter(admin, id, 'refusedUnrun')) > before;
		});
	}
}

/** Checks that a leaving target gets no more requests once entries have had time to react. */
export async function checkNoNewRequests(
	context: CampaignContext,
	{ admin, id }: TargetAddresses,
): Promise<void> {
	const { stage, log } = context;
	await waitFor(stage.timers, maxLeavingNoticeMs);
	const before = await stage.admin.readCounter(admin, id, 'requests');
	await waitFor(stage.timers, observationMs);
	const requests = (await stage.admin.readCounter(admin, id, 'requests')) - before;
	if (requests > 0) {
		log.recordViolation(Invariant.LeavingTargets, `${id} got ${requests} requests in ${observationMs} ms`);
	}
}

const crashSends = 6;
const crashPauseMs = 300;
const maxCrashes = 2;

/** A request that crashes each inference engine that runs it, sent to one entry after the other. */
export class CrashingRequestFault implements IFault {
	readonly kind = FaultKind.CrashingRequest;

	async run(context: CampaignContext): Promise<void> {
		const { stage, log, sender } = context;
		log.recordFault(this.kind, regions.kingston);
		const entries = listEntriesInRegion(stage.addresses, regions.kingston);
		const before = await countCrashes(context);
		for (let send = 0; send < crashSends; send++) {
			await sender.send(createCrash('crashing', 'kingston'), pickByIndex(entries, send));
			await waitFor(stage.timers, crashPauseMs);
		}
		const after = await countCrashes(context);
		for (const [region, crashes] of after) {
			const newCrashes = crashes - (before.get(region) ?? 0);
			if (newCrashes > maxCrashes) {
				log.recordViolation(Invariant.CrashesContained, `${newCrashes} crashes in ${region}`);
			}
		}
	}
}

/** Crashes of inference engines since the start, by region. */
async function countCrashes({ stage }: CampaignContext): Promise<ReadonlyMap<string, number>> {
	const crashes = new Map<string, number>();
	for (const { admin, id, region, service } of stage.addresses.targets) {
		if (service === services.assistant) {
			const count = await stage.admin.readCounter(admin, id, 'crashes');
			crashes.set(region, (crashes.get(region) ?? 0) + count);
		}
	}
	return crashes;
}
