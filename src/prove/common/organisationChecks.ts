/**
 * The checks of keys and limits: what ran with a withdrawn key, how much ran for an organisation with a limit, and whether
 * refusals for a key or a limit are true. They use the callers' records of sends and the targets' records of runs.
 */

import { overloading } from './campaignKeys';
import type { CampaignRecords, Violation } from './invariants';
import { createViolation, Invariant, sumRuns } from './invariants';
import { CallKind, SendOutcome } from './sendRecord';

/** The window and the factor of the bound that holds in every failure, see docs/HARD-LOAD.md, part 3. */
const windowMs = 8_000;
const boundFactor = 1.25;
const msPerSecond = 1_000;

const keyUnknown = 'key-unknown';
const limitReached = 'limit-reached';
const ranOutcomes: readonly SendOutcome[] = [SendOutcome.Answered, SendOutcome.Incomplete];

/** Calls with the withdrawn key are only sent to entries at which the manifest without it is in force. */
export function checkWithdrawnKeys({ sends, runs }: CampaignRecords): Violation[] {
	const counts = sumRuns(runs);
	return sends
		.filter(send => send.kind === CallKind.Withdrawn)
		.filter(send => ranOutcomes.includes(send.told) || (counts.get(send.callId) ?? 0) > 0)
		.map(send =>
			createViolation(Invariant.WithdrawnKeyNeverRuns, send, `ran ${counts.get(send.callId) ?? 0} times`),
		);
}

/** Computes how many requests of the overloading organisation may run in a window. */
export function computeMaxRunsPerWindow(): number {
	const { perSecond, burst } = overloading.limit;
	return (perSecond * (windowMs / msPerSecond) + burst) * boundFactor;
}

/** Counts runs in windows by the start of their sends, since targets do not record times. */
export function checkLimit({ sends, runs }: CampaignRecords): Violation[] {
	const counts = sumRuns(runs);
	const ran = sends
		.filter(send => send.kind === CallKind.Overloading && (counts.get(send.callId) ?? 0) > 0)
		.sort((left, right) => left.startMs - right.startMs);
	let first = 0;
	for (const [index, send] of ran.entries()) {
		while ((ran[first]?.startMs ?? send.startMs) <= send.startMs - windowMs) {
			first++;
		}
		const count = index - first + 1;
		if (count > computeMaxRunsPerWindow()) {
			return [createViolation(Invariant.LimitHolds, send, `${count} ran in ${windowMs} ms`)];
		}
	}
	return [];
}

/** A key that was not withdrawn is never unknown, and an organisation without a limit never exceeds one. */
export function checkTrueRefusals({ sends }: CampaignRecords): Violation[] {
	return sends
		.filter(
			({ errorKind, kind }) =>
				(errorKind === keyUnknown && kind !== CallKind.Withdrawn) ||
				(errorKind === limitReached && kind !== CallKind.Overloading),
		)
		.map(send => createViolation(Invariant.TrueRefusals, send, 'the organisation has the key and no limit'));
}
