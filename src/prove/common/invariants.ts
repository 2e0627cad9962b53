/**
 * The invariants of a campaign, checked at its end against the callers' view and the targets' view. None
 * rests on how fast the machine was.
 */

import type { SendRecord } from './sendRecord';
import { CallKind, gaveUp, Phase, Told } from './sendRecord';

/** Every invariant that a campaign judges. */
export enum Invariant {
	NotRunMeansNoRun = 'told not-run, never run',
	PaymentsRunOnce = 'a payment runs at most once',
	FaultlessPayments = 'without faults a payment runs exactly once, resends get its answer',
	WholeAnswers = 'a whole answer is the right one',
	NobodyWaitsInVain = 'every caller is told something soon after its deadline',
	BoundStaysHome = 'bound calls run in their region only',
	IsolatedRegionServes = 'a region that is cut off serves',
	GracefulStop = 'a planned stop cuts off nothing and ends by itself',
	RollingReplacement = 'a rolling replacement fails no caller that follows lookups',
	LeavingTargets = 'a leaving target gets no new work after 3 s',
	ManifestSpreads = 'a manifest is in force everywhere within 9 s',
	ManifestNeverReverts = 'a manifest is never replaced by an older one',
	CrashesContained = 'a crashing request kills at most 2 targets',
	EveryFaultInjected = 'every kind of fault was injected',
}

/** One breach of an invariant. */
export interface Violation {
	readonly invariant: Invariant;
	readonly detail: string;
}

/** The targets' view: how often one service ran a call. */
export interface RunRecord {
	readonly callId: string;
	readonly target: string;
	readonly region: string;
	readonly runs: number;
}

/** Both views of the calls. */
export interface Ledgers {
	readonly sends: readonly SendRecord[];
	readonly runs: readonly RunRecord[];
}

type Check = (ledgers: Ledgers) => Violation[];

/** Checks every invariant that follows from the two ledgers alone. */
export function checkLedgers(ledgers: Ledgers): Violation[] {
	const checks: readonly Check[] = [
		checkNotRun,
		checkPaymentRuns,
		checkFaultlessPayments,
		checkWholeAnswers,
		checkWaits,
		checkBoundCalls,
		checkGracefulStops,
	];
	return checks.flatMap(check => check(ledgers));
}

function checkNotRun({ sends, runs }: Ledgers): Violation[] {
	const counts = sumRuns(runs);
	return sends
		.filter(send => send.told === Told.NotRun && (counts.get(send.callId) ?? 0) > 0)
		.map(send =>
			createViolation(Invariant.NotRunMeansNoRun, send, `ran ${counts.get(send.callId) ?? 0} times`),
		);
}

function checkPaymentRuns({ sends, runs }: Ledgers): Violation[] {
	const counts = sumRuns(runs);
	return listFirstSends(sends, CallKind.Payment)
		.filter(send => (counts.get(send.callId) ?? 0) > 1)
		.map(send =>
			createViolation(Invariant.PaymentsRunOnce, send, `ran ${counts.get(send.callId) ?? 0} times`),
		);
}

function checkFaultlessPayments({ sends, runs }: Ledgers): Violation[] {
	const counts = sumRuns(runs);
	return listFirstSends(sends, CallKind.Payment)
		.filter(first => sends.every(send => send.callId !== first.callId || send.phase === Phase.Calm))
		.flatMap(first => {
			const copies = sends.filter(send => send.callId === first.callId);
			const count = counts.get(first.callId) ?? 0;
			const other = copies.find(copy => copy.told !== Told.Answered || copy.text !== first.text);
			return [
				...(count === 1 ? [] : [createViolation(Invariant.FaultlessPayments, first, `ran ${count} times`)]),
				...(other === undefined
					? []
					: [createViolation(Invariant.FaultlessPayments, other, 'not the first answer')]),
			];
		});
}

function checkWholeAnswers({ sends }: Ledgers): Violation[] {
	return sends
		.filter(send => send.told === Told.Untold || (send.told === Told.Answered && !send.isExpected))
		.map(send => createViolation(Invariant.WholeAnswers, send, `status ${send.status}, ${send.text}`));
}

/** A broken connection tells a caller that the outcome is unknown; silence tells it nothing. */
function checkWaits({ sends }: Ledgers): Violation[] {
	return sends
		.filter(send => send.fault === gaveUp)
		.map(send => createViolation(Invariant.NobodyWaitsInVain, send, `waited ${Math.round(send.tookMs)} ms`));
}

function checkBoundCalls({ sends, runs }: Ledgers): Violation[] {
	const firstSends = new Map(sends.map(send => [send.callId, send]));
	return runs.flatMap(run => {
		const send = firstSends.get(run.callId);
		return send?.home === undefined || send.home === run.region
			? []
			: [createViolation(Invariant.BoundStaysHome, send, `bound to ${send.home}, ran at ${run.target}`)];
	});
}

/**
 * While entries are only being replaced, no answer breaks off and none is left in doubt. A ticket is the
 * exception: it names one start of an entry, and a resend after that start may have to be told `unknown`.
 */
function checkGracefulStops({ sends }: Ledgers): Violation[] {
	return sends
		.filter(send => send.phase === Phase.Replacement)
		.filter(send => send.told === Told.Cut || (send.told === Told.Unknown && !send.isTicketed))
		.map(send => createViolation(Invariant.GracefulStop, send, 'cut off by a planned stop'));
}

/** Runs of each call over all services. */
function sumRuns(runs: readonly RunRecord[]): ReadonlyMap<string, number> {
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

function createViolation(invariant: Invariant, send: SendRecord, detail: string): Violation {
	const { callId, entry, told, errorKind, startMs, fault } = send;
	const what = [told, errorKind, fault].filter(part => part !== '').join(' ');
	return { invariant, detail: `${callId} at ${entry}, ${Math.round(startMs)} ms, ${what}: ${detail}` };
}
