/**
 * The invariants of a campaign. Those that follow from the callers' records of sends and the targets' records
 * of runs are checked here, at the end of the campaign. None of these checks depends on the speed of the
 * machine.
 */

import type { SendRecord } from './sendRecord';
import { callerGaveUpFault, CallKind, Phase, SendOutcome } from './sendRecord';

/** The invariants that a campaign checks. */
export enum Invariant {
	NotRunNeverRan = 'told not-run, never run',
	PaymentsRunOnce = 'a payment runs at most once',
	PaymentsWithoutFaults = 'without faults a payment runs exactly once, resends get its answer',
	CompleteAnswersCorrect = 'a whole answer is the right one',
	NoUnansweredCaller = 'every caller is told something soon after its deadline',
	BoundCallsStayInRegion = 'bound calls run in their region only',
	IsolatedRegionAnswers = 'a region that is cut off serves',
	GracefulStop = 'a planned stop cuts off nothing and ends by itself',
	RollingReplacement = 'a rolling replacement fails no caller that follows lookups',
	LeavingTargets = 'a leaving target gets no new work after 3 s',
	ManifestPropagates = 'a manifest is in force everywhere within 9 s',
	ManifestNeverReverts = 'a manifest is never replaced by an older one',
	CrashesContained = 'a crashing request kills at most 2 targets',
	WithdrawnKeyNeverRuns = 'no request of a withdrawn key runs once its removal is in force',
	LimitHolds = 'an organisation stays within the bound of its limit',
	TrueRefusals = 'a refusal for a key or a limit is true',
	EveryFaultInjected = 'every kind of fault was injected',
}

/** One violation of an invariant. */
export interface Violation {
	readonly invariant: Invariant;
	readonly detail: string;
}

/** How often one target ran a call, as counted by the target. */
export interface RunRecord {
	readonly callId: string;
	readonly target: string;
	readonly region: string;
	readonly runs: number;
}

/** The calls of a campaign as recorded by the callers (`sends`) and by the targets (`runs`). */
export interface CampaignRecords {
	readonly sends: readonly SendRecord[];
	readonly runs: readonly RunRecord[];
}

type InvariantCheck = (records: CampaignRecords) => Violation[];

/** Checks every invariant that can be decided from the records of callers and targets alone. */
export function checkRecords(records: CampaignRecords): Violation[] {
	const checks: readonly InvariantCheck[] = [
		checkNotRun,
		checkPaymentRuns,
		checkPaymentsWithoutFaults,
		checkCompleteAnswers,
		checkUnansweredCallers,
		checkBoundCalls,
		checkGracefulStops,
	];
	return checks.flatMap(check => check(records));
}

function checkNotRun({ sends, runs }: CampaignRecords): Violation[] {
	const counts = sumRuns(runs);
	return sends
		.filter(send => send.told === SendOutcome.NotRun && (counts.get(send.callId) ?? 0) > 0)
		.map(send =>
			createViolation(Invariant.NotRunNeverRan, send, `ran ${counts.get(send.callId) ?? 0} times`),
		);
}

function checkPaymentRuns({ sends, runs }: CampaignRecords): Violation[] {
	const counts = sumRuns(runs);
	return listFirstSends(sends, CallKind.Payment)
		.filter(send => (counts.get(send.callId) ?? 0) > 1)
		.map(send =>
			createViolation(Invariant.PaymentsRunOnce, send, `ran ${counts.get(send.callId) ?? 0} times`),
		);
}

function checkPaymentsWithoutFaults({ sends, runs }: CampaignRecords): Violation[] {
	const counts = sumRuns(runs);
	return listFirstSends(sends, CallKind.Payment)
		.filter(first => sends.every(send => send.callId !== first.callId || send.phase === Phase.Calm))
		.flatMap(first => {
			const copies = sends.filter(send => send.callId === first.callId);
			const count = counts.get(first.callId) ?? 0;
			const different = copies.find(copy => copy.told !== SendOutcome.Answered || copy.text !== first.text);
			return [
				...(count === 1
					? []
					: [createViolation(Invariant.PaymentsWithoutFaults, first, `ran ${count} times`)]),
				...(different === undefined
					? []
					: [
							createViolation(Invariant.PaymentsWithoutFaults, different, 'not answered like the first send'),
						]),
			];
		});
}

function checkCompleteAnswers({ sends }: CampaignRecords): Violation[] {
	return sends
		.filter(
			send =>
				send.told === SendOutcome.MissingOutcome || (send.told === SendOutcome.Answered && !send.isExpected),
		)
		.map(send =>
			createViolation(Invariant.CompleteAnswersCorrect, send, `status ${send.status}, ${send.text}`),
		);
}

/**
 * A caller may treat a broken connection as an unknown outcome. A call that times out without a response is a
 * violation.
 */
function checkUnansweredCallers({ sends }: CampaignRecords): Violation[] {
	return sends
		.filter(send => send.fault === callerGaveUpFault)
		.map(send => createViolation(Invariant.NoUnansweredCaller, send, `waited ${Math.round(send.tookMs)} ms`));
}

function checkBoundCalls({ sends, runs }: CampaignRecords): Violation[] {
	const firstSends = new Map(sends.map(send => [send.callId, send]));
	return runs.flatMap(run => {
		const send = firstSends.get(run.callId);
		return send?.home === undefined || send.home === run.region
			? []
			: [
					createViolation(
						Invariant.BoundCallsStayInRegion,
						send,
						`bound to ${send.home}, ran at ${run.target}`,
					),
				];
	});
}

/**
 * While entries are only being replaced, every answer must be complete and no outcome may be unknown. Calls
 * with a ticket may get `unknown`: a ticket is tied to one start of an entry, so after a restart that entry
 * may be unable to determine the outcome of a resent call.
 */
function checkGracefulStops({ sends }: CampaignRecords): Violation[] {
	return sends
		.filter(send => send.phase === Phase.Replacement)
		.filter(
			send => send.told === SendOutcome.Incomplete || (send.told === SendOutcome.Unknown && !send.isTicketed),
		)
		.map(send =>
			createViolation(
				Invariant.GracefulStop,
				send,
				'incomplete answer or unknown outcome during a planned stop',
			),
		);
}

/** Sums the runs of each call over all targets. */
export function sumRuns(runs: readonly RunRecord[]): ReadonlyMap<string, number> {
	const counts = new Map<string, number>();
	for (const run of runs) {
		counts.set(run.callId, (counts.get(run.callId) ?? 0) + run.runs);
	}
	return counts;
}

function listFirstSends(sends: readonly SendRecord[], kind: CallKind): SendRecord[] {
	const seen = new Map<string, SendRecord>();
	for (const send of sends) {
		if (send.kind === kind && !seen.has(send.callId)) {
			seen.set(send.callId, send);
		}
	}
	return [...seen.values()];
}

export function createViolation(invariant: Invariant, send: SendRecord, detail: string): Violation {
	const { callId, entry, told, errorKind, startMs, fault } = send;
	const what = [told, errorKind, fault].filter(part => part !== '').join(' ');
	return { invariant, detail: `${callId} at ${entry}, ${Math.round(startMs)} ms, ${what}: ${detail}` };
}
