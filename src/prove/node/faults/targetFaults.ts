/**
 * Faults of one target: its open connections fall silent, it dies in the middle of answers, refuses work,
 * answers with another attempt's id, or leaves by its own word.
 */

import type { TargetAddresses } from '../../../demo/common/deploymentAddresses';
import { listEntriesInRegion } from '../../../demo/common/deploymentAddresses';
import { regions, services } from '../../../demo/common/exampleNames';
import { waitFor, waitUntil } from '../../../demo/common/poll';
import { createCrash, createDraft, regionKeys } from '../../common/calls';
import { pickOne } from '../../common/callers/campaignCaller';
import { FaultKind } from '../../common/faultSchedule';
import { Invariant } from '../../common/invariants';
import type { Field, IFault } from '../field';
import { getAt } from '../field';
import { targetLinks } from '../preparedExample';

const faultMs = 1_200;
/** Bytes of an answer after which a target dies; less than any answer of a campaign. */
const bytesBeforeDeath = 10;

/** Switches one fault of a target on for a while. */
export class SwitchedTargetFault implements IFault {
	constructor(
		readonly kind: FaultKind,
		private readonly switchedOn: object,
		private readonly switchedOff: object,
	) {}

	async run(field: Field, place: number): Promise<void> {
		const { admin, id } = getAt(field.stage.addresses.targets, place);
		field.log.noteFault(this.kind, id);
		await field.stage.admin.setFaults(admin, id, this.switchedOn);
		await waitFor(field.stage.timers, faultMs);
		await field.stage.admin.setFaults(admin, id, this.switchedOff);
	}
}

/** The faults that one switch of a target brings about. */
export function createSwitchedFaults(): IFault[] {
	return [
		new SwitchedTargetFault(
			FaultKind.TargetDiesMidAnswer,
			{ resetAfterBytes: bytesBeforeDeath },
			{ resetAfterBytes: null },
		),
		new SwitchedTargetFault(FaultKind.TargetRefuses, { refuseUnrun: true }, { refuseUnrun: false }),
		new SwitchedTargetFault(
			FaultKind.TargetCrossesAnswers,
			{ foreignAttempt: true },
			{ foreignAttempt: false },
		),
		new SwitchedTargetFault(FaultKind.TargetSilent, { silentBeforeHead: true }, { silentBeforeHead: false }),
	];
}

/** Silences, for good, the connections open to a target, while new ones work. */
export class SilenceTargetFault implements IFault {
	readonly kind = FaultKind.SilenceTarget;

	async run(field: Field, place: number): Promise<void> {
		const { name } = getAt(targetLinks, place);
		field.log.noteFault(this.kind, name);
		const links = field.stage.addresses.links.filter(link => link.name === name);
		for (const { admin } of links) {
			await field.stage.admin.setFaults(admin, name, { silenceOpen: true });
		}
		await waitFor(field.stage.timers, faultMs);
	}
}

const firstRefusalWithinMs = 2_500;
const quietAfterMs = 3_000;
const observedMs = 2_000;
const leavingDraftTokens = 20;

/**
 * An engine says that it is leaving, and goes on listening. Other faults may keep work away from an engine,
 * and one that is asked nothing can tell nobody; then the next engine says it in its place.
 */
export class TargetLeavesByWordFault implements IFault {
	readonly kind = FaultKind.TargetLeavesByWord;

	async run(field: Field, place: number): Promise<void> {
		const engines = field.stage.addresses.targets.filter(({ service }) => service === services.assistant);
		for (let step = 0; step < engines.length; step++) {
			if (await this.runAt(field, getAt(engines, place + step))) {
				return;
			}
		}
		field.log.noteViolation(Invariant.EveryFaultInjected, `${this.kind}: no engine was asked`);
	}

	/** Gives whether the engine could tell anybody. */
	private async runAt(field: Field, target: TargetAddresses): Promise<boolean> {
		const { admin, id } = target;
		await field.stage.admin.setFaults(admin, id, { leaving: true });
		const isHeard = await this.waitForFirstWord(field, target);
		if (isHeard) {
			field.log.noteFault(this.kind, id);
			await checkNoNewWork(field, target);
		}
		await field.stage.admin.setFaults(admin, id, { leaving: false });
		return isHeard;
	}

	private async waitForFirstWord(field: Field, { admin, id, region }: TargetAddresses): Promise<boolean> {
		const { stage, sender } = field;
		const home = regionKeys.find(key => key === region) ?? 'kingston';
		const before = await stage.admin.readCounter(admin, id, 'refusedUnrun');
		let number = 0;
		return waitUntil(stage.timers, firstRefusalWithinMs, async () => {
			number++;
			const entry = pickOne(field.random, listEntriesInRegion(stage.addresses, region));
			await sender.send(createDraft(`leaving-${id}-${number}`, home, leavingDraftTokens), entry);
			return (await stage.admin.readCounter(admin, id, 'refusedUnrun')) > before;
		});
	}
}

/** After the time that a sign may take, the target gets no request any more. */
export async function checkNoNewWork(field: Field, { admin, id }: TargetAddresses): Promise<void> {
	const { stage, log } = field;
	await waitFor(stage.timers, quietAfterMs);
	const before = await stage.admin.readCounter(admin, id, 'requests');
	await waitFor(stage.timers, observedMs);
	const requests = (await stage.admin.readCounter(admin, id, 'requests')) - before;
	if (requests > 0) {
		log.noteViolation(Invariant.LeavingTargets, `${id} got ${requests} requests in ${observedMs} ms`);
	}
}

const crashSends = 6;
const crashPauseMs = 300;
const mostDeaths = 2;

/** A request that kills each engine that runs it; its caller sends it to one entry after the other. */
export class CrashingRequestFault implements IFault {
	readonly kind = FaultKind.CrashingRequest;

	async run(field: Field): Promise<void> {
		const { stage, log, sender } = field;
		log.noteFault(this.kind, regions.kingston);
		const entries = listEntriesInRegion(stage.addresses, regions.kingston);
		const before = await countDeaths(field);
		for (let send = 0; send < crashSends; send++) {
			await sender.send(createCrash('crashing', 'kingston'), getAt(entries, send));
			await waitFor(stage.timers, crashPauseMs);
		}
		const after = await countDeaths(field);
		for (const [region, deaths] of after) {
			const more = deaths - (before.get(region) ?? 0);
			if (more > mostDeaths) {
				log.noteViolation(Invariant.CrashesContained, `${more} deaths in ${region}`);
			}
		}
	}
}

/** Deaths of engines so far, by region. */
async function countDeaths({ stage }: Field): Promise<ReadonlyMap<string, number>> {
	const deaths = new Map<string, number>();
	for (const { admin, id, region, service } of stage.addresses.targets) {
		if (service === services.assistant) {
			const count = await stage.admin.readCounter(admin, id, 'crashes');
			deaths.set(region, (deaths.get(region) ?? 0) + count);
		}
	}
	return deaths;
}
